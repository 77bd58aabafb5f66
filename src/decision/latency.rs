//! Latency estimates of the request classes, and the congestion that responses show.

use serde::{Deserialize, Serialize};

/// Weight of one sample in an exponential moving average.
pub(super) const SMOOTHING: f64 = 0.1;
/// An attempt is overdue after this many times its expected latency.
pub(super) const OVERDUE_FACTOR: f64 = 6.0;
/// Work hints are rough: what a request takes beyond the mean counts for at most this many mean
/// requests.
pub(super) const MAX_EXCESS_WORK: f64 = 4.0;
/// Congested: responses take more than this share of what the latency objective leaves beyond the
/// baseline latency, on average.
const CONGESTION_THRESHOLD: f64 = 0.25;
/// Largest share of the latency objective that counts as baseline latency. The estimate may have
/// started under congestion.
const MAX_BASELINE_SHARE: f64 = 0.5;

/// Latency and work of a class's requests, as moving averages.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LatencyEstimate {
    /// Mean latency, in seconds.
    #[serde(rename = "time")]
    mean_latency: f64,
    /// Mean work of a request.
    #[serde(rename = "work")]
    mean_work: f64,
    samples: f64,
    /// Latency of a unit of work while nothing is congested, in seconds.
    #[serde(rename = "calm")]
    baseline_per_work: f64,
}

impl LatencyEstimate {
    /// The estimate before the first response, from the class's latency objective in seconds.
    pub(super) fn new(latency_objective: f64) -> Self {
        LatencyEstimate {
            mean_latency: latency_objective / OVERDUE_FACTOR,
            mean_work: 1.0,
            samples: 0.0,
            baseline_per_work: 0.0,
        }
    }

    /// Adds the latency (in seconds) and the work of one successful response.
    pub(super) fn add(&mut self, latency: f64, work: f64) {
        self.samples += 1.0;
        let weight = SMOOTHING.max(1.0 / self.samples);
        self.mean_latency += weight * (latency - self.mean_latency);
        self.mean_work += weight * (work - self.mean_work);
        // The baseline follows the mean down at once but up so slowly that some seconds of
        // congestion do not raise it.
        let current = self.mean_latency / self.mean_work;
        let weight_up = if weight > SMOOTHING {
            1.0
        } else {
            SMOOTHING.powi(3)
        };
        let weight = if current < self.baseline_per_work {
            1.0
        } else {
            weight_up
        };
        self.baseline_per_work += weight * (current - self.baseline_per_work);
    }

    /// The latency to expect for this much work, in seconds.
    pub(super) fn expected(&self, work: f64) -> f64 {
        if self.samples > 0.0 {
            self.mean_latency / self.mean_work * work
        } else {
            self.mean_latency
        }
    }

    /// The latency to expect for this much work, but at least that of a mean request: work hints
    /// are too rough to call an attempt overdue sooner.
    pub(super) fn expected_at_least_mean(&self, work: f64) -> f64 {
        self.expected(work).max(self.expected(self.mean_work))
    }

    /// Mean latency of a response, in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean_latency
    }

    /// A latency over the one to expect for this much work.
    pub(super) fn relative(&self, latency: f64, work: f64) -> f64 {
        (latency / self.expected(work)).clamp(1.0 / OVERDUE_FACTOR, OVERDUE_FACTOR)
    }

    /// How many mean requests this work amounts to beyond one.
    pub(super) fn excess_work(&self, work: f64) -> f64 {
        if self.samples > 0.0 {
            (work / self.mean_work - 1.0).clamp(0.0, MAX_EXCESS_WORK)
        } else {
            0.0
        }
    }

    /// The latency to expect for this much work without congestion, in seconds. `max_mean` bounds
    /// that of a mean request.
    fn baseline(&self, work: f64, max_mean: f64) -> f64 {
        self.baseline_per_work.min(max_mean / self.mean_work) * work
    }
}

/// How much responses are delayed by other requests.
#[derive(Default)]
pub(super) struct Congestion {
    /// Moving average of what responses take of the latency objective beyond the baseline
    /// latency.
    pub(super) level: f64,
    /// There has been congestion since the start.
    pub(super) was_seen: bool,
}

impl Congestion {
    /// Adds one successful response. Only what exceeds the baseline latency counts: large
    /// requests and single slow responses are not congestion.
    pub(super) fn add(
        &mut self,
        latency: f64,
        work: f64,
        estimate: &LatencyEstimate,
        latency_objective: f64,
    ) {
        let baseline = estimate.baseline(work, MAX_BASELINE_SHARE * latency_objective);
        if baseline < latency_objective {
            let used = ((latency - baseline) / (latency_objective - baseline))
                .clamp(-1.0, 2.0 * CONGESTION_THRESHOLD);
            self.level += SMOOTHING * (used - self.level);
        }
    }

    /// Whether a balancer of this tier has to reduce its concurrency. In deeper tiers the first
    /// tier bounds what comes, and a waiting request holds a slot there.
    pub(super) fn update(&mut self, tier: usize) -> bool {
        let is_congested = tier == 0 && self.level > CONGESTION_THRESHOLD;
        self.was_seen |= is_congested;
        is_congested
    }
}
