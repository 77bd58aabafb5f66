//! Client disconnects: requests of disconnected clients are neither forwarded nor retried.

mod support;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// Numbers of bytes that a client sends after its request: none, few, and many more than the
/// balancer reads ahead.
const TRAILING_BYTES: [usize; 3] = [0, 20, 200_000];
/// Like `TRAILING_BYTES`, but limited to what the kernel buffers for a process that is stopped.
const TRAILING_BYTES_WHILE_STOPPED: [usize; 3] = [0, 20, 30_000];

/// Starts a balancer whose deadlines are longer than any test, so that a request ends early only if
/// its client disconnects.
fn start(upstreams: &[SocketAddr], cancel: bool) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let config = with_long_timeouts(&config_with_upstreams(upstreams, discovery.address, 256))
        .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let variables = [("PROXY_CONSOLE", "127.0.0.1:0")];
    (
        Program::start_with(&variables, &config, "127.0.0.1:0"),
        discovery,
    )
}

/// Unless `trailing_bytes` is 0, sends a start line and that many bytes after a client's request.
/// Then closes or resets the connection.
fn disconnect(mut client: Client, trailing_bytes: usize, by_reset: bool) {
    if trailing_bytes > 0 {
        client.write("GET /read/behind HTTP/1.1\r\n");
        client.write(&"x".repeat(trailing_bytes));
    }
    if by_reset {
        client.reset();
    }
}

/// Does the same as `disconnect` while the process is stopped, and waits until the kernel has
/// received the close or the reset.
fn disconnect_while_stopped(
    program: &Program,
    client: Client,
    trailing_bytes: usize,
    by_reset: bool,
) {
    let port = client.port();
    disconnect(client, trailing_bytes, by_reset);
    wait_until("the kernel has received the close", || {
        program.has_received_close_from(port)
    });
}

/// Sends two requests, as many as an upstream's concurrency limit admits at the start, and one
/// more, which is queued. Returns the clients of the running requests and the client of the queued
/// request.
fn queue_one_request(
    program: &Program,
    upstream: &StubUpstream,
    path: &str,
) -> (Vec<Client>, Client) {
    let send_until = |count, metric| {
        let mut client = program.client();
        client.send(path, REQUEST_ID, "").unwrap();
        wait_until(&format!("{metric} is {count}"), || {
            program.metric(metric) == count
        });
        client
    };
    let running = vec![send_until(1, "attempts"), send_until(2, "attempts")];
    let queued = send_until(3, "in_flight");
    for _ in &running {
        upstream.next();
    }
    (running, queued)
}

/// Fills an upstream's concurrency limit, and queues `count` requests. Returns the clients of the
/// running requests and the clients of the queued requests.
fn queue_many_requests(
    program: &Program,
    upstream: &StubUpstream,
    count: usize,
) -> (Vec<Client>, Vec<Client>) {
    let (running, queued) = queue_one_request(program, upstream, "/pay");
    let mut all_queued = vec![queued];
    while all_queued.len() < count {
        let mut client = program.client();
        client.send("/pay", REQUEST_ID, "").unwrap();
        all_queued.push(client);
    }
    let total = (running.len() + count) as u64;
    wait_until("all requests are accepted", || {
        program.metric("in_flight") == total
    });
    (running, all_queued)
}

/// Returns four clients whose requests to `/pay/0`, `/pay/1` and so on have all been forwarded.
fn forward_four_requests(program: &Program) -> Vec<Client> {
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client
            .send(&format!("/pay/{number}"), REQUEST_ID, "")
            .unwrap();
    }
    wait_until("all 4 requests have been forwarded", || {
        program.metric("attempts") == 4
    });
    clients
}

/// Returns a client whose request waits until a connection to this upstream is established.
fn send_until_connecting(program: &Program, upstream: SocketAddr) -> Client {
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    wait_until("a connection is being established", || {
        has_pending_connect(upstream)
    });
    client
}

/// Sends a new request and expects that it is the next request that the upstream receives. A
/// request of a disconnected client must not arrive before it.
fn expect_only_new_requests(program: &Program, upstream: &StubUpstream, context: &str) {
    assert_eq!(
        program
            .client()
            .request("/pay/last", REQUEST_ID, "")
            .status(),
        200,
        "{context}"
    );
    assert_eq!(
        upstream.next().start_line,
        "POST /pay/last HTTP/1.1",
        "{context}"
    );
}

/// Bytes sent after a queued request must not hide that its client has disconnected.
#[test]
fn queued_request_of_a_disconnected_client_is_not_forwarded() {
    for trailing_bytes in TRAILING_BYTES {
        for by_reset in [false, true] {
            let upstream = StubUpstream::start(StubResponse::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, queued) = queue_one_request(&program, &upstream, "/pay");
            disconnect(queued, trailing_bytes, by_reset);
            let remaining = running.len() as u64;
            wait_until("the disconnect is noticed", || {
                program.metric("in_flight") == remaining
            });
            upstream.release();
            for client in &mut running {
                assert_eq!(
                    client.receive().unwrap().unwrap().status(),
                    200,
                    "{trailing_bytes} trailing bytes, by reset: {by_reset}"
                );
            }
            expect_only_new_requests(&program, &upstream, &format!("{trailing_bytes} {by_reset}"));
        }
    }
}

/// Many clients disconnect at the same time, by close and by reset, with and without bytes after
/// their requests.
#[test]
fn queued_requests_are_not_forwarded_after_simultaneous_disconnects() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = start(&[upstream.address], true);
    let (mut running, disconnecting) = queue_many_requests(&program, &upstream, 12);
    for (number, client) in disconnecting.into_iter().enumerate() {
        disconnect(client, TRAILING_BYTES[number % 3], number % 2 == 0);
    }
    wait_until("all disconnects are noticed", || {
        program.metric("in_flight") == running.len() as u64
    });
    upstream.release();
    for client in &mut running {
        client.receive().unwrap().expect("no response");
    }
    expect_only_new_requests(&program, &upstream, "simultaneous disconnects");
}

/// The client disconnects between two attempts: one upstream has rejected its request, and the
/// retry is queued for the other.
#[test]
fn request_of_a_disconnected_client_is_not_retried() {
    for trailing_bytes in TRAILING_BYTES {
        let (rejecting, busy) = (
            StubUpstream::start(StubResponse::Hold),
            StubUpstream::start(StubResponse::Hold),
        );
        let (program, _discovery) = start(&[rejecting.address, busy.address], true);
        let mut clients = forward_four_requests(&program);
        let disconnecting_number: usize = rejecting.next().start_line["POST /pay/".len()..][..1]
            .parse()
            .unwrap();
        rejecting.set_response(StubResponse::Rejected);
        rejecting.release();
        disconnect(
            clients.remove(disconnecting_number),
            trailing_bytes,
            trailing_bytes > 0,
        );
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == 3
        });
        busy.release();
        for client in &mut clients {
            assert_eq!(
                client.receive().unwrap().unwrap().status(),
                200,
                "{trailing_bytes} trailing bytes"
            );
        }
        let disconnected_start_line = format!("POST /pay/{disconnecting_number} HTTP/1.1");
        assert!(
            busy.seen
                .try_iter()
                .all(|message| message.start_line != disconnected_start_line),
            "{trailing_bytes} trailing bytes"
        );
    }
}

/// The connection that a request waits for must not be used after the client has disconnected, even
/// if the settings forbid cancelling attempts in flight.
#[test]
fn pending_connection_is_closed_when_its_client_disconnects() {
    for cancel in [true, false] {
        for trailing_bytes in TRAILING_BYTES {
            let upstream = unreachable_address();
            let (program, _discovery) = start(&[upstream], cancel);
            let client = send_until_connecting(&program, upstream);
            let port = client.port();
            disconnect(client, trailing_bytes, false);
            wait_until("the connections of client and upstream are closed", || {
                !has_pending_connect(upstream) && !program.has_connection_to(port)
            });
        }
    }
}

/// The client disconnects while its request is queued and a part of its body has not been sent.
#[test]
fn queued_request_with_a_partial_body_is_not_forwarded_after_a_disconnect() {
    for by_reset in [false, true] {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, queued) = queue_one_request(&program, &upstream, "/pay");
        let mut uploading = program.client();
        uploading.write(
            "POST /pay/half HTTP/1.1\r\nHost: b\r\nRequest-Id: c003\r\n\
                Content-Length: 200000\r\n\r\n",
        );
        uploading.write(&"x".repeat(100_000));
        let total = running.len() as u64 + 2;
        wait_until("the request is accepted", || {
            program.metric("in_flight") == total
        });
        disconnect(uploading, 0, by_reset);
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == total - 1
        });
        upstream.release();
        for client in running.iter_mut().chain([queued].iter_mut()) {
            assert_eq!(client.receive().unwrap().unwrap().status(), 200);
        }
        assert!(upstream
            .seen
            .try_iter()
            .all(|message| !message.start_line.contains("half")));
        assert_eq!(program.metric("in_flight"), 0);
    }
}

/// A process that got no CPU time for a while handles the events of that time in any order: clients
/// have closed or reset their connections, and slots have become free before or after that.
#[test]
fn queued_requests_are_not_forwarded_after_disconnects_while_stopped() {
    for trailing_bytes in TRAILING_BYTES_WHILE_STOPPED {
        for free_first in [false, true] {
            let upstream = StubUpstream::start(StubResponse::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, disconnecting) = queue_many_requests(&program, &upstream, 8);
            program.suspend();
            let free_slots = || {
                upstream.release();
                let count = running.len() as u64;
                wait_until("all upstreams have responded", || {
                    upstream.response_count.load(Ordering::SeqCst) == count
                });
            };
            free_first.then(free_slots);
            for (number, client) in disconnecting.into_iter().enumerate() {
                disconnect_while_stopped(&program, client, trailing_bytes, number % 2 == 1);
            }
            (!free_first).then(free_slots);
            program.resume();
            for client in &mut running {
                client.receive().unwrap().expect("no response");
            }
            expect_only_new_requests(
                &program,
                &upstream,
                &format!("{trailing_bytes} trailing bytes, slots freed first: {free_first}"),
            );
        }
    }
}

/// The request and the close of its connection are received while the process is stopped. When it
/// resumes, it reads them together.
#[test]
fn unread_request_of_a_disconnected_client_is_not_forwarded() {
    for trailing_bytes in TRAILING_BYTES_WHILE_STOPPED {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = start(&[upstream.address], true);
        for _ in 0..4 {
            let mut client = program.client();
            assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
            upstream.next();
            program.suspend();
            client.send("/pay", REQUEST_ID, "coins").unwrap();
            disconnect_while_stopped(&program, client, trailing_bytes, false);
            program.resume();
            expect_only_new_requests(&program, &upstream, &format!("{trailing_bytes} bytes"));
        }
    }
}

/// While the process is stopped, one upstream rejects the first attempt, the other upstream's slots
/// become free, and the client disconnects.
#[test]
fn request_is_not_retried_after_a_disconnect_while_stopped() {
    for trailing_bytes in TRAILING_BYTES_WHILE_STOPPED {
        let (rejecting, busy) = (
            StubUpstream::start(StubResponse::Hold),
            StubUpstream::start(StubResponse::Hold),
        );
        let (program, _discovery) = start(&[rejecting.address, busy.address], true);
        let clients = forward_four_requests(&program);
        let disconnected = [rejecting.next().start_line, rejecting.next().start_line];
        program.suspend();
        rejecting.set_response(StubResponse::Rejected);
        for upstream in [&rejecting, &busy] {
            upstream.release();
            wait_until("the upstream has responded", || {
                upstream.response_count.load(Ordering::SeqCst) == 2
            });
        }
        for (number, client) in clients.into_iter().enumerate() {
            if disconnected.contains(&format!("POST /pay/{number} HTTP/1.1")) {
                disconnect_while_stopped(&program, client, trailing_bytes, false);
            }
        }
        program.resume();
        wait_until("no request is in flight", || {
            program.metric("in_flight") == 0
        });
        assert!(
            busy.seen
                .try_iter()
                .all(|message| !disconnected.contains(&message.start_line)),
            "{trailing_bytes} trailing bytes"
        );
    }
}

/// While the process is stopped, the connection that a request waits for is established, and the
/// client disconnects.
#[test]
fn established_connection_is_not_used_after_a_disconnect_while_stopped() {
    for cancel in [true, false] {
        for trailing_bytes in TRAILING_BYTES_WHILE_STOPPED {
            let blocked = BlockedPort::new();
            let (program, discovery) = start(&[blocked.address], cancel);
            let _watch = discovery.next();
            let client = send_until_connecting(&program, blocked.address);
            program.suspend();
            let total = blocked.waiting.len() as u64 + 1;
            let upstream = blocked.open(StubResponse::Ok);
            wait_until("the connection is established", || {
                upstream.connection_count.load(Ordering::SeqCst) == total
            });
            disconnect_while_stopped(&program, client, trailing_bytes, false);
            program.resume();
            wait_until("the disconnect is noticed", || {
                program.metric("in_flight") == 0
            });
            expect_only_new_requests(&program, &upstream, &format!("{cancel} {trailing_bytes}"));
        }
    }
}

/// An upstream starts to process a request when it has received the last byte of the body. That
/// byte must not be forwarded after the client has disconnected.
#[test]
fn streamed_body_stays_incomplete_after_a_disconnect_while_stopped() {
    for cancel in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (program, _discovery) = start(&[listener.local_addr().unwrap()], cancel);
        for number in 0..8 {
            let mut client = program.client();
            client.write(&format!(
                "POST /pay/half HTTP/1.1\r\nHost: b\r\nRequest-Id: d{number}\r\n"
            ));
            client.write("Content-Length: 150000\r\n\r\n");
            client.write(&"x".repeat(149_000));
            let (mut upstream, _) = listener.accept().unwrap();
            // Reads the head and nearly all of the body that has been sent so far.
            upstream.read_exact(&mut [0; 149_000]).unwrap();
            program.suspend();
            client.write(&"x".repeat(1000));
            disconnect_while_stopped(&program, client, 0, false);
            program.resume();
            let mut rest = Vec::new();
            // The connection may end in a reset.
            let _ = upstream.take(1000).read_to_end(&mut rest);
            assert!(rest.len() < 1000, "body forwarded, cancel: {cancel}");
        }
        wait_until("no request is in flight", || {
            program.metric("in_flight") == 0
        });
    }
}

/// The balancer can't distinguish a half-close from a close, so the client counts as disconnected:
/// its request is not forwarded, and its connection is closed. If the balancer reads the request
/// and the half-close together, the client may still get a 502.
#[test]
fn half_close_counts_as_a_disconnect() {
    for trailing_bytes in TRAILING_BYTES_WHILE_STOPPED {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, mut queued) = queue_one_request(&program, &upstream, "/pay");
        queued.write(&"x".repeat(trailing_bytes));
        queued.half_close();
        assert!(queued.is_closed_by_peer(), "{trailing_bytes} bytes");
        let remaining = running.len() as u64;
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == remaining
        });
        upstream.release();
        for client in &mut running {
            client.receive().unwrap().expect("no response");
        }
        program.suspend();
        let mut half_closed = program.client();
        half_closed.send("/pay", REQUEST_ID, "coins").unwrap();
        half_closed.half_close();
        wait_until("the kernel has received the close", || {
            program.has_received_close_from(half_closed.port())
        });
        program.resume();
        assert!(
            half_closed
                .receive()
                .unwrap()
                .is_none_or(|response| response.status() == 502),
            "{trailing_bytes} trailing bytes"
        );
        expect_only_new_requests(&program, &upstream, &format!("{trailing_bytes} bytes"));
        assert_eq!(program.metric("failed.pay"), 0);
    }
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    drop(client);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the attempt was not cancelled");
    upstream.set_response(StubResponse::Ok);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
}
