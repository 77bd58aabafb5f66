//! Unit tests of request bodies that are abandoned before they are complete.

use super::*;
use crate::body::ResponseBody;
use crate::memory::MemoryLimit;
use crate::socket::{PeerHandle, Socket};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// More than is read ahead.
const SENT_BYTES: usize = 100_000;

/// How a client declares the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

impl Framing {
    /// Returns the head of a request and [`SENT_BYTES`] bytes of its body, which is one byte
    /// longer.
    fn beginning(self) -> String {
        let body = "x".repeat(SENT_BYTES);
        match self {
            Framing::Length => {
                let length = SENT_BYTES + 1;
                format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            Framing::Chunked => format!(
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{SENT_BYTES:x}\r\n{body}\r\n"
            ),
        }
    }

    /// Returns the end of the request.
    fn end(self) -> &'static str {
        match self {
            Framing::Length => "y",
            Framing::Chunked => "1\r\ny\r\n0\r\n\r\n",
        }
    }
}

/// A request whose body is being forwarded.
struct Forwarding {
    client: TcpStream,
    upload: Rc<Upload>,
    body: UploadBody,
    /// Whether the body was reported as complete.
    is_reported: Rc<Cell<bool>>,
}

/// Sends the beginning of a request, and forwards what has been received.
async fn forward_beginning(framing: Framing) -> Forwarding {
    let (socket, mut client) = Socket::with_peer().await;
    let beginning = framing.beginning();
    client
        .write_all(beginning.as_bytes())
        .await
        .expect("not sent");
    let (sender, received) = oneshot::channel();
    let sender = Cell::new(Some(sender));
    let service = service_fn(move |request: Request<Incoming>| {
        if let Some(sender) = sender.take() {
            let _ = sender.send(request.into_body());
        }
        std::future::pending::<Result<Response<ResponseBody>, Infallible>>()
    });
    spawn_local(http1::Builder::new().serve_connection(socket, service));
    let incoming = received.await.expect("no request");
    let arrival = RequestArrival::new(PeerHandle::default(), None);
    let memory = MemoryBudget::new(32 << 20, MemoryLimit::new(1 << 40));
    let deadline = Instant::now() + TEST_TIMEOUT;
    let shutdown_deadline = ShutdownDeadline::default();
    let upload = Upload::read(incoming, arrival, &memory, deadline, &shutdown_deadline)
        .await
        .expect("not read");
    let (upload, is_reported) = (Rc::new(upload), Rc::new(Cell::new(false)));
    let on_complete = is_reported.clone();
    let mut body = UploadBody::new(upload.clone(), None, move |_| on_complete.set(true));
    let mut forwarded = 0;
    while forwarded < SENT_BYTES {
        let frame = next_frame(&mut body).await.expect("the body has ended");
        forwarded += frame.expect("the body is broken").len();
    }
    Forwarding {
        client,
        upload,
        body,
        is_reported,
    }
}

async fn next_frame(body: &mut UploadBody) -> Option<Result<Bytes, BodyError>> {
    let frame = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await?;
    Some(frame.map(|frame| frame.into_data().expect("trailers are not forwarded")))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("no runtime");
    let test = async { timeout(TEST_TIMEOUT, test).await.expect("timed out") };
    LocalSet::new().block_on(&runtime, test);
}

/// A request whose client has been told that it has not run must not be completed at an upstream,
/// neither with a truncated body nor with the complete one.
#[test]
fn a_discarded_body_is_not_completed_at_an_upstream() {
    for framing in [Framing::Length, Framing::Chunked] {
        run(async {
            let mut forwarding = forward_beginning(framing).await;
            let discard = {
                let upload = forwarding.upload.clone();
                async move { upload.discard().await }
            };
            let discarding = spawn_local(discard);
            // The task that forwards the body waits for the next part meanwhile.
            let frame = next_frame(&mut forwarding.body).await;
            assert!(matches!(frame, Some(Err(_))), "{framing:?}: {frame:?}");
            let end = framing.end().as_bytes();
            forwarding.client.write_all(end).await.expect("not sent");
            discarding.await.expect("the body was not discarded");
            let frame = next_frame(&mut forwarding.body).await;
            assert!(matches!(frame, Some(Err(_))), "{framing:?}: {frame:?}");
            assert!(!forwarding.body.is_end_stream(), "{framing:?}");
            assert!(!forwarding.is_reported.get(), "{framing:?}");
        });
    }
}

/// The body ends like any other if the request was concluded after it had been read completely.
#[test]
fn a_complete_body_is_forwarded_to_its_end() {
    for framing in [Framing::Length, Framing::Chunked] {
        run(async {
            let mut forwarding = forward_beginning(framing).await;
            let end = framing.end().as_bytes();
            forwarding.client.write_all(end).await.expect("not sent");
            let frame = next_frame(&mut forwarding.body).await;
            assert_eq!(frame, Some(Ok(Bytes::from("y"))), "{framing:?}");
            if framing == Framing::Chunked {
                assert_eq!(next_frame(&mut forwarding.body).await, None);
            }
            forwarding.upload.discard().await;
            assert_eq!(next_frame(&mut forwarding.body).await, None);
            assert!(forwarding.body.is_end_stream() && forwarding.is_reported.get());
        });
    }
}
