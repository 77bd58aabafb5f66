//! Graceful shutdown between SIGTERM and SIGKILL, and requests that cross a move of their
//! upstream or the eviction of their connection.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";

fn await_drain(program: &Program) {
    until("it drains", || program.call("GET /healthcheck").0 == 503);
}

/// SIGTERM may be handled before requests that were sent earlier: on an idle connection, on one
/// that is still in the accept queue, and a request of which only a part has been sent.
#[test]
fn requests_sent_before_sigterm_was_handled_get_responses() {
    let upstream = Upstream::start(Reply::Ok);
    let (mut program, _discovery) = Program::with_console(&[upstream.address]);
    let (mut idle, mut half) = (program.client(), program.client());
    for client in [&mut idle, &mut half] {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    }
    program.hold();
    idle.send("/pay", ID, "coins").unwrap();
    half.write("POST /pay HTTP/1.1\r\nHost: b\r\nRequest-");
    let mut new_connections: Vec<_> = (0..6).map(|_| program.client()).collect();
    new_connections
        .iter_mut()
        .for_each(|client| client.send("/pay", ID, "coins").unwrap());
    program.terminate();
    program.go_on();
    for client in new_connections.iter_mut().chain([&mut idle]) {
        let response = client.receive().unwrap().expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert!(client.is_closed());
    }
    half.write("Id: e001\r\nContent-Length: 5\r\n\r\ncoins");
    let response = half.receive().unwrap().expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

/// A second signal must not cut the shutdown short.
#[test]
fn signals_during_the_shutdown_change_no_response() {
    let upstream = Upstream::start(Reply::Hold);
    let (mut program, discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    upstream.next();
    // SIGHUP and SIGTERM are both pending.
    program.hold();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    program.reload(&config(&known, discovery.address, 256));
    program.terminate();
    program.go_on();
    await_drain(&program);
    program.terminate();
    program.reload("no configuration");
    assert_eq!(program.call("GET /healthcheck").0, 503);
    upstream.release();
    let response = client.receive().unwrap().expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

/// Queued requests are not given up when the shutdown begins.
#[test]
fn queued_requests_get_responses_after_sigterm() {
    let upstream = Upstream::start(Reply::Hold);
    let (mut program, _discovery) = Program::with_console(&[upstream.address]);
    let mut clients: Vec<_> = (0..6).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/pay", ID, "coins").unwrap();
    }
    let begun = Instant::now();
    while program.figure("in_flight") < 6 {
        assert!(begun.elapsed() < PATIENCE, "all are taken");
    }
    program.terminate();
    await_drain(&program);
    upstream.release();
    for client in &mut clients {
        let response = client.receive().unwrap().expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(program.wait().success());
}

/// An upstream that is listed again under its name at another address is a new one, and the old
/// address is given up.
#[test]
fn a_connecting_attempt_does_not_wait_for_an_upstream_that_has_moved() {
    let (old, new) = (unreachable(), Upstream::start(Reply::Ok));
    let discovery = DiscoveryPeer::start();
    let config = patient(&config_of(&[old], discovery.address, 1024));
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    // The request has been accepted once a later one has its response.
    assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
    let changes = [
        endpoint("u0", new.address, "in_service"),
        endpoint("u9", new.address, "in_service"),
    ];
    discovery.next().line(&list(6, false, &changes));
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert_eq!(new.seen.try_iter().count(), 1);
}

/// A response is not cut off because its client is slow to take it when the shutdown begins.
#[test]
fn a_response_that_is_half_read_at_sigterm_is_completed() {
    let size = 24 << 20;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{}",
        "x".repeat(size)
    );
    let upstream = Upstream::raw(&text);
    let (mut program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    upstream.next();
    program.terminate();
    await_drain(&program);
    assert_eq!(
        client.receive().unwrap().expect("a response").body.len(),
        size
    );
    assert!(program.wait().success());
}

/// An idle connection may be chosen for eviction in the same event loop turn in which its next
/// request arrives.
#[test]
fn a_request_that_crosses_the_eviction_of_its_connection_gets_a_response() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_sockets(&[upstream.address], 64);
    let mut idle: Vec<_> = (0..20).map(|_| program.client()).collect();
    idle.iter_mut()
        .for_each(|client| assert_eq!(client.ask("/read", ID, "").status(), 200));
    // Now they may be evicted.
    sleep(Duration::from_millis(2100));
    program.hold();
    let new_connections: Vec<_> = (0..40).map(|_| program.client()).collect();
    idle.iter_mut()
        .for_each(|client| client.send("/healthz", "", "").unwrap());
    program.go_on();
    for client in &mut idle {
        assert_eq!(client.receive().unwrap().expect("a response").status(), 200);
    }
    drop(new_connections);
}
