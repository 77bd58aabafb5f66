//! Outlier statistics: responses and failures of an upstream, and the rules by which they lead to
//! an ejection.

use super::ended_attempt::EndedAttempt;
use super::event::AttemptOutcome;
use super::moving_average::{add_sample, weight_after};
use serde::{Deserialize, Serialize};

/// Base of the ejection duration, in expected latencies; each consecutive failure, from the first
/// on, doubles the duration.
const EJECTION_FACTOR: f64 = 4.0;
/// Consecutive failures beyond which the ejection duration no longer grows.
const MAX_COUNTED_FAILURES: i32 = 4;
/// An upstream is an outlier if its error rate exceeds the mean of its peers by more than this.
const ERROR_RATE_MARGIN: f64 = 0.3;
/// When an upstream is ejected for a class whose requests may be repeated, its next trial requests
/// of non-idempotent classes are delayed by at least this many times the duration of that ejection.
const TRIAL_DELAY_FACTOR: f64 = 2.0;
/// The error rate starts as if this many successful responses had been received.
const PRESUMED_SUCCESSES: f64 = 3.0;

/// Outlier statistics of an upstream: first those of all its requests, then those of each class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct OutlierStatsByScope(Vec<OutlierStats>);

/// Outlier statistics of one scope: all requests or one class. Timestamps are in seconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct OutlierStats {
    /// When the upstream last responded.
    #[serde(rename = "heard")]
    last_response_at: f64,
    /// Share of errors and rejections among the responses, as a moving average.
    #[serde(rename = "faults")]
    error_rate: f64,
    #[serde(rename = "answers")]
    responses: f64,
    #[serde(rename = "strikes", alias = "failures")]
    consecutive_failures: i32,
    #[serde(rename = "rest_until", alias = "ejected_until")]
    ejected_until: f64,
}

/// Scope of the statistics that a sample is added to.
#[derive(Clone, Copy)]
pub(super) enum StatsScope {
    /// All requests to the upstream.
    AllRequests,
    /// The requests of one class.
    Class {
        /// Whether the upstream is an outlier in the statistics of all its requests.
        is_upstream_outlier: bool,
    },
}

/// An ended attempt with the context that is needed to judge it. Times are in seconds.
pub(super) struct OutlierSample<'a> {
    pub(super) ended: &'a EndedAttempt,
    /// Whether the attempt was lost silently and the peers have such losses too.
    pub(super) is_common_loss: bool,
    /// Expected latency from which the ejection duration is calculated.
    pub(super) expected_latency: f64,
    pub(super) now: f64,
}

/// Effect of a sample on the statistics of a scope.
pub(super) struct StatsUpdate {
    /// Whether the error rate exceeds that of the peers by more than the margin.
    pub(super) is_outlier: bool,
    pub(super) change: HealthChange,
}

/// Change in the health of a scope that a sample has caused.
pub(super) enum HealthChange {
    /// The sample caused neither a recovery nor an ejection.
    Unchanged,
    /// A request of a class succeeded after one or more failures. This is not reported for the
    /// scope of all requests.
    Recovered,
    /// The upstream gets no requests of this scope for some time.
    Ejected {
        /// Duration of the ejection, in seconds.
        duration: f64,
        /// Whether this is the first ejection in a series of failures of one kind: the failure
        /// count is exactly the number that leads to an ejection.
        is_first: bool,
    },
}

impl OutlierSample<'_> {
    /// Returns the number of consecutive failures that lead to an ejection. A single connection
    /// failure is not enough: if the upstream's process is gone, the next connection fails too and
    /// leads to the ejection. A single silent loss is not enough either if the peers have such
    /// losses too.
    fn failures_to_eject(&self) -> i32 {
        if self.is_common_loss || self.ended.is_connection_failure() {
            2
        } else {
            1
        }
    }

    fn ejection_duration(&self, failures: i32) -> f64 {
        let duration = EJECTION_FACTOR * self.expected_latency * f64::from(1 << failures);
        // The trial request after the ejection may be lost too and take as long as this attempt,
        // so the ejection lasts at least as long.
        let min_duration = if self.ended.is_lost_silently() {
            self.ended.elapsed
        } else {
            0.0
        };
        duration.max(min_duration)
    }
}

impl OutlierStatsByScope {
    /// Returns the statistics of an upstream without history.
    pub(super) fn new(class_count: usize, now: f64) -> Self {
        let scopes = 0..=class_count;
        OutlierStatsByScope(scopes.map(|_| OutlierStats::new(now)).collect())
    }

    /// Returns whether statistics for exactly `class_count` classes are stored.
    pub(super) fn has_class_count(&self, class_count: usize) -> bool {
        self.0.len() == 1 + class_count
    }

    /// Returns the statistics of all requests.
    pub(super) fn all_requests(&self) -> &OutlierStats {
        &self.0[0]
    }

    /// Returns the statistics of all requests, for adding a sample.
    pub(super) fn all_requests_mut(&mut self) -> &mut OutlierStats {
        &mut self.0[0]
    }

    /// Returns the statistics of one class.
    pub(super) fn class(&self, class: usize) -> &OutlierStats {
        &self.0[1 + class]
    }

    /// Returns the statistics of each class, in the order of the settings.
    pub(super) fn classes_mut(&mut self) -> &mut [OutlierStats] {
        &mut self.0[1..]
    }

    /// Returns mutable references to the timestamps of all scopes.
    pub(super) fn timestamps_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        self.0.iter_mut().flat_map(OutlierStats::timestamps_mut)
    }
}

impl OutlierStats {
    /// Returns the statistics of a scope without history.
    fn new(now: f64) -> Self {
        OutlierStats {
            last_response_at: now,
            ..OutlierStats::default()
        }
    }

    fn timestamps_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        [&mut self.last_response_at, &mut self.ejected_until].into_iter()
    }

    /// Returns the number of consecutive failures, at most `MAX_COUNTED_FAILURES`.
    pub(super) fn consecutive_failures(&self) -> i32 {
        self.consecutive_failures
    }

    /// Returns whether the upstream has not responded since `timestamp`.
    pub(super) fn is_silent_since(&self, timestamp: f64) -> bool {
        self.last_response_at <= timestamp
    }

    /// Returns the share of errors and rejections among the responses.
    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns whether another request may be sent: no ejection is in force, and after failures no
    /// trial request is in flight.
    pub(super) fn allows_request(&self, in_flight: usize, now: f64) -> bool {
        now >= self.ejected_until && (self.consecutive_failures == 0 || in_flight == 0)
    }

    /// Adds an ended attempt and returns its effect. `peers_error_rate` is the mean error rate of
    /// the peers.
    pub(super) fn add(
        &mut self,
        sample: &OutlierSample,
        scope: StatsScope,
        peers_error_rate: f64,
    ) -> StatsUpdate {
        let ended = sample.ended;
        let is_success = ended.outcome == AttemptOutcome::Success;
        if !ended.is_lost {
            self.last_response_at = sample.now;
        }
        if ended.is_error() || is_success {
            self.add_response(ended.is_error());
        }
        let is_outlier = self.error_rate > peers_error_rate + ERROR_RATE_MARGIN;
        let change = if is_success {
            self.add_success(scope, is_outlier)
        } else if self.is_failure(sample, scope, is_outlier) {
            self.add_failure(sample)
        } else {
            HealthChange::Unchanged
        };
        StatsUpdate { is_outlier, change }
    }

    /// Resets the failure count, except for a class that is an outlier: its error rate shows that
    /// a part of its requests still fails.
    fn add_success(&mut self, scope: StatsScope, is_outlier: bool) -> HealthChange {
        let is_class = matches!(scope, StatsScope::Class { .. });
        let had_failures = self.consecutive_failures > 0;
        if !(is_outlier && is_class) {
            self.consecutive_failures = 0;
        }
        if is_class && had_failures {
            HealthChange::Recovered
        } else {
            HealthChange::Unchanged
        }
    }

    fn add_response(&mut self, is_error: bool) {
        self.responses += 1.0;
        let error = f64::from(u8::from(is_error));
        let weight = weight_after(self.responses + PRESUMED_SUCCESSES);
        add_sample(&mut self.error_rate, error, weight);
    }

    /// Returns whether an ended attempt counts as a failure. A loss counts if the upstream has
    /// responded to nothing since the attempt was sent.
    ///
    /// For a class, two more kinds of results count. The first is a silent loss, even if the
    /// upstream responds to other requests, unless the peers have such losses too. The second is an
    /// error or a rejection while the upstream is an outlier and not ejected. Errors count because
    /// an upstream that fails fast always has free slots and would attract requests; rejections
    /// count because a rejected attempt has occupied a slot until the rejection was received.
    fn is_failure(&self, sample: &OutlierSample, scope: StatsScope, is_outlier: bool) -> bool {
        let ended = sample.ended;
        let is_unanswered = ended.is_lost && self.is_silent_since(ended.sent_at);
        match scope {
            StatsScope::AllRequests => is_unanswered,
            StatsScope::Class {
                is_upstream_outlier,
            } => {
                let is_own_loss = ended.is_lost_silently() && !sample.is_common_loss;
                let is_own_error = ended.is_error() && (is_outlier || is_upstream_outlier);
                let is_ejected = sample.now < self.ejected_until;
                is_unanswered || is_own_loss || (is_own_error && !is_ejected)
            }
        }
    }

    fn add_failure(&mut self, sample: &OutlierSample) -> HealthChange {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let failures_to_eject = sample.failures_to_eject();
        if self.consecutive_failures < failures_to_eject {
            return HealthChange::Unchanged;
        }
        let duration = sample.ejection_duration(self.consecutive_failures);
        self.ejected_until = sample.now + duration;
        HealthChange::Ejected {
            duration,
            is_first: self.consecutive_failures == failures_to_eject,
        }
    }

    /// Reschedules the next trial request of a class that has failures, after a `change` in a class
    /// whose requests may be repeated: the recovery of that class allows the trial request now, and
    /// the ejection of that class delays it.
    pub(super) fn schedule_trial(&mut self, change: &HealthChange, now: f64) {
        if self.consecutive_failures == 0 {
            return;
        }
        match *change {
            HealthChange::Unchanged => {}
            HealthChange::Recovered => self.ejected_until = self.ejected_until.min(now),
            HealthChange::Ejected { duration, .. } => {
                let trial_at = now + TRIAL_DELAY_FACTOR * duration;
                self.ejected_until = self.ejected_until.max(trial_at);
            }
        }
    }
}
