//! Retries at a fixed interval, without blocking the event loop.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How often and for how long a call is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetrySchedule {
    /// The pause between two calls.
    pub interval: Duration,
    /// No call is retried once this time has passed since the first.
    pub timeout: Duration,
}

impl RetrySchedule {
    /// Makes a call, and repeats it while `should_retry` holds for its result and the timeout has
    /// not passed; the last result.
    pub async fn run<T, F: Future<Output = T>>(
        self,
        should_retry: impl Fn(&T) -> bool,
        mut call: impl FnMut() -> F,
    ) -> T {
        let deadline = Instant::now() + self.timeout;
        loop {
            let result = call().await;
            if !should_retry(&result) || Instant::now() >= deadline {
                return result;
            }
            sleep(self.interval).await;
        }
    }
}
