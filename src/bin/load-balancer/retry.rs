//! Retries at a fixed interval, without blocking the event loop.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The interval and the time limit of the retries of a call.
#[derive(Clone, Copy, Debug)]
pub struct RetrySchedule {
    /// The pause before each retry.
    pub interval: Duration,
    /// A call is not retried once this time has passed since the start of the first one.
    pub timeout: Duration,
}

impl RetrySchedule {
    /// Makes a call and repeats it while `should_retry` returns true for its result and the timeout
    /// has not passed. Returns the last result.
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
