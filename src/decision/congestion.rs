//! Congestion: how much other requests delay responses.

use super::latency::LatencyEstimate;
use super::moving_average::{add_sample, SMOOTHING};

/// Congestion level above which concurrency has to be reduced. The level is the mean share that
/// responses use of the time between the baseline latency and the latency objective.
const CONGESTION_THRESHOLD: f64 = 0.25;
/// Upper bound of the baseline latency, as a share of the latency objective. Without it, an
/// estimate that started under congestion would be too high.
const MAX_BASELINE_SHARE: f64 = 0.5;

/// The congestion that successful responses show.
#[derive(Default)]
pub(super) struct Congestion {
    /// Moving average of the share that responses use of the time between the baseline latency and
    /// the latency objective.
    pub(super) level: f64,
    /// Whether congestion has occurred since the start.
    pub(super) has_occurred: bool,
}

impl Congestion {
    /// Adds a successful response. Latency counts relative to the baseline for the work of the
    /// request, because a large request is not congestion. The effect of one response is bounded,
    /// because a single slow response is not congestion either.
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
            add_sample(&mut self.level, used, SMOOTHING);
        }
    }

    /// Returns whether a balancer of this tier has to reduce its concurrency, and records that
    /// congestion has occurred if so. Only the first tier has to: it bounds the requests that
    /// reach deeper tiers, and a request that waits in a deeper tier holds a slot in the first.
    pub(super) fn update(&mut self, tier: usize) -> bool {
        let is_congested = tier == 0 && self.level > CONGESTION_THRESHOLD;
        self.has_occurred |= is_congested;
        is_congested
    }
}
