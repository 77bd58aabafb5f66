//! Large, slow and oddly framed bodies through the real program.

mod peers;
use peers::*;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";

/// Bytes that differ from place to place.
fn bytes(count: usize) -> String {
    (0..count)
        .map(|n| char::from(b'a' + (n * 7 + n / 1009) as u8 % 26))
        .collect()
}

fn chunked(body: &str, size: usize) -> String {
    let chunk = |part: &[u8]| {
        format!(
            "{:x};news=1\r\n{}\r\n",
            part.len(),
            std::str::from_utf8(part).unwrap()
        )
    };
    body.as_bytes().chunks(size).map(chunk).collect::<String>() + "0\r\nTrailer: t\r\n\r\n"
}

#[test]
fn a_large_answer_reaches_its_client_as_it_was_whatever_its_framing() {
    let body = bytes(3 << 20);
    let framings = [
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ),
        format!(
            "HTTP/1.1 200 \r\nTRANSFER-ENCODING:chunked\r\n\r\n{}",
            chunked(&body, 50_000)
        ),
    ];
    for answer in framings {
        let upstream = Upstream::raw(&answer);
        let (program, _discovery) = Program::with_console(&[upstream.address]);
        let mut client = program.client();
        for _ in 0..3 {
            let answer = client.ask("/read", ID, "");
            assert_eq!(answer.status(), 200);
            assert!(answer.body == body.as_bytes());
        }
        let connections = upstream
            .connections
            .load(std::sync::atomic::Ordering::SeqCst);
        assert_eq!(connections, 1);
        assert_eq!(program.figure("served.read"), 3);
        assert_eq!(program.figure("in_flight"), 0);
    }
}

/// Guards against an answer taken for spoilt though it says that it ends with its connection.
#[test]
fn an_answer_may_end_with_its_connection_if_it_says_so() {
    for count in [3, 1 << 20] {
        let body = bytes(count);
        let upstream = Upstream::start(Reply::Once(
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}").leak(),
        ));
        let (program, _discovery) = Program::with(&[upstream.address]);
        let mut client = program.client();
        for _ in 0..2 {
            let answer = client.ask("/read", ID, "");
            assert!(
                answer.status() == 200 && answer.body == body.as_bytes(),
                "{count}"
            );
        }
    }
}

/// Guards against a part of an answer that is taken for all of it.
#[test]
fn a_large_answer_that_breaks_off_ends_so_that_its_client_can_tell() {
    let upstream = Upstream::start(Reply::CutOffLarge);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", ID, "coins").unwrap();
    let text = String::from_utf8(client.rest()).unwrap();
    assert!(text.to_lowercase().contains("content-length: 1000000") && text.len() < 1_000_000);
    assert_eq!(
        (program.figure("failed.pay"), program.figure("served.pay")),
        (1, 0)
    );
    assert_eq!(program.figure("in_flight"), 0);
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

#[test]
fn a_body_in_chunks_or_announced_first_goes_on_as_it_was() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    let tell = "Transfer-Encoding:   chunked \r\nExpect: 100-continue\r\n";
    for (count, size) in [(0, 1), (10, 1), (40_000, 999), (2 << 20, 60_000)] {
        let body = bytes(count);
        client.send("/pay", &format!("{ID}{tell}"), "").unwrap();
        let interim = client.receive().unwrap().unwrap();
        assert_eq!(interim.status(), 100);
        client.write(&chunked(&body, size));
        assert_eq!(client.receive().unwrap().unwrap().status(), 200, "{count}");
        assert!(upstream.next().body == body.as_bytes(), "{count}");
    }
    // Nothing comes, and it says so at its end.
    client
        .send("/read", &format!("{ID}Transfer-Encoding: chunked\r\n"), "")
        .unwrap();
    client.write("0\r\n\r\n");
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
}

#[test]
fn a_large_body_goes_elsewhere_while_none_of_the_rest_is_read() {
    let refusing = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[refusing, upstream.address]);
    let body = bytes(1 << 20);
    for _ in 0..4 {
        assert_eq!(program.client().ask("/pay", ID, &body).status(), 200);
        assert!(upstream.next().body == body.as_bytes());
    }
}

/// Guards against a client that is told nothing because it is still sending, and against sending half of a body
/// somewhere else.
#[test]
fn a_large_body_that_is_turned_away_has_its_answer() {
    let upstream = Upstream::start(Reply::NotStarted);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let answer = program.client().ask("/pay", ID, &bytes(4 << 20));
    assert_eq!(answer.status(), 503);
    assert_eq!(program.figure("refused.pay"), 1);
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

/// Guards against cutting off a client that still sends when it has its answer: that may take longer than a head may.
#[test]
fn the_rest_of_a_body_may_come_long_after_its_answer() {
    let nobody = Refusing::new();
    let (program, _discovery) = Program::with(&[nobody.address]);
    for _ in 0..10 {
        let mut last = Instant::now();
        let mut client = program.client();
        client
            .write("POST /pay HTTP/1.1\r\nRequest-Id: ee03\r\nTransfer-Encoding: chunked\r\n\r\n");
        client.write(&format!("30d40\r\n{}\r\n", bytes(200_000)));
        let (mut write, (stop, stopped)) = (client.writer(), channel());
        let sending = thread::spawn(move || {
            let mut longest = last.elapsed();
            while stopped.recv_timeout(Duration::from_millis(20)) == Err(RecvTimeoutError::Timeout)
            {
                // Where the connection has ended, the next request shows it.
                let _ = write("1\r\nx\r\n");
                longest = longest.max(last.elapsed());
                last = Instant::now();
            }
            let _ = write("0\r\n\r\n");
            longest.max(last.elapsed())
        });
        let answer = client.receive();
        // Longer than a head may take.
        sleep(Duration::from_secs(4));
        stop.send(()).unwrap();
        // Where the machine has kept the client from sending, it may be cut off: that shows nothing.
        if sending.join().unwrap() < Duration::from_secs(2) {
            assert_eq!(answer.unwrap().expect("an answer").status(), 503);
            assert_eq!(client.ask("/pay", ID, "coins").status(), 503);
            return;
        }
    }
    panic!("the machine let the client send at no time");
}

/// Guards against cutting off a client that sends slowly but keeps sending, longer than a first request may take.
#[test]
fn a_slow_body_is_waited_for() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    let body = bytes(300_000);
    let head = format!(
        "POST /pay HTTP/1.1\r\nRequest-Id: ee01\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    client.write(&head);
    for part in body.as_bytes().chunks(10_000) {
        client.write(std::str::from_utf8(part).unwrap());
        sleep(Duration::from_millis(100));
    }
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert!(upstream.next().body == body.as_bytes());
}

/// Guards against calling a body late that was there in time, while the program had no turn to read it.
#[test]
fn a_body_that_came_while_the_program_stood_still_is_in_time() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let (mut client, body) = (program.client(), bytes(60_000));
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee04\r\nContent-Length: 60000\r\n");
    client.write("Expect: 100-continue\r\n\r\n");
    assert_eq!(client.receive().unwrap().unwrap().status(), 100);
    program.hold();
    client.write(&body);
    // Longer than a body of this size may take; more does no harm.
    sleep(Duration::from_secs(4));
    program.go_on();
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert!(upstream.next().body == body.as_bytes());
}

/// Guards against a client that stops in the middle of a streamed body: its upstream is not to blame, and not to wait.
#[test]
fn a_streamed_body_that_stops_frees_its_upstream() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee02\r\nContent-Length: 900000\r\n\r\n");
    client.write(&bytes(500_000));
    upstream
        .closed
        .recv_timeout(PATIENCE)
        .expect("its connection is closed");
    assert!(upstream.seen.try_recv().is_err());
    assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
    assert_eq!(program.figure("upstreams_excluded"), 0);
}

/// Nor does one that sends a streamed body byte by byte for ever: a body comes with 32 kB/s on the mean.
#[test]
fn a_streamed_body_that_comes_byte_by_byte_frees_its_upstream() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee03\r\nContent-Length: 900000\r\n\r\n");
    client.write(&bytes(80_000));
    let mut write = client.writer();
    // It fails once the program has closed the connection.
    thread::spawn(move || {
        while write("x").is_ok() {
            thread::sleep(Duration::from_millis(50))
        }
    });
    upstream
        .closed
        .recv_timeout(PATIENCE)
        .expect("its connection is closed");
    assert!(upstream.seen.try_recv().is_err());
    assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
    assert_eq!(program.figure("upstreams_excluded"), 0);
}

/// Guards against bodies that pile up in memory because one side is slower than the other.
#[test]
fn many_large_bodies_at_a_time_take_little_memory() {
    let body = bytes(8 << 20);
    let upstreams: Vec<_> = (0..4)
        .map(|_| {
            Upstream::raw(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ))
        })
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with(&addresses);
    // They ask, and take their time.
    let mut clients: Vec<_> = (0..40).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/read", ID, "").unwrap();
    }
    for client in &mut clients {
        let answer = client.receive().unwrap().unwrap();
        assert!(
            answer.status() == 503 || answer.body == body.as_bytes(),
            "{}",
            answer.first
        );
    }
    // And some send.
    for _ in 0..8 {
        assert_eq!(program.client().ask("/pay", ID, &body).status(), 200);
    }
    assert!(program.memory() < 32 << 20, "{}", program.memory());
}
