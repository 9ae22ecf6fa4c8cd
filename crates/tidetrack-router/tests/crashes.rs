//! Requests that crash the endpoints of a plain service, through routers' own interface.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tidetrack_testkit::caller::{send, Reply};
use tidetrack_testkit::crashing_endpoint::{CrashingEndpoint, EndpointBehavior, CRASHING_BODY};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};

/// Time after which hosts in touch know what one of them learned.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Sends of a deadly request that may follow that time, as the users' pages have it.
const MOST_LATE: usize = 3;

/// How long an endpoint listens on after its connections were closed.
const LISTENS_ON: Duration = Duration::from_millis(10);

const HOSTS: usize = 4;
const ENDPOINTS: usize = 6;

/// Starts an endpoint that crashes under deadly requests, or one that fails them.
fn start_endpoint(survives_crashing_requests: bool) -> CrashingEndpoint {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
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
        listener_linger: LISTENS_ON,
        survives_crashing_requests,
    };
    CrashingEndpoint::start(&address, manners)
}

fn fleet_before(endpoints: &[CrashingEndpoint]) -> Fleet {
    let place = |(n, e): (usize, &CrashingEndpoint)| {
        format!("f{n} = {{ address = \"{}\", failure_domain = \"d{}\" }}", e.address(), n % 3)
    };
    let places: Vec<String> = endpoints.iter().enumerate().map(place).collect();
    let places = places.join(", ");
    let extra_declarations =
        format!("[service.frail]\nworkspaces = [\"caller\"]\nendpoints = {{ {places} }}\n");
    let options =
        FleetOptions { hosts: HOSTS, domains: 2, extra_declarations, ..FleetOptions::default() };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options).expect("a fleet")
}

fn ask(fleet: &Fleet, host: usize, body: &str) -> Reply {
    send(fleet.hosts[host].caller().post("/v1/services/frail/x", body))
}

/// Guards against each router running a request anew under which endpoints crashed at other routers.
#[test]
fn a_request_that_crashes_endpoints_is_barred_by_all_routers_after_the_third() {
    play((0..ENDPOINTS).map(|_| start_endpoint(false)).collect());
}

/// Guards against taking an endpoint's failure for a run that ended well.
#[test]
fn a_failure_at_one_endpoint_does_not_clear_a_request_that_crashes_the_others() {
    play((0..ENDPOINTS).map(|n| start_endpoint(n == 0)).collect());
}

fn play(endpoints: Vec<CrashingEndpoint>) {
    let fleet = fleet_before(&endpoints);
    let is_over = AtomicBool::new(false);

    let (usual, last) = std::thread::scope(|scope| {
        let usual = scope.spawn(|| {
            let mut statuses = Vec::new();
            while !is_over.load(Ordering::Acquire) {
                let n = statuses.len();
                statuses.push(ask(&fleet, n % HOSTS, &n.to_string()).status);
                std::thread::sleep(Duration::from_millis(25));
            }
            statuses
        });
        let mut last = None;
        for n in 0..32 {
            let began = Instant::now();
            last = Some(ask(&fleet, n % HOSTS, CRASHING_BODY));
            std::thread::sleep(Duration::from_millis(250).saturating_sub(began.elapsed()));
        }
        is_over.store(true, Ordering::Release);
        (usual.join().expect("a caller"), last.expect("a reply"))
    });

    let mut crashes: Vec<Instant> = endpoints.iter().flat_map(|e| e.crashes()).collect();
    crashes.sort_unstable();
    let third = *crashes.get(2).expect("the request crashes endpoints");
    let arrivals = endpoints.iter().flat_map(|e| e.arrivals());
    let late = arrivals.filter(|a| a.is_crashing && a.received_at > third + CONTACT).count();
    let served = usual.iter().filter(|s| **s == 200).count();
    println!("{} crashes, {late} late, {served} of {} served", crashes.len(), usual.len());
    assert!(late <= MOST_LATE, "{late} sends after routers had to know of the third crash");
    assert!(served * 100 >= usual.len() * 95, "{served} of {} served", usual.len());
    assert_eq!((last.status, last.code().as_str()), (400, "TT-1016"));
}
