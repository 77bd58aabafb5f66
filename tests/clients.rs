//! Clients that leave, and what is not sent on for them any more.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";
/// The most that is read of a client while its request waits, and much more than that.
const BEHIND: [usize; 3] = [0, 20, 200_000];

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        sleep(Duration::from_millis(2));
    }
}

/// A program whose calls wait for longer than any test, so that none is given up but for its client.
fn patient(upstreams: &[SocketAddr], cancel: bool) -> (Program, DiscoveryPeer) {
    let discovery = DiscoveryPeer::start();
    let entries = upstreams.iter().enumerate();
    let entries: Vec<_> = entries.map(|(n, a)| endpoint(&format!("u{n}"), *a, "in_service")).collect();
    let config = config(&list(5, true, &entries), discovery.address, 256)
        .replace("\"aim\":5.0,\"hardLimit\":10.0", "\"aim\":200.0,\"hardLimit\":400.0")
        .replace("Timeout\":1.0", "Timeout\":60.0")
        .replace("\"cancel\":true", &format!("\"cancel\":{cancel}"));
    let variables = [("PROXY_CONSOLE", "127.0.0.1:0")];
    (Program::start_with(&variables, &config, "127.0.0.1:0"), discovery)
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

/// Calls that fill what an upstream may have at a time, and one more that waits.
fn held(program: &Program, upstream: &Upstream, path: &str) -> (Vec<Client>, Client) {
    let mut running = Vec::new();
    loop {
        let mut client = program.client();
        client.send(path, ID, "").unwrap();
        running.push(client);
        let taken = running.len() as u64;
        until("it is taken", || program.figure("in_flight") == taken);
        // One that is not held is written whole before it is told as taken by a second look.
        if program.figure("attempts") < taken {
            let waiting = running.pop().unwrap();
            (1..taken).for_each(|_| drop(upstream.next()));
            return (running, waiting);
        }
    }
}

/// Guards against a request that is sent on after its client has left while it was held, also where bytes behind it
/// hide that.
#[test]
fn a_held_request_whose_client_has_left_is_not_sent_on() {
    for behind in BEHIND {
        for reset in [false, true] {
            let upstream = Upstream::start(Reply::Hold);
            let (program, _discovery) = patient(&[upstream.address], true);
            let (mut running, waiting) = held(&program, &upstream, "/pay");
            leave(waiting, behind, reset);
            let left = running.len() as u64;
            until("its end is seen", || program.figure("in_flight") == left);
            upstream.release();
            for client in &mut running {
                assert_eq!(client.receive().unwrap().unwrap().status(), 200, "{behind} {reset}");
            }
            assert_eq!(program.client().ask("/pay/last", ID, "").status(), 200);
            assert_eq!(upstream.next().first, "POST /pay/last HTTP/1.1", "{behind} {reset}");
        }
    }
}

/// The same for many that leave at once, each in a way of its own.
#[test]
fn held_requests_whose_clients_leave_together_are_not_sent_on() {
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = patient(&[upstream.address], true);
    let (mut running, waiting) = held(&program, &upstream, "/pay");
    let mut leaving = vec![waiting];
    for _ in 0..11 {
        let mut client = program.client();
        client.send("/pay", ID, "").unwrap();
        leaving.push(client);
    }
    let all = (running.len() + leaving.len()) as u64;
    until("all are taken", || program.figure("in_flight") == all);
    for (number, client) in leaving.into_iter().enumerate() {
        leave(client, BEHIND[number % 3], number % 2 == 0);
    }
    until("their ends are seen", || program.figure("in_flight") == running.len() as u64);
    upstream.release();
    running.iter_mut().for_each(|client| drop(client.receive().unwrap().expect("an answer")));
    assert_eq!(program.client().ask("/pay/last", ID, "").status(), 200);
    assert_eq!(upstream.next().first, "POST /pay/last HTTP/1.1");
}

/// Guards against a client that leaves between two attempts: turned away by one upstream, its request waits for the
/// other, where all slots are taken.
#[test]
fn a_request_whose_client_has_left_is_not_tried_again() {
    for behind in BEHIND {
        let (full, busy) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
        let (program, _discovery) = patient(&[full.address, busy.address], true);
        let mut clients: Vec<_> = (0..4).map(|_| program.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&format!("/pay/{number}"), ID, "").unwrap();
        }
        until("all are out", || program.figure("attempts") == 4);
        let leaving: usize = full.next().first["POST /pay/".len()..][..1].parse().unwrap();
        full.set(Reply::NotStarted);
        full.release();
        leave(clients.remove(leaving), behind, behind > 0);
        until("its end is seen", || program.figure("in_flight") == 3);
        busy.release();
        for client in &mut clients {
            assert_eq!(client.receive().unwrap().unwrap().status(), 200, "{behind}");
        }
        let left = format!("POST /pay/{leaving} HTTP/1.1");
        assert!(busy.seen.try_iter().all(|message| message.first != left), "{behind}");
    }
}

/// Guards against a request that goes out once its connection comes up, though its client has left before, also where
/// what is out may not be cancelled.
#[test]
fn a_request_whose_client_has_left_waits_for_no_connection() {
    for cancel in [true, false] {
        for behind in BEHIND {
            let (program, discovery) = patient(&[unreachable()], cancel);
            let _watch = discovery.next();
            until("nothing is open", || program.figure("in_flight") == 0);
            let before = program.descriptors();
            let mut client = program.client();
            client.send("/pay", ID, "coins").unwrap();
            until("it connects", || program.descriptors() == before + 2);
            leave(client, behind, false);
            until("its connection is given up", || program.descriptors() == before);
        }
    }
}
