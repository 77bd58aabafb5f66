//! Sockets: one budget of descriptors for all of them, and what was read and written on each.

pub mod system_errors;

use crate::metrics::Metrics;
use crate::socket::system_errors::{is_local_error, is_resource_exhaustion, retry_on_interrupt};
use hyper::rt::{Read, ReadBufCursor, Write};
use nix::libc::POLLRDHUP;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::cell::{Cell, Ref, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read as _};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at, Instant};

/// Descriptors that are no sockets of ours: standard streams, the event loop, the listener, signals.
const RESERVED_FOR_PROCESS: usize = 16;
/// Kept free so that a client can still be told 503 when there is room for nothing else.
const RESERVED_FOR_REJECTIONS: usize = 8;
/// Kept free for discovery, which must get through when all else is crowded: the watches that are followed at a time, and
/// one that takes the place of another.
const RESERVED_FOR_DISCOVERY: usize = 5;
/// Kept free for the admin endpoint, where there is one: whatever the load is, operators get through.
const RESERVED_FOR_ADMIN: usize = 12;
/// A connect that failed for want of something here is tried again this much later.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// So much of what came last from a client is kept: a head as it came, as a rule.
const MAX_RECENT_BYTES: usize = 8 << 10;
/// So much is read ahead of one connection: clients may send many requests at once,
const MAX_READ_AHEAD: usize = 512 << 10;
/// but only this much where all connections together hold more than the other: others send what nobody is to read.
const MAX_READ_AHEAD_UNDER_PRESSURE: usize = 16 << 10;
const READ_AHEAD_PRESSURE_THRESHOLD: usize = 2 << 20;
/// and so many pieces of it at a time, so that others have their turn.
const MAX_READS_PER_CHECK: usize = 64;
/// This part of what is left is for upstreams alone.
const UPSTREAM_SHARE: f64 = 0.4;

/// What a socket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Upstream,
    ClientConnection,
    /// A client that is only to be told that there is no room.
    Rejection,
    Discovery,
    /// A call at the admin endpoint.
    Admin,
}

/// Counts the open sockets against the most that the process may hold.
///
/// Guards against clients that take every descriptor and so leave none for what they ask for: each purpose
/// has a part of its own.
#[derive(Debug)]
pub struct DescriptorBudget {
    clients: Cell<usize>,
    upstreams: Cell<usize>,
    discovery: Cell<usize>,
    admin: Cell<usize>,
    limit: Cell<usize>,
    client_limit: Cell<usize>,
    admin_limit: usize,
    /// Bytes that were read ahead of all connections.
    ahead: Cell<usize>,
}

impl DescriptorBudget {
    pub fn new(descriptors: usize, admin: bool) -> Rc<Self> {
        let (clients, upstreams, discovery, admin_open, limit, client_limit, ahead) =
            Default::default();
        let (admin_limit, admin) = (if admin { RESERVED_FOR_ADMIN } else { 0 }, admin_open);
        let budget = DescriptorBudget {
            clients,
            upstreams,
            discovery,
            admin,
            limit,
            client_limit,
            admin_limit,
            ahead,
        };
        budget.set_limit(descriptors);
        Rc::new(budget)
    }

    /// From now on the process may hold so many descriptors; what is open beyond that stays open.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit.set(descriptors.saturating_sub(self.reserved()));
        let shared = self.limit.get().saturating_sub(RESERVED_FOR_REJECTIONS) as f64;
        self.client_limit
            .set((shared * (1.0 - UPSTREAM_SHARE)) as usize);
    }

    /// Descriptors that the process holds now, with all that it keeps back.
    pub fn in_use(&self) -> usize {
        self.clients.get() + self.upstreams.get() + self.reserved()
    }

    /// Descriptors that neither clients nor upstreams may have.
    fn reserved(&self) -> usize {
        RESERVED_FOR_PROCESS + RESERVED_FOR_DISCOVERY + self.admin_limit
    }

    /// Room for one more, if there is.
    pub fn acquire(self: &Rc<Self>, purpose: Purpose) -> Option<DescriptorPermit> {
        let (clients, open) = (
            self.clients.get(),
            self.clients.get() + self.upstreams.get(),
        );
        let free = match purpose {
            Purpose::Upstream => open + RESERVED_FOR_REJECTIONS < self.limit.get(),
            Purpose::ClientConnection => {
                clients < self.client_limit.get()
                    && open + RESERVED_FOR_REJECTIONS < self.limit.get()
            }
            Purpose::Rejection => {
                clients < self.client_limit.get() + RESERVED_FOR_REJECTIONS
                    && open < self.limit.get()
            }
            // Also where the others hold more than their part, as that has just been made smaller.
            Purpose::Discovery => self.discovery.get() < RESERVED_FOR_DISCOVERY,
            Purpose::Admin => self.admin.get() < self.admin_limit,
        };
        free.then(|| {
            let count = self.count(purpose);
            count.set(count.get() + 1);
            DescriptorPermit {
                budget: self.clone(),
                purpose,
            }
        })
    }

    /// True while clients hold more than their part, so that one has come that was only to be refused.
    pub fn is_exceeded(&self) -> bool {
        let open = self.clients.get() + self.upstreams.get();
        self.clients.get() > self.client_limit.get()
            || open + RESERVED_FOR_REJECTIONS > self.limit.get()
    }

    fn count(&self, purpose: Purpose) -> &Cell<usize> {
        match purpose {
            Purpose::ClientConnection | Purpose::Rejection => &self.clients,
            Purpose::Upstream => &self.upstreams,
            Purpose::Discovery => &self.discovery,
            Purpose::Admin => &self.admin,
        }
    }
}

/// Room for one socket; given back when dropped.
#[derive(Debug)]
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    purpose: Purpose,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let count = self.budget.count(self.purpose);
        count.set(count.get() - 1);
    }
}

/// A connection. Its clones share it; it closes with the last of them.
#[derive(Clone, Debug)]
pub struct Socket(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    read: Cell<usize>,
    last_read: Cell<Instant>,
    /// Bytes that may be read in all; more breaks the connection.
    max_received: Cell<usize>,
    written: Cell<usize>,
    last_written: Cell<Instant>,
    /// The kernel takes no more for now, and something is still to be written.
    blocked: Cell<bool>,
    /// When the first byte came since it was last at rest.
    request_started_at: Cell<Option<Instant>>,
    /// The bytes that were read last from a client.
    recent: RefCell<Vec<u8>>,
    records_recent: bool,
    /// Bytes that were read ahead of whoever is to read them, and whether more came that were dropped.
    ahead: RefCell<VecDeque<u8>>,
    truncated: Cell<bool>,
    /// Nobody reads what comes, so that it may be read ahead.
    read_ahead_enabled: Cell<bool>,
    /// What is to be told once so many bytes are written.
    completion: RefCell<Option<(usize, Rc<Metrics>)>>,
    /// It has to be quiet when its next byte is written.
    awaits_first_write: Cell<bool>,
    /// For whom it carries a request, and with how many bytes written in all that is whole.
    client: RefCell<PeerHandle>,
    request_end: Cell<usize>,
    permit: DescriptorPermit,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let all = &self.permit.budget.ahead;
        all.set(all.get() - self.ahead.borrow().len());
    }
}

impl Socket {
    /// Opens a connection within this time. Until then it is tried again where this machine is at fault; that error
    /// is what is returned if it lasts.
    pub async fn connect(
        address: SocketAddr,
        permit: DescriptorPermit,
        limit: Duration,
    ) -> io::Result<Self> {
        let until = Instant::now() + limit;
        loop {
            match timeout_at(until, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => return Ok(Self::new(stream, permit)),
                Ok(Err(error))
                    if is_local_error(&error) && Instant::now() + CONNECT_RETRY_DELAY < until =>
                {
                    sleep(CONNECT_RETRY_DELAY).await;
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// A client's connection, of which the bytes that came last are kept.
    pub fn for_client(stream: TcpStream, permit: DescriptorPermit) -> Self {
        Self::build(stream, permit, true)
    }

    /// A connection that is up.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Self {
        Self::build(stream, permit, false)
    }

    fn build(stream: TcpStream, permit: DescriptorPermit, records_recent: bool) -> Self {
        // Without it the peer only hears later.
        let _ = stream.set_nodelay(true);
        let (read, max_received) = (Cell::new(0), Cell::new(usize::MAX));
        let (written, awaits_first_write) = (Cell::new(0), Cell::new(false));
        let (request_started_at, blocked, ahead, truncated, read_ahead_enabled) =
            Default::default();
        let (client, request_end) = (RefCell::default(), Cell::new(usize::MAX));
        let (last_read, last_written) = (Cell::new(Instant::now()), Cell::new(Instant::now()));
        let (recent, completion) = Default::default();
        Socket(Rc::new(Inner {
            stream,
            read,
            last_read,
            max_received,
            written,
            last_written,
            blocked,
            request_started_at,
            recent,
            records_recent,
            ahead,
            truncated,
            read_ahead_enabled,
            completion,
            awaits_first_write,
            client,
            request_end,
            permit,
        }))
    }

    fn record_recent(&self, bytes: &[u8]) {
        if !self.0.records_recent {
            return;
        }
        let mut recent = self.0.recent.borrow_mut();
        let bytes = &bytes[bytes.len().saturating_sub(MAX_RECENT_BYTES)..];
        let old = (recent.len() + bytes.len()).saturating_sub(MAX_RECENT_BYTES);
        recent.drain(..old);
        recent.extend_from_slice(bytes);
    }

    /// Bytes taken from the kernel so far.
    pub fn read(&self) -> usize {
        self.0.read.get()
    }

    /// Bytes handed to the kernel so far.
    pub fn written(&self) -> usize {
        self.0.written.get()
    }

    /// When bytes were last taken from the kernel.
    pub fn last_read(&self) -> Instant {
        self.0.last_read.get()
    }

    /// A new exchange begins for this client: nothing may have come before its first byte is written, and so many
    /// bytes may come until more is allowed.
    pub fn begin_exchange(&self, client: PeerHandle, max_received: usize) {
        self.0.awaits_first_write.set(true);
        *self.0.client.borrow_mut() = client;
        self.0.request_end.set(usize::MAX);
        self.limit_read(max_received);
        *self.0.completion.borrow_mut() = None;
    }

    /// So many more bytes may come until more is allowed.
    pub fn limit_read(&self, more: usize) {
        self.0.max_received.set(self.read().saturating_add(more));
    }

    /// Whatever comes from now on may be read.
    pub fn unlimit_read(&self) {
        self.0.max_received.set(usize::MAX);
    }

    /// An attempt is whole, and counted, once so many bytes are written in all.
    pub fn complete_at(&self, written: usize, metrics: Rc<Metrics>) {
        self.0.request_end.set(written);
        *self.0.completion.borrow_mut() = Some((written, metrics));
        self.record_sent(0);
    }

    /// When bytes were last handed to the kernel.
    pub fn last_written(&self) -> Instant {
        self.0.last_written.get()
    }

    /// True if something waits to be written until the peer takes more.
    pub fn is_blocked(&self) -> bool {
        self.0.blocked.get()
    }

    /// It is at rest: what comes now begins something new.
    pub fn mark_idle(&self) {
        self.0.request_started_at.set(None);
    }

    /// When the first byte came since it was last at rest.
    pub fn request_started_at(&self) -> Option<Instant> {
        self.0.request_started_at.get()
    }

    /// Keeps nothing of what has been read so far.
    pub fn clear_recent_bytes(&self) {
        self.0.recent.borrow_mut().clear();
    }

    /// The bytes that were read last, for as many as are kept.
    pub fn recent_bytes(&self) -> Ref<'_, Vec<u8>> {
        self.0.recent.borrow()
    }

    fn record_sent(&self, count: usize) {
        self.0.written.set(self.written() + count);
        self.0.last_written.set(Instant::now());
        let mut completion = self.0.completion.borrow_mut();
        if let Some((_, metrics)) = completion.take_if(|(at, _)| self.written() >= *at) {
            metrics.count_attempt();
        }
    }

    /// Waits until bytes, the end or an error have come.
    pub async fn readable(&self) {
        // What can't be waited for is asked.
        let _ = self
            .0
            .stream
            .ready(Interest::READABLE | Interest::ERROR)
            .await;
    }

    /// The other side of this connection, for those who ask after it and don't keep it open.
    pub fn peer(&self) -> PeerHandle {
        PeerHandle(Some(Rc::downgrade(&self.0)))
    }

    /// What comes may be read ahead, as nobody reads it, or may no more.
    pub fn set_read_ahead(&self, may: bool) {
        self.0.read_ahead_enabled.set(may);
    }

    /// True if the peer has closed its connection, its half of it, or reset it, also with bytes unread before that.
    /// Asks the kernel: the event loop knows only what had come when it last looked.
    pub fn is_disconnected(&self) -> bool {
        let mut asked = [PollFd::new(
            self.0.stream.as_fd(),
            PollFlags::from_bits_retain(POLLRDHUP),
        )];
        retry_on_interrupt(|| Ok(poll(&mut asked, PollTimeout::ZERO)?)).is_ok_and(|ended| ended > 0)
            || self.0.read_ahead_enabled.get() && self.read_ahead_to_end()
    }

    /// True if the end comes behind what there is to read. Too much of that keeps it from coming: it is read ahead, and
    /// what is too much for that too is dropped with all that follows.
    fn read_ahead_to_end(&self) -> bool {
        let mut bytes = [0; 8192];
        for _ in 0..MAX_READS_PER_CHECK {
            let read = match retry_on_interrupt(|| self.0.stream.try_read(&mut bytes)) {
                // The event loop may not know of it yet.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    retry_on_interrupt(|| (&*SockRef::from(&self.0.stream)).read(&mut bytes))
                }
                read => read,
            };
            match read {
                Ok(0) => return true,
                Ok(count) => {
                    self.0.last_read.set(Instant::now());
                    let mut ahead = self.0.ahead.borrow_mut();
                    let all = &self.0.permit.budget.ahead;
                    let most = if all.get() < READ_AHEAD_PRESSURE_THRESHOLD {
                        MAX_READ_AHEAD
                    } else {
                        MAX_READ_AHEAD_UNDER_PRESSURE
                    };
                    let room =
                        most.saturating_sub(ahead.len()) * usize::from(!self.0.truncated.get());
                    ahead.extend(&bytes[..count.min(room)]);
                    all.set(all.get() + count.min(room));
                    self.0.truncated.set(self.0.truncated.get() || count > room);
                }
                Err(error) => {
                    return error.kind() != io::ErrorKind::WouldBlock
                        && !is_resource_exhaustion(&error)
                }
            }
        }
        false
    }

    /// Ends the connection, and waits until the peer has closed it too if bytes of it lie unread; looks so often. Guards
    /// against a close over these: it resets the connection, and what the peer has not taken yet is lost. They stay
    /// unread, as a request among them is to be sent again elsewhere; but what is left of one that was `turned_away` is
    /// read to no end.
    pub async fn linger(&self, turned_away: bool, look: Duration) {
        // It may have been ended before, or have broken.
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        self.set_read_ahead(turned_away);
        if !turned_away && !self.has_unread() {
            return;
        }
        while !self.is_disconnected() {
            self.readable().await;
            match turned_away {
                true => yield_now().await,
                false => sleep(look).await,
            }
        }
    }

    /// True if the peer has sent something that is still unread, closed or not. Asks the kernel, as below.
    pub fn has_unread(&self) -> bool {
        !self.0.ahead.borrow().is_empty() || matches!(self.peek(), Ok(1..))
    }

    /// Asks the kernel for bytes, the end or an error, and leaves them there.
    fn peek(&self) -> io::Result<usize> {
        let socket = SockRef::from(&self.0.stream);
        retry_on_interrupt(|| socket.peek(&mut [MaybeUninit::uninit()]))
    }

    /// True if the peer has neither closed nor sent anything that is still unread. Asks the kernel: what the
    /// event loop knows may be older than the peer's farewell.
    pub fn is_open_and_idle(&self) -> bool {
        if !self.0.ahead.borrow().is_empty() {
            return false;
        }
        matches!(self.peek(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The other side of a connection, which stays open without it; that of none never leaves.
#[derive(Clone, Debug, Default)]
pub struct PeerHandle(Option<Weak<Inner>>);

impl PeerHandle {
    /// True if it has left, or its connection is closed.
    pub fn is_disconnected(&self) -> bool {
        let connection = self.0.as_ref().map(Weak::upgrade);
        connection.is_some_and(|open| open.is_none_or(|inner| Socket(inner).is_disconnected()))
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 8192];
        let most = buffer.remaining().min(bytes.len());
        loop {
            let count = match self.take_read_ahead(&mut bytes[..most]) {
                Some(count) => count,
                None => {
                    ready!(self.0.stream.poll_read_ready(cx))?;
                    match retry_on_interrupt(|| self.0.stream.try_read(&mut bytes[..most])) {
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                        Err(error) if is_resource_exhaustion(&error) => {
                            // The bytes stay in the kernel. Others have their turn meanwhile.
                            cx.waker().wake_by_ref();
                            return Poll::Pending;
                        }
                        read => {
                            self.0.last_read.set(Instant::now());
                            read?
                        }
                    }
                }
            };
            self.0.read.set(self.read() + count);
            if count > 0 && self.request_started_at().is_none() {
                self.0.request_started_at.set(Some(Instant::now()));
            }
            // Guards against an answer that goes on for ever.
            if self.read() > self.0.max_received.get() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            self.record_recent(&bytes[..count]);
            buffer.put_slice(&bytes[..count]);
            return Poll::Ready(Ok(()));
        }
    }
}

impl Socket {
    /// Takes from what was read ahead; `None` if the kernel is to be asked.
    fn take_read_ahead(&self, bytes: &mut [u8]) -> Option<usize> {
        let mut ahead = self.0.ahead.borrow_mut();
        if ahead.is_empty() {
            return self.0.truncated.get().then_some(0);
        }
        let count = ahead.len().min(bytes.len());
        let all = &self.0.permit.budget.ahead;
        all.set(all.get() - count);
        ahead
            .drain(..count)
            .zip(bytes)
            .for_each(|(from, to)| *to = from);
        Some(count)
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let first = self.0.awaits_first_write.replace(false);
        // Guards against a request on a connection that has just been closed, and against what belongs to
        // the exchange before, come late, being taken for its answer.
        if first && !self.is_open_and_idle() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        // Guards against sending on what nobody wants any more, however long ago the event loop has looked at its
        // client: its upstream begins with the last byte.
        let last = self.written().saturating_add(length) >= self.0.request_end.get();
        if (first || last) && self.0.client.borrow().is_disconnected() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        loop {
            let room = self.0.stream.poll_write_ready(cx);
            self.0.blocked.set(room.is_pending());
            ready!(room)?;
            match retry_on_interrupt(|| write(&self.0.stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if is_resource_exhaustion(&error) => {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    self.record_sent(count);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, bytes.len(), |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.poll_write_with(cx, length, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
