//! What is owed between SIGTERM and SIGKILL, and to upstreams that go while something is on its way to them.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";

fn drains(program: &Program) {
    until("it drains", || program.call("GET /healthcheck").0 == 503);
}

/// Guards against requests that are lost because SIGTERM is read before them: on a kept connection, on one that is
/// new and still in the accept queue, and half of one whose other half comes later.
#[test]
fn what_was_written_before_sigterm_was_read_has_its_answer() {
    let upstream = Upstream::start(Reply::Ok);
    let (mut program, _discovery) = Program::with_console(&[upstream.address]);
    let (mut kept, mut half) = (program.client(), program.client());
    for client in [&mut kept, &mut half] {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    }
    program.hold();
    kept.send("/pay", ID, "coins").unwrap();
    half.write("POST /pay HTTP/1.1\r\nHost: b\r\nRequest-");
    let mut fresh: Vec<_> = (0..6).map(|_| program.client()).collect();
    fresh
        .iter_mut()
        .for_each(|client| client.send("/pay", ID, "coins").unwrap());
    program.terminate();
    program.go_on();
    for client in fresh.iter_mut().chain([&mut kept]) {
        let answer = client.receive().unwrap().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        assert!(client.is_closed());
    }
    half.write("Id: e001\r\nContent-Length: 5\r\n\r\ncoins");
    let answer = half.receive().unwrap().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

/// Guards against an end that a second signal brings before its time.
#[test]
fn signals_during_the_end_change_nothing_of_what_is_owed() {
    let upstream = Upstream::start(Reply::Hold);
    let (mut program, discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    upstream.next();
    // SIGHUP and SIGTERM wait together.
    program.hold();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    program.reload(&config(&known, discovery.address, 256));
    program.terminate();
    program.go_on();
    drains(&program);
    program.terminate();
    program.reload("no configuration");
    assert_eq!(program.call("GET /healthcheck").0, 503);
    upstream.release();
    let answer = client.receive().unwrap().expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(program.wait().success());
}

/// Guards against calls that are held for a slot when the process is to end, and are given up for that.
#[test]
fn a_held_call_is_settled_after_sigterm() {
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
    drains(&program);
    upstream.release();
    for client in &mut clients {
        let answer = client.receive().unwrap().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(program.wait().success());
}

/// Guards against waiting for an upstream where it was: one that is back under its name and elsewhere is another.
#[test]
fn what_is_still_connecting_does_not_wait_for_an_upstream_that_has_moved() {
    let (old, new) = (unreachable(), Upstream::start(Reply::Ok));
    let discovery = DiscoveryPeer::start();
    let config = patient(&config_of(&[old], discovery.address, 1024));
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    // That it is taken is seen by an answer to who came after it.
    assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
    let changes = [
        endpoint("u0", new.address, "in_service"),
        endpoint("u9", new.address, "in_service"),
    ];
    discovery.next().line(&list(6, false, &changes));
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert_eq!(new.seen.try_iter().count(), 1);
}

/// Guards against an answer that is cut off because its client is slow to take it when the process is to end.
#[test]
fn an_answer_that_is_half_taken_at_sigterm_is_whole_in_the_end() {
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
    drains(&program);
    assert_eq!(
        client.receive().unwrap().expect("an answer").body.len(),
        size
    );
    assert!(program.wait().success());
}

/// Guards against closing a kept connection to make room in the very turn in which its next request has come.
#[test]
fn a_request_that_crosses_the_shedding_of_its_connection_has_its_answer() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_sockets(&[upstream.address], 64);
    let mut kept: Vec<_> = (0..20).map(|_| program.client()).collect();
    kept.iter_mut()
        .for_each(|client| assert_eq!(client.ask("/read", ID, "").status(), 200));
    // Now they may be closed to make room.
    sleep(Duration::from_millis(2100));
    program.hold();
    let fresh: Vec<_> = (0..40).map(|_| program.client()).collect();
    kept.iter_mut()
        .for_each(|client| client.send("/healthz", "", "").unwrap());
    program.go_on();
    for client in &mut kept {
        assert_eq!(client.receive().unwrap().expect("an answer").status(), 200);
    }
    drop(fresh);
}
