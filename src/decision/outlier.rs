//! Outlier detection: ejects upstreams that fail or do not respond while their peers do.
//!
//! Judged by all requests at an upstream and by those of each class. An ejected upstream gets no
//! requests until the ejection is over, then one at a time until one succeeds. If most of the
//! subset would be left out, none is (panic mode).

use super::action::Action;
use super::balancer::Balancer;
use super::ended_attempt::EndedAttempt;
use super::event::{AttemptOutcome, UpstreamId};
use super::latency::{MAX_EXCESS_WORK, SMOOTHING};
use super::selection::OutlierPolicy;
use super::settings::{Class, Idempotency};
use super::upstream::Upstream;
use serde::{Deserialize, Serialize};

/// Largest share of the subset that is left out.
const MAX_EXCLUDED_SHARE: f64 = 0.5;
/// Ejection time over the expected latency; it doubles with each consecutive failure.
const EJECTION_FACTOR: f64 = 4.0;
/// Consecutive failures beyond which the ejection time does not grow.
const MAX_FAILURES: i32 = 4;
/// An upstream is an outlier if its error rate exceeds that of its peers by more than this.
const ERROR_RATE_MARGIN: f64 = 0.3;
/// Responses without error that an upstream is presumed to have given before the first.
const PRESUMED_RESPONSES: f64 = 3.0;
/// Silent losses are no sign of a single upstream if its rate is at most this many times its
/// peers' mean.
const COMMON_LOSS_FACTOR: f64 = 2.0;
/// An ejection for one class keeps the trial requests that can't be repeated back for this many
/// times as long.
const TRIAL_DELAY_FACTOR: f64 = 2.0;

/// Outlier statistics of an upstream: of all its requests or of one class. Moments are seconds.
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
enum Scope {
    AllRequests,
    /// One class; `is_upstream_outlier`: by all requests the upstream is an outlier.
    Class {
        is_upstream_outlier: bool,
    },
}

/// What a result counts for.
struct Evidence<'a> {
    ended: &'a EndedAttempt,
    /// The peers lose requests silently as well.
    is_common_loss: bool,
    /// Expected latency on which the ejection time is based, in seconds.
    expected_latency: f64,
    now: f64,
}

/// What adding a result to the statistics of a scope has led to.
#[derive(Default)]
struct Verdict {
    is_outlier: bool,
    /// A success has ended a series of failures.
    has_recovered: bool,
    ejection: Option<Ejection>,
}

struct Ejection {
    /// In seconds.
    duration: f64,
    /// It is the first one of a series of failures.
    is_first: bool,
}

/// Mean error rates of an upstream's peers; 1 if there are none, as there is nothing to compare
/// with.
struct PeerErrorRates {
    all_requests: f64,
    class: f64,
}

impl Evidence<'_> {
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

    fn ejection_time(&self, failures: i32) -> f64 {
        let time = EJECTION_FACTOR * self.expected_latency * f64::from(1 << failures);
        // After the ejection a trial request may be lost for as long again.
        let silence = if self.ended.is_lost_silently() {
            self.ended.elapsed
        } else {
            0.0
        };
        time.max(silence)
    }
}

impl OutlierStats {
    /// The statistics of an upstream of which nothing is known.
    pub(super) fn new(now: f64) -> Self {
        OutlierStats {
            last_response_at: now,
            ..OutlierStats::default()
        }
    }

    /// All moments in it.
    pub(super) fn moments(&mut self) -> impl Iterator<Item = &mut f64> {
        [&mut self.last_response_at, &mut self.ejected_until].into_iter()
    }

    /// Failures since the last success.
    pub(super) fn consecutive_failures(&self) -> i32 {
        self.consecutive_failures
    }

    /// The upstream has not responded since this moment.
    pub(super) fn is_silent_since(&self, moment: f64) -> bool {
        self.last_response_at <= moment
    }

    /// Not ejected, and after failures no trial request is in flight.
    fn allows_request(&self, in_flight: usize, now: f64) -> bool {
        now >= self.ejected_until && (self.consecutive_failures == 0 || in_flight == 0)
    }

    /// Adds the end of an attempt.
    fn add(&mut self, evidence: &Evidence, scope: Scope, peers_error_rate: f64) -> Verdict {
        let ended = evidence.ended;
        let is_success = ended.outcome == AttemptOutcome::Success;
        if !ended.is_lost {
            self.last_response_at = evidence.now;
        }
        if ended.is_error() || is_success {
            self.add_response(ended.is_error());
        }
        let is_outlier = self.error_rate > peers_error_rate + ERROR_RATE_MARGIN;
        let mut verdict = Verdict {
            is_outlier,
            ..Verdict::default()
        };
        if is_success {
            let is_class = matches!(scope, Scope::Class { .. });
            verdict.has_recovered = is_class && self.consecutive_failures > 0;
            if !(is_outlier && is_class) {
                self.consecutive_failures = 0;
            }
        } else if self.is_failure(evidence, scope, is_outlier) {
            verdict.ejection = self.add_failure(evidence);
        }
        verdict
    }

    fn add_response(&mut self, is_error: bool) {
        self.responses += 1.0;
        let weight = SMOOTHING.max(1.0 / (self.responses + PRESUMED_RESPONSES));
        self.error_rate += weight * (f64::from(u8::from(is_error)) - self.error_rate);
    }

    /// Losses count while the upstream responds to nothing. For a class, a silent loss counts
    /// also if the upstream responds to others, and so do errors that its peers do not have: an
    /// upstream that fails fast would draw requests as it is always free, and a rejection has
    /// taken a slot until it came back.
    fn is_failure(&self, evidence: &Evidence, scope: Scope, is_outlier: bool) -> bool {
        let ended = evidence.ended;
        let is_unanswered = ended.is_lost && self.is_silent_since(ended.sent_at);
        match scope {
            Scope::AllRequests => is_unanswered,
            Scope::Class {
                is_upstream_outlier,
            } => {
                let is_own_loss = ended.is_lost_silently() && !evidence.is_common_loss;
                let is_own_error = ended.is_error() && (is_outlier || is_upstream_outlier);
                is_unanswered || is_own_loss || is_own_error && evidence.now >= self.ejected_until
            }
        }
    }

    fn add_failure(&mut self, evidence: &Evidence) -> Option<Ejection> {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_FAILURES);
        let failures_to_eject = evidence.failures_to_eject();
        if self.consecutive_failures < failures_to_eject {
            return None;
        }
        let duration = evidence.ejection_time(self.consecutive_failures);
        self.ejected_until = evidence.now + duration;
        Some(Ejection {
            duration,
            is_first: self.consecutive_failures == failures_to_eject,
        })
    }
}

impl Balancer {
    /// Whether outliers are left out for this class.
    pub(super) fn outlier_policy(&self, class: usize) -> OutlierPolicy {
        let subset = self.rotation.subset();
        let is_excluded = |id: &&UpstreamId| !self.is_eligible(&self.upstreams[id], class);
        let excluded = subset.iter().filter(is_excluded).count();
        if excluded as f64 > MAX_EXCLUDED_SHARE * subset.len() as f64 {
            OutlierPolicy::Ignore
        } else {
            OutlierPolicy::Exclude
        }
    }

    /// Neither ejected nor silent for this class.
    pub(super) fn is_eligible(&self, upstream: &Upstream, class: usize) -> bool {
        let all_stats = &upstream.stats.outliers[0];
        let (mut of_class, mut has_overdue_of_class, mut unanswered) = (0, false, 0);
        for attempt in &upstream.in_flight {
            of_class += usize::from(attempt.class == class);
            if attempt.is_overdue(self.now) {
                // Counts though later requests got a response: the upstream may lose a part
                // of the class.
                has_overdue_of_class |= attempt.class == class;
                unanswered += usize::from(all_stats.is_silent_since(attempt.sent_at));
            }
        }
        let is_silent = unanswered > 1
            || (has_overdue_of_class || unanswered > 0) && !self.has_common_losses(upstream);
        !is_silent
            && all_stats.allows_request(upstream.in_flight.len(), self.now)
            && upstream.stats.outliers[1 + class].allows_request(of_class, self.now)
    }

    /// The peers lose requests silently about as often, so the losses happen on the way to all of
    /// them.
    fn has_common_losses(&self, upstream: &Upstream) -> bool {
        let (mut sum, mut peers) = (0.0, 0.0);
        for peer in self.rotation.peers_of(upstream.entry.id, &self.upstreams) {
            sum += peer.stats.silent_loss_rate;
            peers += 1.0;
        }
        sum > 0.0 && upstream.stats.silent_loss_rate <= COMMON_LOSS_FACTOR * sum / peers
    }

    /// Whether operators will find this upstream left out for every class.
    pub(super) fn is_excluded(&self, upstream: &Upstream) -> bool {
        let mut classes = 0..self.settings.classes.len();
        !upstream.is_available() || classes.all(|class| !self.is_eligible(upstream, class))
    }

    /// Adds the end of an attempt to the upstream's outlier statistics, and ejects it if they
    /// call for it.
    pub(super) fn detect_outlier(
        &mut self,
        id: UpstreamId,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let is_common_loss = self.add_to_loss_rate(id, ended);
        let peers = self.peer_error_rates(id, ended.class);
        let mean_latency = self.latency[ended.class].mean();
        let evidence = Evidence {
            ended,
            is_common_loss,
            // Work hints are rough, so a large request must not lead to an ejection of minutes.
            expected_latency: ended.expected_latency.min(MAX_EXCESS_WORK * mean_latency),
            now: self.now,
        };
        let upstream = self
            .upstreams
            .get_mut(&id)
            .expect("an upstream is kept while attempts are in flight");
        let stats = &mut upstream.stats.outliers;
        let of_all = stats[0].add(&evidence, Scope::AllRequests, peers.all_requests);
        let scope = Scope::Class {
            is_upstream_outlier: of_all.is_outlier,
        };
        let of_class = stats[1 + ended.class].add(&evidence, scope, peers.class);
        let class = &self.settings.classes[ended.class];
        actions.extend(ejection_log(id, &of_all, &of_class, class, ended.outcome));
        if class.idempotency != Idempotency::NonIdempotent {
            schedule_trials(&mut stats[1..], &self.settings.classes, &of_class, self.now);
        }
    }

    /// Adds to the upstream's rate of silent losses. Returns whether this is such a loss and its
    /// peers have them too.
    fn add_to_loss_rate(&mut self, id: UpstreamId, ended: &EndedAttempt) -> bool {
        let is_lost_silently = ended.is_lost_silently();
        let upstream = self
            .upstreams
            .get_mut(&id)
            .expect("an upstream is kept while attempts are in flight");
        let rate = &mut upstream.stats.silent_loss_rate;
        *rate += SMOOTHING * SMOOTHING * (f64::from(u8::from(is_lost_silently)) - *rate);
        is_lost_silently && self.has_common_losses(&self.upstreams[&id])
    }

    fn peer_error_rates(&self, id: UpstreamId, class: usize) -> PeerErrorRates {
        let (mut all_requests, mut of_class, mut peers) = (0.0, 0.0, 0.0);
        for peer in self.rotation.peers_of(id, &self.upstreams) {
            all_requests += peer.stats.outliers[0].error_rate;
            of_class += peer.stats.outliers[1 + class].error_rate;
            peers += 1.0;
        }
        if peers == 0.0 {
            return PeerErrorRates {
                all_requests: 1.0,
                class: 1.0,
            };
        }
        PeerErrorRates {
            all_requests: all_requests / peers,
            class: of_class / peers,
        }
    }
}

/// The log line for the first ejection of a series. An ejection for all requests covers that for
/// the class.
fn ejection_log(
    id: UpstreamId,
    of_all: &Verdict,
    of_class: &Verdict,
    class: &Class,
    outcome: AttemptOutcome,
) -> Option<Action> {
    let (ejection, scope) = match (&of_all.ejection, &of_class.ejection) {
        (Some(ejection), _) => (ejection, "all requests"),
        (None, Some(ejection)) => (ejection, class.name.as_str()),
        (None, None) => return None,
    };
    let duration = ejection.duration;
    ejection.is_first.then(|| Action::Log {
        upstream: Some(id),
        text: format!("ejected for {duration:.1} s: {scope} (after {outcome:?})"),
    })
}

/// A trial request after an ejection may be lost. Where the class of a result can be repeated, it
/// does the trials for those that can't: they come after it, and wait longer if it fails.
fn schedule_trials(stats: &mut [OutlierStats], classes: &[Class], of_class: &Verdict, now: f64) {
    let duration = of_class
        .ejection
        .as_ref()
        .map_or(0.0, |ejection| ejection.duration);
    if duration <= 0.0 && !of_class.has_recovered {
        return;
    }
    for (stats, class) in stats.iter_mut().zip(classes) {
        if stats.consecutive_failures == 0 || class.idempotency != Idempotency::NonIdempotent {
            continue;
        }
        stats.ejected_until = if of_class.has_recovered {
            stats.ejected_until.min(now)
        } else {
            stats.ejected_until.max(now + TRIAL_DELAY_FACTOR * duration)
        };
    }
}
