//! Exponential moving averages.

/// Weight of a sample in a moving average.
pub(super) const SMOOTHING: f64 = 0.1;
/// Weight of a sample in a moving average that changes within hundreds of samples.
pub(super) const SLOW_SMOOTHING: f64 = SMOOTHING * SMOOTHING;

/// Adds a sample of this weight to a moving average.
pub(super) fn add_sample(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// Returns the weight of the last of `samples` samples. The average of the first samples is their
/// plain mean, because there is no earlier average.
pub(super) fn weight_after(samples: f64) -> f64 {
    SMOOTHING.max(1.0 / samples)
}
