//! What the parts of the process share: its descriptors, its memory, the pooled connections and
//! the metrics.

use crate::body::MemoryBudget;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::socket::{AdminEndpoint, DescriptorBudget};
use crate::upstream::ConnectionPool;
use std::rc::Rc;

/// The shared resources of a process. Clones share them.
#[derive(Clone)]
pub struct Resources {
    /// The process's descriptors.
    pub descriptors: Rc<DescriptorBudget>,
    /// The memory for what is read ahead of bodies.
    pub memory: Rc<MemoryBudget>,
    /// Where the outcomes of requests and the attempts are counted.
    pub metrics: Rc<Metrics>,
    /// The idle connections to upstreams.
    pub pool: Rc<ConnectionPool>,
}

impl Resources {
    /// The resources of a process with this configuration, none of them in use.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let admin = match config.admin {
            Some(_) => AdminEndpoint::Present,
            None => AdminEndpoint::Absent,
        };
        let descriptors = DescriptorBudget::new(config.max_descriptors, admin);
        let memory = MemoryBudget::new(config.memory_bytes);
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
            memory,
            metrics,
            pool,
        }
    }
}
