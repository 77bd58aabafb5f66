//! The clock of the decision module.

use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Seconds since the Unix epoch that never step: the system's wall clock is read once, and the
/// monotonic clock from then on.
#[derive(Clone, Copy)]
pub struct MonotonicUnixClock {
    started_at: Instant,
    started_at_unix: Duration,
}

impl MonotonicUnixClock {
    /// A clock that agrees with the wall clock now. A wall clock before 1970 is taken to be at
    /// 1970.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        MonotonicUnixClock {
            started_at: Instant::now(),
            started_at_unix: since_epoch.unwrap_or(Duration::ZERO),
        }
    }

    /// The time at `instant`, in seconds since the Unix epoch.
    pub fn seconds_at(&self, instant: Instant) -> f64 {
        self.started_at_unix.as_secs_f64() + (instant - self.started_at).as_secs_f64()
    }

    /// The time now, in seconds since the Unix epoch.
    pub fn seconds_now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }
}

#[cfg(test)]
mod tests;
