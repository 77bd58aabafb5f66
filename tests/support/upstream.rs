//! A stand-in for an upstream.

use super::*;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StubResponse {
    Ok,
    /// Answers, then closes the connection without saying so before.
    OkThenClose,
    Status(u16),
    Rejected,
    /// Closes the connection in place of an answer.
    Close,
    /// Closes it in the middle of the answer.
    Truncate,
    /// Closes it in the middle of a large one.
    TruncateLarge,
    /// Answers with this text.
    Raw(&'static str),
    /// Answers with this text and closes the connection.
    RawThenClose(&'static str),
    /// Says nothing until the other side closes.
    Never,
    /// Holds its answer until it is released: a good one, or what is set by then.
    Hold,
}

/// An upstream, and what it has seen.
pub struct StubUpstream {
    pub address: SocketAddr,
    pub seen: Receiver<Message>,
    /// One message for each connection that ended.
    pub closed: Receiver<()>,
    pub connections: Arc<AtomicU64>,
    /// Answers that have been written.
    pub answered: Arc<AtomicU64>,
    reply: Arc<Mutex<StubResponse>>,
    gate: Arc<Gate>,
}

/// Whether what is held may go on.
type Gate = (Mutex<bool>, Condvar);

impl StubUpstream {
    pub fn start(reply: StubResponse) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap(), reply)
    }

    pub(super) fn on(listener: TcpListener, reply: StubResponse) -> Self {
        let (sender, seen) = channel();
        let (closing, closed) = channel();
        let reply = Arc::new(Mutex::new(reply));
        let connections = Arc::new(AtomicU64::new(0));
        let answered = Arc::new(AtomicU64::new(0));
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let upstream = StubUpstream {
            address: listener.local_addr().unwrap(),
            seen,
            closed,
            connections: connections.clone(),
            answered: answered.clone(),
            reply: reply.clone(),
            gate: gate.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (reply, sender, closing) = (reply.clone(), sender.clone(), closing.clone());
                let (gate, answered) = (gate.clone(), answered.clone());
                thread::spawn(move || {
                    // However the connection ends, it has ended.
                    let _ = answer_all(stream, &reply, &sender, &gate, &answered);
                    let _ = closing.send(());
                });
            }
        });
        upstream
    }

    /// One that answers each request with this text, whatever it is.
    pub fn raw(text: &str) -> Self {
        Self::start(StubResponse::Raw(text.to_string().leak()))
    }

    pub fn set_response(&self, reply: StubResponse) {
        *self.reply.lock().unwrap() = reply;
    }

    /// Waits until it has closed a connection, and none is left whose other side has yet to hear of that, read or not. A
    /// busy machine may bring a close later than it tells of it here.
    pub fn wait_for_close(&self) {
        self.closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("its connection is closed");
        let begin = Instant::now();
        while established_connections()
            .iter()
            .any(|(_, there)| *there == self.address.port())
        {
            assert!(begin.elapsed() < TEST_TIMEOUT, "its close arrives");
            thread::yield_now();
        }
    }

    /// Lets all that it holds go on, now and later.
    pub fn release(&self) {
        *self.gate.0.lock().unwrap() = true;
        self.gate.1.notify_all();
    }

    pub fn next(&self) -> Message {
        self.seen
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request reaches the upstream")
    }
}

fn answer_all(
    stream: TcpStream,
    reply: &Mutex<StubResponse>,
    seen: &Sender<Message>,
    gate: &Gate,
    answered: &AtomicU64,
) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = Message::read(&mut input)? {
        let body = format!("{} by {}", request.start_line, out.local_addr()?);
        let id = request.header("request-id").unwrap_or("").to_string();
        let asked = *reply.lock().unwrap();
        let _ = seen.send(Message {
            rejected: asked == StubResponse::Rejected,
            ..request
        });
        let reply = if asked == StubResponse::Hold {
            let open = gate.0.lock().unwrap();
            drop(gate.1.wait_while(open, |open| !*open).unwrap());
            *reply.lock().unwrap()
        } else {
            asked
        };
        let head = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nSaw: {id}\r\n",
                body.len()
            )
        };
        match reply {
            StubResponse::Ok | StubResponse::Hold => write!(out, "{}\r\n{body}", head("200 OK"))?,
            StubResponse::OkThenClose => return write!(out, "{}\r\n{body}", head("200 OK")),
            StubResponse::Status(code) => {
                write!(out, "{}\r\n{body}", head(&format!("{code} Other")))?
            }
            StubResponse::Rejected => {
                write!(out, "{}Not-Started: 1\r\n\r\n{body}", head("503 Busy"))?
            }
            StubResponse::Raw(text) => out.write_all(text.as_bytes())?,
            StubResponse::RawThenClose(text) => return out.write_all(text.as_bytes()),
            StubResponse::Close => return Ok(()),
            StubResponse::Truncate => return write!(out, "{}\r\n{}", head("200 OK"), &body[..4]),
            StubResponse::TruncateLarge => {
                write!(out, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")?;
                return out.write_all(&[b'x'; 500_000]);
            }
            StubResponse::Never => {
                input.read_to_end(&mut Vec::new())?;
                return Ok(());
            }
        }
        answered.fetch_add(1, Ordering::SeqCst);
    }
    Ok(())
}
