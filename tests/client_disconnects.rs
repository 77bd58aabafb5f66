//! Clients that disconnect: their requests are not forwarded any more.

mod peers;
use peers::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;

const ID: &str = "Request-Id: {id}\r\n";
/// Bytes bytes_behind a request: none, few, and many more than are read ahead.
const BYTES_BEHIND: [usize; 3] = [0, 20, 200_000];
/// The same, limited to what the kernel buffers for a process that is stopped.
const BYTES_BEHIND_WHILE_STOPPED: [usize; 3] = [0, 20, 30_000];

/// A balancer with deadlines beyond the time of any test, so that requests end early only with
/// their clients.
fn start(upstreams: &[SocketAddr], cancel: bool) -> (Program, DiscoveryPeer) {
    let discovery = DiscoveryPeer::start();
    let config = patient(&config_of(upstreams, discovery.address, 256))
        .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let variables = [("PROXY_CONSOLE", "127.0.0.1:0")];
    (
        Program::start_with(&variables, &config, "127.0.0.1:0"),
        discovery,
    )
}

/// Disconnects a client, with this many bytes bytes_behind its request, by a close or a reset.
fn disconnect(mut client: Client, bytes_behind: usize, reset: bool) {
    if bytes_behind > 0 {
        client.write("GET /read/behind HTTP/1.1\r\n");
        client.write(&"x".repeat(bytes_behind));
    }
    if reset {
        client.reset();
    }
}

/// The same, and waits until the kernel of the stopped process has received it.
fn disconnect_while_stopped(program: &Program, client: Client, bytes_behind: usize, reset: bool) {
    let port = client.port();
    disconnect(client, bytes_behind, reset);
    until("its end has come", || program.has_end_of(port));
}

/// Requests that fill an upstream's concurrency limit, two at the start, and one more that is
/// queued.
fn one_queued(program: &Program, upstream: &Upstream, path: &str) -> (Vec<Client>, Client) {
    let next = |count, figure| {
        let mut client = program.client();
        client.send(path, ID, "").unwrap();
        until(figure, || program.figure(figure) == count);
        client
    };
    let running = vec![next(1, "attempts"), next(2, "attempts")];
    let waiting = next(3, "in_flight");
    running.iter().for_each(|_| drop(upstream.next()));
    (running, waiting)
}

/// The same with this many queued requests.
fn many_queued(program: &Program, upstream: &Upstream, count: usize) -> (Vec<Client>, Vec<Client>) {
    let (running, waiting) = one_queued(program, upstream, "/pay");
    let mut all_waiting = vec![waiting];
    while all_waiting.len() < count {
        let mut client = program.client();
        client.send("/pay", ID, "").unwrap();
        all_waiting.push(client);
    }
    let all = (running.len() + count) as u64;
    until("all are taken", || program.figure("in_flight") == all);
    (running, all_waiting)
}

/// Four clients, whose requests to `/pay/0`, `/pay/1` and so on have all been forwarded.
fn four_forwarded(program: &Program) -> Vec<Client> {
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&format!("/pay/{number}"), ID, "").unwrap();
    }
    until("all are out", || program.figure("attempts") == 4);
    clients
}

/// A client whose request waits for a connection to this upstream.
fn connecting(program: &Program, upstream: SocketAddr) -> Client {
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    until("it connects", || is_awaited(upstream));
    client
}

/// The next request to reach the upstream is a new one: none of the clients that have
/// disconnected does.
fn expect_only_new_requests(program: &Program, upstream: &Upstream, what: &str) {
    assert_eq!(
        program.client().ask("/pay/last", ID, "").status(),
        200,
        "{what}"
    );
    assert_eq!(upstream.next().first, "POST /pay/last HTTP/1.1", "{what}");
}

/// Bytes bytes_behind a queued request must not hide that its client has disconnected.
#[test]
fn a_queued_request_whose_client_has_disconnected_is_not_forwarded() {
    for bytes_behind in BYTES_BEHIND {
        for reset in [false, true] {
            let upstream = Upstream::start(Reply::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, waiting) = one_queued(&program, &upstream, "/pay");
            disconnect(waiting, bytes_behind, reset);
            let left = running.len() as u64;
            until("its end is seen", || program.figure("in_flight") == left);
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

/// The same for many clients that disconnect together, in different ways.
#[test]
fn queued_requests_whose_clients_disconnect_together_are_not_forwarded() {
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = start(&[upstream.address], true);
    let (mut running, leaving) = many_queued(&program, &upstream, 12);
    for (number, client) in leaving.into_iter().enumerate() {
        disconnect(client, BYTES_BEHIND[number % 3], number % 2 == 0);
    }
    until("their ends are seen", || {
        program.figure("in_flight") == running.len() as u64
    });
    upstream.release();
    running
        .iter_mut()
        .for_each(|client| drop(client.receive().unwrap().expect("a response")));
    expect_only_new_requests(&program, &upstream, "they have left together");
}

/// The client disconnects between two attempts: one upstream has rejected its request, which is
/// queued for the other.
#[test]
fn a_request_whose_client_has_disconnected_is_not_retried() {
    for bytes_behind in BYTES_BEHIND {
        let (full, busy) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let mut clients = four_forwarded(&program);
        let leaving: usize = full.next().first["POST /pay/".len()..][..1]
            .parse()
            .unwrap();
        full.set(Reply::NotStarted);
        full.release();
        disconnect(clients.remove(leaving), bytes_behind, bytes_behind > 0);
        until("its end is seen", || program.figure("in_flight") == 3);
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
            busy.seen.try_iter().all(|message| message.first != left),
            "{bytes_behind}"
        );
    }
}

/// A request must not be sent on a connection that comes up after its client has disconnected,
/// also where requests in flight may not be cancelled.
#[test]
fn a_request_whose_client_has_disconnected_waits_for_no_connection() {
    for cancel in [true, false] {
        for bytes_behind in BYTES_BEHIND {
            let upstream = unreachable();
            let (program, _discovery) = start(&[upstream], cancel);
            let client = connecting(&program, upstream);
            let port = client.port();
            disconnect(client, bytes_behind, false);
            until("its connections are closed", || {
                !is_awaited(upstream) && !program.holds(port)
            });
        }
    }
}

/// The client disconnects while its request is queued and a part of its body is still to come.
#[test]
fn a_queued_request_whose_client_disconnects_in_the_middle_of_its_body_is_not_forwarded() {
    for reset in [false, true] {
        let upstream = Upstream::start(Reply::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, waiting) = one_queued(&program, &upstream, "/pay");
        let mut uploading = program.client();
        uploading.write(
            "POST /pay/half HTTP/1.1\r\nHost: b\r\nRequest-Id: c003\r\nContent-Length: 200000\r\n\r\n",
        );
        uploading.write(&"x".repeat(100_000));
        let all = running.len() as u64 + 2;
        until("it is taken", || program.figure("in_flight") == all);
        disconnect(uploading, 0, reset);
        until("its end is seen", || program.figure("in_flight") == all - 1);
        upstream.release();
        for client in running.iter_mut().chain([waiting].iter_mut()) {
            assert_eq!(client.receive().unwrap().unwrap().status(), 200);
        }
        assert!(upstream
            .seen
            .try_iter()
            .all(|message| !message.first.contains("half")));
        assert_eq!(program.figure("in_flight"), 0);
    }
}

/// A process that got no CPU time for a while may handle events in any order: clients have
/// disconnected in different ways, and slots have become free, before or after that.
#[test]
fn queued_requests_whose_clients_disconnected_while_the_process_was_stopped_are_not_forwarded() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        for free_first in [false, true] {
            let upstream = Upstream::start(Reply::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, leaving) = many_queued(&program, &upstream, 8);
            program.hold();
            let free = || {
                upstream.release();
                let count = running.len() as u64;
                until("all have answered", || {
                    upstream.answered.load(Ordering::SeqCst) == count
                });
            };
            free_first.then(free);
            for (number, client) in leaving.into_iter().enumerate() {
                disconnect_while_stopped(&program, client, bytes_behind, number % 2 == 1);
            }
            (!free_first).then(free);
            program.go_on();
            running
                .iter_mut()
                .for_each(|client| drop(client.receive().unwrap().expect("a response")));
            expect_only_new_requests(&program, &upstream, &format!("{bytes_behind} {free_first}"));
        }
    }
}

/// The same for a client that disconnected before its request was read.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_forwarded() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = start(&[upstream.address], true);
        for _ in 0..4 {
            let mut client = program.client();
            assert_eq!(client.ask("/read", ID, "").status(), 200);
            upstream.next();
            program.hold();
            client.send("/pay", ID, "coins").unwrap();
            disconnect_while_stopped(&program, client, bytes_behind, false);
            program.go_on();
            expect_only_new_requests(&program, &upstream, &bytes_behind.to_string());
        }
    }
}

/// The same for one whose first attempt was rejected meanwhile, while the other upstream's slots
/// became free.
#[test]
fn a_request_whose_client_disconnected_while_the_process_was_stopped_is_not_retried() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let (full, busy) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let clients = four_forwarded(&program);
        let gone = [full.next().first, full.next().first];
        program.hold();
        full.set(Reply::NotStarted);
        for upstream in [&full, &busy] {
            upstream.release();
            until("it has answered", || {
                upstream.answered.load(Ordering::SeqCst) == 2
            });
        }
        for (number, client) in clients.into_iter().enumerate() {
            if gone.contains(&format!("POST /pay/{number} HTTP/1.1")) {
                disconnect_while_stopped(&program, client, bytes_behind, false);
            }
        }
        program.go_on();
        until("nothing is left", || program.figure("in_flight") == 0);
        assert!(
            busy.seen
                .try_iter()
                .all(|message| !gone.contains(&message.first)),
            "{bytes_behind}"
        );
    }
}

/// The same for one whose connection to its upstream was established meanwhile.
#[test]
fn a_request_is_not_sent_on_a_connection_that_came_up_after_its_client_disconnected() {
    for cancel in [true, false] {
        for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
            let door = Door::shut();
            let (program, discovery) = start(&[door.address], cancel);
            let _watch = discovery.next();
            let client = connecting(&program, door.address);
            program.hold();
            let all = door.waiting.len() as u64 + 1;
            let upstream = door.open(Reply::Ok);
            until("its connection is up", || {
                upstream.connections.load(Ordering::SeqCst) == all
            });
            disconnect_while_stopped(&program, client, bytes_behind, false);
            program.go_on();
            until("its end is seen", || program.figure("in_flight") == 0);
            expect_only_new_requests(&program, &upstream, &format!("{cancel} {bytes_behind}"));
        }
    }
}

/// The upstream begins with the last byte of a body, which must not be forwarded after the client
/// has disconnected.
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
            // Together with the head this is nearly all that has been sent so far.
            upstream.read_exact(&mut [0; 149_000]).unwrap();
            program.hold();
            client.write(&"x".repeat(1000));
            disconnect_while_stopped(&program, client, 0, false);
            program.go_on();
            let mut rest = Vec::new();
            // The connection may end in a reset.
            let _ = upstream.take(1000).read_to_end(&mut rest);
            assert!(rest.len() < 1000, "{cancel}");
        }
        until("nothing is left", || program.figure("in_flight") == 0);
    }
}

/// A half-close can't be told from a close, so such a client counts as disconnected: its request
/// is not forwarded, and its connection closes without a response.
#[test]
fn a_client_that_half_closes_counts_as_disconnected() {
    for bytes_behind in BYTES_BEHIND_WHILE_STOPPED {
        let upstream = Upstream::start(Reply::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, mut waiting) = one_queued(&program, &upstream, "/pay");
        waiting.write(&"x".repeat(bytes_behind));
        waiting.half_close();
        assert!(waiting.is_closed(), "{bytes_behind}");
        let left = running.len() as u64;
        until("its end is seen", || program.figure("in_flight") == left);
        upstream.release();
        running
            .iter_mut()
            .for_each(|client| drop(client.receive().unwrap().expect("a response")));
        program.hold();
        let mut early = program.client();
        early.send("/pay", ID, "coins").unwrap();
        early.half_close();
        until("its end has come", || program.has_end_of(early.port()));
        program.go_on();
        assert!(
            early
                .receive()
                .unwrap()
                .is_none_or(|response| response.status() == 502),
            "{bytes_behind}"
        );
        expect_only_new_requests(&program, &upstream, &bytes_behind.to_string());
        assert_eq!(program.figure("failed.pay"), 0);
    }
}
