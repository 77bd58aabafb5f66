//! Detects that a watch has been silent for too long.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Measures how long a watch has been silent, and reports each silence once.
pub struct SilenceTimer {
    deadline: Pin<Box<Sleep>>,
    is_reported: bool,
}

impl SilenceTimer {
    /// Creates a timer that expires after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        SilenceTimer {
            deadline: Box::pin(sleep(timeout)),
            is_reported: false,
        }
    }

    /// Restarts the timer, so that it expires `timeout` from now.
    pub fn restart(&mut self, timeout: Duration) {
        self.deadline.as_mut().reset(Instant::now() + timeout);
        self.is_reported = false;
    }

    /// Waits for `future`. Calls `on_silence` if the timer expires before `future` completes and
    /// the silence has not been reported since the last restart.
    pub async fn wait<T>(
        &mut self,
        future: &mut (impl Future<Output = T> + Unpin),
        on_silence: impl FnOnce(),
    ) -> T {
        // Received data takes precedence over a timer that expires in the same event loop turn. If
        // the data completes no message, the expired timer is not restarted. The timer branch
        // therefore checks `is_reported` rather than `Sleep::is_elapsed`, so that a silence that
        // continues after the data is still reported.
        tokio::select! {
            biased;
            output = &mut *future => return output,
            () = self.deadline.as_mut(), if !self.is_reported => {
                self.is_reported = true;
                on_silence();
            }
        }
        future.await
    }
}

#[cfg(test)]
mod tests;
