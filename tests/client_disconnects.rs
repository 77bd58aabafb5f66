//! Client disconnects: requests of disconnected clients are neither forwarded nor retried.

mod support;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// How many bytes a client sends behind its request: none, few, and many more than the balancer
/// reads ahead.
const BYTES_BEHIND: [usize; 3] = [0, 20, 200_000];
/// Like `BYTES_BEHIND`, but limited to what the kernel buffers for a process that is stopped.
const BYTES_BEHIND_WHILE_STOPPED: [usize; 3] = [0, 20, 30_000];

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

/// Sends `bytes_behind` bytes behind a client's request, and closes or resets its connection.
fn disconnect(mut client: Client, bytes_behind: usize, reset: bool) {
    if bytes_behind > 0 {
        client.write("GET /read/behind HTTP/1.1\r\n");
        client.write(&"x".repeat(bytes_behind));
    }
    if reset {
        client.reset();
    }
}

/// Disconnects a client as `disconnect` does, and waits until the kernel has received the close or
/// the reset, which the stopped process has not read.
fn disconnect_while_stopped(program: &Program, client: Client, bytes_behind: usize, reset: bool) {
    let port = client.port();
    disconnect(client, bytes_behind, reset);
    wait_until("the kernel has received the close", || {
        program.has_received_close_from(port)
    });
}

/// Sends as many requests as an upstream's concurrency limit admits, two at the start, and one more
/// that is queued. Returns the clients of the running requests and the client of the queued one.
fn one_queued(program: &Program, upstream: &StubUpstream, path: &str) -> (Vec<Client>, Client) {
    let next = |count, metric| {
        let mut client = program.client();
        client.send(path, REQUEST_ID, "").unwrap();
        wait_until(metric, || program.metric(metric) == count);
        client
    };
    let running = vec![next(1, "attempts"), next(2, "attempts")];
    let waiting = next(3, "in_flight");
    for _ in &running {
        upstream.next();
    }
    (running, waiting)
}

/// Fills an upstream's concurrency limit, and queues `count` requests. Returns the clients of the
/// running requests and those of the queued ones.
fn many_queued(
    program: &Program,
    upstream: &StubUpstream,
    count: usize,
) -> (Vec<Client>, Vec<Client>) {
    let (running, waiting) = one_queued(program, upstream, "/pay");
    let mut all_waiting = vec![waiting];
    while all_waiting.len() < count {
        let mut client = program.client();
        client.send("/pay", REQUEST_ID, "").unwrap();
        all_waiting.push(client);
    }
    let all = (running.len() + count) as u64;
    wait_until("all requests are accepted", || {
        program.metric("in_flight") == all
    });
    (running, all_waiting)
}

/// Returns four clients whose requests to `/pay/0`, `/pay/1` and so on have all been forwarded.
fn four_forwarded(program: &Program) -> Vec<Client> {
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client
            .send(&format!("/pay/{number}"), REQUEST_ID, "")
            .unwrap();
    }
    wait_until("all requests are at an upstream", || {
        program.metric("attempts") == 4
    });
    clients
}

/// Returns a client whose request waits until a connection to this upstream is established.
fn connecting(program: &Program, upstream: SocketAddr) -> Client {
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    wait_until("a connection is being established", || {
        has_pending_connect(upstream)
    });
    client
}

/// Sends a new request and expects the upstream to receive it next, not one of a client that has
/// disconnected.
fn expect_only_new_requests(program: &Program, upstream: &StubUpstream, what: &str) {
    assert_eq!(
        program
            .client()
            .request("/pay/last", REQUEST_ID, "")
            .status(),
        200,
        "{what}"
    );
    assert_eq!(
        upstream.next().start_line,
        "POST /pay/last HTTP/1.1",
        "{what}"
    );
}

/// Bytes behind a queued request must not hide that its client has disconnected.
#[test]
fn a_queued_request_whose_client_has_disconnected_is_not_forwarded() {
    for bytes_behind in BYTES_BEHIND {
        for reset in [false, true] {
            let upstream = StubUpstream::start(StubResponse::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, waiting) = one_queued(&program, &upstream, "/pay");
            disconnect(waiting, bytes_behind, reset);
            let left = running.len() as u64;
            wait_until("the disconnect is noticed", || {
                program.metric("in_flight") == left
            });
            upstream.release();
            for client in &mut running {
                assert_eq!(
                    client.receive().unwrap().unwrap().status(),
                    200,
                    "{bytes_behind} {reset}"
                );
            }
            expect_only_new_requests(&program, &upstream, &format!("{bytes_behind} {reset}"));
        }
    }
}

/// Many clients disconnect at once, by close and by reset, with and without bytes behind their
/// requests.
#[test]
fn queued_requests_whose_clients_disconnect_together_are_not_forwarded() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let (program, _discovery) = start(&[upstream.address], true);
    let (mut running, leaving) = many_queued(&program, &upstream, 12);
    for (number, client) in leaving.into_iter().enumerate() {
        disconnect(client, BYTES_BEHIND[number % 3], number % 2 == 0);
    }
    wait_until("all disconnects are noticed", || {
        program.metric("in_flight") == running.len() as u64
    });
    upstream.release();
    for client in &mut running {
        client.receive().unwrap().expect("a response");
    }
    expect_only_new_requests(&program, &upstream, "simultaneous disconnects");
}

/// The client disconnects between two attempts: one upstream has rejected its request, and the
/// retry is queued for the other.
#[test]
fn a_request_whose_client_has_disconnected_is_not_retried() {
    for bytes_behind in BYTES_BEHIND {
        let (full, busy) = (
            StubUpstream::start(StubResponse::Hold),
            StubUpstream::start(StubResponse::Hold),
        );
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let mut clients = four_forwarded(&program);
        let leaving: usize = full.next().start_line["POST /pay/".len()..][..1]
            .parse()
            .unwrap();
        full.set_response(StubResponse::Rejected);
        full.release();
        disconnect(clients.remove(leaving), bytes_behind, bytes_behind > 0);
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == 3
        });
        busy.release();
        for client in &mut clients {
            assert_eq!(
                client.receive().unwrap().unwrap().status(),
                200,
                "{bytes_behind}"
            );
        }
        let left = format!("POST /pay/{leaving} HTTP/1.1");
        assert!(
            busy.seen
                .try_iter()
                .all(|message| message.start_line != left),
            "{bytes_behind}"
        );
    }
}

/// The connection that a request waits for must not be used after the client has disconnected, even
/// where requests in flight may not be cancelled.
#[test]
fn a_request_whose_client_has_disconnected_waits_for_no_connection() {
    for cancel in [true, false] {
        for bytes_behind in BYTES_BEHIND {
            let upstream = unreachable_address();
            let (program, _discovery) = start(&[upstream], cancel);
            let client = connecting(&program, upstream);
            let port = client.port();
            disconnect(client, bytes_behind, false);
            wait_until("the connections of client and upstream are closed", || {
                !has_pending_connect(upstream) && !program.has_connection_to(port)
            });
        }
    }
}

/// The client disconnects while its request is queued and a part of its body has not been sent.
#[test]
fn a_queued_request_whose_client_disconnects_in_the_middle_of_its_body_is_not_forwarded() {
    for reset in [false, true] {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, waiting) = one_queued(&program, &upstream, "/pay");
        let mut uploading = program.client();
        uploading.write(
            "POST /pay/half HTTP/1.1\r\nHost: b\r\nRequest-Id: c003\r\n\
                Content-Length: 200000\r\n\r\n",
        );
        uploading.write(&"x".repeat(100_000));
        let all = running.len() as u64 + 2;
        wait_until("the request is accepted", || {
            program.metric("in_flight") == all
        });
        disconnect(uploading, 0, reset);
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == all - 1
        });
        upstream.release();
        for client in running.iter_mut().chain([waiting].iter_mut()) {
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
fn queued_requests_whose_clients_disconnected_while_the_process_was_stopped_are_not_forwarded() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        for free_first in [false, true] {
            let upstream = StubUpstream::start(StubResponse::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, leaving) = many_queued(&program, &upstream, 8);
            program.suspend();
            let free = || {
                upstream.release();
                let count = running.len() as u64;
                wait_until("all upstreams have responded", || {
                    upstream.responses.load(Ordering::SeqCst) == count
                });
            };
            free_first.then(free);
            for (number, client) in leaving.into_iter().enumerate() {
                disconnect_while_stopped(&program, client, bytes_behind, number % 2 == 1);
            }
            (!free_first).then(free);
            program.resume();
            for client in &mut running {
                client.receive().unwrap().expect("a response");
            }
            expect_only_new_requests(&program, &upstream, &format!("{bytes_behind} {free_first}"));
        }
    }
}

/// The request and the close of its connection are received while the process is stopped, so that
/// it reads them together.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_forwarded() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = start(&[upstream.address], true);
        for _ in 0..4 {
            let mut client = program.client();
            assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
            upstream.next();
            program.suspend();
            client.send("/pay", REQUEST_ID, "coins").unwrap();
            disconnect_while_stopped(&program, client, bytes_behind, false);
            program.resume();
            expect_only_new_requests(&program, &upstream, &bytes_behind.to_string());
        }
    }
}

/// While the process is stopped, one upstream rejects the first attempt, the other upstream's slots
/// become free, and the client disconnects.
#[test]
fn a_request_whose_client_disconnected_while_the_process_was_stopped_is_not_retried() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let (full, busy) = (
            StubUpstream::start(StubResponse::Hold),
            StubUpstream::start(StubResponse::Hold),
        );
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let clients = four_forwarded(&program);
        let gone = [full.next().start_line, full.next().start_line];
        program.suspend();
        full.set_response(StubResponse::Rejected);
        for upstream in [&full, &busy] {
            upstream.release();
            wait_until("the upstream has responded", || {
                upstream.responses.load(Ordering::SeqCst) == 2
            });
        }
        for (number, client) in clients.into_iter().enumerate() {
            if gone.contains(&format!("POST /pay/{number} HTTP/1.1")) {
                disconnect_while_stopped(&program, client, bytes_behind, false);
            }
        }
        program.resume();
        wait_until("no request is in flight", || {
            program.metric("in_flight") == 0
        });
        assert!(
            busy.seen
                .try_iter()
                .all(|message| !gone.contains(&message.start_line)),
            "{bytes_behind}"
        );
    }
}

/// While the process is stopped, the connection that a request waits for is established, and the
/// client disconnects.
#[test]
fn a_request_is_not_sent_on_a_connection_that_came_up_after_its_client_disconnected() {
    for cancel in [true, false] {
        for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
            let blocked = BlockedPort::new();
            let (program, discovery) = start(&[blocked.address], cancel);
            let _watch = discovery.next();
            let client = connecting(&program, blocked.address);
            program.suspend();
            let all = blocked.waiting.len() as u64 + 1;
            let upstream = blocked.open(StubResponse::Ok);
            wait_until("the connection is established", || {
                upstream.connections.load(Ordering::SeqCst) == all
            });
            disconnect_while_stopped(&program, client, bytes_behind, false);
            program.resume();
            wait_until("the disconnect is noticed", || {
                program.metric("in_flight") == 0
            });
            expect_only_new_requests(&program, &upstream, &format!("{cancel} {bytes_behind}"));
        }
    }
}

/// An upstream starts to process a request when it has received the last byte of the body. That
/// byte must not be forwarded after the client has disconnected.
#[test]
fn a_streamed_body_whose_client_disconnected_while_the_process_was_stopped_stays_incomplete() {
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
            // The head and nearly all of the body that has been sent so far.
            upstream.read_exact(&mut [0; 149_000]).unwrap();
            program.suspend();
            client.write(&"x".repeat(1000));
            disconnect_while_stopped(&program, client, 0, false);
            program.resume();
            let mut rest = Vec::new();
            // The connection may end in a reset.
            let _ = upstream.take(1000).read_to_end(&mut rest);
            assert!(rest.len() < 1000, "{cancel}");
        }
        wait_until("no request is in flight", || {
            program.metric("in_flight") == 0
        });
    }
}

/// The balancer can't distinguish a half-close from a close, so the client counts as disconnected:
/// its request is not forwarded, and its connection is closed without a response.
#[test]
fn a_client_that_half_closes_counts_as_disconnected() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let upstream = StubUpstream::start(StubResponse::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, mut waiting) = one_queued(&program, &upstream, "/pay");
        waiting.write(&"x".repeat(bytes_behind));
        waiting.half_close();
        assert!(waiting.is_closed_by_peer(), "{bytes_behind}");
        let left = running.len() as u64;
        wait_until("the disconnect is noticed", || {
            program.metric("in_flight") == left
        });
        upstream.release();
        for client in &mut running {
            client.receive().unwrap().expect("a response");
        }
        program.suspend();
        let mut early = program.client();
        early.send("/pay", REQUEST_ID, "coins").unwrap();
        early.half_close();
        wait_until("the kernel has received the close", || {
            program.has_received_close_from(early.port())
        });
        program.resume();
        assert!(
            early
                .receive()
                .unwrap()
                .is_none_or(|response| response.status() == 502),
            "{bytes_behind}"
        );
        expect_only_new_requests(&program, &upstream, &bytes_behind.to_string());
        assert_eq!(program.metric("failed.pay"), 0);
    }
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let upstream = StubUpstream::start(StubResponse::Never);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    drop(client);
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the attempt is cancelled");
    upstream.set_response(StubResponse::Ok);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
}
