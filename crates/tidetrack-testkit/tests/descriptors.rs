//! The proxy gives descriptors back.
//!
//! What was seen: a test whose callers send as fast as they are answered failed with "Too many open
//! files" in a stand-in. A bad version was never stopped there, for no rating of it came through any
//! more; a host that had been paused met nobody to confirm its configuration and went on as in an outage.
//!
//! Cause: the proxy kept two more handles of each connection, to be able to cut it, for as long as the
//! proxy itself.
//!
//! Evidence: the test's process held 143 descriptors before its callers began, 15,989 six seconds later,
//! and 49 established connections; the limit was 20,000.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use tidetrack_testkit::proxy::{Fault, Proxy};
use tidetrack_testkit::{wait_for, WAIT_TIMEOUT};

/// Connections that come and go one by one.
const CONNECTION_COUNT: usize = 200;

/// Starts a server that sends one byte back on each connection and closes it.
fn start_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut byte = [0; 1];
                // A connection that is cut asks for nothing.
                stream.read_exact(&mut byte).and_then(|()| stream.write_all(&byte))
            });
        }
    });
    address
}

/// Sends a byte on a connection of its own, and waits until that is closed.
fn exchange(address: &str) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(b"x").expect("the proxy reads");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("an answer with an end");
    assert_eq!(response, b"x");
}

fn count_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("the descriptors").count()
}

#[test]
fn a_closed_connection_holds_no_descriptor() {
    let proxy = Proxy::with_target(&start_server()).expect("a proxy");
    exchange(&proxy.address());
    let count_before = count_descriptors();

    (0..CONNECTION_COUNT).for_each(|_| exchange(&proxy.address()));

    // The last connections' threads may still be ending.
    wait_for("the descriptors are given back", || {
        (count_descriptors() < count_before + CONNECTION_COUNT / 10).then_some(())
    });
}

#[test]
fn a_cut_closes_open_connections() {
    let proxy = Proxy::with_target(&start_server()).expect("a proxy");
    exchange(&proxy.address());
    let mut open_stream = TcpStream::connect(proxy.address()).expect("a connection");
    open_stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an option");
    // Connections are taken in order, so the proxy has the open one once a later one is answered.
    exchange(&proxy.address());

    proxy.set_fault(Fault::Cut);

    assert_eq!(open_stream.read(&mut [0; 1]).expect("an end, no time-out"), 0);
}
