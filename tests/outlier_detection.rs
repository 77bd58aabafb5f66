//! Ejection of failing upstreams, and how requests are handled while upstreams are ejected.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// The concurrency limit is a whole number of requests. If the multiplier from which it is computed
/// were restored only to just below its former value, the limit would stay one request lower
/// permanently.
#[test]
fn successful_responses_restore_the_concurrency_limit_after_a_malformed_one() {
    let upstream = StubUpstream::raw("what?\r\n\r\n");
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        502
    );
    upstream.set_response(StubResponse::Ok);
    for _ in 0..3 {
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
    }
    upstream.set_response(StubResponse::NoResponse);
    assert_eq!(upstream.seen.try_iter().count(), 4);
    let (mut one, mut two) = (program.client(), program.client());
    one.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    two.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
}

/// If the ejection time grew with the cost of the lost request, a costly request would keep its
/// upstream ejected for too long.
#[test]
fn ejection_time_does_not_depend_on_the_cost_of_the_lost_request() {
    let (lossy, other) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let discovery = StubDiscovery::start();
    let entries = [&lossy, &other].map(|upstream| {
        endpoint(
            &upstream.address.to_string(),
            upstream.address,
            "in_service",
        )
    });
    let config = config(&list(5, true, &entries), discovery.address, 1024)
        .replace("\"aim\":5.0", "\"aim\":0.3");
    let program = Program::start(&config, "127.0.0.1:0");
    let send_cheap = || {
        assert_eq!(
            program
                .client()
                .request("/pay", &format!("{REQUEST_ID}Work-Hint: 1000\r\n"), "")
                .status(),
            200
        );
    };
    for _ in 0..10 {
        send_cheap();
    }
    for upstream in [&lossy, &other] {
        upstream.set_response(StubResponse::NoResponse);
    }
    let costly = format!("{REQUEST_ID}Work-Hint: 900000000\r\nRequest-Timeout: 0.6\r\n");
    assert_eq!(program.client().request("/pay", &costly, "").status(), 502);
    for upstream in [&lossy, &other] {
        upstream.set_response(StubResponse::Ok);
        upstream.seen.try_iter().count();
    }
    let begin = Instant::now();
    let mut seen = [0, 0];
    while seen.contains(&0) {
        assert!(
            begin.elapsed() < TEST_TIMEOUT,
            "requests per upstream after {TEST_TIMEOUT:?}: {seen:?}, expected at least one each"
        );
        send_cheap();
        seen[0] += lossy.seen.try_iter().count();
        seen[1] += other.seen.try_iter().count();
        sleep(Duration::from_millis(5));
    }
}

/// A fault in a dependency of all upstreams makes all of them silent. In that case requests must be
/// queued as usual, not rejected immediately.
#[test]
fn request_is_queued_while_all_upstreams_are_ejected() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let (mut one, mut two) = (program.client(), program.client());
    one.send("/pay", REQUEST_ID, "coins").unwrap();
    two.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    upstream.next();
    // The upstream is ejected when it has been silent for six times its latency estimate, which
    // starts at a sixth of the latency objective of 5 s.
    sleep(Duration::from_millis(5200));
    upstream.set_response(StubResponse::Ok);
    let mut third = program.client();
    third.send("/pay", REQUEST_ID, "coins").unwrap();
    // After this pause the request has been accepted, and would have been rejected if it were not
    // queued.
    sleep(Duration::from_millis(300));
    drop(one);
    assert_eq!(third.receive().unwrap().unwrap().status(), 200);
}

/// An upstream that fails fast would attract requests if it were not ejected. Errors that all
/// upstreams return eject none of them.
#[test]
fn upstream_is_ejected_for_errors_that_others_do_not_return() {
    let (failing, working) = (
        StubUpstream::start(StubResponse::Status(500)),
        [(); 2].map(|()| StubUpstream::start(StubResponse::Ok)),
    );
    let (program, _discovery) =
        Program::with_upstreams(&[failing.address, working[0].address, working[1].address]);
    let mut client = program.client();
    let mut send = |times: usize| {
        (0..times)
            .filter(|_| client.request("/pay", REQUEST_ID, "").status() == 200)
            .count()
    };
    send(90);
    let failing_count = failing.seen.try_iter().count();
    assert!(
        0 < failing_count && failing_count < 18,
        "the failing upstream received {failing_count} of 90 requests, expected 1 to 17; an even \
         share is 30"
    );
    failing.set_response(StubResponse::Ok);
    // The upstream gets only a few requests until it has responded without errors for a while. Then
    // its share is even again.
    let mut rounds = 0;
    while failing.seen.try_iter().count() < 25 {
        rounds += 1;
        assert!(
            rounds < 200,
            "fewer than 25 of 90 requests at the upstream in each of {rounds} rounds"
        );
        send(90);
    }
    let all_upstreams = || working.iter().chain([&failing]);
    let mut request_counts_with = |response: StubResponse| -> Vec<_> {
        for upstream in all_upstreams() {
            upstream.set_response(response);
            upstream.seen.try_iter().count();
        }
        send(90);
        all_upstreams()
            .map(|upstream| upstream.seen.try_iter().count())
            .collect()
    };
    // Requests are balanced by response time, which varies with the machine, so one round in which
    // each upstream receives more than 20 of the 90 requests is enough.
    for round in 0.. {
        let request_counts = request_counts_with(StubResponse::Status(500));
        if request_counts.iter().all(|count| *count > 20) {
            break;
        }
        assert!(
            round < 50,
            "requests per upstream in round {round}: {request_counts:?}, expected over 20 each"
        );
        request_counts_with(StubResponse::Ok);
    }
}
