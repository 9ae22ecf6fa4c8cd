//! The proxy's narrow link: bounded, and shared by all connections through it; and its cuts.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tidetrack_testkit::proxy::{Fault, Proxy};

/// Bytes a second of the narrow link of these tests.
const LINK_BYTES_PER_SECOND: u64 = 1_000_000;

/// Starts a server that answers each line, a number, with so many bytes; gets its address.
fn start_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_lines(stream));
        }
    });
    address
}

fn serve_lines(mut stream: TcpStream) -> Option<()> {
    let mut line = Vec::new();
    let mut byte = [0; 1];
    loop {
        stream.read_exact(&mut byte).ok()?;
        if byte[0] != b'\n' {
            line.push(byte[0]);
            continue;
        }
        let count = String::from_utf8(std::mem::take(&mut line)).ok()?.parse().ok()?;
        stream.write_all(&vec![b'x'; count]).ok()?;
    }
}

fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an option");
    stream
}

fn send_request(stream: &mut TcpStream, count: usize) {
    stream.write_all(format!("{count}\n").as_bytes()).expect("the proxy reads");
}

fn read_response(stream: &mut TcpStream, count: usize) {
    stream.read_exact(&mut vec![0; count]).expect("the whole answer");
}

/// Asks for so many bytes on a connection of its own; gets how long they took.
fn fetch(address: &str, count: usize) -> Duration {
    let mut stream = connect(address);
    let started_at = Instant::now();
    send_request(&mut stream, count);
    read_response(&mut stream, count);
    started_at.elapsed()
}

/// Asks for so many bytes on each of some connections; gets how long each took from the first request on.
fn fetch_concurrently(address: &str, connections: usize, count: usize) -> Vec<Duration> {
    let mut streams: Vec<TcpStream> = (0..connections).map(|_| connect(address)).collect();
    let started_at = Instant::now();
    streams.iter_mut().for_each(|stream| send_request(stream, count));
    let readers: Vec<JoinHandle<Duration>> = streams
        .into_iter()
        .map(|mut stream| {
            std::thread::spawn(move || {
                read_response(&mut stream, count);
                started_at.elapsed()
            })
        })
        .collect();
    readers.into_iter().map(|t| t.join().expect("a reader")).collect()
}

fn spawn_fetch(proxy: &Proxy, count: usize) -> JoinHandle<Duration> {
    let address = proxy.address();
    std::thread::spawn(move || fetch(&address, count))
}

fn start_limited_proxy() -> Proxy {
    let proxy = Proxy::with_target(&start_server()).expect("a proxy");
    proxy.set_fault(Fault::SharedResponseRate(LINK_BYTES_PER_SECOND));
    proxy
}

#[test]
fn a_shared_response_rate_limits_throughput() {
    let proxy = start_limited_proxy();

    let elapsed = fetch(&proxy.address(), 500_000);

    assert!(elapsed >= Duration::from_millis(495), "{elapsed:?}");
    assert!(elapsed <= Duration::from_millis(1_500), "{elapsed:?}");
}

/// What was seen: four fetches took 558 to 586 ms each, where 600 ms of bytes had to come. Cause: each was timed
/// from its own beginning, by a thread that began some 20 ms after the first one, whose bytes came meanwhile.
/// Evidence: with 20 ms between the four, 7 of 7 runs failed so, at 554 ms and less; the link sends no byte ahead
/// of its time. So all are timed from the first request on.
#[test]
fn connections_share_a_response_rate() {
    let proxy = start_limited_proxy();

    let elapsed = fetch_concurrently(&proxy.address(), 4, 150_000);

    // Each alone would take 150 ms; all together have 600,000 bytes to come.
    let max_elapsed = elapsed.iter().max().expect("four fetches");
    assert!(*max_elapsed >= Duration::from_millis(595), "{elapsed:?}");
    assert!(elapsed.iter().all(|t| *t >= Duration::from_millis(400)), "{elapsed:?}");
}

#[test]
fn a_small_response_is_not_blocked_by_a_large_one() {
    let proxy = start_limited_proxy();
    let large = spawn_fetch(&proxy, 1_000_000);
    // The large one is under way.
    tidetrack_testkit::wait_for("bytes of the large answer", || {
        (proxy.transferred_bytes() > 100_000).then_some(())
    });

    let small = fetch(&proxy.address(), 100);

    let large = large.join().expect("a fetch");
    assert!(small <= Duration::from_millis(300), "{small:?} beside {large:?}");
    assert!(large >= Duration::from_millis(990), "{large:?}");
}

#[test]
fn requests_are_not_limited_by_the_response_rate() {
    let proxy = Proxy::with_target(&start_server()).expect("a proxy");
    proxy.set_fault(Fault::SharedResponseRate(2_000));
    // The request is longer than the answer.
    let mut request = vec![b'0'; 20_000];
    request.extend_from_slice(b"10\n");
    let mut stream = TcpStream::connect(proxy.address()).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an option");

    let started_at = Instant::now();
    stream.write_all(&request).expect("the proxy reads");
    stream.read_exact(&mut [0; 10]).expect("the whole answer");

    // The request would take ten seconds at the rate of answers.
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
}

#[test]
fn a_response_continues_at_full_speed_after_the_rate_limit_ends() {
    let proxy = start_limited_proxy();
    let large = spawn_fetch(&proxy, 5_000_000);
    tidetrack_testkit::wait_for("bytes of the answer", || {
        (proxy.transferred_bytes() > 100_000).then_some(())
    });

    proxy.set_fault(Fault::None);

    let elapsed = large.join().expect("a fetch");
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

#[test]
fn a_connection_is_cut_after_exactly_the_given_number_of_bytes() {
    // A router's test of streams that are cut failed once in 24 runs beside load, and each time when the
    // proxy's reader was 10 ms late: all that had come by then was dropped for being too much at once, so
    // that the stream had no beginning.
    let proxy = Proxy::with_target(&start_server()).expect("a proxy");
    proxy.set_fault(Fault::CutAfterResponseBytes(1_500));
    let mut stream = TcpStream::connect(proxy.address()).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an option");

    stream.write_all(b"12000\n").expect("the proxy reads");
    let mut response = Vec::new();
    let read_result = stream.read_to_end(&mut response);

    // Its server's further bytes may make the end a reset.
    assert!(response.len() == 1_500, "{} bytes came, then {read_result:?}", response.len());
}
