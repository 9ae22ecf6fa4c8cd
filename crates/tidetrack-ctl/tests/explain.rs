//! Log lines that `explain` selects for a request.

use tidetrack_ctl::explain::explain;

fn line(time: f64, host: &str, event: &str, rest: &str) -> String {
    format!("{{\"time\":{time},\"host\":\"{host}\",\"event\":\"{event}\",\"msg\":\"m\"{rest}}}\n")
}

#[test]
fn merges_request_lines_and_state_changes_in_time_order() {
    let first = [
        line(10.0, "h1", "E307", ",\"request\":\"r1\""),
        line(10.2, "h1", "E301", ",\"request\":\"r1\",\"code\":\"TT-2006\""),
        line(10.1, "h1", "E307", ",\"request\":\"r2\""),
        line(5.0, "h1", "E210", ",\"why\":\"no reply\""),
        line(1.0, "h1", "E210", ",\"why\":\"long ago\""),
    ]
    .concat();
    let second = [
        format!("  12.1 h2 {}", line(12.0, "h2", "E308", ",\"request\":\"r1\"")),
        line(11.0, "h3", "E210", ",\"why\":\"elsewhere\""),
        "not a line\n".to_string(),
    ]
    .concat();

    let report = explain("r1", &[second, first]).expect("the calls give a report");

    let events: Vec<&str> = report
        .lines()
        .skip(1)
        .filter_map(|l| l.split_whitespace().find(|w| w.starts_with('E')))
        .collect();
    assert_eq!(events, ["E210", "E307", "E301", "E308"]);
    assert!(report.contains("code=TT-2006") && !report.contains("long ago"), "{report}");
    assert!(!report.contains("elsewhere"), "{report}");
}

#[test]
fn unknown_request_is_an_error() {
    assert!(explain("r9", &[line(1.0, "h1", "E307", ",\"request\":\"r1\"")]).is_err());
}

#[test]
fn fingerprint_finds_all_copies_of_a_request_and_why_it_was_barred() {
    let fingerprint = "0000000a-000102030405060708090a0b0c0d0e0f";
    let request_fields =
        |name: &str| format!(",\"request\":\"{name}\",\"fingerprint\":\"{fingerprint}\"");
    let first = [
        line(10.0, "h1", "E307", &request_fields("r1")),
        line(10.1, "h1", "E308", ",\"request\":\"r1\",\"attempt\":\"1\""),
        line(10.2, "h1", "E316", &request_fields("r1")),
    ];
    let second = [
        line(11.0, "h2", "E236", &format!(",\"detail\":\"fingerprint={fingerprint} crashes=3\"")),
        line(
            12.0,
            "h2",
            "E301",
            &format!(",\"request\":\"r2\",\"why\":\"request {fingerprint} is barred\""),
        ),
        line(13.0, "h2", "E307", ",\"request\":\"r3\""),
    ];

    let report =
        explain(fingerprint, &[first.concat(), second.concat()]).expect("the calls give a report");

    let has = |event: &str| report.contains(event);
    assert!(
        ["E307", "E308", "E316", "E236", "E301"].into_iter().all(has),
        "an event is missing: {report}"
    );
    assert_eq!(report.lines().count(), 6, "not six lines: {report}");
}
