//! Latency: estimates for each request class, learned from successful responses.

use super::congestion::Congestion;
use super::ended_attempt::EndedAttempt;
use super::moving_average::{add_sample, weight_after, SMOOTHING};
use super::settings::Settings;
use serde::{Deserialize, Serialize};

/// An attempt is overdue after this many times its expected latency.
pub(super) const OVERDUE_FACTOR: f64 = 6.0;
/// Upper bound of the work by which a request exceeds a mean request, in mean requests. It is
/// needed because work hints are rough.
pub(super) const MAX_EXCESS_WORK: f64 = 4.0;

/// Latency and work of the requests of one class, as moving averages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LatencyEstimate {
    /// Mean latency, in seconds.
    #[serde(rename = "time")]
    mean_latency: f64,
    /// Mean work of a request.
    #[serde(rename = "work")]
    mean_work: f64,
    samples: f64,
    /// Latency per unit of work without congestion, in seconds.
    #[serde(rename = "calm")]
    baseline_per_work: f64,
}

impl LatencyEstimate {
    /// Returns the estimate before the first response, derived from the class's latency objective
    /// in seconds.
    fn new(latency_objective: f64) -> Self {
        LatencyEstimate {
            mean_latency: latency_objective / OVERDUE_FACTOR,
            mean_work: 1.0,
            samples: 0.0,
            baseline_per_work: 0.0,
        }
    }

    /// Adds the latency (in seconds) and the work of one successful response.
    fn add(&mut self, latency: f64, work: f64) {
        self.samples += 1.0;
        let weight = weight_after(self.samples);
        add_sample(&mut self.mean_latency, latency, weight);
        add_sample(&mut self.mean_work, work, weight);
        // The baseline falls with the mean immediately, but rises so slowly that a few seconds of
        // congestion hardly raise it.
        let per_work = self.mean_latency / self.mean_work;
        let is_initial = weight > SMOOTHING;
        let baseline_weight = if per_work < self.baseline_per_work || is_initial {
            1.0
        } else {
            SMOOTHING.powi(3)
        };
        add_sample(&mut self.baseline_per_work, per_work, baseline_weight);
    }

    /// Returns the expected latency for this much work, in seconds.
    pub(super) fn expected(&self, work: f64) -> f64 {
        if self.samples > 0.0 {
            self.mean_latency / self.mean_work * work
        } else {
            self.mean_latency
        }
    }

    /// Returns the expected latency for this much work, but at least that of a mean request: work
    /// hints are too rough to call an attempt overdue sooner.
    pub(super) fn expected_at_least_mean(&self, work: f64) -> f64 {
        self.expected(work).max(self.expected(self.mean_work))
    }

    /// Returns the mean latency of a response, in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean_latency
    }

    /// Returns the ratio of a latency to the expected latency for this much work, bounded by
    /// `OVERDUE_FACTOR` and its reciprocal.
    fn relative(&self, latency: f64, work: f64) -> f64 {
        (latency / self.expected(work)).clamp(1.0 / OVERDUE_FACTOR, OVERDUE_FACTOR)
    }

    /// Returns by how many mean requests this work exceeds the work of one mean request, at most
    /// `MAX_EXCESS_WORK`.
    pub(super) fn excess_work(&self, work: f64) -> f64 {
        if self.samples > 0.0 {
            (work / self.mean_work - 1.0).clamp(0.0, MAX_EXCESS_WORK)
        } else {
            0.0
        }
    }

    /// Returns the expected latency for this much work without congestion, in seconds. `max_mean`
    /// is the upper bound for a mean request.
    pub(super) fn baseline(&self, work: f64, max_mean: f64) -> f64 {
        self.baseline_per_work.min(max_mean / self.mean_work) * work
    }
}

/// Latency estimates of all classes, and the congestion that is detected from responses.
pub(super) struct LatencyModel {
    /// Estimate of each class.
    estimates: Vec<LatencyEstimate>,
    congestion: Congestion,
}

/// Evaluation of the latency of a successful response.
pub(super) struct ResponseLatency {
    /// Ratio of the latency to the expected latency.
    pub(super) relative_latency: f64,
    /// Whether the balancer has to reduce its concurrency.
    pub(super) is_congested: bool,
}

impl LatencyModel {
    /// Returns the model before the first response.
    pub(super) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter();
        let estimates = classes.map(|class| LatencyEstimate::new(class.latency_objective));
        LatencyModel {
            estimates: estimates.collect(),
            congestion: Congestion::default(),
        }
    }

    /// Returns the model with what another balancer has learned.
    pub(super) fn restore(estimates: Vec<LatencyEstimate>, congestion: Congestion) -> Self {
        LatencyModel {
            estimates,
            congestion,
        }
    }

    /// Returns the estimate of each class.
    pub(super) fn estimates(&self) -> &[LatencyEstimate] {
        &self.estimates
    }

    /// Returns the estimate of one class.
    pub(super) fn of_class(&self, class: usize) -> &LatencyEstimate {
        &self.estimates[class]
    }

    /// Returns the congestion that is detected from responses.
    pub(super) fn congestion(&self) -> &Congestion {
        &self.congestion
    }

    /// Adds a successful attempt of a request with this much work.
    pub(super) fn add_success(
        &mut self,
        ended: &EndedAttempt,
        work: f64,
        settings: &Settings,
    ) -> ResponseLatency {
        let estimate = &mut self.estimates[ended.class];
        let relative_latency = estimate.relative(ended.elapsed, work);
        estimate.add(ended.elapsed, work);
        let objective = settings.classes[ended.class].latency_objective;
        let objective = objective * settings.remaining_tier_share();
        self.congestion
            .add(ended.elapsed, work, estimate, objective);
        ResponseLatency {
            relative_latency,
            is_congested: self.congestion.update(settings.tier),
        }
    }
}
