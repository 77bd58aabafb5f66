//! When a balancer in poll mode polls discovery for the endpoint list.
//!
//! A poll that discovery queues and then refuses costs discovery as much as a successful poll, so
//! the repeated polls of a large fleet could overload discovery permanently. Each balancer
//! therefore polls after a random delay that grows with the number of its peers.

use super::action::Action;
use super::event::ListScope;
use super::log_event::LogEvent;
use super::settings::{DiscoveryMode, Settings};
use rand::Rng;

/// Token of the poll timer. All other timers have request ids as tokens, which are smaller.
pub(super) const POLL_TIMER: u64 = u64::MAX >> 1;

// Upper bounds of the delays before polls, as shares of the notification deadline. Except in large
// fleets, two consecutive delays and the polls that follow them fit within the deadline.

/// Longest delay before the first poll, as a share of the notification deadline.
const FIRST_DELAY_DEADLINE_SHARE: f64 = 0.25;
/// Longest delay after a poll that failed immediately, as a share of the notification deadline. A
/// poll that took longer than this counts as queued by discovery.
const FAST_FAILURE_DEADLINE_SHARE: f64 = 0.1;
/// Longest delay after a queued poll that failed, as a share of the notification deadline.
const QUEUED_FAILURE_DEADLINE_SHARE: f64 = 0.12;
/// Longest delay after a failure in a large fleet, as a share of the notification deadline, before
/// backoff increases it. A poll that is queued after this delay still ends before the deadline.
const LARGE_FLEET_DEADLINE_SHARE: f64 = 0.6;

/// Mean time between successive polls of the fleet as a whole after failures.
const FLEET_POLL_INTERVAL_SECONDS: f64 = 0.04;
/// The longest initial delay is the poll interval divided by this number.
const POLLS_PER_INTERVAL: f64 = 4.0;
/// Consecutive failures up to which each failure doubles the longest initial delay.
const MAX_SHORT_DOUBLINGS: i32 = 3;
/// Consecutive failures of queued polls after which discovery counts as overloaded and delays may
/// exceed the bound for large fleets. Polls that fail immediately cost discovery nothing and are
/// counted only up to this number.
const FAILURES_BEFORE_BACKOFF: i32 = 4;
/// Number of times that the bound for large fleets may double.
const MAX_BACKOFF_DOUBLINGS: i32 = 8;

/// Result of a poll.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollResult {
    /// A list was received.
    ListReceived,
    /// The poll failed immediately, or a watch broke.
    FailedFast,
    /// The poll failed after discovery had queued it.
    FailedQueued,
}

/// A range of delays, in seconds.
struct DelayRange {
    min: f64,
    max: f64,
}

/// State of the polls. Timestamps are in seconds.
pub(super) struct PollSchedule {
    /// Consecutive failures.
    failures: i32,
    last_poll_at: f64,
    /// Whether, in poll mode, no list has been received since the last cached list, failed poll or
    /// broken watch.
    is_stale: bool,
}

impl PollSchedule {
    /// Returns the schedule before the first poll.
    pub(super) fn new() -> Self {
        PollSchedule {
            failures: 0,
            last_poll_at: f64::INFINITY,
            is_stale: false,
        }
    }

    /// Records that a poll starts now, and returns the action that starts it.
    pub(super) fn poll(&mut self, now: f64) -> Action {
        self.last_poll_at = now;
        Action::WatchEndpoints
    }

    /// Returns whether changes of the endpoint list may have been missed.
    pub(super) fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Handles a list or a failed poll, and schedules the next poll if one is needed.
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

    /// Returns the range of the next delay. `elapsed` is the duration of the last poll, in
    /// seconds.
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
            // Discovery may have recovered at any time since the poll began, so the duration of
            // the poll counts as delay.
            _ => LARGE_FLEET_DEADLINE_SHARE * deadline - elapsed,
        };
        let max = fleet_delay.min(max_delay * self.backoff_factor());
        // A single failure may be a broken watch. Discovery may not be queueing polls in that
        // case, so a short delay is allowed.
        let min = if self.failures > 1 { max / 2.0 } else { 0.0 };
        DelayRange { min, max }
    }

    fn backoff_factor(&self) -> f64 {
        let doublings = self.failures - FAILURES_BEFORE_BACKOFF;
        f64::from(1 << doublings.clamp(0, MAX_BACKOFF_DOUBLINGS))
    }
}
