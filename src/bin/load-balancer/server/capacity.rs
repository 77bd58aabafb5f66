//! Makes room for connections within the descriptor budget.

use crate::server::connection::{ClientConnection, Phase};
use crate::server::Server;

impl Server {
    /// Closes idle connections, those to upstreams first, until the process holds no more than this
    /// many descriptors or there is nothing left to close.
    pub async fn evict_down_to(&self, descriptors: usize) {
        let pool = self.dispatcher.borrow().pool().clone();
        while self.budget.in_use() > descriptors
            && (pool.evict_oldest() || self.connections.evict_one().await)
        {}
    }

    /// Evicts idle connections for one that was accepted over capacity and has sent a request. True
    /// if there is capacity for it now.
    pub(super) async fn wait_for_capacity(&self, client: &ClientConnection) -> bool {
        // Keeps the connection itself from being evicted.
        client.enter(Phase::AwaitingCapacity);
        while self.budget.is_exceeded() {
            if !self.connections.evict_one().await {
                return false;
            }
        }
        true
    }
}
