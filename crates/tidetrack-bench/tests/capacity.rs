//! Checks that the capacity page matches the recorded series and that the control plane stays within
//! its budget at every deployment size.

use tidetrack_bench::capacity::{read_page, render_page, total_control_use, CONTROL_BUDGET, SIZES};
use tidetrack_bench::record;

#[test]
fn the_page_matches_the_recorded_series() {
    let recorded = record::read_recorded().expect("the recorded series can be read");
    let text = read_page().expect("docs/CAPACITY.md can be read");
    assert!(
        render_page(&text, &recorded).expect("the page has both markers") == text,
        "docs/CAPACITY.md is out of date; run tidetrack-bench capacity"
    );
}

#[test]
fn a_changed_series_changes_the_page() {
    let mut recorded = record::read_recorded().expect("the recorded series can be read");
    let text = read_page().expect("docs/CAPACITY.md can be read");
    recorded.get_mut("rest-bytes").expect("rest-bytes is recorded").points[0].1 += 1_000.0;
    assert!(render_page(&text, &recorded).expect("the page has both markers") != text);
}

#[test]
fn every_series_has_enough_points_and_control_stays_within_its_budget() {
    let recorded = record::read_recorded().expect("the recorded series can be read");
    for (name, series) in &recorded {
        let min_points = if series.size == "streams" { 1 } else { 3 };
        assert!(series.points.len() >= min_points, "{name}: {} points", series.points.len());
    }
    for size in &SIZES {
        let total = total_control_use(&recorded, size);
        assert!(
            total.core_percent <= CONTROL_BUDGET.core_percent,
            "core budget of {} exceeded: {total:?}",
            size.name
        );
        assert!(
            total.bytes_per_second <= CONTROL_BUDGET.bytes_per_second,
            "byte budget of {} exceeded: {total:?}",
            size.name
        );
        assert!(
            total.memory_mib <= CONTROL_BUDGET.memory_mib,
            "memory budget of {} exceeded: {total:?}",
            size.name
        );
    }
}
