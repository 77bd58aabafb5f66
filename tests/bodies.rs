//! Bodies of requests and responses: large, slow, streamed, and with unusual framing.

mod support;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Returns a body in which a comparison detects shifted and repeated parts.
fn body_of(length: usize) -> String {
    (0..length)
        .map(|index| char::from(b'a' + (index * 7 + index / 1009) as u8 % 26))
        .collect()
}

fn chunked(body: &str, chunk_size: usize) -> String {
    let chunk = |part: &[u8]| {
        format!(
            "{:x};news=1\r\n{}\r\n",
            part.len(),
            std::str::from_utf8(part).unwrap()
        )
    };
    body.as_bytes()
        .chunks(chunk_size)
        .map(chunk)
        .collect::<String>()
        + "0\r\nTrailer: t\r\n\r\n"
}

#[test]
fn a_large_response_is_forwarded_unchanged_with_any_framing() {
    let body = body_of(3 << 20);
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
    for response in framings {
        let upstream = StubUpstream::raw(&response);
        let (program, _discovery) = Program::with_admin(&[upstream.address]);
        let mut client = program.client();
        for _ in 0..3 {
            let received = client.request("/read", REQUEST_ID, "");
            assert_eq!(received.status(), 200);
            assert!(received.body == body.as_bytes());
        }
        let connections = upstream
            .connection_count
            .load(std::sync::atomic::Ordering::SeqCst);
        assert_eq!(connections, 1);
        assert_eq!(program.metric("served.read"), 3);
        assert_eq!(program.metric("in_flight"), 0);
    }
}

/// A response without a length is valid if it has `Connection: close`.
#[test]
fn a_response_may_be_delimited_by_a_declared_close() {
    for length in [3, 1 << 20] {
        let body = body_of(length);
        let upstream = StubUpstream::start(StubResponse::RawThenClose(
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}").leak(),
        ));
        let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
        let mut client = program.client();
        for _ in 0..2 {
            let response = client.request("/read", REQUEST_ID, "");
            assert!(
                response.status() == 200 && response.body == body.as_bytes(),
                "body of {length} bytes"
            );
        }
    }
}

/// A client must not mistake a part of a response for a complete one.
#[test]
fn a_client_can_detect_a_truncated_large_response() {
    let upstream = StubUpstream::start(StubResponse::TruncateLarge);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    let text = String::from_utf8(client.read_to_end()).unwrap();
    assert!(text.to_lowercase().contains("content-length: 1000000") && text.len() < 1_000_000);
    assert_eq!(
        (program.metric("failed.pay"), program.metric("served.pay")),
        (1, 0)
    );
    assert_eq!(program.metric("in_flight"), 0);
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

/// A client whose request has run must not see its connection closed without a byte of a response.
#[test]
fn a_large_response_that_ends_after_its_beginning_is_begun() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    let truncated: &str = format!("{head}{}", body_of(2000)).leak();
    for round in 1..=10 {
        upstream.set_response(StubResponse::Ok);
        let mut client = program.client();
        assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
        upstream.set_response(StubResponse::RawThenClose(truncated));
        client.send("/pay", REQUEST_ID, "coins").unwrap();
        let response = String::from_utf8(client.read_to_end()).unwrap();
        assert!(
            response.starts_with("HTTP/1.1 200") && response.len() < 100_000,
            "round {round}: received {response:?}"
        );
        assert_eq!(program.metric("failed.pay"), round);
    }
    assert_eq!(program.metric("in_flight"), 0);
}

#[test]
fn a_chunked_body_or_one_after_100_continue_is_forwarded_unchanged() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    let framing = "Transfer-Encoding:   chunked \r\nExpect: 100-continue\r\n";
    for (length, chunk_size) in [(0, 1), (10, 1), (40_000, 999), (2 << 20, 60_000)] {
        let body = body_of(length);
        client
            .send("/pay", &format!("{REQUEST_ID}{framing}"), "")
            .unwrap();
        let interim = client.receive().unwrap().unwrap();
        assert_eq!(interim.status(), 100);
        client.write(&chunked(&body, chunk_size));
        assert_eq!(
            client.receive().unwrap().unwrap().status(),
            200,
            "body of {length} bytes"
        );
        assert!(
            upstream.next().body == body.as_bytes(),
            "body of {length} bytes"
        );
    }
    // An empty chunked body is accepted as well.
    client
        .send(
            "/read",
            &format!("{REQUEST_ID}Transfer-Encoding: chunked\r\n"),
            "",
        )
        .unwrap();
    client.write("0\r\n\r\n");
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
}

#[test]
fn a_large_request_is_retried_while_its_streamed_part_is_unread() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[refusing_address(), upstream.address]);
    let body = body_of(1 << 20);
    for _ in 0..4 {
        assert_eq!(
            program.client().request("/pay", REQUEST_ID, &body).status(),
            200
        );
        assert!(upstream.next().body == body.as_bytes());
    }
}

/// The client gets the rejection while it is still sending its body. A body that was partly
/// streamed to one upstream is not sent to another.
#[test]
fn a_rejected_large_request_is_answered_and_not_retried() {
    let upstream = StubUpstream::start(StubResponse::Rejected);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let response = program
        .client()
        .request("/pay", REQUEST_ID, &body_of(4 << 20));
    assert_eq!(response.status(), 503);
    assert_eq!(program.metric("refused.pay"), 1);
    assert_eq!(upstream.seen.try_iter().count(), 1);
}

/// After the response, a client may go on sending its body for longer than the time limit for a
/// head.
#[test]
fn a_client_may_send_the_rest_of_its_body_long_after_the_response() {
    let refusing = RefusingPort::new();
    let (program, _discovery) = Program::with_upstreams(&[refusing.address]);
    for _ in 0..10 {
        let mut last_write = Instant::now();
        let mut client = program.client();
        client
            .write("POST /pay HTTP/1.1\r\nRequest-Id: ee03\r\nTransfer-Encoding: chunked\r\n\r\n");
        client.write(&format!("30d40\r\n{}\r\n", body_of(200_000)));
        let (mut write, (stop, stopped)) = (client.writer(), channel());
        let sending = thread::spawn(move || {
            let mut longest_pause = last_write.elapsed();
            while stopped.recv_timeout(Duration::from_millis(20)) == Err(RecvTimeoutError::Timeout)
            {
                // A failed write is ignored, because the next request also fails if the connection
                // has been closed.
                let _ = write("1\r\nx\r\n");
                longest_pause = longest_pause.max(last_write.elapsed());
                last_write = Instant::now();
            }
            let _ = write("0\r\n\r\n");
            longest_pause.max(last_write.elapsed())
        });
        let response = client.receive();
        // This is longer than the time limit for a head, 2.5 s.
        sleep(Duration::from_secs(4));
        stop.send(()).unwrap();
        // The balancer closes the connection of a client that pauses for 2.5 s, so a try in which
        // the machine paused the client for at least 2 s is repeated.
        if sending.join().unwrap() < Duration::from_secs(2) {
            assert_eq!(response.unwrap().expect("no response").status(), 503);
            assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 503);
            return;
        }
    }
    panic!("the machine paused the client for at least 2 s in each of 10 tries");
}

/// A body that is sent slowly but steadily may take longer than 2.5 s, the time limit for the
/// arrival of a request.
#[test]
fn a_slow_but_steady_body_is_accepted() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    let body = body_of(300_000);
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

/// A body that arrived in time must not count as late because the process was paused and read it
/// later.
#[test]
fn a_body_that_arrives_while_the_process_is_paused_is_in_time() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let (mut client, body) = (program.client(), body_of(60_000));
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee04\r\nContent-Length: 60000\r\n");
    client.write("Expect: 100-continue\r\n\r\n");
    assert_eq!(client.receive().unwrap().unwrap().status(), 100);
    program.suspend();
    client.write(&body);
    // This is longer than the time limit for a body of this size, about 2.7 s.
    sleep(Duration::from_secs(4));
    program.resume();
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert!(upstream.next().body == body.as_bytes());
}

/// If a client stops in the middle of a streamed body, its upstream connection is closed, and the
/// failure does not count against the upstream.
#[test]
fn a_stalled_upload_releases_its_upstream() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee02\r\nContent-Length: 900000\r\n\r\n");
    client.write(&body_of(500_000));
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection to the upstream is still open");
    assert!(upstream.seen.try_recv().is_err());
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(program.metric("upstreams_excluded"), 0);
}

/// A client that sends far below the minimum mean rate of 32 kB/s must not hold its upstream
/// connection, and the failure does not count against the upstream.
#[test]
fn an_upload_below_the_minimum_rate_releases_its_upstream() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.write("POST /pay HTTP/1.1\r\nRequest-Id: ee03\r\nContent-Length: 900000\r\n\r\n");
    client.write(&body_of(80_000));
    let mut write = client.writer();
    // Writing fails once the program has closed the connection.
    thread::spawn(move || {
        while write("x").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    upstream
        .closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the connection to the upstream is still open");
    assert!(upstream.seen.try_recv().is_err());
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(program.metric("upstreams_excluded"), 0);
}

/// Bodies must not accumulate in memory if one side is slower than the other.
#[test]
fn many_concurrent_large_bodies_take_little_memory() {
    let body = body_of(8 << 20);
    let upstreams: Vec<_> = (0..4)
        .map(|_| {
            StubUpstream::raw(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ))
        })
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_upstreams(&addresses);
    // All clients send their requests before the first one reads its response.
    let mut clients: Vec<_> = (0..40).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/read", REQUEST_ID, "").unwrap();
    }
    for client in &mut clients {
        let response = client.receive().unwrap().unwrap();
        assert!(
            response.status() == 503 || response.body == body.as_bytes(),
            "{}",
            response.start_line
        );
    }
    // The requests below have large bodies.
    for _ in 0..8 {
        assert_eq!(
            program.client().request("/pay", REQUEST_ID, &body).status(),
            200
        );
    }
    assert!(
        program.peak_memory_bytes() < 32 << 20,
        "peak memory of {} bytes, expected less than 32 MiB",
        program.peak_memory_bytes()
    );
}
