//! Unit tests of streamed responses whose upstream fails before their head has been written.

use super::*;
use crate::body::{MemoryBudget, MAX_BODY_BYTES};
use crate::memory::MemoryLimit;
use crate::metrics::Metrics;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{client::conn::http1 as client, Request, Response};
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Less than what hyper buffers for a connection.
const SEND_BUFFER_BYTES: usize = 64 << 10;
const FIRST_PART: &str = "the first part";

/// How an upstream's connection ends after the first part of the response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UpstreamEnd {
    Closed,
    Reset,
    /// This text follows the first part, and then the connection is closed.
    ClosedAfter(&'static str),
}

/// Returns the body of a response whose first part has been read, and whose failure has already
/// been received. It follows the first part without any wait.
async fn failed_body(head: &str, end: UpstreamEnd) -> (VecDeque<Bytes>, Incoming) {
    let (socket, mut peer) = Socket::with_peer().await;
    let (mut sender, mut exchange) = client::handshake(socket.clone())
        .await
        .expect("no handshake");
    let respond = async {
        peer.readable().await.expect("no request");
        peer.write_all(head.as_bytes()).await.expect("not written");
    };
    let receive = async {
        let request = Request::new(Empty::<Bytes>::new());
        let (response, ()) = tokio::join!(sender.send_request(request), respond);
        let mut body = response.expect("no response").into_body();
        let frame = body.frame().await.expect("no body").expect("no first part");
        (frame.into_data().expect("no data"), body)
    };
    let (first_part, body) = tokio::select! {
        biased;
        received = receive => received,
        _ = &mut exchange => panic!("the exchange ended before the first part"),
    };
    assert_eq!(first_part, FIRST_PART);
    let mut length = head.len();
    match end {
        UpstreamEnd::Closed => {}
        UpstreamEnd::Reset => peer.set_zero_linger().expect("no reset"),
        UpstreamEnd::ClosedAfter(text) => {
            peer.write_all(text.as_bytes()).await.expect("not written");
            length += text.len();
        }
    }
    drop(peer);
    let is_failure_read = || length > head.len() && socket.bytes_read() == length;
    tokio::select! {
        biased;
        // Its result doesn't matter: the body has been notified of the failure.
        _ = exchange => {}
        () = yield_until(is_failure_read) => {}
    }
    (VecDeque::from([first_part]), body)
}

async fn yield_until(condition: impl Fn() -> bool) {
    while !condition() {
        yield_now().await;
    }
}

/// Serves `body`, which fails, as the response to the request of a client, and returns what the
/// client receives until its connection ends.
async fn receive_response(socket: Socket, mut peer: TcpStream, body: ResponseBody) -> Vec<u8> {
    let body = Cell::new(Some(body));
    let service = service_fn(|_: Request<Incoming>| {
        let body = body.take().expect("only one request is sent");
        async { Ok::<_, Infallible>(Response::new(body)) }
    });
    peer.write_all(b"GET / HTTP/1.1\r\nHost: b\r\n\r\n")
        .await
        .expect("not written");
    let serve = async {
        let served = server::Builder::new()
            .serve_connection(socket, service)
            .await;
        assert!(served.is_err(), "the body was served to its end");
    };
    let receive = async {
        let mut received = Vec::new();
        peer.read_to_end(&mut received).await.expect("not read");
        received
    };
    tokio::join!(serve, receive).1
}

fn run<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("no runtime")
        .block_on(async { timeout(TEST_TIMEOUT, test).await.expect("timed out") })
}

fn streamed(
    read_ahead: VecDeque<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    socket: &Socket,
) -> ResponseBody {
    let download = Download::new(read_ahead, rest, length, oneshot::channel().0);
    let in_flight = Metrics::new(&["read".to_string()]).begin_request(0);
    let share = MemoryBudget::new(32 << 20, MemoryLimit::new(1 << 40)).begin_stream();
    let socket = socket.clone();
    ResponseBody::streamed(Box::new(download), socket, share, in_flight, Box::new(()))
}

/// A client whose request has run must not see its connection closed without a byte of a response:
/// to the client this looks like a connection that was closed between two requests.
#[test]
fn a_response_that_fails_before_its_head_is_written_is_begun() {
    let with_length = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nthe first part";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nthe first part\r\n";
    let until_close = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first part";
    let cases = [
        (with_length, UpstreamEnd::Closed, Some(100_000)),
        (with_length, UpstreamEnd::Reset, Some(100_000)),
        (chunked, UpstreamEnd::Closed, None),
        (chunked, UpstreamEnd::Reset, None),
        (chunked, UpstreamEnd::ClosedAfter("malformed\r\n"), None),
        (until_close, UpstreamEnd::Reset, None),
    ];
    for (head, end, length) in cases {
        let received = run(async {
            let (read_ahead, rest) = failed_body(head, end).await;
            let (socket, peer) = Socket::with_peer().await;
            let body = streamed(read_ahead, rest, length, &socket);
            receive_response(socket, peer, body).await
        });
        let text = String::from_utf8(received).expect("not a text");
        assert!(
            text.starts_with("HTTP/1.1 200 OK\r\n") && text.contains(FIRST_PART),
            "{head:?}, {end:?}: received {text:?}"
        );
        assert!(
            length.is_some() || !text.ends_with("0\r\n\r\n"),
            "{head:?}, {end:?}: the client can't tell that the response is truncated: {text:?}"
        );
    }
}

/// The client gets what was read of a body that turns out to be too large.
#[test]
fn a_response_that_is_too_large_is_written_up_to_the_limit() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nthe first part\r\n";
    let end = UpstreamEnd::ClosedAfter("4\r\nmore\r\n");
    let received = receive_read_ahead(head, end, None, MAX_BODY_BYTES as usize);
    assert!(received.starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert!(!received.ends_with(b"0\r\n\r\n"));
}

/// What has been read of a body is written although the client's send buffer is full when the body
/// fails.
#[test]
fn a_response_that_fails_while_the_send_buffer_is_full_is_written_up_to_the_failure() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nthe first part";
    let received = receive_read_ahead(head, UpstreamEnd::Closed, Some(1_000_000), 300_000);
    assert!(received.starts_with(b"HTTP/1.1 200 OK\r\n"));
}

/// Receives a response of which `read_ahead_bytes` bytes were read before it failed, on a
/// connection with small buffers. Checks that all of them are received.
fn receive_read_ahead(
    head: &str,
    end: UpstreamEnd,
    length: Option<u64>,
    read_ahead_bytes: usize,
) -> Vec<u8> {
    let received = run(async {
        let (_, rest) = failed_body(head, end).await;
        let (socket, peer) = Socket::with_peer().await;
        socket.set_send_buffer_bytes(SEND_BUFFER_BYTES);
        let read_ahead = VecDeque::from([Bytes::from(vec![b'~'; read_ahead_bytes])]);
        let body = streamed(read_ahead, rest, length, &socket);
        receive_response(socket, peer, body).await
    });
    let body_bytes = received.iter().filter(|byte| **byte == b'~').count();
    assert_eq!(body_bytes, read_ahead_bytes);
    received
}
