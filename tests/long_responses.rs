//! Long responses that an upstream writes slowly.

mod support;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::*;

/// Longer than what is read completely before it is passed on.
const RESPONSE_BYTES: usize = 100_000;
const PART_BYTES: usize = 1000;

/// An upstream that begins its responses after `delay`, and writes them in chunks, or else with a
/// declared length, over `duration`.
fn slow_upstream(is_chunked: bool, delay: Duration, duration: Duration) -> SocketAddr {
    let respond = move |mut stream: TcpStream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(_)) = Message::read(&mut input) {
            sleep(delay);
            let framing = if is_chunked {
                "Transfer-Encoding: chunked".to_string()
            } else {
                format!("Content-Length: {RESPONSE_BYTES}")
            };
            let mut part = "x".repeat(PART_BYTES);
            if is_chunked {
                part = format!("{PART_BYTES:x}\r\n{part}\r\n");
            }
            // The peer may have closed the connection.
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
            let parts = RESPONSE_BYTES / PART_BYTES;
            for _ in 0..parts {
                let _ = stream.write_all(part.as_bytes());
                sleep(duration / parts as u32);
            }
            let _ = stream.write_all(if is_chunked { b"0\r\n\r\n" } else { b"" });
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            spawn(move || respond(stream));
        }
    });
    address
}

/// Starts a program whose classes have this deadline, in seconds.
fn start(upstream: SocketAddr, deadline: f64) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&[upstream], discovery.address, 256).replace(
        "\"aim\":5.0,\"hardLimit\":10.0",
        &format!("\"aim\":{deadline},\"hardLimit\":{deadline}"),
    );
    (Program::start(&config, "127.0.0.1:0"), discovery)
}

/// The process must not cut off, by ending, what an upstream is still writing after SIGTERM: long
/// after the longest deadline, the client has the complete response.
#[test]
fn slow_response_is_completed_after_a_shutdown_began() {
    for is_chunked in [false, true] {
        let duration = Duration::from_millis(4500);
        let upstream = slow_upstream(is_chunked, Duration::ZERO, duration);
        let (mut program, _discovery) = start(upstream, 1.0);
        let mut client = program.client();
        client
            .send("/pay", "Request-Id: {id}\r\n", "coins")
            .unwrap();
        assert_eq!(client.read_byte(), *b"H");
        program.terminate();
        let response = client.receive().unwrap().unwrap();
        assert_eq!(response.body.len(), RESPONSE_BYTES, "chunked: {is_chunked}");
        assert!(program.wait().success());
    }
}

/// A response without a declared length that begins in the last half second before the deadline of
/// its request is passed on, as one with a length is.
#[test]
fn response_that_begins_shortly_before_the_deadline_is_passed_on() {
    for is_chunked in [false, true] {
        let (delay, duration) = (Duration::from_millis(1300), Duration::from_secs(2));
        let upstream = slow_upstream(is_chunked, delay, duration);
        let (program, _discovery) = start(upstream, 1.6);
        let mut client = program.client();
        let response = client.request("/pay", "Request-Id: {id}\r\n", "coins");
        assert_eq!(response.status(), 200, "chunked: {is_chunked}");
        assert_eq!(response.body.len(), RESPONSE_BYTES, "chunked: {is_chunked}");
    }
}
