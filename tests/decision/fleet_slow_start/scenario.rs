//! The scenario of a simulation.

use super::faults::Fault;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub balancers: usize,
    pub upstreams: usize,
    /// Mean request rate outside the burst, as a share of the capacity of all upstreams.
    pub load: f64,
    pub fault: Fault,
    pub seed: u64,
}
