//! A request's story from logs.

use tidetrack_ctl::explain::explain;

fn line(time: f64, host: &str, event: &str, rest: &str) -> String {
    format!("{{\"time\":{time},\"host\":\"{host}\",\"event\":\"{event}\",\"msg\":\"m\"{rest}}}\n")
}

#[test]
fn lines_of_several_hosts_come_in_order_with_what_the_hosts_believed() {
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

    let story = explain("r1", &[second, first]).expect("a story");

    let events: Vec<&str> = story
        .lines()
        .skip(1)
        .filter_map(|l| l.split_whitespace().find(|w| w.starts_with('E')))
        .collect();
    assert_eq!(events, ["E210", "E307", "E301", "E308"]);
    assert!(story.contains("code=TT-2006") && !story.contains("long ago"), "{story}");
    assert!(!story.contains("elsewhere"), "{story}");
}

#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    assert!(explain("r9", &[line(1.0, "h1", "E307", ",\"request\":\"r1\"")]).is_err());
}

#[test]
fn a_fingerprint_tells_of_all_copies_of_a_request_and_why_it_was_barred() {
    let print = "0000000a-000102030405060708090a0b0c0d0e0f";
    let of = |name: &str| format!(",\"request\":\"{name}\",\"fingerprint\":\"{print}\"");
    let first = [
        line(10.0, "h1", "E307", &of("r1")),
        line(10.1, "h1", "E308", ",\"request\":\"r1\",\"attempt\":\"1\""),
        line(10.2, "h1", "E316", &of("r1")),
    ];
    let second = [
        line(11.0, "h2", "E236", &format!(",\"detail\":\"fingerprint={print} crashes=3\"")),
        line(
            12.0,
            "h2",
            "E301",
            &format!(",\"request\":\"r2\",\"why\":\"request {print} is barred\""),
        ),
        line(13.0, "h2", "E307", ",\"request\":\"r3\""),
    ];

    let story = explain(print, &[first.concat(), second.concat()]).expect("a story");

    let has = |event: &str| story.contains(event);
    assert!(["E307", "E308", "E316", "E236", "E301"].into_iter().all(has), "{story}");
    assert_eq!(story.lines().count(), 6, "{story}");
}
