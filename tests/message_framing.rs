//! Framing of requests and responses: all forms, in pieces, and messages that never end.

mod peers;
use peers::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";

/// An upstream that responds to the first request on each connection by `response`.
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

/// A reset must not be taken for the end of a response that is delimited by the close of its
/// connection: also when nothing of it has arrived, all of it, or a part that is being streamed
/// already.
#[test]
fn a_response_without_a_length_that_is_reset_is_incomplete() {
    for (count, pause) in [
        (0, 0),
        (5, 0),
        (5, 900),
        (60_000, 0),
        (300_000, 0),
        (300_000, 200),
    ] {
        let address = upstream(move |stream| {
            let body = "x".repeat(count);
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            stream
                .write_all(format!("{head}{body}").as_bytes())
                .unwrap();
            sleep(Duration::from_millis(pause));
            SockRef::from(&*stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        });
        let (program, _discovery) = Program::with_console(&[address]);
        let mut client = program.client();
        client
            .send("/pay", &format!("{ID}Connection: close\r\n"), "coins")
            .unwrap();
        let text = String::from_utf8(client.rest()).unwrap();
        // The client gets either an error or a response that is not terminated.
        let (failed, cut) = (
            text.starts_with("HTTP/1.1 502 "),
            !text.ends_with("0\r\n\r\n"),
        );
        let chunked = text.to_lowercase().contains("transfer-encoding: chunked");
        assert!(failed || chunked && cut, "{count} {pause}: {text:.99}");
        assert_eq!(
            (program.figure("failed.pay"), program.figure("served.pay")),
            (1, 0),
            "{count} {pause}"
        );
    }
}

/// No form that HTTP/1.1 allows counts as malformed, or is cut in the wrong place, when it
/// arrives byte by byte.
#[test]
fn responses_are_read_in_all_forms_byte_by_byte() {
    let forms = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncoins",
        "HTTP/1.1 200\r\ncONTENT-lENGTH:\t 5 \t\r\nNews:\r\nServer-Load: TEXT inflight=7\r\n\r\ncoins",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 Fine, thanks\r\nContent-Length: 005\r\n\r\ncoins",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncoins\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:Chunked\r\nTrailer: Sum\r\n\r\n0002;a=\"b;c\" ; d\r\nco\r\n3 ;e\r\nins\r\n00\r\nSum: 1\r\nMore: 2\r\n\r\n",
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
        let (program, _discovery) = Program::with(&[address]);
        let response = program.client().ask("/pay", ID, "coins");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"coins"[..]),
            "{form}"
        );
    }
}

/// A chunk size that never ends would otherwise be read until the request's deadline. It begins
/// after the head has been read.
#[test]
fn a_chunk_size_that_never_ends_is_malformed() {
    let responses = [
        ("200 OK", "", "0"),
        ("200 OK", "5", " "),
        ("500 No", "", "0"),
        ("500 No", "5", " "),
        ("500 No", "2\r\nhi\r\n", "0"),
    ];
    for (status, begin, again) in responses {
        let (listener, discovery) = (
            TcpListener::bind("127.0.0.1:0").unwrap(),
            DiscoveryPeer::start(),
        );
        let config = patient(&config_of(
            &[listener.local_addr().unwrap()],
            discovery.address,
            256,
        ));
        let program = Program::start(&config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/pay", ID, "coins").unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
        assert!(request.unwrap().is_some());
        write!(
            stream,
            "HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n{begin}"
        )
        .unwrap();
        // Later requests are responded to after that has been read.
        for _ in 0..2 {
            assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
        }
        // More than the buffers between the two hold.
        let taken =
            (0..400).take_while(|_| stream.write_all(again.repeat(100_000).as_bytes()).is_ok());
        assert!(taken.count() < 400, "it is broken off: {status} {begin:?}");
        assert_eq!(client.receive().unwrap().expect("a response").status(), 502);
    }
}

/// The same for requests, which are also forwarded unchanged.
#[test]
fn requests_are_read_in_all_forms_byte_by_byte() {
    let forms = [
        "\r\nPOST /pay/a?b=c%20d HTTP/1.1\r\nHost: b\r\nrequest-id: f1\r\nCONTENT-LENGTH:\t5 \r\n\r\ncoins",
        "POST http://backend.local/pay/a?b=c%20d HTTP/1.1\r\nHost: b\r\nREQUEST-ID:f2\r\nNews:\r\nContent-Length: 05\r\n\r\ncoins",
        "POST /pay/a?b=c%20d HTTP/1.1\r\nRequest-Id: f3\r\nTransfer-Encoding: Chunked\r\n\r\n0002;a=\"b;c\"\r\nco\r\n3 ;d\r\nins\r\n0\r\nSum: 1\r\n\r\n",
    ];
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    for (number, form) in forms.iter().enumerate() {
        for byte in form.chars() {
            client.write(&byte.to_string());
            sleep(Duration::from_micros(300));
        }
        assert_eq!(
            client.receive().unwrap().expect("a response").status(),
            200,
            "{form}"
        );
        let request = upstream.next();
        assert_eq!(
            (request.first.as_str(), request.body.as_slice()),
            ("POST /pay/a?b=c%20d HTTP/1.1", &b"coins"[..])
        );
        assert_eq!(
            request.header("request-id"),
            Some(format!("f{}", number + 1).as_str())
        );
    }
}

/// A malformed response is not read for as long as it goes on.
#[test]
fn a_response_that_never_ends_is_malformed() {
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
    for (begin, again) in forms {
        let again = if again.is_empty() { begin } else { again };
        let address = upstream(move |stream| {
            let _ = stream.write_all(begin.as_bytes());
            // Until the balancer closes the connection.
            while stream.write_all(again.repeat(100).as_bytes()).is_ok() {}
        });
        let (program, _discovery) = Program::with(&[address]);
        let begun = Instant::now();
        assert_eq!(
            program.client().ask("/pay", ID, "coins").status(),
            502,
            "{begin}{again}"
        );
        assert!(
            begun.elapsed() < Duration::from_secs(9),
            "before its client's time is up"
        );
    }
}
