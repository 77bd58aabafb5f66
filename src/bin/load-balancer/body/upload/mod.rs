//! The body of a request. Its beginning is read ahead, and the rest is streamed to one upstream.

use super::memory_budget::{MemoryBudget, ReadAheadReservation};
use super::stall_timer::{frame_before, StallTimer};
use super::stream_window::StreamWindow;
use super::{BodyError, CLIENT_STALL_TIMEOUT, MAX_BODY_BYTES};
use crate::shutdown_deadline::ShutdownDeadline;
use crate::socket::RequestArrival;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Minimum mean rate at which a client has to send, in bytes per second.
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;
/// Time by which a client may fall behind the minimum rate while its body is read ahead.
const MAX_SEND_LAG: Duration = Duration::from_millis(800);

/// The part of a body after the bytes that were read ahead.
#[derive(Debug)]
enum Remainder {
    /// It is being received, and forwarded to the upstream.
    Receiving(Incoming),
    /// The complete body has been read.
    Complete,
    /// It will not be forwarded, so the body can't become complete at any upstream. Holds what is
    /// still to be received, until [`Upload::discard`] takes it.
    Abandoned(Option<Incoming>),
}

/// A request body: the bytes that have been read ahead, and the rest that is still being received.
#[derive(Debug)]
pub struct Upload {
    /// The bytes that have been read ahead, with their memory. They are dropped once they can't be
    /// sent again.
    read_ahead: RefCell<Bytes>,
    remainder: RefCell<Remainder>,
    /// Wakes the task that waits for the next part, to forward it.
    forwarding_task: RefCell<Option<Waker>>,
    length: Option<u64>,
    bytes_read: Cell<u64>,
    arrival: RequestArrival,
    /// Whether bytes after those read ahead have been read or discarded, so that the body can't be
    /// sent to another upstream.
    is_consumed: Cell<bool>,
    error: Cell<Option<BodyError>>,
    /// Notified once the complete body has been read.
    completion: RefCell<Option<oneshot::Sender<()>>>,
}

impl Upload {
    /// Creates the empty body of a request.
    #[must_use]
    pub fn empty(arrival: RequestArrival) -> Self {
        Self::new(Bytes::new(), Remainder::Complete, Some(0), arrival)
    }

    fn new(
        read_ahead: Bytes,
        remainder: Remainder,
        length: Option<u64>,
        arrival: RequestArrival,
    ) -> Self {
        arrival.record_progress();
        Upload {
            bytes_read: Cell::new(read_ahead.len() as u64),
            read_ahead: RefCell::new(read_ahead),
            remainder: RefCell::new(remainder),
            forwarding_task: RefCell::default(),
            length,
            arrival,
            is_consumed: Cell::new(false),
            error: Cell::new(None),
            completion: RefCell::new(None),
        }
    }

    /// Reads a body until its end, or until the bytes received exceed what `memory` allows to be
    /// read ahead. The client has to keep up the minimum mean rate, but is given at least until
    /// `earliest_deadline`, and never longer than until `shutdown_deadline`.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if the declared length exceeds [`MAX_BODY_BYTES`],
    /// [`BodyError::Truncated`] if the body ends early or is malformed, and [`BodyError::Stalled`]
    /// if it is not received in time.
    pub async fn read(
        mut body: Incoming,
        arrival: RequestArrival,
        memory: &MemoryBudget,
        earliest_deadline: Instant,
        shutdown_deadline: &ShutdownDeadline,
    ) -> Result<Self, BodyError> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Self::empty(arrival));
        }
        let mut reservation = memory.reserve(length);
        let started = Instant::now();
        let mut read_ahead = BytesMut::new();
        while read_ahead.len() < reservation.max_bytes() {
            let min_rate_deadline =
                started + MAX_SEND_LAG + time_at_min_rate(read_ahead.len() as u64);
            let deadline = min_rate_deadline.max(earliest_deadline);
            let deadline = shutdown_deadline.limit(deadline);
            let Some(frame) = frame_before(deadline, &mut body).await? else {
                return Ok(Self::complete(read_ahead, reservation, arrival));
            };
            if let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() {
                let expected = reservation.max_bytes();
                append(
                    &mut read_ahead,
                    &data,
                    length.map_or(expected, |length| length as usize),
                );
            }
        }
        if body.is_end_stream() {
            return Ok(Self::complete(read_ahead, reservation, arrival));
        }
        let read_ahead = reservation.attach(into_bytes(read_ahead));
        let remainder = Remainder::Receiving(body);
        Ok(Self::new(read_ahead, remainder, length, arrival))
    }

    /// Creates a body that has been read to its end.
    fn complete(
        read_ahead: BytesMut,
        mut reservation: ReadAheadReservation,
        arrival: RequestArrival,
    ) -> Self {
        let length = read_ahead.len() as u64;
        let read_ahead = reservation.attach(into_bytes(read_ahead));
        Self::new(read_ahead, Remainder::Complete, Some(length), arrival)
    }

    /// Returns the length of the complete body in bytes, if known.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns when the client sent the last byte of the request that has been read so far, or the
    /// earliest possible time if it is not known exactly.
    #[must_use]
    pub fn sent_at(&self) -> Instant {
        self.arrival.sent_at()
    }

    /// Returns whether the complete body has been read. A body that was abandoned before never is.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(*self.remainder.borrow(), Remainder::Complete)
    }

    fn is_abandoned(&self) -> bool {
        matches!(*self.remainder.borrow(), Remainder::Abandoned(_))
    }

    /// Has the current task woken when the body is abandoned.
    fn set_forwarding_task(&self, cx: &Context<'_>) {
        self.forwarding_task.replace(Some(cx.waker().clone()));
    }

    /// Returns whether the body can still be sent to an upstream from its beginning.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        !self.is_consumed.get()
    }

    /// Returns the error because of which the rest of the body will not be received, if any.
    #[must_use]
    pub fn receive_error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Returns a receiver that is notified once the complete body has been read, and fails if that
    /// never happens.
    #[must_use]
    pub fn completion_receiver(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        *self.completion.borrow_mut() = Some(sender);
        receiver
    }

    /// Stops forwarding the body unless the complete body has been read: an attempt that is still
    /// in flight fails, and no other one can send the body. Called when the request is concluded,
    /// because its client may have been told that it has not run.
    pub fn abandon(&self) {
        if self.is_complete() {
            return;
        }
        self.drop_read_ahead();
        self.remainder.replace_with(|remainder| {
            let remaining = match mem::replace(remainder, Remainder::Complete) {
                Remainder::Receiving(remaining) => Some(remaining),
                Remainder::Abandoned(remaining) => remaining,
                Remainder::Complete => None,
            };
            Remainder::Abandoned(remaining)
        });
        if let Some(task) = self.forwarding_task.take() {
            task.wake();
        }
    }

    /// Abandons the body. Then reads and drops the rest, up to [`MAX_BODY_BYTES`] in total, because
    /// a client that is still sending may read its response only afterwards.
    pub async fn discard(&self) {
        self.abandon();
        let remaining = match &mut *self.remainder.borrow_mut() {
            Remainder::Abandoned(remaining) => remaining.take(),
            Remainder::Receiving(_) | Remainder::Complete => None,
        };
        let Some(mut remaining) = remaining else {
            return;
        };
        let next_deadline = || Instant::now() + CLIENT_STALL_TIMEOUT;
        while let Ok(Some(Ok(frame))) = frame_before(next_deadline(), &mut remaining).await {
            let length = frame.data_ref().map_or(0, |data| data.len() as u64);
            self.bytes_read.set(self.bytes_read.get() + length);
            if self.bytes_read.get() > MAX_BODY_BYTES {
                return;
            }
        }
    }

    /// Drops the bytes that were read ahead, because the body can't be sent again.
    fn drop_read_ahead(&self) {
        self.is_consumed.set(true);
        self.read_ahead.take();
    }

    /// Reads the next part after the bytes that were read ahead. Trailers are dropped.
    fn poll_remaining(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut remainder = self.remainder.borrow_mut();
        let body = match &mut *remainder {
            Remainder::Receiving(body) => body,
            Remainder::Complete => return Poll::Ready(None),
            Remainder::Abandoned(_) => return Poll::Ready(Some(Err(BodyError::Abandoned))),
        };
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) else {
                self.set_forwarding_task(cx);
                return Poll::Pending;
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                None => {
                    self.arrival.record_progress();
                    self.complete_reading(&mut remainder);
                    return Poll::Ready(None);
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.drop_read_ahead();
            self.arrival.record_progress();
            self.bytes_read
                .set(self.bytes_read.get() + data.len() as u64);
            if self.bytes_read.get() > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            }
            if body.is_end_stream() {
                self.complete_reading(&mut remainder);
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    fn complete_reading(&self, remainder: &mut Remainder) {
        *remainder = Remainder::Complete;
        if let Some(completion) = self.completion.borrow_mut().take() {
            // The receiver may have been dropped.
            let _ = completion.send(());
        }
    }
}

/// Appends `data` to the beginning of a body that is expected to have `expected` bytes. The buffer
/// grows by doubling, but not beyond what is expected, so that little of it is unused.
fn append(read_ahead: &mut BytesMut, data: &[u8], expected: usize) {
    let needed = read_ahead.len() + data.len();
    if needed > read_ahead.capacity() {
        let capacity = needed.max(expected.min(2 * read_ahead.capacity()));
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(read_ahead);
        *read_ahead = grown;
    }
    read_ahead.extend_from_slice(data);
}

/// Returns the bytes in a buffer without unused capacity.
fn into_bytes(read_ahead: BytesMut) -> Bytes {
    if read_ahead.len() == read_ahead.capacity() {
        read_ahead.freeze()
    } else {
        Bytes::copy_from_slice(&read_ahead)
    }
}

/// Returns how long `bytes` bytes take at the minimum rate.
fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

/// The body of a request as it is sent to one upstream.
pub struct UploadBody {
    upload: Rc<Upload>,
    is_read_ahead_sent: bool,
    /// Limits what is buffered for the upstream; `None` if the body is complete from the start.
    window: Option<StreamWindow>,
    /// Called with the body's length in bytes once all of it has been read.
    on_complete: Option<Box<dyn FnOnce(u64)>>,
    stall: StallTimer,
}

impl UploadBody {
    /// Creates a body that sends `upload` from its beginning. What is buffered of the part that is
    /// not read ahead is limited by `window`. `on_complete` is called with the length in bytes once
    /// the client has sent the complete body, which may be immediately.
    pub fn new(
        upload: Rc<Upload>,
        window: Option<StreamWindow>,
        on_complete: impl FnOnce(u64) + 'static,
    ) -> Self {
        let mut body = UploadBody {
            upload,
            is_read_ahead_sent: false,
            window,
            on_complete: Some(Box::new(on_complete)),
            stall: StallTimer::new(CLIENT_STALL_TIMEOUT),
        };
        body.report_completion();
        body
    }

    /// Returns the bytes that were read ahead, if there are any, on its first call. Fails if they
    /// have been dropped.
    fn take_read_ahead(&mut self) -> Option<Result<Bytes, BodyError>> {
        if mem::replace(&mut self.is_read_ahead_sent, true) {
            return None;
        }
        if !self.upload.is_replayable() {
            return Some(Err(BodyError::Truncated));
        }
        let read_ahead = self.upload.read_ahead.borrow().clone();
        (!read_ahead.is_empty()).then_some(Ok(read_ahead))
    }

    /// Waits until a further part may be handed to hyper, or the body is abandoned.
    fn poll_window(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(window) = &mut self.window else {
            return Poll::Ready(());
        };
        if window.poll_ready(cx).is_ready() || self.upload.is_abandoned() {
            return Poll::Ready(());
        }
        self.upload.set_forwarding_task(cx);
        Poll::Pending
    }

    fn report_completion(&mut self) {
        if !self.upload.is_complete() {
            return;
        }
        if let Some(on_complete) = self.on_complete.take() {
            on_complete(self.upload.bytes_read.get());
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
        if let Some(read_ahead) = self.take_read_ahead() {
            return Poll::Ready(Some(read_ahead.map(Frame::data)));
        }
        ready!(self.poll_window(cx));
        let upload = self.upload.clone();
        let part = upload.poll_remaining(cx);
        let total_limit = CLIENT_STALL_TIMEOUT + time_at_min_rate(upload.bytes_read.get());
        match ready!(self.stall.poll(cx, part, total_limit)) {
            Ok(Some(Ok(data))) => {
                self.report_completion();
                let data = match &mut self.window {
                    Some(window) => window.admit(data),
                    None => data,
                };
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
        let is_read_ahead_done = self.is_read_ahead_sent
            || self.upload.is_replayable() && self.upload.read_ahead.borrow().is_empty();
        is_read_ahead_done && self.upload.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload
            .length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
