//! Graceful shutdown between SIGTERM and SIGKILL, and requests that race with a move of their
//! upstream or with the eviction of their connection.

mod support;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

fn wait_until_draining(program: &Program) {
    wait_until("the process is draining", || {
        program.admin_request("GET /healthcheck").0 == 503
    });
}

/// SIGTERM may be handled before requests that were sent earlier: a request on an idle connection,
/// requests on connections that are still in the accept queue, and a request that has been sent
/// only in part.
#[test]
fn requests_sent_before_sigterm_was_handled_get_responses() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (mut program, _discovery) = Program::with_admin(&[upstream.address]);
    let (mut idle, mut partial) = (program.client(), program.client());
    for client in [&mut idle, &mut partial] {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    program.suspend();
    idle.send("/pay", REQUEST_ID, "coins").unwrap();
    partial.write("POST /pay HTTP/1.1\r\nHost: b\r\nRequest-");
    let mut new_connections: Vec<_> = (0..6).map(|_| program.client()).collect();
    for client in &mut new_connections {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
    }
    program.terminate();
    program.resume();
    for client in new_connections.iter_mut().chain([&mut idle]) {
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert!(client.is_closed_by_peer());
    }
    partial.write("Id: e001\r\nContent-Length: 5\r\n\r\ncoins");
    let response = partial.receive().unwrap().expect("no response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

#[test]
fn further_signals_do_not_cut_the_shutdown_short() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (mut program, discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    // SIGHUP and SIGTERM are both pending when the process resumes.
    program.suspend();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    program.reload(&config(&known, discovery.address, 256));
    program.terminate();
    program.resume();
    wait_until_draining(&program);
    program.terminate();
    program.reload("no configuration");
    assert_eq!(program.admin_request("GET /healthcheck").0, 503);
    upstream.release();
    let response = client.receive().unwrap().expect("no response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

#[test]
fn queued_requests_get_responses_after_sigterm() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (mut program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut clients: Vec<_> = (0..6).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
    }
    let begun = Instant::now();
    while program.metric("in_flight") < 6 {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "not all 6 requests are in flight after {TEST_TIMEOUT:?}"
        );
    }
    program.terminate();
    wait_until_draining(&program);
    upstream.release();
    for client in &mut clients {
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(program.wait().success());
}

/// An upstream that is listed again under its name with another address is a new upstream, so
/// attempts that are still connecting to the old address are cancelled.
#[test]
fn move_of_an_upstream_cancels_its_connecting_attempts() {
    let (old, new) = (unreachable_address(), StubUpstream::start(StubResponse::Ok));
    let discovery = StubDiscovery::start();
    let config = with_long_timeouts(&config_with_upstreams(&[old], discovery.address, 1024));
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    // The request has been accepted once a later one has its response.
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
    let changes = [
        endpoint("u0", new.address, "in_service"),
        endpoint("u9", new.address, "in_service"),
    ];
    discovery.next().send_line(&list(6, false, &changes));
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert_eq!(new.seen.try_iter().count(), 1);
}

/// The shutdown must not cut off a response that its client reads slowly.
#[test]
fn partly_read_response_is_completed_after_sigterm() {
    let size = 24 << 20;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{}",
        "x".repeat(size)
    );
    let upstream = StubUpstream::raw(&text);
    let (mut program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    program.terminate();
    wait_until_draining(&program);
    assert_eq!(
        client.receive().unwrap().expect("no response").body.len(),
        size
    );
    assert!(program.wait().success());
}

/// The balancer may choose an idle connection for eviction and receive the next request on it in
/// the same event loop turn.
#[test]
fn request_racing_with_eviction_of_its_connection_gets_a_response() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], 64);
    let mut idle: Vec<_> = (0..20).map(|_| program.client()).collect();
    for client in &mut idle {
        assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
    }
    // Connections that have been idle for 2 s are evicted first.
    sleep(Duration::from_millis(2100));
    program.suspend();
    let new_connections: Vec<_> = (0..40).map(|_| program.client()).collect();
    for client in &mut idle {
        client.send("/healthz", "", "").unwrap();
    }
    program.resume();
    for client in &mut idle {
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            200
        );
    }
    drop(new_connections);
}

#[test]
fn process_answers_accepted_requests_after_sigterm_and_exits_successfully() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (mut program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let (mut busy, mut idle, mut unused) = (program.client(), program.client(), program.client());
    assert_eq!(idle.request("/healthz", "", "").status(), 200);
    busy.send(
        "/pay",
        &format!("{REQUEST_ID}Request-Timeout: 2.0\r\n"),
        "coins",
    )
    .unwrap();
    upstream.next();
    program.terminate();
    assert!(
        idle.receive().unwrap().is_none(),
        "the idle connection received a message instead of its close"
    );
    // The first request on a connection that was opened but not used before SIGTERM gets a
    // response.
    assert_eq!(unused.request("/healthz", "", "").status(), 503);
    assert!(unused.receive().unwrap().is_none());
    // New connections are still accepted; each carries one request.
    let last = program.client().request("/healthz", "", "");
    assert_eq!(
        (last.status(), last.header("connection")),
        (503, Some("close"))
    );
    let response = busy
        .receive()
        .unwrap()
        .expect("no response to an accepted request");
    assert_eq!(
        (response.status(), response.header("connection")),
        (502, Some("close"))
    );
    assert!(busy.receive().unwrap().is_none());
    assert!(program.wait().success());
}

/// SIGKILL may be sent 3.7 s after SIGTERM. Requests that arrive in between must get a response
/// before SIGKILL, whatever their deadline.
#[test]
fn requests_that_arrive_after_sigterm_get_responses_before_sigkill() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    loop {
        let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
        assert_eq!(program.client().request("/healthz", "", "").status(), 200);
        let begun = Instant::now();
        program.terminate();
        let mut is_draining = false;
        while let (false, Ok(mut health_check)) = (is_draining, Client::connect(program.address)) {
            let health = health_check
                .send("/healthz", "", "")
                .and_then(|()| health_check.receive());
            is_draining = health
                .ok()
                .flatten()
                .is_some_and(|health| health.status() == 503);
        }
        let Ok(mut client) = Client::connect(program.address) else {
            continue;
        };
        let sent = client.send(
            "/pay",
            &format!("{REQUEST_ID}Request-Timeout: 10.0\r\n"),
            "coins",
        );
        // A client opens no connection later than 0.4 s after SIGTERM, so a run that took longer to
        // send its request is repeated.
        if sent.is_ok() && begun.elapsed() < Duration::from_millis(400) {
            let timeout: f64 = upstream
                .next()
                .header("request-timeout")
                .unwrap()
                .parse()
                .unwrap();
            assert!(
                timeout < 3.7,
                "Request-Timeout: {timeout}, expected less than 3.7"
            );
            assert_eq!(
                client
                    .receive()
                    .unwrap()
                    .expect("no response before SIGKILL")
                    .status(),
                502
            );
            break;
        }
    }
}

/// An attempt must notice that the shutdown moves its deadline forward. Otherwise the request is
/// concluded without the decision module, and a request that may be repeated counts as failed.
#[test]
fn attempts_end_before_the_deadline_of_a_shutdown() {
    let upstreams = [StubResponse::NoResponse; 3].map(StubUpstream::start);
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let (program, _discovery) = Program::with_upstreams(&addresses);
    let mut client = program.client();
    client
        .send(
            "/read",
            &format!("{REQUEST_ID}Request-Timeout: 9.0\r\n"),
            "",
        )
        .unwrap();
    wait_until("an upstream has the request", || {
        upstreams
            .iter()
            .any(|upstream| upstream.connection_count.load(Ordering::SeqCst) > 0)
    });
    program.terminate();
    let response = client.receive().unwrap().expect("no response");
    assert_eq!(response.status(), 503);
    let requests: usize = upstreams
        .iter()
        .map(|upstream| upstream.seen.try_iter().count())
        .sum();
    assert_eq!(requests, 1, "requests sent, with no time left for a retry");
}
