//! What the server does while the process is short of memory: it closes the connections of clients
//! that are idle or send slowly, and rejects requests if that is not enough.

use crate::log;
use crate::memory::MemoryPressure;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::connection_table::EvictionPurpose;
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Minimum time between two passes over the connections.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two log lines about a shortage.
const SHORTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Server {
    /// Closes connections of idle and slow clients whenever the process is short of memory, until
    /// the future is dropped.
    pub async fn reclaim_memory(self: Rc<Self>) {
        let mut logged_at: Option<Instant> = None;
        loop {
            self.resources.memory_limit.shortage().await;
            if logged_at.is_none_or(|at| at.elapsed() > SHORTAGE_LOG_INTERVAL) {
                logged_at = Some(Instant::now());
                self.log_shortage();
            }
            while self.resources.memory_limit.pressure() >= MemoryPressure::High
                && self.evict_for_memory().await
            {}
            sleep(RECLAIM_INTERVAL).await;
        }
    }

    fn log_shortage(&self) {
        let limit = &self.resources.memory_limit;
        log::line(format!(
            "memory short: {} of {} bytes allocated, {} client connections; closing idle and slow \
             ones",
            limit.heap_bytes(),
            limit.heap_limit_bytes(),
            self.connections.len()
        ));
    }

    /// Returns whether the process has memory for another request. If it has not, closes
    /// connections of idle and slow clients other than `client` first.
    pub(super) async fn wait_for_memory(&self, client: &ClientConnection) -> bool {
        let limit = &self.resources.memory_limit;
        if limit.check() < MemoryPressure::Critical {
            return true;
        }
        // Excludes this connection from eviction.
        client.enter(Phase::AwaitingCapacity);
        while limit.pressure() == MemoryPressure::Critical {
            if !self.evict_for_memory().await {
                return false;
            }
        }
        true
    }

    /// Closes the connection of a client that is idle or sends slowly. Returns false if there is
    /// none.
    pub(super) async fn evict_for_memory(&self) -> bool {
        self.connections.evict_one(EvictionPurpose::Memory).await
    }
}
