//! Sockets: one budget of descriptors for all of them, and what was read and written on each.

use crate::stats::Stats;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, Ref, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Descriptors that are no sockets of ours: standard streams, the event loop, the listener, signals.
const OTHER_FILES: usize = 16;
/// Kept free so that a client can still be told 503 when there is room for nothing else.
const REFUSALS: usize = 8;
/// Kept free for discovery, which must get through when all else is crowded.
const DISCOVERY: usize = 4;
/// Kept free for the admin endpoint, where there is one: whatever the load is, operators get through.
const ADMIN: usize = 12;
/// So much of what came last from a client is kept: a head as it came, as a rule.
const RECENT: usize = 8 << 10;
/// So much is read ahead of one connection: clients send one request at a time,
const AHEAD: usize = 16 << 10;
/// and so many pieces of it at a time, so that others have their turn.
const MOST_PIECES: usize = 64;
/// This part of what is left is for upstreams alone.
const UPSTREAM_PART: f64 = 0.4;

/// What a socket is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Upstream,
    Client,
    /// A client that is only to be told that there is no room.
    Refusal,
    Discovery,
    /// A call at the admin endpoint.
    Admin,
}

/// Counts the open sockets against the most that the process may hold.
///
/// Guards against clients that take every descriptor and so leave none for what they ask for: each purpose
/// has a part of its own.
#[derive(Debug)]
pub struct Budget {
    clients: Cell<usize>,
    others: Cell<usize>,
    admin: Cell<usize>,
    most: Cell<usize>,
    most_clients: Cell<usize>,
    most_admin: usize,
}

impl Budget {
    pub fn new(descriptors: usize, admin: bool) -> Rc<Self> {
        let (clients, others, admin_open, most, most_clients) = Default::default();
        let most_admin = if admin { ADMIN } else { 0 };
        let budget = Budget { clients, others, admin: admin_open, most, most_clients, most_admin };
        budget.limit(descriptors);
        Rc::new(budget)
    }

    /// From now on the process may hold so many descriptors; what is open beyond that stays open.
    pub fn limit(&self, descriptors: usize) {
        self.most.set(descriptors.saturating_sub(OTHER_FILES + self.most_admin));
        let shared = self.most.get().saturating_sub(DISCOVERY + REFUSALS) as f64;
        self.most_clients.set((shared * (1.0 - UPSTREAM_PART)) as usize);
    }

    /// Descriptors that the process holds now, with all that it keeps back.
    pub fn held(&self) -> usize {
        self.clients.get() + self.others.get() + OTHER_FILES + self.most_admin
    }

    /// Room for one more, if there is.
    pub fn take(self: &Rc<Self>, purpose: Purpose) -> Option<Permit> {
        let (clients, open) = (self.clients.get(), self.clients.get() + self.others.get());
        let free = match purpose {
            Purpose::Upstream => open + DISCOVERY + REFUSALS < self.most.get(),
            Purpose::Client => {
                clients < self.most_clients.get() && open + DISCOVERY + REFUSALS < self.most.get()
            }
            Purpose::Refusal => {
                clients < self.most_clients.get() + REFUSALS && open + DISCOVERY < self.most.get()
            }
            Purpose::Discovery => open < self.most.get(),
            Purpose::Admin => self.admin.get() < self.most_admin,
        };
        free.then(|| {
            let count = self.count(purpose);
            count.set(count.get() + 1);
            Permit { budget: self.clone(), purpose }
        })
    }

    fn count(&self, purpose: Purpose) -> &Cell<usize> {
        match purpose {
            Purpose::Client | Purpose::Refusal => &self.clients,
            Purpose::Upstream | Purpose::Discovery => &self.others,
            Purpose::Admin => &self.admin,
        }
    }
}

/// Room for one socket; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    budget: Rc<Budget>,
    purpose: Purpose,
}

impl Drop for Permit {
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
    /// Bytes that may be read in all; more breaks the connection.
    most_read: Cell<usize>,
    written: Cell<usize>,
    last_written: Cell<Instant>,
    /// The kernel takes no more for now, and something is still to be written.
    blocked: Cell<bool>,
    /// When the first byte came since it was last at rest.
    asking: Cell<Option<Instant>>,
    /// The bytes that were read last from a client.
    recent: RefCell<Vec<u8>>,
    keeps_recent: bool,
    /// Bytes that were read ahead of whoever is to read them, and whether more came that were dropped.
    ahead: RefCell<VecDeque<u8>>,
    cut: Cell<bool>,
    /// What is to be told once so many bytes are written.
    whole: RefCell<Option<(usize, Rc<Stats>)>>,
    /// It has to be quiet when its next byte is written.
    wants_quiet: Cell<bool>,
    _permit: Permit,
}

impl Socket {
    /// Opens a connection; the caller sets the time limit.
    pub async fn connect(address: SocketAddr, permit: Permit) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?, permit))
    }

    /// A client's connection, of which the bytes that came last are kept.
    pub fn of_client(stream: TcpStream, permit: Permit) -> Self {
        Self::build(stream, permit, true)
    }

    /// A connection that is up.
    pub fn new(stream: TcpStream, permit: Permit) -> Self {
        Self::build(stream, permit, false)
    }

    fn build(stream: TcpStream, permit: Permit, keeps_recent: bool) -> Self {
        // Without it the peer only hears later.
        let _ = stream.set_nodelay(true);
        let (read, most_read) = (Cell::new(0), Cell::new(usize::MAX));
        let (written, wants_quiet) = (Cell::new(0), Cell::new(false));
        let (asking, blocked, ahead, cut) = Default::default();
        let (last_written, recent, whole) =
            (Cell::new(Instant::now()), RefCell::default(), RefCell::default());
        Socket(Rc::new(Inner {
            stream,
            read,
            most_read,
            written,
            last_written,
            blocked,
            asking,
            recent,
            keeps_recent,
            ahead,
            cut,
            whole,
            wants_quiet,
            _permit: permit,
        }))
    }

    fn keep_recent(&self, bytes: &[u8]) {
        if !self.0.keeps_recent {
            return;
        }
        let mut recent = self.0.recent.borrow_mut();
        let bytes = &bytes[bytes.len().saturating_sub(RECENT)..];
        let old = (recent.len() + bytes.len()).saturating_sub(RECENT);
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

    /// A new exchange begins: nothing may have come before its first byte is written, and so many bytes may come
    /// until more is allowed.
    pub fn begin(&self, most_read: usize) {
        self.0.wants_quiet.set(true);
        self.0.most_read.set(self.read().saturating_add(most_read));
        *self.0.whole.borrow_mut() = None;
    }

    /// Whatever comes from now on may be read.
    pub fn allow_more(&self) {
        self.0.most_read.set(usize::MAX);
    }

    /// An attempt is whole, and counted, once so many bytes are written in all.
    pub fn count_at(&self, written: usize, stats: Rc<Stats>) {
        *self.0.whole.borrow_mut() = Some((written, stats));
        self.note_written(0);
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
    pub fn rest(&self) {
        self.0.asking.set(None);
    }

    /// When the first byte came since it was last at rest.
    pub fn asking(&self) -> Option<Instant> {
        self.0.asking.get()
    }

    /// The bytes that were read last, for as many as are kept.
    pub fn recent(&self) -> Ref<'_, Vec<u8>> {
        self.0.recent.borrow()
    }

    fn note_written(&self, count: usize) {
        self.0.written.set(self.written() + count);
        self.0.last_written.set(Instant::now());
        let mut whole = self.0.whole.borrow_mut();
        if let Some((_, stats)) = whole.take_if(|(at, _)| self.written() >= *at) {
            stats.attempt_written();
        }
    }

    /// Waits until bytes, the end or an error have come.
    pub async fn stirs(&self) -> Ready {
        let ready = self.0.stream.ready(Interest::READABLE | Interest::ERROR).await;
        // What can't be asked any more has ended.
        ready.unwrap_or(Ready::ERROR)
    }

    /// True if the peer has closed or reset the connection. What it has sent before that may hide its end, or keep it
    /// from coming: it is read ahead, and what is too much for that is dropped with all that follows.
    pub fn ends_behind(&self) -> bool {
        let mut bytes = [0; 8192];
        for _ in 0..MOST_PIECES {
            match self.0.stream.try_read(&mut bytes) {
                Ok(0) => return true,
                Ok(count) => {
                    let mut ahead = self.0.ahead.borrow_mut();
                    let room = AHEAD.saturating_sub(ahead.len());
                    ahead.extend(&bytes[..count.min(room)]);
                    self.0.cut.set(self.0.cut.get() || count > room);
                }
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }

    /// True if the peer has neither closed nor sent anything that is still unread. Asks the kernel: what the
    /// event loop knows may be older than the peer's farewell.
    pub fn is_quiet(&self) -> bool {
        if !self.0.ahead.borrow().is_empty() {
            return false;
        }
        let peeked = SockRef::from(&self.0.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
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
            let count = match self.take_ahead(&mut bytes[..most]) {
                Some(count) => count,
                None => {
                    ready!(self.0.stream.poll_read_ready(cx))?;
                    match self.0.stream.try_read(&mut bytes[..most]) {
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                        read => read?,
                    }
                }
            };
            self.0.read.set(self.read() + count);
            if count > 0 && self.asking().is_none() {
                self.0.asking.set(Some(Instant::now()));
            }
            // Guards against an answer that goes on for ever.
            if self.read() > self.0.most_read.get() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            self.keep_recent(&bytes[..count]);
            buffer.put_slice(&bytes[..count]);
            return Poll::Ready(Ok(()));
        }
    }
}

impl Socket {
    /// Takes from what was read ahead; `None` if the kernel is to be asked.
    fn take_ahead(&self, bytes: &mut [u8]) -> Option<usize> {
        let mut ahead = self.0.ahead.borrow_mut();
        if ahead.is_empty() {
            return self.0.cut.get().then_some(0);
        }
        let count = ahead.len().min(bytes.len());
        ahead.drain(..count).zip(bytes).for_each(|(from, to)| *to = from);
        Some(count)
    }

    fn poll_try(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        // Guards against a request on a connection that has just been closed, and against what belongs to
        // the exchange before, come late, being taken for its answer.
        if self.0.wants_quiet.replace(false) && !self.is_quiet() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        loop {
            let room = self.0.stream.poll_write_ready(cx);
            self.0.blocked.set(room.is_pending());
            ready!(room)?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    self.note_written(count);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try(cx, |stream| stream.try_write_vectored(slices))
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
#[path = "../../../tests/unit/socket.rs"]
mod tests;
