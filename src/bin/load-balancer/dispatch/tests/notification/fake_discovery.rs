//! A discovery service that responds according to a script.

use super::harness::yield_to_tasks;
use crate::dispatch::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Discovery refuses a queued request after this time.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const CHANGE: &str = "{\"index\":6,\"endpoints\":[]}\n";

/// How discovery responds to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// The request gets no response.
    Unanswered,
    /// The request is refused immediately.
    Refused,
    /// The request is refused after `QUEUE_TIMEOUT`.
    QueuedThenRefused,
    /// The connection is reset before the first byte of a response.
    Reset,
    /// The connection is reset within the first list.
    ResetInList,
    /// The connection is reset after a list whose version is already known.
    ResetAfterList,
    /// The watch receives an empty line and nothing more.
    Silent,
    /// The response starts after this many seconds, with the change.
    AnsweredAfter(u64),
    /// The response starts immediately, and the change follows after this many seconds. The number
    /// must be even, because a line is sent every 2 s.
    ChangesAfter(u64),
}
pub(super) use RequestOutcome::*;

/// A discovery service whose script contains the outcomes of its requests in order. It records when
/// requests are received.
pub(super) struct FakeDiscovery {
    pub(super) address: SocketAddr,
    socket: Socket,
    script: RefCell<VecDeque<RequestOutcome>>,
    pub(super) request_times: RefCell<Vec<Instant>>,
    /// Connections that fill the backlog of the listener, because they are never accepted.
    backlog: RefCell<Vec<std::net::TcpStream>>,
}

impl FakeDiscovery {
    /// Creates a service that refuses connections until `listen` is called. Requests beyond the
    /// script immediately get a response with the change.
    pub(super) fn not_listening(script: &[RequestOutcome]) -> Rc<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let script = RefCell::new(script.iter().copied().collect());
        Rc::new(FakeDiscovery {
            address,
            socket,
            script,
            request_times: RefCell::default(),
            backlog: RefCell::default(),
        })
    }

    pub(super) fn listening(script: &[RequestOutcome]) -> Rc<Self> {
        let discovery = Self::not_listening(script);
        discovery.listen();
        discovery
    }

    /// Fills the backlog, so that no more connections are established until `listen` is called.
    pub(super) fn fill_backlog(&self) {
        self.socket.listen(0).unwrap();
        let limit = Duration::from_millis(100);
        let connections =
            std::iter::from_fn(|| std::net::TcpStream::connect_timeout(&self.address, limit).ok());
        self.backlog.borrow_mut().extend(connections);
    }

    pub(super) fn listen(self: &Rc<Self>) {
        self.backlog.borrow_mut().clear();
        self.socket.listen(128).unwrap();
        let listener: std::net::TcpListener = self.socket.try_clone().unwrap().into();
        listener.set_nonblocking(true).unwrap();
        let (listener, discovery) = (TcpListener::from_std(listener).unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().answer(stream));
            }
        });
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = [0; 4096];
        if !stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            return;
        }
        self.request_times.borrow_mut().push(Instant::now());
        let outcome = self
            .script
            .borrow_mut()
            .pop_front()
            .unwrap_or(AnsweredAfter(0));
        let chunk = |text: &str| format!("{RESPONSE_HEAD}{:x}\r\n{text}\r\n", text.len());
        match outcome {
            QueuedThenRefused => sleep(QUEUE_TIMEOUT).await,
            AnsweredAfter(after) => sleep(Duration::from_secs(after)).await,
            _ => {}
        }
        let text = match outcome {
            Unanswered | Reset => String::new(),
            Refused | QueuedThenRefused => REFUSAL.into(),
            ResetInList => chunk(&CHANGE[..9]),
            ResetAfterList => chunk("{\"index\":5,\"endpoints\":[]}\n"),
            Silent | ChangesAfter(_) => chunk("\n"),
            AnsweredAfter(_) => chunk(CHANGE),
        };
        // This fails if the balancer has closed the connection in the meantime.
        let _ = stream.write_all(text.as_bytes()).await;
        if matches!(outcome, Reset | ResetInList | ResetAfterList) {
            yield_to_tasks().await;
            return SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        for seconds in (0..)
            .step_by(2)
            .take_while(|_| matches!(outcome, AnsweredAfter(_) | ChangesAfter(_)))
        {
            let line = if outcome == ChangesAfter(seconds) {
                CHANGE
            } else {
                "\n"
            };
            let line = format!("{:x}\r\n{line}\r\n", line.len());
            if stream.write_all(line.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_secs(2)).await;
        }
        let _ = stream.read(&mut bytes).await;
    }

    pub(super) fn request_count(&self) -> usize {
        self.request_times.borrow().len()
    }
}
