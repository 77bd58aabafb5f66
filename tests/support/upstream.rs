//! A stub upstream.

use super::*;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

/// How a stub upstream responds to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StubResponse {
    Ok,
    /// Responds with 200 and without `Connection: close`, then closes the connection.
    OkThenClose,
    Status(u16),
    /// Responds with 503 and `Not-Started: 1`.
    Rejected,
    /// Closes the connection without a response.
    Close,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Closes the connection in the middle of a large response body.
    TruncateLarge,
    /// Sends this text as the response.
    Raw(&'static str),
    /// Sends this text as the response and closes the connection.
    RawThenClose(&'static str),
    /// Sends this text, which is only the beginning of a response, and nothing more until the peer
    /// closes the connection.
    RawThenSilent(&'static str),
    /// Sends nothing until the peer closes the connection.
    NoResponse,
    /// Sends no response until `release` is called, then responds as configured at that time. If
    /// `Hold` is still configured, the response is that of `Ok`.
    Hold,
}

/// An upstream that hands the requests it receives to the test through `seen`.
pub struct StubUpstream {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    /// One message for each connection that has ended.
    pub closed: Receiver<()>,
    /// Number of connections that have been accepted.
    pub connection_count: Arc<AtomicU64>,
    /// Number of responses that have been written. Responses after which the upstream closes the
    /// connection do not count.
    pub response_count: Arc<AtomicU64>,
    response: Arc<Mutex<StubResponse>>,
    gate: Arc<Gate>,
}

/// Whether held responses have been released, and the condition variable that signals it.
type Gate = (Mutex<bool>, Condvar);

impl StubUpstream {
    pub fn start(response: StubResponse) -> Self {
        Self::with_listener(TcpListener::bind("127.0.0.1:0").unwrap(), response)
    }

    pub(super) fn with_listener(listener: TcpListener, response: StubResponse) -> Self {
        let (request_sender, seen) = channel();
        let (close_sender, closed) = channel();
        let response = Arc::new(Mutex::new(response));
        let connections = Arc::new(AtomicU64::new(0));
        let responses = Arc::new(AtomicU64::new(0));
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let upstream = StubUpstream {
            address: listener.local_addr().unwrap(),
            seen,
            closed,
            connection_count: connections.clone(),
            response_count: responses.clone(),
            response: response.clone(),
            gate: gate.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (response, request_sender, close_sender) = (
                    response.clone(),
                    request_sender.clone(),
                    close_sender.clone(),
                );
                let (gate, responses) = (gate.clone(), responses.clone());
                thread::spawn(move || {
                    // The end of the connection is reported whether an error caused it or not.
                    let _ = respond(stream, &response, &request_sender, &gate, &responses);
                    let _ = close_sender.send(());
                });
            }
        });
        upstream
    }

    /// Starts an upstream that sends this text in response to each request.
    pub fn raw(text: &str) -> Self {
        Self::start(StubResponse::Raw(text.to_string().leak()))
    }

    pub fn set_response(&self, response: StubResponse) {
        *self.response.lock().unwrap() = response;
    }

    /// Waits until a connection has ended, and then until the kernel lists no established
    /// connection to this upstream. On a busy machine, the close may reach the peer some time after
    /// the upstream has sent it.
    pub fn wait_for_close(&self) {
        self.closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("no connection to the upstream was closed");
        let start = Instant::now();
        while established_connections()
            .iter()
            .any(|(_, remote_port)| *remote_port == self.address.port())
        {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "a connection to the upstream is still established {TEST_TIMEOUT:?} after a close"
            );
            thread::yield_now();
        }
    }

    /// Releases held responses. Responses to later requests are not held any more.
    pub fn release(&self) {
        *self.gate.0.lock().unwrap() = true;
        self.gate.1.notify_all();
    }

    /// Waits until a request is received, and returns it.
    pub fn next(&self) -> Message {
        self.seen
            .recv_timeout(TEST_TIMEOUT)
            .expect("no request reached the upstream")
    }
}

/// Sends each request on one connection to `seen` and responds to it, until the connection ends.
fn respond(
    stream: TcpStream,
    response: &Mutex<StubResponse>,
    seen: &Sender<Message>,
    gate: &Gate,
    responses: &AtomicU64,
) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = Message::read(&mut input)? {
        let body = format!("{} by {}", request.start_line, output.local_addr()?);
        let id = request.header("request-id").unwrap_or("").to_string();
        let configured = *response.lock().unwrap();
        let _ = seen.send(Message {
            is_rejected: configured == StubResponse::Rejected,
            ..request
        });
        let response = if configured == StubResponse::Hold {
            let released = gate.0.lock().unwrap();
            drop(gate.1.wait_while(released, |released| !*released).unwrap());
            *response.lock().unwrap()
        } else {
            configured
        };
        let head = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nSaw: {id}\r\n",
                body.len()
            )
        };
        match response {
            StubResponse::Ok | StubResponse::Hold => {
                write!(output, "{}\r\n{body}", head("200 OK"))?;
            }
            StubResponse::OkThenClose => return write!(output, "{}\r\n{body}", head("200 OK")),
            StubResponse::Status(code) => {
                write!(output, "{}\r\n{body}", head(&format!("{code} Other")))?;
            }
            StubResponse::Rejected => {
                write!(output, "{}Not-Started: 1\r\n\r\n{body}", head("503 Busy"))?;
            }
            StubResponse::Raw(text) => output.write_all(text.as_bytes())?,
            StubResponse::RawThenClose(text) => return output.write_all(text.as_bytes()),
            StubResponse::Close => return Ok(()),
            StubResponse::Truncate => {
                return write!(output, "{}\r\n{}", head("200 OK"), &body[..4])
            }
            StubResponse::TruncateLarge => {
                write!(output, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")?;
                return output.write_all(&[b'x'; 500_000]);
            }
            StubResponse::RawThenSilent(text) => {
                output.write_all(text.as_bytes())?;
                input.read_to_end(&mut Vec::new())?;
                return Ok(());
            }
            StubResponse::NoResponse => {
                input.read_to_end(&mut Vec::new())?;
                return Ok(());
            }
        }
        responses.fetch_add(1, Ordering::SeqCst);
    }
    Ok(())
}
