//! Estimates when upstreams started, on this balancer's clock.
//!
//! A list gives the start of an upstream in another machine's wall-clock time, and the wall clock
//! of that machine or of this one may be wrong by an hour. Durations on this balancer's monotonic
//! clock can be trusted: an upstream is at least as old as the time since its start was first
//! listed.

use super::event::ListScope;

/// Time within which a new balancer has received what discovery knew before the balancer started.
const INITIAL_LIST_SECONDS: f64 = 2.0;

/// Converts the starts in endpoint lists to times on the balancer's clock. All times are in
/// seconds.
pub(super) struct StartTimeEstimator {
    /// Starts that are listed before this time may lie far in the past.
    initial_until: f64,
    /// Smallest delay so far, by the wall clocks, between a start and its listing. If this
    /// balancer's wall clock were further ahead of the other one than this, every delay would have
    /// been larger.
    min_delay: f64,
}

impl StartTimeEstimator {
    /// Returns the estimator of a balancer that starts now.
    pub(super) fn new(now: f64) -> Self {
        StartTimeEstimator {
            initial_until: now + INITIAL_LIST_SECONDS,
            min_delay: f64::INFINITY,
        }
    }

    /// Estimates the start of an upstream when `listed_start` is listed for the first time; 0
    /// means long ago. No estimate lies in the future.
    ///
    /// A start that is listed while the balancer starts may lie far in the past, and only the wall
    /// clocks show how far. A start that is listed later is recent: its estimated age is the excess
    /// of its delay over the smallest delay so far.
    pub(super) fn estimate(&mut self, listed_start: f64, now: f64) -> f64 {
        if listed_start <= 0.0 {
            return 0.0;
        }
        let delay = (now - listed_start).max(0.0);
        if now < self.initial_until {
            return now - delay;
        }
        self.min_delay = self.min_delay.min(delay);
        now - (delay - self.min_delay)
    }

    /// Records that a list of this scope has been merged.
    pub(super) fn on_list(&mut self, scope: ListScope, now: f64) {
        if matches!(scope, ListScope::Full | ListScope::Delta) {
            self.initial_until = self.initial_until.min(now);
        }
    }
}
