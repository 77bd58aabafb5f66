//! Connections to upstreams: when they are reused, and when they are not.

mod support;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const REQUEST_ID_AND_KEY: &str = "Request-Id: {id}\r\nIdempotency-Key: k1\r\n";

#[test]
fn a_request_is_forwarded_unchanged_and_its_connection_is_reused() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    let headers = format!(
        "{REQUEST_ID_AND_KEY}Tenant: acme\r\nRequest-Timeout: 5.5\r\n\
         Work-Hint: 1200\r\nNews: 1\r\n"
    );
    for _ in 0..3 {
        let response = client.request("/hold/7?a=b", &headers, "the body");
        let forwarded = upstream.next();
        assert_eq!(response.status(), 200);
        assert_eq!(
            response.body,
            format!("POST /hold/7?a=b HTTP/1.1 by {}", upstream.address).as_bytes()
        );
        assert_eq!(forwarded.header("request-id"), response.header("saw"));
        assert_eq!(forwarded.header("idempotency-key"), Some("k1"));
        assert_eq!(forwarded.body, b"the body");
        let timeout: f64 = forwarded
            .header("request-timeout")
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            timeout > 0.0 && timeout < 5.5,
            "Request-Timeout: {timeout}, expected more than 0 and less than 5.5"
        );
    }
    assert_eq!(upstream.connection_count.load(Ordering::SeqCst), 1);
}

/// A request would be lost on an idle connection that the upstream has closed.
#[test]
fn a_connection_that_the_upstream_closed_is_not_reused() {
    let upstream = StubUpstream::start(StubResponse::OkThenClose);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    for _ in 0..5 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
        upstream.wait_for_close();
    }
    assert_eq!(upstream.seen.try_iter().count(), 5);
}

/// Bytes after a response belong to no request: a client that received them would take them for its
/// response.
#[test]
fn bytes_after_a_response_are_not_read_as_the_next_response() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let upstream = StubUpstream::raw(&format!(
        "HTTP/1.1 103 Early Hints\r\n\r\n{response}{response}"
    ));
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    for _ in 0..5 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").body, b"first");
        upstream
            .closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection to the upstream is still open");
    }
    assert_eq!(upstream.seen.try_iter().count(), 5);
}

/// The idle timeout of the settings holds even if the process is suspended when it expires and the
/// upstream has not closed the connection yet.
#[test]
fn a_connection_that_was_idle_for_too_long_is_not_reused() {
    let (upstream, discovery) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    let config = config_with_upstreams(&[upstream.address], discovery.address, 256)
        .replace("\"connIdle\":30.0", "\"connIdle\":1.0");
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    program.suspend();
    sleep(Duration::from_millis(1050));
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    program.resume();
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        200
    );
    assert_eq!(upstream.connection_count.load(Ordering::SeqCst), 2);
}
