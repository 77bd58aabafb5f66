//! Retries: until when they may be written to an upstream, and the remaining time that attempts
//! declare in `Request-Timeout`.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\nIdempotency-Key: k\r\n";

/// A retry that is decided within the deduplication window must not be written after the window,
/// even if its connection is established late: the upstream would treat it as a new request. The
/// client gets a 503 only if a repeat counts as safe at every upstream, as it does with the scope
/// `all`, and otherwise a 502.
#[test]
fn a_retry_is_not_written_after_the_deduplication_window() {
    for (scope, status) in [("all", 503), ("zone", 502), ("cell", 502)] {
        let (first, blocked_port, discovery) = (
            StubUpstream::start(StubResponse::Hold),
            BlockedPort::new(),
            StubDiscovery::start(),
        );
        let known = list(5, true, &[endpoint("u0", first.address, "in_service")]);
        let deduplication = format!("\"dedupScope\":\"{scope}\",\"dedupWindow\":1.5");
        let config = config(&known, discovery.address, 256)
            .replace("\"dedupScope\":\"all\",\"dedupWindow\":8.0", &deduplication)
            .replace("Timeout\":1.0", "Timeout\":60.0");
        let program =
            Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/hold", REQUEST_ID, "coins").unwrap();
        first.next();
        let started = Instant::now();
        discovery.next().send_line(&list(
            6,
            false,
            &[endpoint("u1", blocked_port.address, "in_service")],
        ));
        while program.metric("upstreams_known") < 2 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "u1 is not known after {TEST_TIMEOUT:?}"
            );
        }
        first.set_response(StubResponse::Status(500));
        first.release();
        // The window of 1.5 s has ended when the connection is established.
        sleep(Duration::from_millis(1700).saturating_sub(started.elapsed()));
        let late_upstream = blocked_port.open(StubResponse::Ok);
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            status,
            "scope {scope}"
        );
        assert!(late_upstream.seen.try_recv().is_err(), "scope {scope}");
    }
}

/// Returns the remaining time in seconds that the next request to `upstream` declares.
fn next_remaining_time(upstream: &StubUpstream) -> f64 {
    upstream
        .next()
        .header("request-timeout")
        .unwrap()
        .parse()
        .unwrap()
}

/// The remaining time that an attempt declares excludes the time spent on an earlier attempt or in
/// the queue. Attempts that begin after the pause of 0.5 s therefore declare at most 4.5 of the
/// 5 s.
#[test]
fn attempt_declares_at_most_the_remaining_time_of_its_client() {
    let half_a_second = Duration::from_millis(500);
    let headers = "Request-Id: {id}\r\nRequest-Timeout: 5.0\r\n";
    let (one, two) = (
        StubUpstream::start(StubResponse::Hold),
        StubUpstream::start(StubResponse::Hold),
    );
    let (program, _discovery) = Program::with_admin(&[one.address, two.address]);
    let mut clients: Vec<_> = (0..12).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/pay", headers, "coins").unwrap();
    }
    while program.metric("in_flight") < 12 {}
    sleep(half_a_second);
    // The rejected requests are retried at the other upstream, and the queued ones follow them.
    let early = one.seen.try_iter().count() + two.seen.try_iter().count();
    assert!(
        (2..12).contains(&early),
        "{early} of 12 requests were sent, expected 2 to 11, so that some are queued"
    );
    one.set_response(StubResponse::Rejected);
    two.set_response(StubResponse::Ok);
    one.release();
    two.release();
    for client in &mut clients {
        assert!(client.receive().unwrap().is_some());
    }
    // These are all queued requests, and retries of requests that the first upstream rejected.
    let late: Vec<_> = one.seen.try_iter().chain(two.seen.try_iter()).collect();
    assert!(
        late.len() > 12 - early,
        "{} attempts after the release, expected more than 12 - {early}",
        late.len()
    );
    for request in late {
        assert!(
            request
                .header("request-timeout")
                .unwrap()
                .parse::<f64>()
                .unwrap()
                <= 4.5
        );
    }
}

/// The time of a pipelined request also runs while it waits for the first request on its
/// connection. After a pause of 0.5 s, the later requests declare at most 4.5 s of the 5 s.
#[test]
fn timeout_of_a_pipelined_request_starts_at_its_arrival() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    let request = |id: &str| {
        format!(
            "POST /pay HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Timeout: 5.0\r\n\
                Content-Length: 1\r\n\r\nx"
        )
    };
    client.write(&[request("c201"), request("c202"), request("c203")].concat());
    upstream.next();
    sleep(Duration::from_millis(500));
    upstream.release();
    assert!(next_remaining_time(&upstream) <= 4.5);
    assert!(next_remaining_time(&upstream) <= 4.5);
    for _ in 0..3 {
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            200
        );
    }
}
