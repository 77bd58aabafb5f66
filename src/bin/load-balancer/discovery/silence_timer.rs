//! Reports that nothing has come on a watch for too long.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// How long a watch may be silent, and whether its silence has been reported.
pub struct SilenceTimer {
    deadline: Pin<Box<Sleep>>,
    is_reported: bool,
}

impl SilenceTimer {
    /// A timer that runs out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        SilenceTimer {
            deadline: Box::pin(sleep(timeout)),
            is_reported: false,
        }
    }

    /// Starts the timer again: it runs out `timeout` from now.
    pub fn restart(&mut self, timeout: Duration) {
        self.deadline.as_mut().reset(Instant::now() + timeout);
        self.is_reported = false;
    }

    /// Waits for `future`, and calls `on_silence` once if the timer runs out before that.
    pub async fn wait<T>(
        &mut self,
        future: &mut (impl Future<Output = T> + Unpin),
        on_silence: impl FnOnce(),
    ) -> T {
        // What has come goes before a timer that ran out in the same turn. The branch of the timer
        // depends on what was reported, not on `Sleep::is_elapsed`: silence that goes on is still
        // to be reported then.
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
