//! When a balancer polls discovery for the endpoint list, in poll mode.
//!
//! Polls that discovery refuses after queueing them cost it as much as others, so a large fleet
//! could overload it for good. Each balancer therefore polls at a random moment, and the later
//! the more peers it has.

use super::action::Action;
use super::event::ListScope;
use super::log_event::LogEvent;
use super::settings::{DiscoveryMode, Settings};
use rand::Rng;

/// Token of the poll timer; request ids, the tokens of other timers, are smaller.
pub(super) const POLL_TIMER: u64 = u64::MAX >> 1;

// Shares of the notification deadline. Two delays and the polls that they precede fit within it.

/// Longest delay of the first poll.
const FIRST_DELAY_DEADLINE_SHARE: f64 = 0.25;
/// Longest delay after a poll that failed at once; one that takes longer than this was queued by
/// discovery.
const FAST_FAILURE_DEADLINE_SHARE: f64 = 0.1;
/// Longest delay after a queued poll that failed.
const QUEUED_FAILURE_DEADLINE_SHARE: f64 = 0.12;
/// Longest delay after a failure in a large fleet. A poll that is queued then still ends in time.
const LARGE_FLEET_DEADLINE_SHARE: f64 = 0.6;

/// Mean time between the polls of all peers after failures, in seconds.
const FLEET_POLL_INTERVAL_SECONDS: f64 = 0.04;
/// Polls per poll interval before the first failure.
const POLLS_PER_INTERVAL: f64 = 4.0;
/// Failures up to which the first delays double.
const MAX_SHORT_DOUBLINGS: i32 = 3;
/// Consecutive failures of queued polls after which delays exceed the longest one: discovery is
/// overloaded. Polls that fail at once cost it nothing and count only up to here.
const FAILURES_BEFORE_BACKOFF: i32 = 4;
/// Doublings of the longest delay.
const MAX_BACKOFF_DOUBLINGS: i32 = 8;

/// Result of a poll.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollResult {
    /// A list came.
    ListReceived,
    /// It failed at once, or a watch broke.
    FailedFast,
    /// It failed after discovery had queued it.
    FailedQueued,
}

/// A range of delays, in seconds.
struct DelayRange {
    min: f64,
    max: f64,
}

/// State of the polls. Moments are seconds.
pub(super) struct PollSchedule {
    /// Consecutive failures.
    failures: i32,
    last_poll_at: f64,
    /// The list is polled, and has not been received since the start, a failure or a broken
    /// watch.
    is_stale: bool,
}

impl PollSchedule {
    /// The schedule before the first poll.
    pub(super) fn new() -> Self {
        PollSchedule {
            failures: 0,
            last_poll_at: f64::INFINITY,
            is_stale: false,
        }
    }

    /// Polls now.
    pub(super) fn poll(&mut self, now: f64) -> Action {
        self.last_poll_at = now;
        Action::WatchEndpoints
    }

    /// Changes of the endpoints may have been missed.
    pub(super) fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Notes a list or a failed poll, and schedules the next poll if one is needed.
    pub(super) fn on_list(
        &mut self,
        scope: ListScope,
        settings: &Settings,
        now: f64,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let elapsed = (now - self.last_poll_at).max(0.0);
        let deadline = settings.rules.notification_deadline;
        let result = if scope != ListScope::Failed {
            PollResult::ListReceived
        } else if elapsed > FAST_FAILURE_DEADLINE_SHARE * deadline {
            PollResult::FailedQueued
        } else {
            PollResult::FailedFast
        };
        self.count_failure(result);
        self.is_stale = settings.discovery_mode == DiscoveryMode::Poll
            && matches!(scope, ListScope::Cached | ListScope::Failed);
        if !self.is_stale {
            return;
        }
        let delay_range = self.delay_range(result, settings, elapsed);
        let after = rng.random_range(delay_range.min..delay_range.max) + settings.event_interval;
        actions.push(Action::SetTimer {
            after,
            token: POLL_TIMER,
        });
        if result != PollResult::ListReceived {
            actions.push(Action::Log(LogEvent::PollFailed { retry_in: after }));
        }
    }

    fn count_failure(&mut self, result: PollResult) {
        self.failures = match result {
            PollResult::ListReceived => 0,
            PollResult::FailedFast => (self.failures + 1).min(FAILURES_BEFORE_BACKOFF),
            PollResult::FailedQueued => self.failures + 1,
        };
    }

    /// The range of the next delay. `elapsed`: what the last poll took, in seconds.
    fn delay_range(&self, result: PollResult, settings: &Settings, elapsed: f64) -> DelayRange {
        let deadline = settings.rules.notification_deadline;
        let share = match result {
            PollResult::ListReceived => FIRST_DELAY_DEADLINE_SHARE,
            PollResult::FailedFast => FAST_FAILURE_DEADLINE_SHARE,
            PollResult::FailedQueued => QUEUED_FAILURE_DEADLINE_SHARE,
        };
        let first_delay = settings.rules.poll_interval / POLLS_PER_INTERVAL;
        let factor = f64::from(1 << self.failures.min(MAX_SHORT_DOUBLINGS));
        let max = (first_delay * factor).min(share * deadline);
        let fleet_delay = settings.peer_count as f64 * FLEET_POLL_INTERVAL_SECONDS;
        if result == PollResult::ListReceived || fleet_delay <= max {
            return DelayRange { min: 0.0, max };
        }
        let max_delay = match result {
            PollResult::FailedQueued => LARGE_FLEET_DEADLINE_SHARE * deadline,
            // Discovery may have recovered since the poll began.
            _ => LARGE_FLEET_DEADLINE_SHARE * deadline - elapsed,
        };
        let max = fleet_delay.min(max_delay * self.backoff_factor());
        // After a single failure, which may be a broken watch, polls need not be queued yet.
        let min = if self.failures > 1 { max / 2.0 } else { 0.0 };
        DelayRange { min, max }
    }

    fn backoff_factor(&self) -> f64 {
        let doublings = self.failures - FAILURES_BEFORE_BACKOFF;
        f64::from(1 << doublings.clamp(0, MAX_BACKOFF_DOUBLINGS))
    }
}
