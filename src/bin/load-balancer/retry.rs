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
    /// Makes a call, again as long as its result asks for that and the schedule allows it;
    /// returns the last result.
    pub async fn run<T, F: Future<Output = T>>(
        self,
        should_retry: impl Fn(&T) -> bool,
        mut call: impl FnMut() -> F,
    ) -> T {
        let give_up_at = Instant::now() + self.timeout;
        loop {
            let result = call().await;
            if !should_retry(&result) || Instant::now() >= give_up_at {
                return result;
            }
            sleep(self.interval).await;
        }
    }
}
