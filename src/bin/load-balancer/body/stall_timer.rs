//! Time limits on a peer that sends a body.

use super::BodyError;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at, Instant, Sleep};

/// How often other tasks may run after a deadline before the body counts as late.
const MAX_TURNS_AFTER_DEADLINE: usize = 16;

/// Waits for the next frame of a body until the deadline.
///
/// After a long pause of the process the deadline is over though the frame may have arrived: it is
/// available only once the task that reads the connection has run. So the frame is checked again
/// after letting other tasks run.
///
/// # Errors
///
/// [`BodyError::Stalled`] if no frame is available then.
pub(super) async fn frame_before(
    deadline: Instant,
    body: &mut Incoming,
) -> Result<Option<hyper::Result<Frame<bytes::Bytes>>>, BodyError> {
    for _ in 0..MAX_TURNS_AFTER_DEADLINE {
        if let Ok(frame) = timeout_at(deadline, body.frame()).await {
            return Ok(frame);
        }
        yield_now().await;
    }
    Err(BodyError::Stalled)
}

/// Limits how long a peer may take for the next part of a body, and for all parts together. Only
/// time in which a part is polled for counts.
pub(super) struct StallTimer {
    pause_limit: Duration,
    sleep: Pin<Box<Sleep>>,
    /// Since when the next part is polled for.
    waiting_since: Option<Instant>,
    /// Time spent on earlier parts.
    waited: Duration,
}

impl StallTimer {
    pub(super) fn new(pause_limit: Duration) -> Self {
        StallTimer {
            pause_limit,
            sleep: Box::pin(sleep(pause_limit)),
            waiting_since: None,
            waited: Duration::ZERO,
        }
    }

    /// Passes on what the peer has sent, or fails once the peer has taken longer than the limit
    /// for this part, or than `total_limit` for all parts so far.
    ///
    /// # Errors
    ///
    /// [`BodyError::Stalled`].
    pub(super) fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        part: Poll<T>,
        total_limit: Duration,
    ) -> Poll<Result<T, BodyError>> {
        if let Poll::Ready(part) = part {
            if let Some(since) = self.waiting_since.take() {
                self.waited += since.elapsed();
            }
            return Poll::Ready(Ok(part));
        }
        if self.waiting_since.is_none() {
            let now = Instant::now();
            let remaining = total_limit.saturating_sub(self.waited);
            self.waiting_since = Some(now);
            self.sleep
                .as_mut()
                .reset(now + self.pause_limit.min(remaining));
        }
        self.sleep
            .as_mut()
            .poll(cx)
            .map(|()| Err(BodyError::Stalled))
    }
}
