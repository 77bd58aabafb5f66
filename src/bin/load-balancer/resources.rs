//! The resources that the parts of the process share: descriptors, memory, pooled connections and
//! metrics.

use crate::body::MemoryBudget;
use crate::config::Config;
use crate::handover::RequestIdClaims;
use crate::memory::MemoryLimit;
use crate::metrics::Metrics;
use crate::socket::{AdminEndpoint, DescriptorBudget};
use crate::upstream::ConnectionPool;
use std::rc::Rc;

/// The shared resources of a process. Clones refer to the same resources.
#[derive(Clone)]
pub struct Resources {
    /// The budget of file descriptors of the process.
    pub descriptors: Rc<DescriptorBudget>,
    /// The limit on the memory of the process.
    pub memory_limit: Rc<MemoryLimit>,
    /// The budget of memory for the read-ahead of bodies.
    pub memory: Rc<MemoryBudget>,
    /// The claims of request ids at the other process of an upgrade.
    pub request_id_claims: Rc<RequestIdClaims>,
    /// Counters of request outcomes and of attempts.
    pub metrics: Rc<Metrics>,
    /// The idle connections to upstreams.
    pub pool: Rc<ConnectionPool>,
}

impl Resources {
    /// Creates the resources of a process with this configuration. None are in use at first.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let admin = match config.admin {
            Some(_) => AdminEndpoint::Present,
            None => AdminEndpoint::Absent,
        };
        let descriptors = DescriptorBudget::new(config.max_descriptors, admin);
        let memory_limit = MemoryLimit::new(config.memory_bytes);
        let memory = MemoryBudget::new(config.memory_bytes, memory_limit.clone());
        let metrics = Metrics::new(&config.names.classes);
        let limits = &config.settings.limits;
        let pool = Rc::new(ConnectionPool::new(
            descriptors.clone(),
            metrics.clone(),
            memory.clone(),
            limits.connect_timeout,
            limits.connection_idle_timeout,
        ));
        Resources {
            descriptors,
            memory_limit,
            memory,
            request_id_claims: Rc::default(),
            metrics,
            pool,
        }
    }
}
