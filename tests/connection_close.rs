//! What clients get whose bytes lie unread when their connection is closed, or that send more than one request at once.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::Duration;

const ID: &str = "Request-Id: {id}\r\n";
/// Descriptors that a program with a console keeps for it.
const FOR_OPERATORS: usize = 12;

/// Guards against a close over unread bytes: it resets the connection, and what its client has not taken yet of its
/// answer goes with it.
#[test]
fn an_answer_is_whole_though_bytes_lie_behind_its_request_when_the_connection_ends() {
    // More than the buffers on its way take.
    let size = 24 << 20;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n{}",
        "x".repeat(size)
    );
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    upstream.next();
    program.terminate();
    until("it drains", || program.call("GET /healthcheck").0 == 503);
    upstream.set(Reply::Raw(text.leak()));
    upstream.release();
    client.take(1);
    // More than is read ahead.
    let behind = "x".repeat(200_000);
    client.write(&format!(
        "POST /pay HTTP/1.1\r\nRequest-Id: c101\r\nContent-Length: 200000\r\n\r\n{behind}"
    ));
    // The end of it waits for its reader when the connection ends.
    let left = 2 << 20;
    client.take(size - left);
    until("all of it is written", || program.figure("served.pay") == 1);
    sleep(Duration::from_millis(100));
    assert!((left - 1..left + 1000).contains(&client.rest().len()));
    assert!(
        upstream.seen.try_recv().is_err(),
        "what came behind it is not sent on"
    );
}

/// Guards against a caller that is told nothing because its connection is reset while it still sends.
#[test]
fn a_large_request_that_is_turned_away_unread_has_its_answer() {
    let body = "x".repeat(3 << 20);
    let upstreams: Vec<_> = (0..12).map(|_| Upstream::start(Reply::Silent)).collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_console_and(&addresses, 64 + FOR_OPERATORS);
    assert_eq!(program.client().ask("/nothing", ID, &body).status(), 400);
    // There is room for no more than some refusals. Whoever has not asked yet may be shut for the sake of those that
    // have: each comes once those before it have been taken or refused.
    let mut busy = Vec::new();
    for count in 1..=24 {
        let mut client = program.client();
        client.send("/pay", ID, "coins").unwrap();
        busy.push(client);
        let settled = || program.figure("in_flight") + program.figure("refused.pay");
        until("it is settled", || settled() == count);
    }
    assert!(program.figure("refused.pay") > 0, "there is no room");
    assert_eq!(program.client().ask("/pay", ID, &body).status(), 503);
}

/// Guards against requests that are dropped because too many came at once on one connection.
#[test]
fn many_requests_at_once_on_one_connection_have_an_answer_each() {
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    let news = "x".repeat(3000);
    let requests = (0..60)
        .map(|n| format!("GET /read/{n} HTTP/1.1\r\nRequest-Id: d{n}\r\nNews: {news}\r\n\r\n"));
    client.write(&requests.collect::<String>());
    upstream.next();
    sleep(Duration::from_millis(300));
    upstream.release();
    for n in 0..60 {
        let answer = client
            .receive()
            .unwrap()
            .unwrap_or_else(|| panic!("an answer to {n}"));
        assert!(
            String::from_utf8_lossy(&answer.body).starts_with(&format!("GET /read/{n} ")),
            "{answer:?}"
        );
    }
}

/// Guards against clients that send much at once, and nothing that anybody is to read, until there is no memory.
#[test]
fn what_comes_behind_requests_that_wait_takes_little_memory() {
    let upstream = Upstream::start(Reply::Silent);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut clients: Vec<_> = (0..60).map(|_| program.client()).collect();
    let flood = "x".repeat(4 << 20);
    for client in &mut clients {
        client.send("/pay", ID, "coins").unwrap();
        client.write(&flood);
    }
    assert!(program.memory() < 40 << 20, "{}", program.memory());
}

/// Guards against a request that is read after its connection was shut and goes on to an upstream: its client sends it
/// again elsewhere.
#[test]
fn what_comes_after_the_shutdown_of_a_resting_connection_is_not_sent_on() {
    let upstream = Upstream::start(Reply::Ok);
    let (mut program, _discovery) = Program::with(&[upstream.address]);
    let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.ask("/pay", ID, "coins").status(), 200));
    assert_eq!(upstream.seen.try_iter().count(), 8);
    program.terminate();
    for client in &mut clients {
        assert!(client.is_closed());
        // The program may have ended by now.
        let _ = client.send("/pay", ID, "coins");
    }
    assert!(program.wait().success());
    assert!(upstream.seen.try_recv().is_err());
}

/// So many requests at once, each in the name of this tag.
fn at_once(tag: &str, count: usize) -> String {
    let request = |number| {
        format!("GET /read/{number} HTTP/1.1\r\nHost: b\r\nRequest-Id: {tag}{number}\r\n\r\n")
    };
    (0..count).map(request).collect()
}

/// A request that has been read is lost if its connection ends without an answer to it: what came at once before the
/// process is told to end, or clients are sent away, is answered to the last one, and that ends the connection.
#[test]
fn what_came_at_once_is_answered_before_its_connection_ends() {
    let each_is_answered = |client: &mut Client, what: &str| {
        for number in 0..6 {
            let answer = client
                .receive()
                .unwrap()
                .unwrap_or_else(|| panic!("{what}, {number}"));
            assert_eq!(
                (answer.status(), answer.header("connection")),
                (200, (number == 5).then_some("close"))
            );
        }
        assert!(client.is_closed(), "{what}");
    };
    for ends in [true, false] {
        let upstream = Upstream::start(Reply::Hold);
        let (program, _discovery) = Program::with_console(&[upstream.address]);
        let mut client = program.client();
        client.write(&at_once("a", 6));
        upstream.next();
        if ends {
            program.terminate();
            until("it drains", || program.call("GET /healthcheck").0 == 503);
        } else {
            assert_eq!(program.call("POST /healthcheck/fail").0, 200);
        }
        upstream.release();
        each_is_answered(&mut client, "those that waited");
        let mut new = program.client();
        new.write(&at_once("b", 6));
        each_is_answered(&mut new, "those on a new connection");
    }
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    assert_eq!(
        client.ask("/read", "Request-Id: {id}\r\n", "").status(),
        200
    );
    program.hold();
    client.write(&at_once("c", 6));
    program.terminate();
    program.go_on();
    each_is_answered(&mut client, "those that had not been read");
}
