//! Sums of the hosts' calls to the store.

use std::io::{Read, Write};
use std::net::TcpListener;

use tidetrack_core::codes::Code;
use tidetrack_ctl::calls::{fetch_metrics, render, sum_calls};

/// Metrics page of one host, including other counters and malformed lines.
const PAGE: &str = r#"# TYPE tidetrack_store_calls_total counter
tidetrack_store_calls_total{age="newest",cause="proof",kind="Catalog",result="answered"} 7
tidetrack_store_calls_total{age="newest",cause="told",kind="Endpoints",result="failed"} 2
tidetrack_store_calls_total{age="newest",cause="told"
tidetrack_store_calls_total{age="newest",cause="told",kind="Endpoints",result="failed"} NaN
tidetrack_feed_calls_total{source="host"} 90
"#;

/// Answers one request with `reply`, and returns the address to send it to.
fn serve_once(reply: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a local port can be bound");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection is accepted");
        let mut buf = [0; 1024];
        // The content of the request does not matter.
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(reply.as_bytes());
    });
    address
}

#[test]
fn calls_of_several_hosts_are_summed_by_purpose() {
    let counts = sum_calls([PAGE, PAGE, "no page"]);

    let summed: Vec<(&str, &str, u64)> = counts
        .iter()
        .map(|c| (c.purpose.cause.as_str(), c.purpose.result.as_str(), c.calls))
        .collect();
    assert_eq!(summed, [("proof", "answered", 14), ("told", "failed", 4)]);
    let text = render(&counts);
    assert!(
        text.lines().nth(1).is_some_and(|l| l.contains("14  Catalog")),
        "line of the catalog not second: {text}"
    );
}

#[test]
fn failed_fetch_reports_host_address_and_code() {
    let serving =
        serve_once(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{PAGE}", PAGE.len()));
    let refusing = serve_once("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".into());

    assert_eq!(fetch_metrics(&serving).expect("the metrics page is fetched"), PAGE);
    let e = fetch_metrics(&refusing).expect_err("the metrics request is refused");
    assert_eq!(e.code, Code::EndpointFailed);
    assert!(e.to_string().contains(&refusing) && e.to_string().contains("404"), "{e}");
}
