//! Clients that are idle, or that stall in the middle of a request.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Guards against an end, or a deaf listener, when clients hold more connections than there are descriptors.
#[test]
fn idle_connections_are_evicted_when_descriptors_run_short() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_descriptors(&[upstream.address], 64);
    let mut idle = Vec::new();
    for _ in 0..100 {
        let mut client = program.client();
        let status = client.request("/read", REQUEST_ID, "").status();
        assert!(status == 200 || status == 503, "{status}");
        idle.push(client);
    }
    drop(idle);
    while program.client().request("/read", REQUEST_ID, "").status() != 200 {
        sleep(Duration::from_millis(5));
    }
}

/// A client that stops in the middle of a request and stays is owed an error or a close within 3 s, also where it has
/// had an answer on that connection before.
#[test]
fn a_client_that_stalls_in_a_later_request_is_rejected() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let head = "POST /pay HTTP/1.1\r\nHost: b\r\n";
    let halves = [
        head.to_string(),
        format!("{head}Request-Id: fe01\r\nContent-Length: 9\r\n\r\nhalf"),
        format!("{head}Request-Id: fe02\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha"),
        format!(
            "{head}Request-Id: fe03\r\nContent-Length: 65536\r\n\r\n{}",
            "x".repeat(60_000)
        ),
    ];
    let mut clients: Vec<_> = halves.iter().map(|_| program.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200));
    let begun = Instant::now();
    clients
        .iter_mut()
        .zip(&halves)
        .for_each(|(client, half)| client.write(half));
    for (client, half) in clients.iter_mut().zip(&halves) {
        let answer = client.receive().ok().flatten();
        assert!(answer.is_none_or(|answer| answer.status() == 408));
        // Idle connections stay for 10 s; a busy machine may take longer than 3 s for this.
        assert!(
            begun.elapsed() < Duration::from_secs(6),
            "{:?} {half:.60}",
            begun.elapsed()
        );
    }
}

/// Guards against clients that hold a connection and say nothing, or never finish: they are closed in time, and
/// they don't keep others out.
#[test]
fn a_client_that_stalls_in_its_first_request_is_closed() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_descriptors(&[upstream.address], 64);
    let half = "POST /pay HTTP/1.1\r\nRequest-Id: ff01\r\n";
    let body = "POST /pay HTTP/1.1\r\nRequest-Id: ff02\r\nContent-Length: 9\r\n\r\nhalf";
    let mut slow: Vec<_> = ["", half, body]
        .iter()
        .map(|text| {
            let mut client = program.client();
            client.write(text);
            client
        })
        .collect();
    let silent: Vec<_> = (0..60).map(|_| program.client()).collect();
    let halves: Vec<_> = (0..60)
        .map(|_| {
            let mut client = program.client();
            client.write(half);
            client
        })
        .collect();
    // There is room for less than a half of these: sooner or later one of them goes for whoever asks.
    while Client::connect(program.address)
        .ok()
        .and_then(|mut client| {
            client.send("/pay", REQUEST_ID, "coins").ok()?;
            client.receive().ok()?
        })
        .is_none_or(|answer| answer.status() != 200)
    {
        sleep(Duration::from_millis(20));
    }
    drop(halves);
    let last = slow
        .pop()
        .unwrap()
        .receive()
        .unwrap()
        .map(|answer| answer.status());
    assert_eq!(last, Some(408));
    slow.into_iter()
        .chain(silent)
        .for_each(|mut client| assert!(client.is_closed_by_peer()));
    assert_eq!(upstream.seen.try_iter().count(), 1);
}
