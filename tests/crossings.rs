//! Attempts that cross their end: the program is held still until both sides of a crossing have happened.

mod support;
use socket2::SockRef;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver};
use std::thread::sleep;
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// A list that is a change of the one that the program knows.
fn change(index: u64, entries: &[(&str, SocketAddr, &str)]) -> String {
    let entries: Vec<_> = entries
        .iter()
        .map(|(name, at, status)| endpoint(name, *at, status))
        .collect();
    list(index, false, &entries)
}

/// Guards against two answers, or none, when the answer comes in the very turn in which the time is up; and against a
/// slot that is freed twice or never.
#[test]
fn a_response_that_crosses_the_timeout_ends_its_request_once() {
    for _ in 0..3 {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = Program::with_admin(&[upstream.address]);
        let mut client = program.client();
        client
            .send(
                "/pay",
                &format!("{REQUEST_ID}Request-Timeout: 1.0\r\n"),
                "coins",
            )
            .unwrap();
        upstream.next();
        program.suspend();
        upstream.release();
        // Its time passes while the answer lies there.
        sleep(Duration::from_millis(1100));
        program.resume();
        let status = client.receive().unwrap().expect("an answer").status();
        assert!(status == 200 || status == 502, "{status}");
        wait_until("nothing is left", || program.metric("in_flight") == 0);
        let total = program.metric("served.pay") + program.metric("failed.pay");
        assert_eq!((total, program.metric("attempts")), (1, 1));
        // The connection goes on with answers of its own, if it goes on.
        let answer = client.request("/pay/next", REQUEST_ID, "coins");
        assert!(
            String::from_utf8_lossy(&answer.body).starts_with("POST /pay/next"),
            "{answer:?}"
        );
    }
}

/// Guards against the answer of a cancelled attempt that is taken for the next one's.
#[test]
fn a_response_that_crosses_its_client_s_disconnect_reaches_no_other_client() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay/gone", REQUEST_ID, "coins").unwrap();
    upstream.next();
    program.suspend();
    upstream.release();
    drop(client);
    program.resume();
    wait_until("nothing is left", || program.metric("in_flight") == 0);
    for _ in 0..4 {
        let answer = program.client().request("/pay/next", REQUEST_ID, "coins");
        assert!(
            String::from_utf8_lossy(&answer.body).starts_with("POST /pay/next"),
            "{answer:?}"
        );
    }
}

/// Guards against breaking off, or sending again, a request of which a part has been written when a drain is told.
#[test]
fn a_request_that_is_half_written_when_its_upstream_drains_is_completed_there() {
    let (old, new) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) = Program::with_upstreams(&[old.address]);
    let mut client = program.client();
    client.write(
        "POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: c001\r\nContent-Length: 200000\r\n\r\n",
    );
    client.write(&"x".repeat(150_000));
    wait_until("its connection is up", || {
        old.connections.load(Ordering::SeqCst) == 1
    });
    // Whoever asks now is answered after it has begun.
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
    let mut watch = discovery.next();
    let draining = ("u0", old.address, "terminating");
    watch.line(&change(6, &[draining, ("u1", new.address, "in_service")]));
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    // Where that went shows that the drain is known.
    let mut known = new.seen.try_iter().count() == 1;
    while !known {
        old.next();
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
        known = new.seen.try_iter().count() == 1;
    }
    client.write(&"x".repeat(50_000));
    assert_eq!(client.receive().unwrap().expect("an answer").status(), 200);
    assert_eq!(old.next().body.len(), 200_000);
    assert!(new.seen.try_recv().is_err());
}

/// Guards against a retry at an upstream of which a drain was told while the first attempt was out.
#[test]
fn a_retry_avoids_an_upstream_that_has_begun_to_drain() {
    let (first, draining, free) = (
        StubUpstream::start(StubResponse::Hold),
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) = Program::with_admin(&[first.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    first.next();
    let mut watch = discovery.next();
    watch.line(&change(6, &[("u1", draining.address, "in_service")]));
    wait_until("both are known", || program.metric("upstreams_known") == 2);
    // It is used until it drains, and its idle connection shows when that is known.
    // Those who ask stay: nothing is sent on for a client that has left. One asks at a time, so that nothing is on its
    // way when the drain is told.
    let mut others = Vec::new();
    let mut used = false;
    while !used {
        let mut other = program.client();
        other.send("/pay", REQUEST_ID, "coins").unwrap();
        wait_until("it reaches one of them", || {
            used = draining.seen.try_recv().is_ok();
            used || first.seen.try_recv().is_ok()
        });
        others.push(other);
    }
    let answer = others
        .last_mut()
        .and_then(|other| other.receive().unwrap())
        .expect("an answer");
    assert_eq!(answer.status(), 200);
    watch.line(&change(
        7,
        &[
            ("u1", draining.address, "terminating"),
            ("u2", free.address, "in_service"),
        ],
    ));
    draining
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("its connection is closed");
    first.set_response(StubResponse::Rejected);
    first.release();
    assert_eq!(client.receive().unwrap().expect("an answer").status(), 200);
    assert!(draining.seen.try_recv().is_err());
}

/// Guards against a request on a connection to a process that has gone, though its name and address are as before.
#[test]
fn connections_to_an_upstream_that_has_restarted_are_closed() {
    let (upstream, discovery) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    // It is never cold: what this is about is its connections.
    let config = config_with_upstreams(&[upstream.address], discovery.address, 1024)
        .replace("\"startCapacity\":0.3", "\"startCapacity\":1.0");
    let program = Program::start(&config, "127.0.0.1:0");
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    let again = change(6, &[("u0", upstream.address, "in_service")])
        .replace("since_ms\":0", "since_ms\":5000");
    discovery.next().line(&again);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is closed");
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(upstream.connections.load(Ordering::SeqCst), 2);
}

/// Guards against giving up on a connection that comes up late, within its time.
#[test]
fn a_connection_that_is_established_late_carries_its_request_once() {
    let blocked = BlockedPort::new();
    let discovery = StubDiscovery::start();
    let config = with_long_timeouts(&config_with_upstreams(
        &[blocked.address],
        discovery.address,
        1024,
    ));
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
    let upstream = blocked.open(StubResponse::Ok);
    assert_eq!(client.receive().unwrap().expect("an answer").status(), 200);
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

/// Guards against calling a request run, and so failed, of which the last byte was never written.
#[test]
fn a_reset_before_the_last_byte_proves_that_a_request_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (program, _discovery) = Program::with_upstreams(&[listener.local_addr().unwrap()]);
    let mut client = program.client();
    client.write(
        "POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: c002\r\nContent-Length: 200000\r\n\r\n",
    );
    client.write(&"x".repeat(150_000));
    let (mut stream, _) = listener.accept().unwrap();
    stream.read_exact(&mut [0; 100_000]).unwrap();
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
    assert_eq!(client.receive().unwrap().expect("an answer").status(), 503);
}

/// Guards against a connection that is kept for an answer without end, though its client has gone.
#[test]
fn an_endless_response_is_cancelled_when_its_client_disconnects() {
    let upstream =
        StubUpstream::raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    drop(client);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("its connection is closed");
    wait_until("nothing is left", || program.metric("in_flight") == 0);
}

/// What a program is told while it stands still: that the first upstream drains, at the end of a list of so many more. It
/// is held up so often again while it takes that in.
fn told_while_held(kept: bool, others: usize, again: usize) {
    let (drains, stays) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) = Program::with_admin(&[drains.address, stays.address]);
    let mut watch = discovery.next();
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    for _ in 0..if kept { 4 } else { 0 } {
        clients.iter_mut().for_each(|client| {
            assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200)
        });
    }
    drains.seen.try_iter().count();
    program.suspend();
    clients
        .iter_mut()
        .for_each(|client| client.send("/pay", REQUEST_ID, "coins").unwrap());
    let names: Vec<_> = (0..others).map(|number| format!("other{number}")).collect();
    let mut list: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), stays.address, "terminating"))
        .collect();
    list.push(("u0", drains.address, "terminating"));
    watch.line(&change(6, &list));
    program.resume();
    for _ in 0..again {
        program.suspend();
        program.resume();
    }
    clients.iter_mut().for_each(|client| {
        assert_eq!(
            client.receive().unwrap().expect("an answer").status(),
            200,
            "{kept}"
        );
    });
    assert!(drains.seen.try_recv().is_err(), "{kept}");
}

/// Guards against a request that came before a drain was told, and is sent there after it because the program stood
/// still meanwhile: on a kept connection and on a new one. Several rounds, as the order of what is read may be drawn.
#[test]
fn requests_received_while_suspended_avoid_an_upstream_that_drains_since() {
    (0..16).for_each(|round| told_while_held(round % 2 == 0, 0, 0));
}

/// Guards against the same where the list is read in many pieces.
#[test]
fn requests_received_while_suspended_wait_for_a_long_list_to_be_complete() {
    (0..4).for_each(|round| told_while_held(round % 2 == 0, 600, 0));
}

/// Guards against the same where the program is held up again and again while it hears of it.
#[test]
fn requests_received_while_suspended_repeatedly_avoid_a_draining_upstream() {
    (0..16)
        .for_each(|round| told_while_held(round % 2 == 0, [0, 100][round % 4 / 2], 1 + round % 4));
}

/// Listens and says nothing; what `seen` makes of the moment in which the first byte of a connection has come.
fn silent<T: Send + 'static>(seen: impl Fn() -> T + Send + 'static) -> (SocketAddr, Receiver<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (sender, receiver)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            // A connection that brings nothing is of no interest.
            if stream.read(&mut [0]).is_ok_and(|count| count > 0) {
                let _ = sender.send(seen());
            }
            kept.push(stream);
        }
    });
    (address, receiver)
}

/// Guards against a second copy beside a first one that was given up, and whose connection is still open as the second
/// begins, where no two may be out at a time.
#[test]
fn an_abandoned_attempt_is_closed_before_the_next_begins() {
    for _ in 0..4 {
        let sides: Vec<_> = (0..2).map(|_| silent(established_connections)).collect();
        let discovery = StubDiscovery::start();
        let addresses: Vec<_> = sides.iter().map(|(address, _)| *address).collect();
        let config = config_with_upstreams(&addresses, discovery.address, 256)
            .replace("\"mayDuplicate\":true", "\"mayDuplicate\":false")
            .replace(
                "\"aim\":5.0,\"hardLimit\":10.0",
                "\"aim\":0.5,\"hardLimit\":2.0",
            );
        let program = Program::start(&config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/read", REQUEST_ID, "").unwrap();
        client.receive().unwrap().expect("an answer");
        let ends = sides
            .iter()
            .map(|(_, seen)| seen.try_iter().collect::<Vec<_>>())
            .collect::<Vec<_>>();
        assert!(ends.iter().all(|ends| ends.len() == 1), "one attempt each");
        let ports: Vec<_> = addresses.iter().map(SocketAddr::port).collect();
        let both = |ends: &Vec<(u16, u16)>| {
            ports
                .iter()
                .all(|port| ends.iter().any(|(here, _)| here == port))
        };
        assert!(
            !ends.iter().flatten().any(both),
            "both connections were open"
        );
    }
}
