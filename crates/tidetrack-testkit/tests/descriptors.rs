//! The proxy releases the descriptors of closed connections.
//!
//! Guards against a descriptor leak. The proxy kept two extra handles of each connection, needed for
//! a cut, until the proxy itself was dropped. With callers that sent requests without a pause, the
//! test process grew from 143 to 15,989 descriptors in six seconds, with only 49 established
//! connections and a limit of 20,000. The stand-ins then failed with "Too many open files": a bad
//! version was not barred because its ratings were lost, and a resumed host found no peer to confirm
//! its configuration and behaved as in an outage.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use tidetrack_testkit::proxy::{Fault, Proxy};
use tidetrack_testkit::{wait_for, WAIT_TIMEOUT};

/// Number of connections that are opened and closed one after the other.
const CONNECTION_COUNT: usize = 200;

/// Starts a server that echoes one byte on each connection and closes it. Returns its address.
fn start_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut byte = [0; 1];
                // Reading fails on a connection that was cut.
                stream.read_exact(&mut byte).and_then(|()| stream.write_all(&byte))
            });
        }
    });
    address
}

/// Sends a byte on a new connection and waits until the connection is closed.
fn exchange(address: &str) {
    let mut stream = TcpStream::connect(address).expect("the connection is accepted");
    stream.write_all(b"x").expect("the proxy accepts the data");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("the connection is closed after the response");
    assert_eq!(response, b"x");
}

fn count_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("the descriptors can be listed").count()
}

#[test]
fn a_closed_connection_holds_no_descriptor() {
    let proxy = Proxy::with_target(&start_server()).expect("the proxy starts");
    exchange(&proxy.address());
    let count_before = count_descriptors();

    (0..CONNECTION_COUNT).for_each(|_| exchange(&proxy.address()));

    // The threads of the last connections may still be shutting down.
    wait_for("the descriptors are released", || {
        (count_descriptors() < count_before + CONNECTION_COUNT / 10).then_some(())
    });
}

#[test]
fn a_cut_closes_open_connections() {
    let proxy = Proxy::with_target(&start_server()).expect("the proxy starts");
    exchange(&proxy.address());
    let mut open_stream = TcpStream::connect(proxy.address()).expect("the connection is accepted");
    open_stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket accepts the option");
    // Connections are accepted in order, so the proxy has accepted the open one once a later one has
    // received a response.
    exchange(&proxy.address());

    proxy.set_fault(Fault::Cut);

    assert_eq!(open_stream.read(&mut [0; 1]).expect("the stream ends without a timeout"), 0);
}
