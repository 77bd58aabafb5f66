//! The clock of the decision module.

use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// A Unix clock that never steps: the wall clock of the system is read once at the start, and the
/// monotonic clock is used from then on.
#[derive(Clone, Copy)]
pub struct MonotonicUnixClock {
    started_at: Instant,
    started_at_unix: Duration,
}

impl MonotonicUnixClock {
    /// Creates a clock that is set to the current wall-clock time. A wall clock that shows a time
    /// before 1970 counts as 1970.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        MonotonicUnixClock {
            started_at: Instant::now(),
            started_at_unix: since_epoch.unwrap_or(Duration::ZERO),
        }
    }

    /// Returns the time at `instant` in seconds since the Unix epoch.
    pub fn seconds_at(&self, instant: Instant) -> f64 {
        self.started_at_unix.as_secs_f64() + (instant - self.started_at).as_secs_f64()
    }

    /// Returns the current time in seconds since the Unix epoch.
    pub fn seconds_now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }
}

#[cfg(test)]
mod tests;
