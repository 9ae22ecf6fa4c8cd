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
