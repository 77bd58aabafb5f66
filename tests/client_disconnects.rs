//! Clients that leave, and what is not sent on for them any more.

mod peers;
use peers::*;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;

const ID: &str = "Request-Id: {id}\r\n";
/// The most that is read of a client while its request waits, and much more than that.
const BEHIND: [usize; 3] = [0, 20, 200_000];
/// What the kernel takes for a program that stands still.
const BEHIND_STILL: [usize; 3] = [0, 20, 30_000];

/// A program whose calls wait for longer than any test, so that none is given up but for its client.
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

/// How a client leaves: with so many bytes behind its request, and by a reset or not.
fn leave(mut client: Client, behind: usize, reset: bool) {
    if behind > 0 {
        client.write("GET /read/behind HTTP/1.1\r\n");
        client.write(&"x".repeat(behind));
    }
    if reset {
        client.reset();
    }
}

/// The same, and its end has reached the program's machine.
fn leave_unseen(program: &Program, client: Client, behind: usize, reset: bool) {
    let port = client.port();
    leave(client, behind, reset);
    until("its end has come", || program.has_end_of(port));
}

/// Calls that fill what an upstream may have at a time, two at the start, and one more that waits.
fn held(program: &Program, upstream: &Upstream, path: &str) -> (Vec<Client>, Client) {
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

/// The same with so many that wait.
fn many_held(program: &Program, upstream: &Upstream, count: usize) -> (Vec<Client>, Vec<Client>) {
    let (running, waiting) = held(program, upstream, "/pay");
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

/// Four clients, whose calls to `/pay/0`, `/pay/1` and so on are all out.
fn four_out(program: &Program) -> Vec<Client> {
    let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&format!("/pay/{number}"), ID, "").unwrap();
    }
    until("all are out", || program.figure("attempts") == 4);
    clients
}

/// A client whose call waits for a connection to this upstream.
fn connecting(program: &Program, upstream: SocketAddr) -> Client {
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    until("it connects", || is_awaited(upstream));
    client
}

/// The next that reaches the upstream is a request that comes now: nothing of those that have left does.
fn only_new_ones_come(program: &Program, upstream: &Upstream, what: &str) {
    assert_eq!(
        program.client().ask("/pay/last", ID, "").status(),
        200,
        "{what}"
    );
    assert_eq!(upstream.next().first, "POST /pay/last HTTP/1.1", "{what}");
}

/// Guards against a request that is sent on after its client has left while it was held, also where bytes behind it
/// hide that.
#[test]
fn a_held_request_whose_client_has_left_is_not_sent_on() {
    for behind in BEHIND {
        for reset in [false, true] {
            let upstream = Upstream::start(Reply::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, waiting) = held(&program, &upstream, "/pay");
            leave(waiting, behind, reset);
            let left = running.len() as u64;
            until("its end is seen", || program.figure("in_flight") == left);
            upstream.release();
            for client in &mut running {
                assert_eq!(
                    client.receive().unwrap().unwrap().status(),
                    200,
                    "{behind} {reset}"
                );
            }
            only_new_ones_come(&program, &upstream, &format!("{behind} {reset}"));
        }
    }
}

/// The same for many that leave at once, each in a way of its own.
#[test]
fn held_requests_whose_clients_leave_together_are_not_sent_on() {
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = start(&[upstream.address], true);
    let (mut running, leaving) = many_held(&program, &upstream, 12);
    for (number, client) in leaving.into_iter().enumerate() {
        leave(client, BEHIND[number % 3], number % 2 == 0);
    }
    until("their ends are seen", || {
        program.figure("in_flight") == running.len() as u64
    });
    upstream.release();
    running
        .iter_mut()
        .for_each(|client| drop(client.receive().unwrap().expect("an answer")));
    only_new_ones_come(&program, &upstream, "they have left together");
}

/// Guards against a client that leaves between two attempts: turned away by one upstream, its request waits for the
/// other, where all slots are taken.
#[test]
fn a_request_whose_client_has_left_is_not_tried_again() {
    for behind in BEHIND {
        let (full, busy) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let mut clients = four_out(&program);
        let leaving: usize = full.next().first["POST /pay/".len()..][..1]
            .parse()
            .unwrap();
        full.set(Reply::NotStarted);
        full.release();
        leave(clients.remove(leaving), behind, behind > 0);
        until("its end is seen", || program.figure("in_flight") == 3);
        busy.release();
        for client in &mut clients {
            assert_eq!(client.receive().unwrap().unwrap().status(), 200, "{behind}");
        }
        let left = format!("POST /pay/{leaving} HTTP/1.1");
        assert!(
            busy.seen.try_iter().all(|message| message.first != left),
            "{behind}"
        );
    }
}

/// Guards against a request that goes out once its connection comes up, though its client has left before, also where
/// what is out may not be cancelled.
#[test]
fn a_request_whose_client_has_left_waits_for_no_connection() {
    for cancel in [true, false] {
        for behind in BEHIND {
            let upstream = unreachable();
            let (program, _discovery) = start(&[upstream], cancel);
            let client = connecting(&program, upstream);
            let port = client.port();
            leave(client, behind, false);
            until("its connections are closed", || {
                !is_awaited(upstream) && !program.holds(port)
            });
        }
    }
}

/// Guards against a request whose client leaves while it is held in the middle of its body.
#[test]
fn a_held_request_whose_client_leaves_in_the_middle_of_its_body_is_not_sent_on() {
    for reset in [false, true] {
        let upstream = Upstream::start(Reply::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, waiting) = held(&program, &upstream, "/pay");
        let mut uploading = program.client();
        uploading.write(
            "POST /pay/half HTTP/1.1\r\nHost: b\r\nRequest-Id: c003\r\nContent-Length: 200000\r\n\r\n",
        );
        uploading.write(&"x".repeat(100_000));
        let all = running.len() as u64 + 2;
        until("it is taken", || program.figure("in_flight") == all);
        leave(uploading, 0, reset);
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

/// Guards against the order in which a program that was short of its core takes what has come meanwhile: many clients
/// have left, each in a way of its own, and slots have become free, before or after that.
#[test]
fn held_requests_whose_clients_left_while_the_program_stood_still_are_not_sent_on() {
    for behind in BEHIND_STILL {
        for free_first in [false, true] {
            let upstream = Upstream::start(Reply::Hold);
            let (program, _discovery) = start(&[upstream.address], true);
            let (mut running, leaving) = many_held(&program, &upstream, 8);
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
                leave_unseen(&program, client, behind, number % 2 == 1);
            }
            (!free_first).then(free);
            program.go_on();
            running
                .iter_mut()
                .for_each(|client| drop(client.receive().unwrap().expect("an answer")));
            only_new_ones_come(&program, &upstream, &format!("{behind} {free_first}"));
        }
    }
}

/// The same for a client that left before its request was read.
#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent_on() {
    for behind in BEHIND_STILL {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = start(&[upstream.address], true);
        for _ in 0..4 {
            let mut client = program.client();
            assert_eq!(client.ask("/read", ID, "").status(), 200);
            upstream.next();
            program.hold();
            client.send("/pay", ID, "coins").unwrap();
            leave_unseen(&program, client, behind, false);
            program.go_on();
            only_new_ones_come(&program, &upstream, &behind.to_string());
        }
    }
}

/// The same for one whose first attempt has been turned away meanwhile, while the other upstream's slots became free.
#[test]
fn a_request_whose_client_left_while_the_program_stood_still_is_not_tried_again() {
    for behind in BEHIND_STILL {
        let (full, busy) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
        let (program, _discovery) = start(&[full.address, busy.address], true);
        let clients = four_out(&program);
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
                leave_unseen(&program, client, behind, false);
            }
        }
        program.go_on();
        until("nothing is left", || program.figure("in_flight") == 0);
        assert!(
            busy.seen
                .try_iter()
                .all(|message| !gone.contains(&message.first)),
            "{behind}"
        );
    }
}

/// The same for one whose connection to its upstream came up meanwhile.
#[test]
fn a_request_whose_client_left_while_the_program_stood_still_is_not_sent_on_a_new_connection() {
    for cancel in [true, false] {
        for behind in BEHIND_STILL {
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
            leave_unseen(&program, client, behind, false);
            program.go_on();
            until("its end is seen", || program.figure("in_flight") == 0);
            only_new_ones_come(&program, &upstream, &format!("{cancel} {behind}"));
        }
    }
}

/// Guards against the last byte of a body, with which its upstream begins, that is passed on though its client has
/// left behind it.
#[test]
fn a_streamed_body_whose_client_left_while_the_program_stood_still_stays_unfinished() {
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
            // With the head before it, nearly all that has been written so far.
            upstream.read_exact(&mut [0; 149_000]).unwrap();
            program.hold();
            client.write(&"x".repeat(1000));
            leave_unseen(&program, client, 0, false);
            program.go_on();
            let mut rest = Vec::new();
            // It may end in a reset.
            let _ = upstream.take(1000).read_to_end(&mut rest);
            assert!(rest.len() < 1000, "{cancel}");
        }
        until("nothing is left", || program.figure("in_flight") == 0);
    }
}

/// A client that closes the half on which it sends counts as gone, as its end can't be told from a close: what it asked
/// for is not sent on, and its connection ends without an answer.
#[test]
fn a_client_that_half_closes_has_gone() {
    for behind in BEHIND_STILL {
        let upstream = Upstream::start(Reply::Hold);
        let (program, _discovery) = start(&[upstream.address], true);
        let (mut running, mut waiting) = held(&program, &upstream, "/pay");
        waiting.write(&"x".repeat(behind));
        waiting.half_close();
        assert!(waiting.is_closed(), "{behind}");
        let left = running.len() as u64;
        until("its end is seen", || program.figure("in_flight") == left);
        upstream.release();
        running
            .iter_mut()
            .for_each(|client| drop(client.receive().unwrap().expect("an answer")));
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
                .is_none_or(|answer| answer.status() == 502),
            "{behind}"
        );
        only_new_ones_come(&program, &upstream, &behind.to_string());
        assert_eq!(program.figure("failed.pay"), 0);
    }
}
