//! The body of a request: its beginning is read ahead, the rest is streamed to one upstream.

use super::memory_budget::{MemoryBudget, MemoryPermit};
use super::stall_timer::{frame_before, StallTimer};
use super::{BodyError, CLIENT_STALL, MAX_BODY_BYTES, READ_AHEAD_BYTES};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Mean rate that a client has to keep up, in bytes per second.
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;
/// How far a client may fall behind the mean rate while its body is read ahead.
const MAX_SEND_PAUSE: Duration = Duration::from_millis(800);

/// A request's body: the bytes that have been read ahead, and what its client has yet to send.
#[derive(Debug)]
pub struct Upload {
    read_ahead: Bytes,
    /// The connection's body while a part of it is unread.
    remaining: RefCell<Option<Incoming>>,
    length: Option<u64>,
    /// Bytes read so far.
    read: Cell<u64>,
    last_progress: Cell<Instant>,
    /// Bytes beyond those read ahead have gone to an upstream.
    is_consumed: Cell<bool>,
    error: Cell<Option<BodyError>>,
    /// Notified once the whole body has been read.
    completion: RefCell<Option<oneshot::Sender<()>>>,
    _memory: Option<MemoryPermit>,
}

impl Upload {
    /// A body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::new(Bytes::new(), None, Some(0), None)
    }

    fn new(
        read_ahead: Bytes,
        remaining: Option<Incoming>,
        length: Option<u64>,
        memory: Option<MemoryPermit>,
    ) -> Self {
        Upload {
            read: Cell::new(read_ahead.len() as u64),
            read_ahead,
            remaining: RefCell::new(remaining),
            length,
            last_progress: Cell::new(Instant::now()),
            is_consumed: Cell::new(false),
            error: Cell::new(None),
            completion: RefCell::new(None),
            _memory: memory,
        }
    }

    /// Reads up to [`READ_AHEAD_BYTES`]. The client has to keep up the mean rate, but has at least
    /// until `earliest_deadline`, and in any case at most until `drain_deadline`, if that is set.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] if the declared length exceeds [`MAX_BODY_BYTES`], `Truncated` if
    /// the body ends early or is malformed, `Stalled` if it doesn't come in time.
    pub async fn read(
        mut body: Incoming,
        memory: &MemoryBudget,
        earliest_deadline: Instant,
        drain_deadline: &Cell<Option<Instant>>,
    ) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Self::empty());
        }
        let reserved = length.map_or(READ_AHEAD_BYTES, |length| {
            (length as usize).min(READ_AHEAD_BYTES)
        });
        let mut memory = memory.take(reserved).await;
        let started = Instant::now();
        let mut read_ahead = BytesMut::new();
        while read_ahead.len() < READ_AHEAD_BYTES {
            let pace_deadline =
                started + MAX_SEND_PAUSE + time_at_min_rate(read_ahead.len() as u64);
            let deadline = pace_deadline.max(earliest_deadline);
            let deadline = earlier(deadline, drain_deadline.get());
            let Some(frame) = frame_before(deadline, &mut body).await? else {
                let unused = reserved.saturating_sub(read_ahead.len());
                drop(memory.as_mut().and_then(|permit| permit.split(unused)));
                return Ok(Self::complete(read_ahead, memory));
            };
            if let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() {
                read_ahead.extend(data);
            }
        }
        if body.is_end_stream() {
            return Ok(Self::complete(read_ahead, memory));
        }
        Ok(Self::new(read_ahead.freeze(), Some(body), length, memory))
    }

    /// A body that has been read to its end.
    fn complete(read_ahead: BytesMut, memory: Option<MemoryPermit>) -> Self {
        let length = read_ahead.len() as u64;
        Self::new(read_ahead.freeze(), None, Some(length), memory)
    }

    /// Length of the whole body in bytes, if known.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When the client last sent a part of the body.
    #[must_use]
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }

    /// Corrects the time of the last progress to when the client's bytes were read.
    pub fn set_last_progress(&self, time: Instant) {
        self.last_progress.set(time);
    }

    /// True while a part of the body is unread.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        self.remaining.borrow().is_some()
    }

    /// True while the body can be sent to an upstream from its beginning.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        !self.is_consumed.get()
    }

    /// Why the client will not send the rest of the body.
    #[must_use]
    pub fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Notified once the whole body has been read; fails if that never happens.
    #[must_use]
    pub fn completed(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.completion.borrow_mut() = Some(sender);
        receiver
    }

    /// Reads and drops the rest of the body, up to the largest size: a client that is still
    /// sending may read its response only afterwards.
    pub async fn discard(&self) {
        let Some(mut remaining) = self.remaining.borrow_mut().take() else {
            return;
        };
        let next_deadline = || Instant::now() + CLIENT_STALL;
        while let Ok(Some(Ok(frame))) = frame_before(next_deadline(), &mut remaining).await {
            let length = frame.data_ref().map_or(0, |data| data.len() as u64);
            self.read.set(self.read.get() + length);
            if self.read.get() > MAX_BODY_BYTES {
                return;
            }
        }
    }

    /// Reads the next part beyond what was read ahead; trailers are dropped.
    fn poll_remaining(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut remaining = self.remaining.borrow_mut();
        let Some(body) = remaining.as_mut() else {
            return Poll::Ready(None);
        };
        loop {
            let frame = match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                None => {
                    self.last_progress.set(Instant::now());
                    self.complete_reading(&mut remaining);
                    return Poll::Ready(None);
                }
            };
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
                self.complete_reading(&mut remaining);
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    fn complete_reading(&self, remaining: &mut Option<Incoming>) {
        *remaining = None;
        if let Some(completion) = self.completion.borrow_mut().take() {
            // The receiver may be gone.
            let _ = completion.send(());
        }
    }
}

fn earlier(deadline: Instant, limit: Option<Instant>) -> Instant {
    limit.map_or(deadline, |limit| deadline.min(limit))
}

/// How long this many bytes take at the lowest rate.
fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

/// A request's body on its way to one upstream.
pub struct UploadBody {
    upload: Rc<Upload>,
    read_ahead_sent: bool,
    /// Called with the body's length in bytes once all of it has been read.
    on_complete: Option<Box<dyn FnOnce(u64)>>,
    stall: StallTimer,
}

impl UploadBody {
    /// Sends the body from its beginning. `on_complete` is called with its length in bytes once
    /// the client has sent all of it, which may be at once.
    pub fn new(upload: Rc<Upload>, on_complete: impl FnOnce(u64) + 'static) -> Self {
        let mut body = UploadBody {
            upload,
            read_ahead_sent: false,
            on_complete: Some(Box::new(on_complete)),
            stall: StallTimer::new(CLIENT_STALL),
        };
        body.report_completion();
        body
    }

    fn report_completion(&mut self) {
        if self.upload.is_streamed() {
            return;
        }
        if let Some(on_complete) = self.on_complete.take() {
            on_complete(self.upload.read.get());
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
        if !mem::replace(&mut self.read_ahead_sent, true) && !self.upload.read_ahead.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(self.upload.read_ahead.clone()))));
        }
        let upload = self.upload.clone();
        let part = upload.poll_remaining(cx);
        let total_limit = CLIENT_STALL + time_at_min_rate(upload.read.get());
        match ready!(self.stall.poll(cx, part, total_limit)) {
            Ok(Some(Ok(data))) => {
                self.report_completion();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Ok(None) => {
                self.report_completion();
                Poll::Ready(None)
            }
            Ok(Some(Err(error))) | Err(error) => {
                upload.error.set(Some(error));
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        (self.read_ahead_sent || self.upload.read_ahead.is_empty()) && !self.upload.is_streamed()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload
            .length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
