//! Requests and responses that race with a close, a drain or a timeout. The process is suspended
//! until both events of the race have happened.

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

/// Returns a change to the endpoint list, with entries of name, address and status.
fn change(version: u64, entries: &[(&str, SocketAddr, &str)]) -> String {
    let entries: Vec<_> = entries
        .iter()
        .map(|(name, address, status)| endpoint(name, *address, status))
        .collect();
    list(version, false, &entries)
}

/// If a response arrives as the timeout expires, the client gets exactly one final response, and
/// the slot of the attempt is freed exactly once.
#[test]
fn response_racing_with_the_timeout_ends_its_request_once() {
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
        // The timeout expires while the response is in the receive buffer.
        sleep(Duration::from_millis(1100));
        program.resume();
        let status = client.receive().unwrap().expect("no response").status();
        assert!(
            status == 200 || status == 502,
            "status {status}, expected 200 or 502"
        );
        wait_until("no request is in flight", || {
            program.metric("in_flight") == 0
        });
        let total = program.metric("served.pay") + program.metric("failed.pay");
        assert_eq!((total, program.metric("attempts")), (1, 1));
        // The next response on the connection is the response to the next request.
        let response = client.request("/pay/next", REQUEST_ID, "coins");
        assert!(
            String::from_utf8_lossy(&response.body).starts_with("POST /pay/next"),
            "{response:?}"
        );
    }
}

/// The response to a cancelled attempt must not be read as the response to the next attempt.
#[test]
fn response_racing_with_a_disconnect_reaches_no_other_client() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay/gone", REQUEST_ID, "coins").unwrap();
    upstream.next();
    program.suspend();
    upstream.release();
    drop(client);
    program.resume();
    wait_until("no request is in flight", || {
        program.metric("in_flight") == 0
    });
    for _ in 0..4 {
        let response = program.client().request("/pay/next", REQUEST_ID, "coins");
        assert!(
            String::from_utf8_lossy(&response.body).starts_with("POST /pay/next"),
            "{response:?}"
        );
    }
}

/// A request that is partly written when its upstream begins to drain is neither cancelled nor
/// sent again.
#[test]
fn partly_written_request_is_completed_at_a_draining_upstream() {
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
    wait_until("the connection is established", || {
        old.connection_count.load(Ordering::SeqCst) == 1
    });
    // The response to a request that is sent now shows that the attempt has begun.
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
    let mut watch = discovery.next();
    let draining = ("u0", old.address, "terminating");
    watch.send_line(&change(6, &[draining, ("u1", new.address, "in_service")]));
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    // A request that reaches the new upstream shows that the drain has been received.
    let mut is_change_known = new.seen.try_iter().count() == 1;
    while !is_change_known {
        old.next();
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
        is_change_known = new.seen.try_iter().count() == 1;
    }
    client.write(&"x".repeat(50_000));
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        200
    );
    assert_eq!(old.next().body.len(), 200_000);
    assert!(new.seen.try_recv().is_err());
}

/// A retry must not be sent to an upstream that began to drain during the first attempt.
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
    watch.send_line(&change(6, &[("u1", draining.address, "in_service")]));
    wait_until("both upstreams are known", || {
        program.metric("upstreams_known") == 2
    });
    // A request leaves an idle connection to the upstream that will drain. The balancer closes that
    // connection when it receives the drain. The clients stay connected, as requests of
    // disconnected clients are not forwarded. They send one request at a time, so that no request
    // is on its way when the drain is sent.
    let mut others = Vec::new();
    let mut is_used = false;
    while !is_used {
        let mut other = program.client();
        other.send("/pay", REQUEST_ID, "coins").unwrap();
        wait_until("the request reaches an upstream", || {
            is_used = draining.seen.try_recv().is_ok();
            is_used || first.seen.try_recv().is_ok()
        });
        others.push(other);
    }
    let response = others
        .last_mut()
        .and_then(|other| other.receive().unwrap())
        .expect("no response");
    assert_eq!(response.status(), 200);
    watch.send_line(&change(
        7,
        &[
            ("u1", draining.address, "terminating"),
            ("u2", free.address, "in_service"),
        ],
    ));
    draining
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection to the upstream is still open");
    first.set_response(StubResponse::Rejected);
    first.release();
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        200
    );
    assert!(draining.seen.try_recv().is_err());
}

/// A restarted upstream keeps its name and address, but its connections lead to a process that has
/// ended.
#[test]
fn connections_to_a_restarted_upstream_are_closed() {
    let (upstream, discovery) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    // Slow start is switched off, as the test is about connections.
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
    let restart = change(6, &[("u0", upstream.address, "in_service")])
        .replace("since_ms\":0", "since_ms\":5000");
    discovery.next().send_line(&restart);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is still open");
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(upstream.connection_count.load(Ordering::SeqCst), 2);
}

/// Establishing a connection may take long, within the connect timeout. The request is then sent
/// exactly once.
#[test]
fn late_connection_carries_its_request_once() {
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
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        200
    );
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

/// A request whose last byte was never written cannot have run, so its client gets a 503 instead of
/// a 502.
#[test]
fn request_reset_before_its_last_byte_is_rejected() {
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
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        503
    );
}

/// An endless response must not keep its connection open after its client has disconnected.
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
        .expect("the connection to the upstream is still open");
    wait_until("no request is in flight", || {
        program.metric("in_flight") == 0
    });
}

/// Whether the connections to the upstreams exist before the process is suspended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UpstreamConnections {
    Cached,
    New,
}

/// Suspends the process while requests and an endpoint list are sent to it. The last entry of the
/// list, after `other_entries` other entries, drains the first upstream. The process is suspended
/// `extra_suspensions` more times while it reads the requests and the list.
fn check_drain_while_suspended(round: usize, other_entries: usize, extra_suspensions: usize) {
    let connections = [UpstreamConnections::Cached, UpstreamConnections::New][round % 2];
    let (draining_upstream, other_upstream) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) =
        Program::with_admin(&[draining_upstream.address, other_upstream.address]);
    let mut watch = discovery.next();
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    if connections == UpstreamConnections::Cached {
        for _ in 0..4 {
            for client in &mut clients {
                assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
            }
        }
    }
    draining_upstream.seen.try_iter().count();
    program.suspend();
    for client in &mut clients {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
    }
    let names: Vec<_> = (0..other_entries)
        .map(|number| format!("other{number}"))
        .collect();
    let mut entries: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), other_upstream.address, "terminating"))
        .collect();
    entries.push(("u0", draining_upstream.address, "terminating"));
    watch.send_line(&change(6, &entries));
    program.resume();
    for _ in 0..extra_suspensions {
        program.suspend();
        program.resume();
    }
    for client in &mut clients {
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            200,
            "{connections:?}"
        );
    }
    assert!(
        draining_upstream.seen.try_recv().is_err(),
        "{connections:?}"
    );
}

/// Requests that were received before the drain must not be sent to the draining upstream after the
/// drain, on a cached connection or on a new one. The order in which the process reads may vary,
/// hence several rounds.
#[test]
fn requests_received_while_suspended_avoid_a_draining_upstream() {
    for round in 0..16 {
        check_drain_while_suspended(round, 0, 0);
    }
}

/// The drain is the last entry of a long list, which the process reads in many pieces.
#[test]
fn requests_received_while_suspended_wait_for_a_long_list() {
    for round in 0..4 {
        check_drain_while_suspended(round, 600, 0);
    }
}

/// The process is suspended repeatedly while it reads the requests and the list.
#[test]
fn requests_received_while_suspended_repeatedly_avoid_a_draining_upstream() {
    for round in 0..16 {
        check_drain_while_suspended(round, [0, 100][round % 4 / 2], 1 + round % 4);
    }
}

/// Starts an upstream that never responds. The returned receiver gets the result of `observe` when
/// the first byte of a connection is received.
fn spawn_silent_upstream<T: Send + 'static>(
    observe: impl Fn() -> T + Send + 'static,
) -> (SocketAddr, Receiver<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (sender, receiver)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        let mut connections = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            // Connections without a request are ignored.
            if stream.read(&mut [0]).is_ok_and(|count| count > 0) {
                let _ = sender.send(observe());
            }
            connections.push(stream);
        }
    });
    (address, receiver)
}

/// Without hedged requests, a request must not have two open attempts at a time.
#[test]
fn an_abandoned_attempt_is_closed_before_the_next_begins() {
    for _ in 0..4 {
        let silent_upstreams: Vec<_> = (0..2)
            .map(|_| spawn_silent_upstream(established_connections))
            .collect();
        let discovery = StubDiscovery::start();
        let addresses: Vec<_> = silent_upstreams
            .iter()
            .map(|(address, _)| *address)
            .collect();
        let config = config_with_upstreams(&addresses, discovery.address, 256)
            .replace("\"mayDuplicate\":true", "\"mayDuplicate\":false")
            .replace(
                "\"aim\":5.0,\"hardLimit\":10.0",
                "\"aim\":0.5,\"hardLimit\":2.0",
            );
        let program = Program::start(&config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/read", REQUEST_ID, "").unwrap();
        client.receive().unwrap().expect("no response");
        let observed = silent_upstreams
            .iter()
            .map(|(_, seen)| seen.try_iter().collect::<Vec<_>>())
            .collect::<Vec<_>>();
        assert!(
            observed.iter().all(|observed| observed.len() == 1),
            "connections at each attempt, per upstream: {observed:?}, expected one attempt each"
        );
        let ports: Vec<_> = addresses.iter().map(SocketAddr::port).collect();
        let has_both = |connections: &Vec<(u16, u16)>| {
            ports
                .iter()
                .all(|port| connections.iter().any(|(local_port, _)| local_port == port))
        };
        assert!(
            !observed.iter().flatten().any(has_both),
            "the connections of both attempts were open at the same time"
        );
    }
}
