//! Closing of connections that have unread bytes or carry pipelined requests.

mod support;
use std::thread::sleep;
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// The number of descriptors that are reserved for the admin endpoint.
const ADMIN_DESCRIPTORS: usize = 12;

/// The close of a connection with unread bytes resets it, and the client would lose the part of its
/// response that it has not read yet.
#[test]
fn response_is_complete_despite_unread_bytes_after_its_request() {
    // More than the socket buffers between the program and its client hold.
    let size = 24 << 20;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{}",
        "x".repeat(size)
    );
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    program.terminate();
    wait_until("the process is draining", || {
        program.admin_request("GET /healthcheck").0 == 503
    });
    upstream.set_response(StubResponse::Raw(text.leak()));
    upstream.release();
    client.discard(1);
    // More than the read-ahead buffer holds.
    let second_body = "x".repeat(200_000);
    client.write(&format!(
        "POST /pay HTTP/1.1\r\nRequest-Id: c101\r\nContent-Length: 200000\r\n\r\n{second_body}"
    ));
    // The client has not read the end of the response when the connection is closed.
    let unread = 2 << 20;
    client.discard(size - unread);
    wait_until("the response is written", || {
        program.metric("served.pay") == 1
    });
    sleep(Duration::from_millis(100));
    assert!((unread - 1..unread + 1000).contains(&client.read_to_end().len()));
    assert!(
        upstream.seen.try_recv().is_err(),
        "the second request was forwarded"
    );
}

/// A client that is still sending could lose the response if its connection were reset.
#[test]
fn large_request_rejected_before_its_body_is_read_gets_a_response() {
    let body = "x".repeat(3 << 20);
    let upstreams: Vec<_> = (0..12)
        .map(|_| StubUpstream::start(StubResponse::NoResponse))
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) =
        Program::with_admin_and_descriptor_limit(&addresses, 64 + ADMIN_DESCRIPTORS);
    assert_eq!(
        program
            .client()
            .request("/nothing", REQUEST_ID, &body)
            .status(),
        400
    );
    // Fills the capacity. A connection without a request may be evicted in favour of one with a
    // request, so each client connects after the earlier requests have been accepted or rejected.
    let mut busy = Vec::new();
    for count in 1..=24 {
        let mut client = program.client();
        client.send("/pay", REQUEST_ID, "coins").unwrap();
        busy.push(client);
        let settled = || program.metric("in_flight") + program.metric("refused.pay");
        wait_until("the request is settled", || settled() == count);
    }
    assert!(
        program.metric("refused.pay") > 0,
        "none of 24 requests was rejected for lack of capacity"
    );
    assert_eq!(
        program.client().request("/pay", REQUEST_ID, &body).status(),
        503
    );
}

/// Pipelined requests must not be dropped, however many there are.
#[test]
fn each_of_many_pipelined_requests_gets_a_response() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    let news = "x".repeat(3000);
    let requests = (0..60)
        .map(|n| format!("GET /read/{n} HTTP/1.1\r\nRequest-Id: d{n}\r\nNews: {news}\r\n\r\n"));
    client.write(&requests.collect::<String>());
    upstream.next();
    sleep(Duration::from_millis(300));
    upstream.release();
    for n in 0..60 {
        let response = client
            .receive()
            .unwrap()
            .unwrap_or_else(|| panic!("no response to request {n}"));
        assert!(
            String::from_utf8_lossy(&response.body).starts_with(&format!("GET /read/{n} ")),
            "{response:?}"
        );
    }
}

/// Bytes that are received after a request in flight are buffered only up to a limit. Otherwise
/// clients that send large amounts would exhaust the memory.
#[test]
fn bytes_after_requests_in_flight_use_little_memory() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut clients: Vec<_> = (0..60).map(|_| program.client()).collect();
    let flood = "x".repeat(4 << 20);
    for client in &mut clients {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
        client.write(&flood);
    }
    assert!(
        program.peak_memory_bytes() < 40 << 20,
        "peak memory of {} bytes, expected less than 40 MiB",
        program.peak_memory_bytes()
    );
}

/// A client whose connection is closed without a response sends its request again elsewhere. The
/// request would run twice if it were forwarded.
#[test]
fn request_on_a_closed_idle_connection_is_not_forwarded() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (mut program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(upstream.seen.try_iter().count(), 8);
    program.terminate();
    for client in &mut clients {
        assert!(client.is_closed_by_peer());
        // A failed write is ignored, because the process may have exited by now.
        let _ = client.send("/pay", REQUEST_ID, "coins");
    }
    assert!(program.wait().success());
    assert!(upstream.seen.try_recv().is_err());
}

/// Returns `count` pipelined requests whose ids begin with `id_prefix`.
fn pipelined(id_prefix: &str, count: usize) -> String {
    let request = |number| {
        format!("GET /read/{number} HTTP/1.1\r\nHost: b\r\nRequest-Id: {id_prefix}{number}\r\n\r\n")
    };
    (0..count).map(request).collect()
}

/// A request that has been read is lost if its connection is closed without a response to it.
/// Requests that were pipelined before a shutdown or a client drain must all get a response, and
/// the last response closes the connection.
#[test]
fn pipelined_requests_get_responses_before_their_connection_closes() {
    let expect_responses = |client: &mut Client, what: &str| {
        for number in 0..6 {
            let response = client
                .receive()
                .unwrap()
                .unwrap_or_else(|| panic!("{what}: no response to request {number}"));
            assert_eq!(
                (response.status(), response.header("connection")),
                (200, (number == 5).then_some("close"))
            );
        }
        assert!(client.is_closed_by_peer(), "{what}: not closed");
    };
    for by_sigterm in [true, false] {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = Program::with_admin(&[upstream.address]);
        let mut client = program.client();
        client.write(&pipelined("a", 6));
        upstream.next();
        if by_sigterm {
            program.terminate();
            wait_until("the process is draining", || {
                program.admin_request("GET /healthcheck").0 == 503
            });
        } else {
            assert_eq!(program.admin_request("POST /healthcheck/fail").0, 200);
        }
        upstream.release();
        expect_responses(&mut client, "requests sent before the drain");
        let mut new_client = program.client();
        new_client.write(&pipelined("b", 6));
        expect_responses(
            &mut new_client,
            "requests on a new connection during the drain",
        );
    }
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    assert_eq!(
        client.request("/read", "Request-Id: {id}\r\n", "").status(),
        200
    );
    program.suspend();
    client.write(&pipelined("c", 6));
    program.terminate();
    program.resume();
    expect_responses(&mut client, "requests unread at SIGTERM");
}
