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

/// Number of checks for a frame at and after its deadline before the body counts as stalled. Other
/// tasks run after each check.
const MAX_CHECKS_PER_FRAME: usize = 16;

/// Waits for the next frame of a body until the deadline.
///
/// If the process is paused for long, the deadline may have expired although the frame has arrived,
/// because the frame becomes available only once the task that reads the connection has run. The
/// frame is therefore checked again after other tasks have run.
///
/// # Errors
///
/// Returns [`BodyError::Stalled`] if no frame is available after the last check.
pub(super) async fn frame_before(
    deadline: Instant,
    body: &mut Incoming,
) -> Result<Option<hyper::Result<Frame<bytes::Bytes>>>, BodyError> {
    for _ in 0..MAX_CHECKS_PER_FRAME {
        if let Ok(frame) = timeout_at(deadline, body.frame()).await {
            return Ok(frame);
        }
        yield_now().await;
    }
    Err(BodyError::Stalled)
}

/// Limits how long a peer may take to send the next part of a body, and to send all parts together.
/// Only time during which a part is being polled for is counted.
pub(super) struct StallTimer {
    pause_limit: Duration,
    sleep: Pin<Box<Sleep>>,
    /// When polling for the next part began.
    waiting_since: Option<Instant>,
    /// Time spent waiting for earlier parts.
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

    /// Returns what the peer has sent, or fails once the peer has taken longer than the pause limit
    /// for this part, or longer than `total_limit` for all parts so far.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Stalled`] if a limit is exceeded.
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
