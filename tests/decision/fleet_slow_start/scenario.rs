//! What a simulation plays.

use super::faults::Fault;

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub balancers: usize,
    pub upstreams: usize,
    /// Mean traffic over the capacity of all upstreams.
    pub load: f64,
    pub fault: Fault,
    pub seed: u64,
}
