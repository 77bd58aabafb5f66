//! The body of a large response, streamed from an upstream to a client.

use super::memory_budget::MemoryPermit;
use super::stall_timer::StallTimer;
use super::{BodyError, MAX_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;

/// An upstream that has begun a response may pause for this long: pauses of over twenty seconds
/// are possible.
const UPSTREAM_STALL: Duration = Duration::from_secs(30);

/// A response's body whose beginning has been read, on its way from the upstream.
pub struct Download {
    read_ahead: VecDeque<Bytes>,
    remaining: Incoming,
    length: Option<u64>,
    /// Bytes read from the upstream so far.
    read: u64,
    /// Notified once the whole body has been read; `None` from then on.
    completion: Option<oneshot::Sender<()>>,
    stall: StallTimer,
    _memory: Option<MemoryPermit>,
}

impl Download {
    /// A body of which `read_ahead` has been read. `completion` is notified once all of it has
    /// been read, so that its connection can be reused; `memory` is held as long as the body.
    #[must_use]
    pub fn new(
        read_ahead: VecDeque<Bytes>,
        remaining: Incoming,
        length: Option<u64>,
        completion: oneshot::Sender<()>,
        memory: Option<MemoryPermit>,
    ) -> Self {
        let read = read_ahead.iter().map(|data| data.len() as u64).sum();
        let mut download = Download {
            read_ahead,
            remaining,
            length,
            read,
            completion: Some(completion),
            stall: StallTimer::new(UPSTREAM_STALL),
            _memory: memory,
        };
        if length == Some(read) {
            download.complete_reading();
        }
        download
    }

    /// True once the whole body has been passed on.
    pub(super) fn is_passed_on(&self) -> bool {
        self.read_ahead.is_empty() && self.completion.is_none()
    }

    /// The next part of the body; trailers are dropped.
    pub(super) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(data) = self.read_ahead.pop_front() {
            return Poll::Ready(Some(Ok(data)));
        }
        loop {
            let frame = Pin::new(&mut self.remaining).poll_frame(cx);
            let frame = match ready!(self.stall.poll(cx, frame, Duration::MAX)) {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Truncated))),
                Ok(None) => {
                    self.complete_reading();
                    return Poll::Ready(None);
                }
                Err(stalled) => return Poll::Ready(Some(Err(stalled))),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            }
            // With a known length hyper doesn't poll for the end.
            if self.length == Some(self.read) {
                self.complete_reading();
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }

    fn complete_reading(&mut self) {
        if let Some(completion) = self.completion.take() {
            // The connection may have ended already.
            let _ = completion.send(());
        }
    }
}
