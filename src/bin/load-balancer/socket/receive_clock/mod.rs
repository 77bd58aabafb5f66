//! Converts the kernel's receive timestamps, which are wall clock times, to monotonic times.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Difference between the progress of the two clocks from which on the wall clock counts as
/// stepped.
const MAX_DRIFT: Duration = Duration::from_millis(10);
/// Maximum duration of a reading of both clocks. A longer one was interrupted and is repeated.
const MAX_READING_TIME: Duration = Duration::from_millis(1);
const MAX_READINGS: usize = 4;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    pub(super) monotonic: Instant,
    /// Time since the Unix epoch.
    pub(super) wall: Duration,
}

impl ClockReading {
    pub(super) fn now() -> Self {
        let mut reading = Self::read();
        for _ in 1..MAX_READINGS {
            if reading.monotonic.elapsed() <= MAX_READING_TIME {
                break;
            }
            reading = Self::read();
        }
        reading
    }

    fn read() -> Self {
        ClockReading {
            monotonic: Instant::now(),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// Returns whether the wall clock has been stepped between this reading and a later one.
    fn is_stepped_before(&self, later: &ClockReading) -> bool {
        let elapsed = later.monotonic - self.monotonic;
        let expected_wall = self.wall.saturating_add(elapsed);
        expected_wall.abs_diff(later.wall) > MAX_DRIFT
    }
}

/// The clock of the kernel's receive timestamps.
///
/// A timestamp can only be converted if the wall clock has not been stepped since. The clocks are
/// compared at each conversion, so a step is detected at the first conversion after it.
#[derive(Debug)]
pub struct ReceiveClock {
    last_reading: Cell<ClockReading>,
    /// The wall clock has not been stepped since this time.
    steady_since: Cell<Instant>,
}

impl Default for ReceiveClock {
    fn default() -> Self {
        Self::starting_at(ClockReading::now())
    }
}

impl ReceiveClock {
    pub(super) fn starting_at(reading: ClockReading) -> Self {
        ReceiveClock {
            last_reading: Cell::new(reading),
            steady_since: Cell::new(reading.monotonic),
        }
    }

    /// Returns the monotonic time of a timestamp, given a reading that was taken after it. Returns
    /// `None` if the wall clock may have been stepped in between.
    pub(super) fn monotonic(&self, timestamp: Duration, now: ClockReading) -> Option<Instant> {
        if self.last_reading.replace(now).is_stepped_before(&now) {
            self.steady_since.set(now.monotonic);
        }
        let age = now.wall.checked_sub(timestamp)?;
        let time = now.monotonic.checked_sub(age)?;
        (time >= self.steady_since.get()).then_some(time)
    }
}

#[cfg(test)]
mod tests;
