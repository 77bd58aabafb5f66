//! Attempts at upstreams, and the idle connections that they leave behind.

mod error;

pub use error::AttemptError;

use crate::body::{
    Download, MemoryBudget, Upload, UploadBody, MAX_BODY_BYTES, MAX_RESPONSE_DELAY,
    READ_AHEAD_BYTES,
};
use crate::metrics::Metrics;
use crate::socket::system_errors::is_resource_exhaustion;
use crate::socket::{DescriptorBudget, PeerHandle, Purpose, Socket};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri, Version};
use load_balancer::UpstreamId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant};

/// The head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// All that may come ahead of a body, interim answers and the head, and before each further part of one: the size of a
/// chunk, say, and what stands beside that.
const MAX_OVERHEAD_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Idle connections are dropped this share of their time before the upstream would.
const IDLE_TIMEOUT_MARGIN: f64 = 0.1;
/// Idle connections that are kept to one upstream: it holds only so many, from all balancers.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// The headers that go through a balancer: not those of one connection only, nor those that describe the body,
/// which are set anew.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let ours = |name: &HeaderName| {
        HOP_BY_HOP.contains(&name.as_str()) || lists_token(headers, CONNECTION, name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| !ours(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// A request as it goes on to an upstream, but for the time left.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub upload: Rc<Upload>,
    pub client: PeerHandle,
    /// Its client waits for so long from its last byte on.
    pub timeout: Duration,
    /// It is to be settled by then in any case, if this is said of the process.
    pub drain_deadline: Rc<Cell<Option<Instant>>>,
}

impl ForwardedRequest {
    /// When its client gives up, if it sends nothing more.
    pub fn deadline(&self) -> Instant {
        let deadline = self.upload.last_progress() + self.timeout;
        self.drain_deadline
            .get()
            .map_or(deadline, |drain| deadline.min(drain))
    }
}

/// An answer.
pub struct UpstreamResponse {
    pub headers: HeaderMap,
    pub body: ResponseContent,
}

/// The body of an answer: here whole, or still coming.
pub enum ResponseContent {
    Complete(Bytes),
    Streamed(Box<Download>),
}

struct IdleConnection {
    since: Instant,
    socket: Socket,
}

/// A listed upstream: where it is, and the idle connections to it, the one used last at the end.
struct UpstreamConnections {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// Idle connections to upstreams, and the limits on all that go there.
pub struct ConnectionPool {
    upstreams: RefCell<HashMap<UpstreamId, UpstreamConnections>>,
    budget: Rc<DescriptorBudget>,
    metrics: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    pub fn new(
        budget: Rc<DescriptorBudget>,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
        connect_timeout_seconds: f64,
        idle_timeout_seconds: f64,
    ) -> Self {
        ConnectionPool {
            upstreams: RefCell::default(),
            budget,
            metrics,
            memory,
            connect_timeout: Duration::from_secs_f64(connect_timeout_seconds.min(60.0)),
            idle_timeout: Duration::from_secs_f64(
                (idle_timeout_seconds * (1.0 - IDLE_TIMEOUT_MARGIN)).min(3600.0),
            ),
        }
    }

    /// From now on connections to this upstream may be kept.
    pub fn allow(&self, upstream: UpstreamId, address: SocketAddr) {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams.entry(upstream).or_insert(UpstreamConnections {
            address,
            idle: Vec::new(),
        });
        if entry.address != address {
            *entry = UpstreamConnections {
                address,
                idle: Vec::new(),
            };
        }
    }

    /// Shuts the idle connections to this upstream, and keeps no more of them.
    pub fn remove(&self, upstream: UpstreamId) {
        self.upstreams.borrow_mut().remove(&upstream);
    }

    /// Shuts the idle connections to this upstream.
    pub fn close_idle(&self, upstream: UpstreamId) {
        self.upstreams
            .borrow_mut()
            .get_mut(&upstream)
            .into_iter()
            .for_each(|entry| entry.idle.clear());
    }

    /// Shuts all idle connections, and keeps none any more.
    pub fn close_all(&self) {
        self.upstreams.borrow_mut().clear();
    }

    /// Shuts those that have been idle for too long or that the upstream has closed.
    pub fn close_expired(&self) {
        for entry in self.upstreams.borrow_mut().values_mut() {
            entry.idle.retain(|idle| {
                idle.since.elapsed() < self.idle_timeout && idle.socket.is_open_and_idle()
            });
        }
    }

    /// Shuts the connection that has been idle for longest, if there is one.
    pub fn evict_oldest(&self) -> bool {
        let mut upstreams = self.upstreams.borrow_mut();
        let oldest = upstreams
            .values_mut()
            .filter(|entry| !entry.idle.is_empty());
        let oldest = oldest.min_by_key(|entry| entry.idle[0].since);
        oldest.map(|entry| entry.idle.remove(0)).is_some()
    }

    /// The connection that was used last: the others may grow old.
    fn take(&self, upstream: UpstreamId, address: SocketAddr) -> Option<(Socket, Duration)> {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams
            .get_mut(&upstream)
            .filter(|entry| entry.address == address)?;
        while let Some(IdleConnection { since, socket }) = entry.idle.pop() {
            // Guards against a request written to a connection that the upstream has closed, or is about
            // to: it would end as a reset, which may have run.
            if since.elapsed() < self.idle_timeout && socket.is_open_and_idle() {
                return Some((socket, since.elapsed()));
            }
        }
        None
    }

    /// Keeps a connection, unless its upstream has gone from the list or moved since.
    fn put(&self, upstream: UpstreamId, address: SocketAddr, socket: Socket) {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams
            .get_mut(&upstream)
            .filter(|entry| entry.address == address);
        let Some(entry) = entry.filter(|_| socket.is_open_and_idle()) else {
            return;
        };
        entry.idle.push(IdleConnection {
            since: Instant::now(),
            socket,
        });
        if entry.idle.len() > MAX_IDLE_PER_UPSTREAM {
            entry.idle.remove(0);
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Socket, AttemptError> {
        let permit = self.budget.acquire(Purpose::Upstream).or_else(|| {
            self.evict_oldest();
            self.budget.acquire(Purpose::Upstream)
        });
        // Guards against resting an upstream because we have no descriptor: that is no news of it.
        let permit = permit.ok_or(AttemptError::NotSent)?;
        Socket::connect(address, permit, self.connect_timeout)
            .await
            .map_err(|error| match is_resource_exhaustion(&error) {
                true => AttemptError::NotSent,
                false => AttemptError::ConnectFailed,
            })
    }
}

/// One attempt. It ends at the request's deadline at the latest; dropping it closes its connection.
pub struct Attempt {
    pub pool: Rc<ConnectionPool>,
    pub upstream: UpstreamId,
    pub address: SocketAddr,
    pub request: Rc<ForwardedRequest>,
    /// Its last byte must be written by then, or never.
    pub write_deadline: Option<Instant>,
    /// What is held back of a deadline, so that its client hears in time.
    pub deadline_margin: Duration,
    /// Set when the first byte is about to be written: for how long the connection had been idle.
    pub connection_idle: Rc<Cell<Option<Duration>>>,
}

/// What becomes of the connection after an exchange.
enum Disposition {
    Reuse,
    Close,
    /// It carries the rest of the answer, and can be used again once it is told so, if it is kept.
    Stream {
        over: oneshot::Receiver<()>,
        kept: bool,
    },
}

impl Attempt {
    fn deadline(&self) -> Instant {
        self.request.deadline() - self.deadline_margin
    }

    /// Ends at the deadline, wherever that has moved meanwhile.
    async fn deadline_passed(&self) {
        while self.deadline() > Instant::now() {
            sleep_until(self.deadline()).await;
        }
    }

    /// Ends when it may not be written any more and has not been. Guards against a repeat on a connection that came up
    /// late, or that takes bytes slowly, when upstreams no more know it for one.
    async fn write_deadline_passed(&self, handed_over: impl Fn() -> bool) {
        let Some(by) = self.write_deadline else {
            return pending().await;
        };
        while by > Instant::now() {
            sleep_until(by).await;
        }
        if handed_over() {
            pending().await
        }
    }

    /// Runs it to its end. "Never ran" is said only where the last byte can't have been handed over.
    pub async fn run(self) -> Result<UpstreamResponse, AttemptError> {
        loop {
            let kept = self.pool.take(self.upstream, self.address);
            let fresh = kept.is_none();
            let (socket, idle) = match kept {
                Some(kept) => kept,
                None if self.request.client.is_disconnected() => return Err(AttemptError::NotSent),
                None => {
                    let socket = tokio::select! {
                        biased;
                        () = self.write_deadline_passed(|| false) => return Err(AttemptError::NotSent),
                        socket = self.pool.connect(self.address) => socket?,
                        () = self.deadline_passed() => return Err(AttemptError::ConnectFailed),
                    };
                    (socket, Duration::ZERO)
                }
            };
            let (written, read) = (socket.written(), socket.read());
            self.connection_idle.set(Some(idle));
            // How many bytes the request has, once that is known.
            let whole = Rc::new(Cell::new(usize::MAX));
            let handed_over = || socket.written() - written >= whole.get();
            let ended = tokio::select! {
                biased;
                () = self.write_deadline_passed(handed_over) => return Err(AttemptError::NotSent),
                ended = self.exchange(&socket, whole.clone()) => Some(ended),
                () = self.deadline_passed() => None,
            };
            let handed_over = handed_over();
            return match ended {
                Some(Ok((answer, reusable))) if handed_over => {
                    if reusable {
                        self.pool.put(self.upstream, self.address, socket);
                    }
                    answer
                }
                // Guards against blaming the upstream for a client that broke off.
                Some(_) if self.request.upload.error().is_some() => Err(AttemptError::NotSent),
                Some(_) if !handed_over && self.request.client.is_disconnected() => {
                    Err(AttemptError::NotSent)
                }
                // Guards against an answer that was there before its request.
                Some(Ok((answer, _))) => answer.and(Err(AttemptError::ConnectFailed)),
                // A kept connection that was found dead in time tells nothing of the upstream.
                Some(Err(_))
                    if !fresh
                        && socket.written() == written
                        && self.request.upload.is_replayable() =>
                {
                    self.connection_idle.set(None);
                    continue;
                }
                _ if !handed_over => Err(AttemptError::ConnectFailed),
                // Guards against resting an upstream that spoilt an answer or broke off: it is alive.
                Some(Err(_)) if socket.read() > read => Err(AttemptError::InvalidResponse),
                Some(Err(_)) => Err(AttemptError::Reset),
                None => Err(AttemptError::TimedOut),
            };
        }
    }

    /// The request, and the bytes that its head has on the wire at the least: hyper writes the headers as they are
    /// here, and may add some. So a connection that broke before so many were written never carried all of it.
    fn message(&self, body: impl FnOnce(usize) -> UploadBody) -> Request<UploadBody> {
        let mut headers = self.request.headers.clone();
        let left = (self.deadline() - Instant::now()).as_secs_f64();
        if let Ok(left) = HeaderValue::from_str(&format!("{left:.3}")) {
            headers.insert("request-timeout", left);
        }
        let (method, uri) = (self.request.method.clone(), self.request.uri.clone());
        let line = method.as_str().len() + uri.to_string().len() + " HTTP/1.1\r\n".len() + 1;
        let lines = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + 4);
        let mut message = Request::new(body(line + lines.sum::<usize>() + 2));
        (
            *message.method_mut(),
            *message.uri_mut(),
            *message.headers_mut(),
        ) = (method, uri, headers);
        message
    }

    /// Sends the request and reads its answer, or the beginning of one that is large.
    ///
    /// Each exchange has an HTTP connection of its own on the socket, which is taken apart at the end. Guards against
    /// bytes behind an answer that stay in its buffer, and would be the next answer's beginning: only a socket
    /// from which nothing more has come is used again.
    async fn exchange(
        &self,
        socket: &Socket,
        whole: Rc<Cell<usize>>,
    ) -> hyper::Result<(Result<UpstreamResponse, AttemptError>, bool)> {
        socket.begin_exchange(self.request.client.clone(), MAX_OVERHEAD_BYTES);
        let begin = socket.written();
        let message = self.message(|head| {
            let (socket, metrics) = (socket.clone(), self.pool.metrics.clone());
            UploadBody::new(self.request.upload.clone(), move |body| {
                whole.set(head + body as usize);
                socket.complete_at(begin + whole.get(), metrics);
            })
        });
        let mut http = http1::Builder::new();
        let (mut sender, mut connection) = http
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(socket.clone())
            .await?;
        let talk = async {
            let (head, body) = sender.send_request(message).await?.into_parts();
            if !is_framed(&head) {
                return Ok((Err(AttemptError::InvalidResponse), Disposition::Close));
            }
            let kept = head.version == Version::HTTP_11
                && !lists_token(&head.headers, CONNECTION, "close");
            let (ended, after) = match classify(head.status, &head.headers) {
                Ok(()) => {
                    let (content, after) = self.content(socket, body).await?;
                    (
                        content.map(|body| UpstreamResponse {
                            headers: head.headers,
                            body,
                        }),
                        after,
                    )
                }
                // What it says is of no use, but its connection may be.
                Err(outcome) => (Err(outcome), discard_body(socket, body).await?),
            };
            let after = match after {
                Disposition::Stream { over, .. } => Disposition::Stream { over, kept },
                Disposition::Reuse if kept => Disposition::Reuse,
                _ => Disposition::Close,
            };
            Ok::<_, hyper::Error>((ended, after))
        };
        let (ended, after) = {
            tokio::pin!(talk);
            tokio::select! {
                biased;
                done = &mut talk => done?,
                // The connection has ended: what it read before that is still to be taken.
                _ = &mut connection => (talk.await?.0, Disposition::Close),
            }
        };
        let reusable = match after {
            Disposition::Close => false,
            Disposition::Reuse => connection.into_parts().read_buf.is_empty(),
            Disposition::Stream { over, kept } => {
                let (pool, upstream, address) = (self.pool.clone(), self.upstream, self.address);
                let socket = socket.clone();
                spawn_local(async move {
                    let over = tokio::select! {
                        biased;
                        over = over => over.is_ok(),
                        _ = &mut connection => false,
                    };
                    // Until here it would have ended the connection.
                    drop(sender);
                    if over && kept && connection.into_parts().read_buf.is_empty() {
                        pool.put(upstream, address, socket);
                    }
                });
                false
            }
        };
        Ok((ended, reusable))
    }

    /// Reads an answer whole if it is small. Of a large one the first bytes do: its client is waiting for them.
    async fn content(
        &self,
        socket: &Socket,
        mut body: Incoming,
    ) -> hyper::Result<(Result<ResponseContent, AttemptError>, Disposition)> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Ok((Err(AttemptError::InvalidResponse), Disposition::Close));
        }
        let room = self.pool.memory.try_take();
        let large = room.is_none() || length.is_some_and(|length| length > READ_AHEAD_BYTES as u64);
        let held_back = Instant::now() + MAX_RESPONSE_DELAY;
        let (mut ahead, mut size) = (VecDeque::new(), 0);
        while size <= READ_AHEAD_BYTES && !(large && size > 0) {
            let frame = match length {
                None if size > 0 => {
                    match timeout_at(held_back, next_frame(socket, &mut body)).await {
                        Ok(frame) => frame,
                        Err(_) => break,
                    }
                }
                _ => next_frame(socket, &mut body).await,
            };
            let Some(frame) = frame else {
                let whole = ahead
                    .into_iter()
                    .fold(BytesMut::new(), |mut whole, data: Bytes| {
                        whole.extend_from_slice(&data);
                        whole
                    });
                return Ok((
                    Ok(ResponseContent::Complete(whole.freeze())),
                    Disposition::Reuse,
                ));
            };
            if let Ok(data) = frame?.into_data() {
                size += data.len();
                ahead.push_back(data);
            }
        }
        // Whoever passes it on waits only so long for the next part.
        socket.unlimit_read();
        let (whole, over) = oneshot::channel();
        let download = Download::new(ahead, body, length, whole, room);
        Ok((
            Ok(ResponseContent::Streamed(Box::new(download))),
            Disposition::Stream { over, kept: true },
        ))
    }
}

/// The next part of a body. Guards against what hyper reads for as long as it comes, and gives to nobody: the size of a
/// chunk that has no end.
async fn next_frame(socket: &Socket, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
    socket.limit_read(MAX_OVERHEAD_BYTES);
    body.frame().await
}

/// Reads a body that nobody wants, and says whether its connection can be used again: not after a large one.
async fn discard_body(socket: &Socket, mut body: Incoming) -> hyper::Result<Disposition> {
    let mut size = 0;
    while let Some(frame) = next_frame(socket, &mut body).await {
        size += frame?.data_ref().map_or(0, Bytes::len);
        if size > READ_AHEAD_BYTES {
            return Ok(Disposition::Close);
        }
    }
    Ok(Disposition::Reuse)
}

/// True if the head says once and plainly where its body ends. Guards against an answer that can't be told from
/// a part of it, or from the one behind it.
fn is_framed(head: &Parts) -> bool {
    let mut lengths = head.headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let digits = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
    head.status != StatusCode::SWITCHING_PROTOCOLS
        && match (
            lengths.next(),
            lengths.next(),
            codings.next(),
            codings.next(),
        ) {
            (Some(length), None, None, None) => digits(length),
            (None, None, Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
            // It ends with its connection, and says so.
            (None, None, None, None) => lists_token(&head.headers, CONNECTION, "close"),
            _ => false,
        }
}

/// True if this header, a list, has this word.
pub fn lists_token(headers: &HeaderMap, list: HeaderName, word: &str) -> bool {
    let texts = headers
        .get_all(list)
        .into_iter()
        .filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(word))
}

fn classify(status: StatusCode, headers: &HeaderMap) -> Result<(), AttemptError> {
    let not_started = headers.get("not-started").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => {
            Err(AttemptError::Rejected)
        }
        _ => Err(AttemptError::ErrorStatus),
    }
}

#[cfg(test)]
mod tests;
