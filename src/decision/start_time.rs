//! Estimates when upstreams started, on this balancer's clock.
//!
//! A list gives a start in another machine's wall-clock time, and either wall clock may be wrong
//! by an hour. A span of this balancer's monotonic clock can be trusted: an upstream is at least
//! as old as the time since its start was first listed.

use super::event::ListScope;

/// By then, in seconds, a new balancer has received what discovery knew before it started.
const INITIAL_LIST_SECONDS: f64 = 2.0;

/// Converts the starts of endpoint lists into timestamps of the balancer's clock. All times are
/// seconds.
pub(super) struct StartTimeEstimator {
    /// Starts that are listed before this moment may lie far back.
    initial_until: f64,
    /// Least delay, by the wall clocks, with which a start was listed. A wall clock that is ahead
    /// by more than that would have shown no start so soon.
    min_delay: f64,
}

impl StartTimeEstimator {
    /// The estimator of a balancer that starts now.
    pub(super) fn new(now: f64) -> Self {
        StartTimeEstimator {
            initial_until: now + INITIAL_LIST_SECONDS,
            min_delay: f64::INFINITY,
        }
    }

    /// Estimates the start of an upstream that is listed with this start for the first time; 0
    /// means long ago. A start that is listed while the balancer starts may lie far back, and the
    /// wall clocks alone show how far. Later ones are recent: a start counts as older only by as
    /// much as its delay exceeds the least delay so far. None lies in the future.
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

    /// Notes that a list of this scope has been merged.
    pub(super) fn on_list(&mut self, scope: ListScope, now: f64) {
        if matches!(scope, ListScope::Full | ListScope::Delta) {
            self.initial_until = self.initial_until.min(now);
        }
    }
}
