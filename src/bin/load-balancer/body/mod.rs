//! Bodies in both directions: read ahead where they are small, streamed where they are large. What is read ahead
//! comes out of one budget of memory, and nothing is read of a body before there is somewhere for it to go.

use crate::metrics::{InFlightRequest, RequestOutcome};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at, Instant, Sleep};

/// Bodies hold this much at the most, in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// So much of a body is read ahead: one that is no larger can be sent again, or found broken, as a whole.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// An answer of unknown length is held back for no longer than this, lest its reader waits for it.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// The part of the memory that what is read ahead may take; as much again is for a second process.
const MEMORY_DIVISOR: usize = 8;
/// A body comes at this rate at the least, in bytes a second,
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;
/// but for so long.
const MAX_SEND_PAUSE: Duration = Duration::from_millis(800);
/// Of a body that is being streamed the next part comes within this time: its client has shown that it sends,
pub const CLIENT_STALL: Duration = Duration::from_millis(2500);
/// and an upstream that it answers: one may stand still for over twenty seconds and go on.
const UPSTREAM_STALL: Duration = Duration::from_secs(30);

/// Once its time is up, a part may come within so many turns of the other tasks.
const MAX_TURNS_AFTER_DEADLINE: usize = 16;

/// Why a body ends before its end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    #[error("the body is broken")]
    Truncated,
    #[error("the body did not come in time")]
    Stalled,
    #[error("the body is too large")]
    TooLarge,
}

/// The memory that may be taken for what is read ahead.
#[derive(Debug)]
pub struct MemoryBudget(Arc<Semaphore>);

/// Memory that has been taken; given back when dropped.
pub type MemoryPermit = OwnedSemaphorePermit;

impl MemoryBudget {
    pub fn new(limit: usize) -> Rc<Self> {
        let most = (limit / MEMORY_DIVISOR).clamp(READ_AHEAD_BYTES, Semaphore::MAX_PERMITS);
        Rc::new(MemoryBudget(Arc::new(Semaphore::new(most))))
    }

    /// Waits until there is room for so many bytes.
    async fn take(&self, bytes: usize) -> Option<MemoryPermit> {
        // The semaphore is never closed, so there is room in the end.
        self.0.clone().acquire_many_owned(bytes as u32).await.ok()
    }

    /// Room for what is read ahead of an answer, if there is some now.
    pub fn try_take(&self) -> Option<MemoryPermit> {
        self.0
            .clone()
            .try_acquire_many_owned(READ_AHEAD_BYTES as u32)
            .ok()
    }
}

/// The next part of a body, if it is there by then. Guards against a process that had no turn for long: what has come
/// meanwhile is there only when its connection has been read.
async fn frame_before(
    until: Instant,
    body: &mut Incoming,
) -> Result<Option<hyper::Result<Frame<Bytes>>>, BodyError> {
    for _ in 0..MAX_TURNS_AFTER_DEADLINE {
        if let Ok(frame) = timeout_at(until, body.frame()).await {
            return Ok(frame);
        }
        yield_now().await;
    }
    Err(BodyError::Stalled)
}

/// A request's body: what has been read ahead, and what is still to come from its client.
#[derive(Debug)]
pub struct Upload {
    read_ahead: Bytes,
    remaining: RefCell<Option<Incoming>>,
    /// All of it, if that is known.
    length: Option<u64>,
    /// Read so far.
    read: Cell<u64>,
    /// When its client last sent a part of it.
    last_progress: Cell<Instant>,
    /// Some of what was not read ahead has gone to an upstream, and can go to no other.
    is_consumed: Cell<bool>,
    error: Cell<Option<BodyError>>,
    /// Told once all of it has been read.
    completion: RefCell<Option<oneshot::Sender<()>>>,
    _memory: Option<MemoryPermit>,
}

impl Upload {
    /// One that has no bytes.
    pub fn empty() -> Self {
        Self::new(Bytes::new(), None, Some(0), None)
    }

    fn new(
        read_ahead: Bytes,
        remaining: Option<Incoming>,
        length: Option<u64>,
        room: Option<MemoryPermit>,
    ) -> Self {
        let read = Cell::new(read_ahead.len() as u64);
        let last_progress = Cell::new(Instant::now());
        let (is_consumed, error, completion) = Default::default();
        Upload {
            read_ahead,
            remaining: RefCell::new(remaining),
            length,
            read,
            last_progress,
            is_consumed,
            error,
            completion,
            _memory: room,
        }
    }

    /// Reads ahead. Whoever has sent little so far has until `first` at the least, and nobody longer than `settled`.
    pub async fn read(
        mut body: Incoming,
        memory: &MemoryBudget,
        first: Instant,
        settled: &Cell<Option<Instant>>,
    ) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Self::empty());
        }
        let most = length.map_or(READ_AHEAD_BYTES, |length| {
            (length as usize).min(READ_AHEAD_BYTES)
        });
        let mut room = memory.take(most).await;
        let begun = Instant::now();
        let mut ahead = BytesMut::new();
        while ahead.len() < READ_AHEAD_BYTES {
            let least = begun
                + MAX_SEND_PAUSE
                + Duration::from_secs_f64(ahead.len() as f64 / MIN_BYTES_PER_SECOND);
            let until = first.max(least);
            let until = settled.get().map_or(until, |settled| until.min(settled));
            match frame_before(until, &mut body).await {
                Ok(Some(Ok(frame))) => ahead.extend(frame.into_data().unwrap_or_default()),
                Ok(Some(Err(_))) => return Err(BodyError::Truncated),
                Ok(None) => {
                    let left = most.saturating_sub(ahead.len());
                    drop(room.as_mut().and_then(|room| room.split(left)));
                    let length = Some(ahead.len() as u64);
                    return Ok(Self::new(ahead.freeze(), None, length, room));
                }
                Err(_) => return Err(BodyError::Stalled),
            }
        }
        let rest = (!body.is_end_stream()).then_some(body);
        let length = if rest.is_none() {
            Some(ahead.len() as u64)
        } else {
            length
        };
        Ok(Self::new(ahead.freeze(), rest, length, room))
    }

    /// All of it, if that is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When its client last sent a part of it.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }

    /// Its client had sent all that has come by then.
    pub fn set_last_progress(&self, moved: Instant) {
        self.last_progress.set(moved);
    }

    /// A part of it has yet to come.
    pub fn is_streamed(&self) -> bool {
        self.remaining.borrow().is_some()
    }

    /// It can go to an upstream from its beginning.
    pub fn is_replayable(&self) -> bool {
        !self.is_consumed.get()
    }

    /// Why its client will never send all of it.
    pub fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Told once all of it has been read; in vain if that never happens.
    pub fn completed(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.completion.borrow_mut() = Some(sender);
        receiver
    }

    /// Reads what is left of it, to no end. Guards against a client that is still sending, and would not read its
    /// answer before that is done.
    pub async fn discard(&self) {
        let Some(mut rest) = self.remaining.borrow_mut().take() else {
            return;
        };
        while let Ok(Some(Ok(frame))) = frame_before(Instant::now() + CLIENT_STALL, &mut rest).await
        {
            let count = frame.data_ref().map_or(0, |data| data.len() as u64);
            self.read.set(self.read.get() + count);
            if self.read.get() > MAX_BODY_BYTES {
                return;
            }
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut rest = self.remaining.borrow_mut();
        let Some(body) = rest.as_mut() else {
            return Poll::Ready(None);
        };
        loop {
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    // Trailers end here.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.is_consumed.set(true);
                    self.last_progress.set(Instant::now());
                    self.read.set(self.read.get() + data.len() as u64);
                    if self.read.get() > MAX_BODY_BYTES {
                        return Poll::Ready(Some(Err(BodyError::TooLarge)));
                    }
                    if body.is_end_stream() {
                        self.end(&mut rest);
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                None => {
                    self.last_progress.set(Instant::now());
                    self.end(&mut rest);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn end(&self, rest: &mut Option<Incoming>) {
        *rest = None;
        if let Some(whole) = self.completion.borrow_mut().take() {
            // Whoever asked may have gone.
            let _ = whole.send(());
        }
    }
}

/// A request's body on its way to one upstream.
pub struct UploadBody {
    upload: Rc<Upload>,
    read_ahead_sent: bool,
    /// Told how many bytes there are once all of them are handed on.
    on_complete: Option<Box<dyn FnOnce(u64)>>,
    stall: StallTimer,
}

impl UploadBody {
    pub fn new(upload: Rc<Upload>, on_complete: impl FnOnce(u64) + 'static) -> Self {
        let on_complete: Option<Box<dyn FnOnce(u64)>> = Some(Box::new(on_complete));
        let mut sending = UploadBody {
            upload,
            read_ahead_sent: false,
            on_complete,
            stall: StallTimer::new(CLIENT_STALL),
        };
        sending.report_completion();
        sending
    }

    fn report_completion(&mut self) {
        if !self.upload.is_streamed() {
            let read = self.upload.read.get();
            self.on_complete
                .take()
                .into_iter()
                .for_each(|on_complete| on_complete(read));
        }
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !std::mem::replace(&mut self.read_ahead_sent, true) && !self.upload.read_ahead.is_empty()
        {
            return Poll::Ready(Some(Ok(Frame::data(self.upload.read_ahead.clone()))));
        }
        let upload = self.upload.clone();
        let part = upload.poll_rest(cx);
        let all =
            CLIENT_STALL + Duration::from_secs_f64(upload.read.get() as f64 / MIN_BYTES_PER_SECOND);
        match ready!(self.stall.poll(cx, part, all)) {
            Ok(Some(Ok(data))) => {
                self.report_completion();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Ok(None) => {
                self.report_completion();
                Poll::Ready(None)
            }
            Ok(Some(Err(why))) | Err(why) => {
                upload.error.set(Some(why));
                Poll::Ready(Some(Err(why)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        (self.read_ahead_sent || self.upload.read_ahead.is_empty()) && !self.upload.is_streamed()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload
            .length
            .map(SizeHint::with_exact)
            .unwrap_or_default()
    }
}

/// How long a peer may take for the next part of a body, and for all of them. Time in which nobody asks for a part does
/// not count.
struct StallTimer {
    pause_limit: Duration,
    sleep: Pin<Box<Sleep>>,
    /// Since when the next part is waited for.
    waiting_since: Option<Instant>,
    /// For how long earlier ones were.
    waited: Duration,
}

impl StallTimer {
    fn new(most: Duration) -> Self {
        StallTimer {
            pause_limit: most,
            sleep: Box::pin(sleep(most)),
            waiting_since: None,
            waited: Duration::ZERO,
        }
    }

    /// Looks at the peer: ready with what it has sent, or with an error once it has taken too long, for all parts so far
    /// longer than `all`.
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        peer: Poll<T>,
        all: Duration,
    ) -> Poll<Result<T, BodyError>> {
        if let Poll::Ready(part) = peer {
            self.waited += self
                .waiting_since
                .take()
                .map_or(Duration::ZERO, |since| since.elapsed());
            return Poll::Ready(Ok(part));
        }
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            self.sleep
                .as_mut()
                .reset(now + self.pause_limit.min(all.saturating_sub(self.waited)));
        }
        self.sleep
            .as_mut()
            .poll(cx)
            .map(|()| Err(BodyError::Stalled))
    }
}

/// An answer whose beginning is here: from its upstream, as its client takes it.
pub struct Download {
    read_ahead: VecDeque<Bytes>,
    remaining: Incoming,
    length: Option<u64>,
    /// Read from the upstream so far.
    read: u64,
    /// Told once all of it has been read: its connection can be used again.
    completion: Option<oneshot::Sender<()>>,
    stall: StallTimer,
    _memory: Option<MemoryPermit>,
}

impl Download {
    pub fn new(
        ahead: VecDeque<Bytes>,
        rest: Incoming,
        length: Option<u64>,
        whole: oneshot::Sender<()>,
        room: Option<MemoryPermit>,
    ) -> Self {
        let read = ahead.iter().map(|data| data.len() as u64).sum();
        let stall = StallTimer::new(UPSTREAM_STALL);
        let mut download = Download {
            read_ahead: ahead,
            remaining: rest,
            length,
            read,
            completion: Some(whole),
            stall,
            _memory: room,
        };
        if length == Some(read) {
            download.end();
        }
        download
    }

    /// All of it has been passed on.
    fn is_passed_on(&self) -> bool {
        self.read_ahead.is_empty() && self.completion.is_none()
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(data) = self.read_ahead.pop_front() {
            return Poll::Ready(Some(Ok(data)));
        }
        loop {
            let frame = Pin::new(&mut self.remaining).poll_frame(cx);
            let data = match ready!(self.stall.poll(cx, frame, Duration::MAX)) {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                Ok(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Err(stalled) => return Poll::Ready(Some(Err(stalled))),
            };
            // Trailers end here.
            let Ok(data) = data else { continue };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            }
            // Where the length is known nobody asks what comes after it.
            if self.length == Some(self.read) {
                self.end();
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    fn end(&mut self) {
        if let Some(whole) = self.completion.take() {
            // The connection may have ended by itself.
            let _ = whole.send(());
        }
    }
}

/// An answer's body on its way to a client.
pub struct ResponseBody {
    whole: Option<Bytes>,
    streamed: Option<Streamed>,
}

/// It is counted at its end; `_resources` is dropped then too, or when its client goes first.
struct Streamed {
    download: Box<Download>,
    in_flight: InFlightRequest,
    _resources: Box<dyn Any>,
}

impl ResponseBody {
    pub fn whole(body: Bytes) -> Self {
        ResponseBody {
            whole: Some(body).filter(|body| !body.is_empty()),
            streamed: None,
        }
    }

    /// One that is passed on as it comes; `kept` is kept until it is over.
    pub fn streamed(
        download: Box<Download>,
        in_flight: InFlightRequest,
        kept: Box<dyn Any>,
    ) -> Self {
        ResponseBody {
            whole: None,
            streamed: Some(Streamed {
                download,
                in_flight,
                _resources: kept,
            }),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(streamed) = self.streamed.as_mut() else {
            return Poll::Ready(self.whole.take().map(|body| Ok(Frame::data(body))));
        };
        let next = ready!(streamed.download.poll_data(cx));
        match next {
            Some(Ok(_)) if !streamed.download.is_passed_on() => {}
            Some(Ok(_)) | None => streamed.in_flight.end(RequestOutcome::Served),
            Some(Err(_)) => streamed.in_flight.end(RequestOutcome::Failed),
        }
        if !matches!(next, Some(Ok(_))) {
            self.streamed = None;
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.whole.is_none()
            && self
                .streamed
                .as_ref()
                .is_none_or(|streamed| streamed.download.is_passed_on())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.streamed {
            Some(streamed) => streamed
                .download
                .length
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
            None => SizeHint::with_exact(self.whole.as_ref().map_or(0, |body| body.len() as u64)),
        }
    }
}
