//! Exponential moving averages.

/// Weight of one sample.
pub(super) const SMOOTHING: f64 = 0.1;
/// Weight of one sample in an average that changes within hundreds of samples.
pub(super) const SLOW_SMOOTHING: f64 = SMOOTHING * SMOOTHING;

/// Moves an average towards a sample of this weight.
pub(super) fn add_sample(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// The weight of the last of this many samples. The first ones make a plain mean, as there is
/// nothing before them.
pub(super) fn weight_after(samples: f64) -> f64 {
    SMOOTHING.max(1.0 / samples)
}
