//! Failed attempts: which of them are retried, and which response the client gets.

mod support;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const REQUEST_ID_AND_KEY: &str = "Request-Id: {id}\r\nIdempotency-Key: k1\r\n";

/// A refused connection proves that the request never ran.
#[test]
fn a_non_idempotent_request_is_retried_when_its_connection_is_refused() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) =
        Program::with_upstreams(&[refusing_address(), upstream.address, refusing_address()]);
    let mut client = program.client();
    for _ in 0..4 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(upstream.seen.try_iter().count(), 4);
}

#[test]
fn request_rejected_by_its_upstream_is_retried() {
    let (full, free) = (
        StubUpstream::start(StubResponse::Rejected),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, _discovery) = Program::with_upstreams(&[full.address, free.address]);
    for _ in 0..4 {
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
    }
    assert_eq!(free.seen.try_iter().count(), 4);
    assert!(full.seen.try_iter().count() > 0);
}

/// A retry could run the request twice, and a truncated response must not be forwarded.
#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for reply in [
        StubResponse::Close,
        StubResponse::Truncate,
        StubResponse::Status(500),
        StubResponse::Status(503),
        StubResponse::Status(404),
    ] {
        let (one, two) = (StubUpstream::start(reply), StubUpstream::start(reply));
        let (program, _discovery) = Program::with_upstreams(&[one.address, two.address]);
        let response = program.client().request("/pay", REQUEST_ID, "coins");
        assert_eq!(response.status(), 502, "{reply:?}");
        assert_eq!(
            one.seen.try_iter().count() + two.seen.try_iter().count(),
            1,
            "{reply:?}"
        );
    }
}

/// The attempt is cancelled before the client's deadline, so that the client gets a response.
#[test]
fn a_request_to_a_silent_upstream_fails_in_time_and_its_connection_is_closed() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let begin = Instant::now();
    let response = program.client().request(
        "/pay",
        &format!("{REQUEST_ID}Request-Timeout: 1.5\r\n"),
        "coins",
    );
    assert_eq!(
        response.status(),
        502,
        "the request may have run, so its status should be 502"
    );
    assert!(
        begin.elapsed() > Duration::from_secs(1),
        "the request failed after less than 1 s of its 1.5 s"
    );
    assert_eq!(upstream.seen.try_iter().count(), 1);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection to the upstream is still open");
}

#[test]
fn a_request_without_a_reachable_upstream_is_rejected() {
    let (program, _discovery) = Program::with_upstreams(&[refusing_address()]);
    let response =
        program
            .client()
            .request("/pay", &format!("{REQUEST_ID}Request-Timeout: 8.0\r\n"), "");
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(
        retry_after > 0.0 && retry_after <= 2.0,
        "Retry-After: {retry_after}, expected more than 0 and at most 2"
    );
}

#[test]
fn a_request_is_retried_when_its_connection_is_never_established() {
    let free = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[unreachable_address(), free.address]);
    let mut client = program.client();
    for _ in 0..2 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(free.seen.try_iter().count(), 2);
}

/// One malformed response in 13 or more requests does not use up the retry budget, as its retry
/// costs 0.2 and the 12 responses before it add 0.24.
#[test]
fn idempotent_requests_succeed_despite_rare_malformed_responses() {
    let upstreams = [
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    ];
    let (program, _discovery) =
        Program::with_upstreams(&upstreams.each_ref().map(|upstream| upstream.address));
    for round in 0..4 {
        for _ in 0..12 {
            assert_eq!(
                program
                    .client()
                    .request("/hold", REQUEST_ID_AND_KEY, "")
                    .status(),
                200
            );
        }
        let failing = &upstreams[round % 3];
        failing.seen.try_iter().count();
        failing.set_response(StubResponse::Raw("what?\r\n\r\n"));
        while failing.seen.try_iter().count() == 0 {
            assert_eq!(
                program
                    .client()
                    .request("/hold", REQUEST_ID_AND_KEY, "")
                    .status(),
                200
            );
        }
        failing.set_response(StubResponse::Ok);
    }
}

/// `Not-Started` on a 503 or a 504 says that the request did not run, so even a non-idempotent
/// request is retried.
#[test]
fn request_marked_not_started_is_retried_for_503_and_504() {
    for status in [503, 504] {
        let response =
            format!("HTTP/1.1 {status} Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        let (busy, free) = (
            StubUpstream::raw(&response),
            StubUpstream::start(StubResponse::Ok),
        );
        let (program, _discovery) = Program::with_upstreams(&[busy.address, free.address]);
        for _ in 0..6 {
            assert_eq!(
                program
                    .client()
                    .request("/pay", REQUEST_ID, "coins")
                    .status(),
                200,
                "upstream status {status}"
            );
        }
        assert!(
            busy.seen.try_iter().count() > 0,
            "no response with status {status} was sent, expected at least one"
        );
    }
}
