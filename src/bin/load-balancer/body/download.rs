//! The body of a large response, streamed from an upstream to a client.

use super::stall_timer::StallTimer;
use super::{BodyError, MAX_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest pause allowed to an upstream during a response. Upstreams can pause for over twenty
/// seconds.
const UPSTREAM_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A response body that is being received from an upstream, and whose beginning has been read
/// ahead.
pub struct Download {
    read_ahead: VecDeque<Bytes>,
    remaining: Incoming,
    length: Option<u64>,
    bytes_read: u64,
    /// Notified once the complete body has been read; `None` afterwards.
    completion: Option<oneshot::Sender<()>>,
    stall: StallTimer,
}

impl Download {
    /// Creates a body whose beginning, `read_ahead`, has been read. `completion` is notified once
    /// the complete body has been read, so that the upstream connection can be reused.
    #[must_use]
    pub fn new(
        read_ahead: VecDeque<Bytes>,
        remaining: Incoming,
        length: Option<u64>,
        completion: oneshot::Sender<()>,
    ) -> Self {
        let bytes_read = read_ahead.iter().map(|data| data.len() as u64).sum();
        let mut download = Download {
            read_ahead,
            remaining,
            length,
            bytes_read,
            completion: Some(completion),
            stall: StallTimer::new(UPSTREAM_STALL_TIMEOUT),
        };
        if length == Some(bytes_read) {
            download.complete_reading();
        }
        download
    }

    /// Returns whether [`Self::poll_data`] has returned the complete body.
    pub(super) fn is_finished(&self) -> bool {
        self.read_ahead.is_empty() && self.completion.is_none()
    }

    /// Returns the next part of the body. Trailers are dropped.
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
            self.bytes_read += data.len() as u64;
            if self.bytes_read > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(BodyError::TooLarge)));
            }
            // Hyper doesn't poll for the end of a body whose length is known.
            if self.length == Some(self.bytes_read) {
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
            // The receiver is dropped if the upstream connection has already ended.
            let _ = completion.send(());
        }
    }
}
