//! The capacity page agrees with the recorded slopes, and control fits its budget at the target.

use tidetrack_bench::capacity::{read_page, render_page, total_control_use, CONTROL_BUDGET, SIZES};
use tidetrack_bench::record;

#[test]
fn the_page_is_what_the_recorded_slopes_give() {
    let recorded = record::read_recorded().expect("the slopes");
    let text = read_page().expect("the page");
    assert!(
        render_page(&text, &recorded).expect("markers") == text,
        "run tidetrack-bench capacity"
    );
}

#[test]
fn another_slope_gives_another_page() {
    let mut recorded = record::read_recorded().expect("the slopes");
    let text = read_page().expect("the page");
    recorded.get_mut("rest-bytes").expect("a series").points[0].1 += 1_000.0;
    assert!(render_page(&text, &recorded).expect("markers") != text);
}

#[test]
fn every_series_has_points_and_control_fits_its_budget() {
    let recorded = record::read_recorded().expect("the slopes");
    for (name, series) in &recorded {
        let min_points = if series.size == "streams" { 1 } else { 3 };
        assert!(series.points.len() >= min_points, "{name}: {} points", series.points.len());
    }
    for size in &SIZES {
        let total = total_control_use(&recorded, size);
        assert!(total.core_percent <= CONTROL_BUDGET.core_percent, "{}: {total:?}", size.name);
        assert!(
            total.bytes_per_second <= CONTROL_BUDGET.bytes_per_second,
            "{}: {total:?}",
            size.name
        );
        assert!(total.memory_mib <= CONTROL_BUDGET.memory_mib, "{}: {total:?}", size.name);
    }
}
