//! Congestion: how much other requests delay responses.

use super::latency::LatencyEstimate;
use super::moving_average::{add_sample, SMOOTHING};

/// Congested: responses take more than this share of what the latency objective leaves beyond the
/// baseline latency, on average.
const CONGESTION_THRESHOLD: f64 = 0.25;
/// Largest share of the latency objective that counts as baseline latency. The estimate may have
/// started under congestion.
const MAX_BASELINE_SHARE: f64 = 0.5;

/// The congestion that successful responses show.
#[derive(Default)]
pub(super) struct Congestion {
    /// Moving average of what responses take of the latency objective beyond the baseline
    /// latency.
    pub(super) level: f64,
    /// There has been congestion since the start.
    pub(super) has_occurred: bool,
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
            add_sample(&mut self.level, used, SMOOTHING);
        }
    }

    /// Whether a balancer of this tier has to reduce its concurrency. In deeper tiers the first
    /// tier bounds what comes, and a waiting request holds a slot there.
    pub(super) fn update(&mut self, tier: usize) -> bool {
        let is_congested = tier == 0 && self.level > CONGESTION_THRESHOLD;
        self.has_occurred |= is_congested;
        is_congested
    }
}
