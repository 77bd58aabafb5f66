//! Framing of requests and responses: valid forms that arrive byte by byte, and incomplete,
//! malformed and endless messages.

mod support;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Starts an upstream that responds to the first request on each connection by calling `response`.
fn upstream(response: impl Fn(&mut TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            stream.set_nodelay(true).unwrap();
            let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
            assert!(request.unwrap().is_some());
            response(&mut stream);
        }
    });
    address
}

/// A reset must not be mistaken for the end of a response that is delimited by the close of its
/// connection. This holds however much of the body has arrived, and whether or not the response is
/// already being streamed to the client.
#[test]
fn reset_does_not_complete_a_response_without_a_length() {
    for (body_length, pause_ms) in [
        (0, 0),
        (5, 0),
        (5, 900),
        (60_000, 0),
        (300_000, 0),
        (300_000, 200),
    ] {
        let address = upstream(move |stream| {
            let body = "x".repeat(body_length);
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            stream
                .write_all(format!("{head}{body}").as_bytes())
                .unwrap();
            sleep(Duration::from_millis(pause_ms));
            SockRef::from(&*stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        });
        let (program, _discovery) = Program::with_admin(&[address]);
        let mut client = program.client();
        client
            .send(
                "/pay",
                &format!("{REQUEST_ID}Connection: close\r\n"),
                "coins",
            )
            .unwrap();
        let text = String::from_utf8(client.read_to_end()).unwrap();
        // The client gets either an error or a response without its last chunk.
        let (is_error, is_incomplete) = (
            text.starts_with("HTTP/1.1 502 "),
            !text.ends_with("0\r\n\r\n"),
        );
        let is_chunked = text.to_lowercase().contains("transfer-encoding: chunked");
        assert!(
            is_error || is_chunked && is_incomplete,
            "{body_length} bytes, reset after {pause_ms} ms: {text:.99}"
        );
        assert_eq!(
            (program.metric("failed.pay"), program.metric("served.pay")),
            (1, 0),
            "{body_length} bytes, reset after {pause_ms} ms"
        );
    }
}

/// Responses in different valid forms of HTTP/1.1 are accepted and delimited correctly when they
/// arrive byte by byte.
#[test]
fn responses_in_valid_forms_are_read_byte_by_byte() {
    let forms = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncoins",
        "HTTP/1.1 200\r\ncONTENT-lENGTH:\t 5 \t\r\nNews:\r\nServer-Load: TEXT inflight=7\r\n\r\n\
            coins",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n\
            HTTP/1.1 200 Fine, thanks\r\nContent-Length: 005\r\n\r\ncoins",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncoins\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:Chunked\r\nTrailer: Sum\r\n\r\n\
            0002;a=\"b;c\" ; d\r\nco\r\n3 ;e\r\nins\r\n00\r\nSum: 1\r\nMore: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\ncoins",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive, close\r\nContent-Length: 5\r\n\r\ncoins",
    ];
    for form in forms {
        let address = upstream(move |stream| {
            for byte in form.bytes() {
                stream.write_all(&[byte]).unwrap();
                sleep(Duration::from_micros(300));
            }
        });
        let (program, _discovery) = Program::with_upstreams(&[address]);
        let response = program.client().request("/pay", REQUEST_ID, "coins");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"coins"[..]),
            "{form}"
        );
    }
}

/// The balancer must stop reading a chunk size line that never ends, before the request's deadline.
/// The endless part of the line is sent only after the balancer has read the head.
#[test]
fn endless_chunk_size_is_malformed() {
    let responses = [
        ("200 OK", "", "0"),
        ("200 OK", "5", " "),
        ("500 No", "", "0"),
        ("500 No", "5", " "),
        ("500 No", "2\r\nhi\r\n", "0"),
    ];
    for (status, beginning, filler) in responses {
        let (listener, discovery) = (
            TcpListener::bind("127.0.0.1:0").unwrap(),
            StubDiscovery::start(),
        );
        let config = with_long_timeouts(&config_with_upstreams(
            &[listener.local_addr().unwrap()],
            discovery.address,
            256,
        ));
        let program = Program::start(&config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/pay", REQUEST_ID, "coins").unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
        assert!(request.unwrap().is_some());
        write!(
            stream,
            "HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n{beginning}"
        )
        .unwrap();
        // The balancer runs on one thread: once it has responded to these requests, it has also
        // read what was written before.
        for _ in 0..2 {
            assert_eq!(program.client().request("/healthz", "", "").status(), 200);
        }
        // These 40 MB are more than the buffers between the upstream and the balancer hold.
        let successful_writes =
            (0..400).take_while(|_| stream.write_all(filler.repeat(100_000).as_bytes()).is_ok());
        assert!(
            successful_writes.count() < 400,
            "400 writes succeeded, expected one to fail when the connection is closed: \
                {status} {beginning:?}"
        );
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            502
        );
    }
}

/// Requests in different valid forms of HTTP/1.1 are accepted when they arrive byte by byte, and
/// their path, body and id are forwarded unchanged.
#[test]
fn requests_in_valid_forms_are_read_byte_by_byte() {
    let forms = [
        "\r\nPOST /pay/a?b=c%20d HTTP/1.1\r\nHost: b\r\nrequest-id: f1\r\n\
            CONTENT-LENGTH:\t5 \r\n\r\ncoins",
        "POST http://backend.local/pay/a?b=c%20d HTTP/1.1\r\nHost: b\r\nREQUEST-ID:f2\r\nNews:\r\n\
            Content-Length: 05\r\n\r\ncoins",
        "POST /pay/a?b=c%20d HTTP/1.1\r\nRequest-Id: f3\r\nTransfer-Encoding: Chunked\r\n\r\n\
            0002;a=\"b;c\"\r\nco\r\n3 ;d\r\nins\r\n0\r\nSum: 1\r\n\r\n",
    ];
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    for (number, form) in forms.iter().enumerate() {
        for byte in form.chars() {
            client.write(&byte.to_string());
            sleep(Duration::from_micros(300));
        }
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            200,
            "{form}"
        );
        let request = upstream.next();
        assert_eq!(
            (request.start_line.as_str(), request.body.as_slice()),
            ("POST /pay/a?b=c%20d HTTP/1.1", &b"coins"[..])
        );
        assert_eq!(
            request.header("request-id"),
            Some(format!("f{}", number + 1).as_str())
        );
    }
}

/// The balancer stops reading an endless response and does not wait for the request's deadline.
#[test]
fn endless_response_is_malformed() {
    let forms = [
        ("HTTP/1.1 102 Processing\r\n\r\n", ""),
        ("", "HTTP/1.1 200 OK\r\nNews: 1\r\n"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            "a=b;",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "News: 1\r\n",
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
        (
            "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n",
            "2\r\nhi\r\n",
        ),
    ];
    for (beginning, filler) in forms {
        let filler = if filler.is_empty() { beginning } else { filler };
        let address = upstream(move |stream| {
            let _ = stream.write_all(beginning.as_bytes());
            // Writes fail once the balancer has closed the connection.
            while stream.write_all(filler.repeat(100).as_bytes()).is_ok() {}
        });
        let (program, _discovery) = Program::with_upstreams(&[address]);
        let begun = Instant::now();
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            502,
            "{beginning}{filler}"
        );
        assert!(
            begun.elapsed() < Duration::from_secs(9),
            "the response took at least 9 s, as if the balancer had waited for the deadline, 10 s"
        );
    }
}

/// A response that can't be proved complete is not forwarded. Its request may have run and is not
/// retried, and the connection is not reused.
#[test]
fn malformed_response_fails_its_request_without_a_retry() {
    let endless = "HTTP/1.1 200 OK\r\nNews: ".to_string() + &"x".repeat(1 << 20);
    let responses = [
        "what?\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n\
            0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhi",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: news\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
        &endless,
    ];
    for text in responses {
        let (one, two) = (StubUpstream::raw(text), StubUpstream::raw(text));
        let (program, _discovery) = Program::with_upstreams(&[one.address, two.address]);
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            502,
            "{text:.99}"
        );
        let count = |upstream: &StubUpstream| upstream.seen.try_iter().count();
        assert_eq!(count(&one) + count(&two), 1, "{text:.99}");
        // The connection is closed, whichever upstream it leads to.
        while one.closed.try_recv().is_err() && two.closed.try_recv().is_err() {
            sleep(Duration::from_millis(1));
        }
    }
}
