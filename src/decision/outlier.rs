//! Outlier detection: ejects upstreams that fail or do not respond while their peers do.
//!
//! An upstream is ejected for all requests or for the requests of one class. It gets none of these
//! until the ejection is over, then one trial request at a time until one succeeds. If more than
//! half of the subset would be excluded, no upstream is excluded (panic mode).

use super::action::Action;
use super::balancer::Balancer;
use super::ended_attempt::EndedAttempt;
use super::event::UpstreamId;
use super::latency::MAX_EXCESS_WORK;
use super::log_event::{EjectionScope, LogEvent};
use super::moving_average::{add_sample, SLOW_SMOOTHING};
use super::outlier_stats::{HealthChange, OutlierSample, OutlierStats, StatsScope, StatsUpdate};
use super::selection::OutlierPolicy;
use super::settings::{Class, Idempotency};
use super::upstream::{upstream_of_attempt, Upstream};

/// Largest share of the subset that may be excluded; above it, panic mode applies.
const MAX_EXCLUDED_SHARE: f64 = 0.5;
/// Silent losses are not attributed to an upstream if its loss rate is at most this many times the
/// mean of its peers.
const COMMON_LOSS_FACTOR: f64 = 2.0;

/// Mean error rates of an upstream's peers. Without peers there is nothing to compare with, so
/// both rates are 1 and the upstream is not an outlier.
struct PeerErrorRates {
    all_requests: f64,
    class: f64,
}

impl Balancer {
    /// Returns whether outliers are excluded for this class.
    pub(super) fn outlier_policy(&self, class: usize) -> OutlierPolicy {
        let subset = self.rotation.subset();
        let is_excluded = |id: &&UpstreamId| !self.is_eligible(&self.upstreams[id], class);
        let excluded = subset.iter().filter(is_excluded).count();
        if excluded as f64 > MAX_EXCLUDED_SHARE * subset.len() as f64 {
            OutlierPolicy::Include
        } else {
            OutlierPolicy::Exclude
        }
    }

    /// Returns whether the upstream is neither ejected nor silent for this class.
    pub(super) fn is_eligible(&self, upstream: &Upstream, class: usize) -> bool {
        let stats = &upstream.stats.outliers;
        let all_stats = stats.all_requests();
        let (mut in_flight_of_class, mut unanswered) = (0, 0);
        let mut has_overdue_of_class = false;
        for attempt in &upstream.in_flight {
            in_flight_of_class += usize::from(attempt.class == class);
            if attempt.is_overdue(self.now) {
                // Counts even if later requests got a response: the upstream may lose only a part
                // of the requests of this class.
                has_overdue_of_class |= attempt.class == class;
                unanswered += usize::from(all_stats.is_silent_since(attempt.sent_at));
            }
        }
        let may_be_silent = has_overdue_of_class || unanswered > 0;
        let is_silent = unanswered > 1 || (may_be_silent && !self.has_common_losses(upstream));
        !is_silent
            && all_stats.allows_request(upstream.in_flight.len(), self.now)
            && stats
                .class(class)
                .allows_request(in_flight_of_class, self.now)
    }

    /// Returns whether the peers lose requests silently about as often as this upstream. If so, the
    /// losses probably happen on a network path that all of them share.
    fn has_common_losses(&self, upstream: &Upstream) -> bool {
        let (mut sum, mut peers) = (0.0, 0.0);
        for peer in self.rotation.peers_of(upstream.entry.id, &self.upstreams) {
            sum += peer.stats.silent_loss_rate;
            peers += 1.0;
        }
        sum > 0.0 && upstream.stats.silent_loss_rate <= COMMON_LOSS_FACTOR * sum / peers
    }

    /// Returns whether the upstream is unavailable, or ineligible for every class. In panic mode,
    /// an ineligible upstream gets requests all the same.
    pub(super) fn is_excluded(&self, upstream: &Upstream) -> bool {
        let mut classes = 0..self.settings.classes.len();
        !upstream.is_available() || classes.all(|class| !self.is_eligible(upstream, class))
    }

    /// Adds the end of an attempt to the outlier statistics of its upstream, and ejects the
    /// upstream if they require it.
    pub(super) fn detect_outlier(
        &mut self,
        id: UpstreamId,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let is_common_loss = self.update_loss_rate(id, ended);
        let peers = self.peer_error_rates(id, ended.class);
        let mean_latency = self.latency.of_class(ended.class).mean();
        let sample = OutlierSample {
            ended,
            is_common_loss,
            // Work hints are rough, so a large request must not lead to an ejection of several
            // minutes.
            expected_latency: ended.expected_latency.min(MAX_EXCESS_WORK * mean_latency),
            now: self.now,
        };
        let upstream = upstream_of_attempt(&mut self.upstreams, id);
        let stats = &mut upstream.stats.outliers;
        let all_requests_update =
            stats
                .all_requests_mut()
                .add(&sample, StatsScope::AllRequests, peers.all_requests);
        let scope = StatsScope::Class {
            is_upstream_outlier: all_requests_update.is_outlier,
        };
        let stats = stats.classes_mut();
        let class_update = stats[ended.class].add(&sample, scope, peers.class);
        actions.extend(ejection_log(id, &all_requests_update, &class_update, ended));
        let classes = &self.settings.classes;
        if classes[ended.class].idempotency != Idempotency::NonIdempotent {
            schedule_trials(stats, classes, &class_update.change, self.now);
        }
    }

    /// Updates the upstream's rate of silent losses. Returns whether the attempt was lost silently
    /// and the peers have such losses too.
    fn update_loss_rate(&mut self, id: UpstreamId, ended: &EndedAttempt) -> bool {
        let is_lost_silently = ended.is_lost_silently();
        let upstream = upstream_of_attempt(&mut self.upstreams, id);
        let rate = &mut upstream.stats.silent_loss_rate;
        add_sample(rate, f64::from(u8::from(is_lost_silently)), SLOW_SMOOTHING);
        is_lost_silently && self.has_common_losses(&self.upstreams[&id])
    }

    fn peer_error_rates(&self, id: UpstreamId, class: usize) -> PeerErrorRates {
        let (mut all_requests_sum, mut class_sum, mut peers) = (0.0, 0.0, 0.0);
        for peer in self.rotation.peers_of(id, &self.upstreams) {
            all_requests_sum += peer.stats.outliers.all_requests().error_rate();
            class_sum += peer.stats.outliers.class(class).error_rate();
            peers += 1.0;
        }
        if peers == 0.0 {
            return PeerErrorRates {
                all_requests: 1.0,
                class: 1.0,
            };
        }
        PeerErrorRates {
            all_requests: all_requests_sum / peers,
            class: class_sum / peers,
        }
    }
}

/// Returns the log line for the first ejection in a series of failures. If one attempt leads to
/// ejections for all requests and for its class, only the ejection for all requests is logged,
/// because it includes the class.
fn ejection_log(
    upstream: UpstreamId,
    all_requests_update: &StatsUpdate,
    class_update: &StatsUpdate,
    ended: &EndedAttempt,
) -> Option<Action> {
    let (scope, change) = if let HealthChange::Ejected { .. } = all_requests_update.change {
        (EjectionScope::AllRequests, &all_requests_update.change)
    } else {
        (EjectionScope::Class(ended.class), &class_update.change)
    };
    let HealthChange::Ejected {
        duration,
        is_first: true,
    } = *change
    else {
        return None;
    };
    Some(Action::Log(LogEvent::Ejected {
        upstream,
        scope,
        cause: ended.outcome,
        duration,
    }))
}

/// Reschedules the trial requests of non-idempotent classes after a result of a class whose
/// requests may be repeated. A trial request may be lost, so classes whose requests may be repeated
/// go first. The non-idempotent classes follow, and wait longer if the first trial request fails.
fn schedule_trials(stats: &mut [OutlierStats], classes: &[Class], change: &HealthChange, now: f64) {
    for (stats, class) in stats.iter_mut().zip(classes) {
        if class.idempotency == Idempotency::NonIdempotent {
            stats.schedule_trial(change, now);
        }
    }
}
