//! Requests whose ids come again, which must not run twice.

mod support;
use std::thread::sleep;
use std::time::Duration;
use support::*;

/// The longest deadline of the classes, in seconds.
const DEADLINE_SECONDS: f64 = 0.3;
/// Longer than the longest deadline several times over.
const LATER: Duration = Duration::from_millis(1500);
const REQUESTS: usize = 4;

fn headers(id: &str) -> String {
    format!("Request-Id: {id}\r\n")
}

/// Returns how many requests have reached this upstream.
fn count_runs(upstream: &StubUpstream) -> usize {
    upstream.seen.try_iter().count()
}

/// A client that disconnects after its request was sent may come back with the same id after the
/// deadline. The request may have run, so it must not be sent again.
#[test]
fn request_is_not_run_again_when_its_client_returns_after_disconnecting() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&[upstream.address], discovery.address, 256).replace(
        "\"aim\":5.0,\"hardLimit\":10.0",
        &format!("\"aim\":0.2,\"hardLimit\":{DEADLINE_SECONDS}"),
    );
    let program = Program::start(&config, "127.0.0.1:0");
    for number in 0..REQUESTS {
        let mut client = program.client();
        client
            .send("/pay", &headers(&format!("id{number}")), "coins")
            .unwrap();
        upstream.next();
    }
    upstream.release();
    for pause in [Duration::ZERO, LATER, LATER] {
        sleep(pause);
        for number in 0..REQUESTS {
            let headers = headers(&format!("id{number}"));
            let response = program.client().request("/pay", &headers, "coins");
            assert_eq!(response.status(), 409, "id{number}");
        }
    }
    assert_eq!(count_runs(&upstream), 0);
}

/// A request that was never sent has not run, so its client may send it again.
#[test]
fn request_that_was_never_sent_is_served_when_it_comes_again() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let without_time = format!("{}Request-Timeout: 0\r\n", headers("id"));
    let response = program.client().request("/pay", &without_time, "coins");
    assert_eq!(response.status(), 503);
    let response = program.client().request("/pay", &headers("id"), "coins");
    assert_eq!(response.status(), 200);
    assert_eq!(count_runs(&upstream), 1);
}
