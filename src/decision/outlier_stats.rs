//! Outlier statistics: what the results of an upstream's attempts say of it, and when they eject
//! it.

use super::ended_attempt::EndedAttempt;
use super::event::AttemptOutcome;
use super::moving_average::{add_sample, weight_after};
use serde::{Deserialize, Serialize};

/// Ejection time over the expected latency; it doubles with each consecutive failure.
const EJECTION_FACTOR: f64 = 4.0;
/// Consecutive failures beyond which the ejection time does not grow.
const MAX_COUNTED_FAILURES: i32 = 4;
/// An upstream is an outlier if its error rate exceeds that of its peers by more than this.
const ERROR_RATE_MARGIN: f64 = 0.3;
/// After a failed trial request of a class that can be repeated, those of classes that can't wait
/// for this many times its ejection time.
const TRIAL_DELAY_FACTOR: f64 = 2.0;
/// Responses without error that an upstream is presumed to have given before the first.
const PRESUMED_SUCCESSES: f64 = 3.0;

/// Outlier statistics of an upstream: of all its requests, then of each class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct OutlierStatsByScope(Vec<OutlierStats>);

/// Outlier statistics of one scope. Moments are seconds.
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

/// The statistics that a result is added to.
#[derive(Clone, Copy)]
pub(super) enum StatsScope {
    /// Those of all requests.
    AllRequests,
    /// Those of one class.
    Class {
        /// By all its requests the upstream is an outlier.
        is_upstream_outlier: bool,
    },
}

/// A result, and what it has to be judged by. Times are seconds.
pub(super) struct OutlierSample<'a> {
    pub(super) ended: &'a EndedAttempt,
    /// It is a silent loss, and the peers have such losses too.
    pub(super) is_common_loss: bool,
    /// Expected latency on which the ejection time is based.
    pub(super) expected_latency: f64,
    pub(super) now: f64,
}

/// What a result says of a scope.
pub(super) struct StatsUpdate {
    /// Its error rate exceeds that of the peers.
    pub(super) is_outlier: bool,
    pub(super) change: HealthChange,
}

/// What adding a result to the statistics of a scope has led to.
pub(super) enum HealthChange {
    /// Neither of the others.
    Unchanged,
    /// A success has ended a series of failures.
    Recovered,
    /// The upstream gets no request of this scope for some time.
    Ejected {
        /// In seconds.
        duration: f64,
        /// It is the first ejection of a series of failures.
        is_first: bool,
    },
}

impl OutlierSample<'_> {
    /// Consecutive failures that lead to an ejection. One broken connection says little: if the
    /// process is gone, the next one fails too. Nor does one silent loss where the peers have
    /// them as well.
    fn failures_to_eject(&self) -> i32 {
        if self.is_common_loss || self.ended.is_connection_failure() {
            2
        } else {
            1
        }
    }

    fn ejection_duration(&self, failures: i32) -> f64 {
        let duration = EJECTION_FACTOR * self.expected_latency * f64::from(1 << failures);
        // After the ejection a trial request may be lost for as long again.
        let min_duration = if self.ended.is_lost_silently() {
            self.ended.elapsed
        } else {
            0.0
        };
        duration.max(min_duration)
    }
}

impl OutlierStatsByScope {
    /// The statistics of an upstream of which nothing is known.
    pub(super) fn new(class_count: usize, now: f64) -> Self {
        let scopes = 0..=class_count;
        OutlierStatsByScope(scopes.map(|_| OutlierStats::new(now)).collect())
    }

    /// It has statistics of this many classes.
    pub(super) fn has_class_count(&self, class_count: usize) -> bool {
        self.0.len() == 1 + class_count
    }

    /// Of all requests.
    pub(super) fn all_requests(&self) -> &OutlierStats {
        &self.0[0]
    }

    /// Of all requests, to add a result.
    pub(super) fn all_requests_mut(&mut self) -> &mut OutlierStats {
        &mut self.0[0]
    }

    /// Of one class.
    pub(super) fn class(&self, class: usize) -> &OutlierStats {
        &self.0[1 + class]
    }

    /// Of each class.
    pub(super) fn classes_mut(&mut self) -> &mut [OutlierStats] {
        &mut self.0[1..]
    }

    /// All timestamps in it.
    pub(super) fn timestamps_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        self.0.iter_mut().flat_map(OutlierStats::timestamps_mut)
    }
}

impl OutlierStats {
    /// The statistics of a scope of which nothing is known.
    fn new(now: f64) -> Self {
        OutlierStats {
            last_response_at: now,
            ..OutlierStats::default()
        }
    }

    fn timestamps_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        [&mut self.last_response_at, &mut self.ejected_until].into_iter()
    }

    /// Failures since the last success.
    pub(super) fn consecutive_failures(&self) -> i32 {
        self.consecutive_failures
    }

    /// The upstream has not responded since this moment.
    pub(super) fn is_silent_since(&self, timestamp: f64) -> bool {
        self.last_response_at <= timestamp
    }

    /// Share of errors and rejections among the responses.
    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Not ejected, and after failures no trial request is in flight.
    pub(super) fn allows_request(&self, in_flight: usize, now: f64) -> bool {
        now >= self.ejected_until && (self.consecutive_failures == 0 || in_flight == 0)
    }

    /// Adds the end of an attempt.
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

    /// A success ends a series of failures, but not that of a class whose error rate shows that
    /// it fails in part.
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

    /// Losses count while the upstream responds to nothing. For a class, a silent loss counts
    /// also if the upstream responds to others, and so do errors that its peers do not have: an
    /// upstream that fails fast would draw requests as it is always free, and a rejection has
    /// taken a slot until it came back.
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

    /// After failures, moves the next trial request to follow one of a class that can be repeated,
    /// which has led to this change.
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
