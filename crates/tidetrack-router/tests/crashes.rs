//! Requests that crash the endpoints of a plain service, sent through the routers' own interface.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tidetrack_testkit::caller::{send, Reply};
use tidetrack_testkit::crashing_endpoint::{CrashingEndpoint, EndpointBehavior, CRASHING_BODY};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};

/// Time after which connected hosts know what one of them has learned.
const PROPAGATION_TIME: Duration = Duration::from_millis(3_000);

/// Maximum number of attempts of a crashing request after that time, as the user documentation states.
const MAX_ATTEMPTS_AFTER_PROPAGATION: usize = 3;

/// Time for which an endpoint keeps listening after it closes its connections.
const LISTEN_AFTER_CLOSE: Duration = Duration::from_millis(10);

const HOSTS: usize = 4;
const ENDPOINTS: usize = 6;

/// Starts an endpoint that crashes on the deadly request, or answers it with status 500 if it survives.
fn start_endpoint(survives_crashing_requests: bool) -> CrashingEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port is available");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    drop(listener);
    let answer =
        |status| format!("HTTP/1.1 {status}\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
    let manners = EndpointBehavior {
        respond: Box::new(move |req, _| match req.body == CRASHING_BODY {
            true => answer("500 X"),
            false => answer("200 OK"),
        }),
        on_start: Box::new(|_| ()),
        on_end: Box::new(|_| ()),
        listener_linger: LISTEN_AFTER_CLOSE,
        survives_crashing_requests,
    };
    CrashingEndpoint::start(&address, manners)
}

fn fleet_with_endpoints(endpoints: &[CrashingEndpoint]) -> Fleet {
    let endpoint_entry = |(n, e): (usize, &CrashingEndpoint)| {
        format!("f{n} = {{ address = \"{}\", failure_domain = \"d{}\" }}", e.address(), n % 3)
    };
    let endpoint_entries: Vec<String> = endpoints.iter().enumerate().map(endpoint_entry).collect();
    let endpoint_entries = endpoint_entries.join(", ");
    let extra_declarations = format!(
        "[service.frail]\nworkspaces = [\"caller\"]\nendpoints = {{ {endpoint_entries} }}\n"
    );
    let options =
        FleetOptions { hosts: HOSTS, domains: 2, extra_declarations, ..FleetOptions::default() };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options)
        .expect("the fleet starts")
}

fn send_request(fleet: &Fleet, host: usize, body: &str) -> Reply {
    send(fleet.hosts[host].caller().post("/v1/services/frail/x", body))
}

/// Guards against each router retrying a request that has already crashed endpoints at other routers.
#[test]
fn a_request_that_crashes_endpoints_is_barred_by_all_routers_after_the_third() {
    assert_request_is_barred((0..ENDPOINTS).map(|_| start_endpoint(false)).collect());
}

/// Guards against counting a failure response of one endpoint as a successful execution.
#[test]
fn a_failure_at_one_endpoint_does_not_clear_a_request_that_crashes_the_others() {
    assert_request_is_barred((0..ENDPOINTS).map(|n| start_endpoint(n == 0)).collect());
}

fn assert_request_is_barred(endpoints: Vec<CrashingEndpoint>) {
    let fleet = fleet_with_endpoints(&endpoints);
    let is_finished = AtomicBool::new(false);

    let (normal_statuses, last) = std::thread::scope(|scope| {
        let normal_statuses = scope.spawn(|| {
            let mut statuses = Vec::new();
            while !is_finished.load(Ordering::Acquire) {
                let n = statuses.len();
                statuses.push(send_request(&fleet, n % HOSTS, &n.to_string()).status);
                std::thread::sleep(Duration::from_millis(25));
            }
            statuses
        });
        let mut last = None;
        for n in 0..32 {
            let start = Instant::now();
            last = Some(send_request(&fleet, n % HOSTS, CRASHING_BODY));
            std::thread::sleep(Duration::from_millis(250).saturating_sub(start.elapsed()));
        }
        is_finished.store(true, Ordering::Release);
        (
            normal_statuses.join().expect("the caller thread does not panic"),
            last.expect("at least one reply was received"),
        )
    });

    let mut crashes: Vec<Instant> = endpoints.iter().flat_map(|e| e.crashes()).collect();
    crashes.sort_unstable();
    let third_crash = *crashes.get(2).expect("the request crashes endpoints");
    let arrivals = endpoints.iter().flat_map(|e| e.arrivals());
    let late_attempts = arrivals
        .filter(|a| a.is_crashing && a.received_at > third_crash + PROPAGATION_TIME)
        .count();
    let served = normal_statuses.iter().filter(|s| **s == 200).count();
    println!(
        "{} crashes, {late_attempts} late attempts, {served} of {} normal requests served",
        crashes.len(),
        normal_statuses.len()
    );
    assert!(
        late_attempts <= MAX_ATTEMPTS_AFTER_PROPAGATION,
        "{late_attempts} attempts after all routers must know of the third crash"
    );
    assert!(
        served * 100 >= normal_statuses.len() * 95,
        "only {served} of {} normal requests were served",
        normal_statuses.len()
    );
    assert_eq!((last.status, last.code().as_str()), (400, "TT-1016"));
}
