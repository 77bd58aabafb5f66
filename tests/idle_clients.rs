//! Clients that are idle, or that stall in the middle of a request.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Clients that hold more connections than there are descriptors must neither crash the process nor
/// keep it from accepting connections.
#[test]
fn idle_connections_are_evicted_when_descriptors_run_short() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], 64);
    let mut idle = Vec::new();
    for _ in 0..100 {
        let mut client = program.client();
        let status = client.request("/read", REQUEST_ID, "").status();
        assert!(
            status == 200 || status == 503,
            "status {status}, expected 200 or 503"
        );
        idle.push(client);
    }
    drop(idle);
    while program.client().request("/read", REQUEST_ID, "").status() != 200 {
        sleep(Duration::from_millis(5));
    }
}

/// If a client stalls in the middle of a request, it is sent an error response or its connection is
/// closed within 3 s. This also holds if the client has received a response on that connection
/// before.
#[test]
fn a_client_that_stalls_in_a_later_request_is_rejected() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let head = "POST /pay HTTP/1.1\r\nHost: b\r\n";
    let partial_requests = [
        head.to_string(),
        format!("{head}Request-Id: fe01\r\nContent-Length: 9\r\n\r\nhalf"),
        format!("{head}Request-Id: fe02\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha"),
        format!(
            "{head}Request-Id: fe03\r\nContent-Length: 65536\r\n\r\n{}",
            "x".repeat(60_000)
        ),
    ];
    let mut clients: Vec<_> = partial_requests.iter().map(|_| program.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    let begun = Instant::now();
    for (client, partial) in clients.iter_mut().zip(&partial_requests) {
        client.write(partial);
    }
    for (client, partial) in clients.iter_mut().zip(&partial_requests) {
        let response = client.receive().ok().flatten();
        assert!(response.is_none_or(|response| response.status() == 408));
        // The bound is above 3 s because a busy machine may take longer, and below the timeout of
        // idle connections, which is 10 s.
        assert!(
            begun.elapsed() < Duration::from_secs(6),
            "response or close after {:?}, expected within 6 s: {partial:.60}",
            begun.elapsed()
        );
    }
}

/// A connection on which nothing or only a part of a request is sent is closed after a time limit.
/// It may be evicted earlier if other clients need its capacity.
#[test]
fn a_client_that_stalls_in_its_first_request_is_closed() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], 64);
    let partial_head = "POST /pay HTTP/1.1\r\nRequest-Id: ff01\r\n";
    let partial_body = "POST /pay HTTP/1.1\r\nRequest-Id: ff02\r\nContent-Length: 9\r\n\r\nhalf";
    let mut stalled: Vec<_> = ["", partial_head, partial_body]
        .iter()
        .map(|text| {
            let mut client = program.client();
            client.write(text);
            client
        })
        .collect();
    let silent: Vec<_> = (0..60).map(|_| program.client()).collect();
    let partial: Vec<_> = (0..60)
        .map(|_| {
            let mut client = program.client();
            client.write(partial_head);
            client
        })
        .collect();
    // There is capacity for fewer than half of these connections, so a complete request is served
    // only if one of them is evicted.
    while Client::connect(program.address)
        .ok()
        .and_then(|mut client| {
            client.send("/pay", REQUEST_ID, "coins").ok()?;
            client.receive().ok()?
        })
        .is_none_or(|response| response.status() != 200)
    {
        sleep(Duration::from_millis(20));
    }
    drop(partial);
    let last_status = stalled
        .pop()
        .unwrap()
        .receive()
        .unwrap()
        .map(|response| response.status());
    assert_eq!(last_status, Some(408));
    for mut client in stalled.into_iter().chain(silent) {
        assert!(client.is_closed_by_peer());
    }
    assert_eq!(upstream.seen.try_iter().count(), 1);
}
