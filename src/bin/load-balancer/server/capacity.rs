//! Admission of client connections: keeps them within the descriptor budget by evicting idle
//! ones.

use crate::server::connection::{ClientConnection, Phase};
use crate::server::Server;
use crate::socket::{DescriptorPermit, Purpose};
use tokio::task::yield_now;

/// Without any free descriptor, a new connection yields to the other tasks this many times. What
/// was sent on other connections may be unread only because their tasks haven't run yet.
const MAX_PERMIT_ATTEMPTS: usize = 16;

/// How a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Its descriptor is one of those meant for clients.
    WithinCapacity,
    /// Its descriptor is one of those reserved for rejections. Its request is served only if
    /// there is capacity by then, and the connection closes after it.
    OverCapacity,
}

impl Server {
    /// Closes idle connections, those to upstreams first, until the process holds no more than
    /// this many descriptors or there is nothing left to close.
    pub async fn evict_down_to(&self, descriptors: usize) {
        let pool = self.dispatcher.borrow().pool().clone();
        while self.budget.in_use() > descriptors
            && (pool.evict_oldest() || self.connections.evict_one().await)
        {}
    }

    /// Takes a descriptor from the budget for a new connection, evicting an idle one if
    /// necessary; `None` if not even a rejection can be sent. Never waits for a client, as silent
    /// clients would then block all connections behind them.
    pub(super) async fn acquire_permit(&self) -> Option<(DescriptorPermit, Admission)> {
        if let Some(permit) = self.budget.acquire(Purpose::ClientConnection) {
            return Some((permit, Admission::WithinCapacity));
        }
        for _ in 0..MAX_PERMIT_ATTEMPTS {
            if self.connections.evict_one().await {
                if let Some(permit) = self.budget.acquire(Purpose::ClientConnection) {
                    return Some((permit, Admission::WithinCapacity));
                }
            }
            if let Some(permit) = self.budget.acquire(Purpose::Rejection) {
                return Some((permit, Admission::OverCapacity));
            }
            yield_now().await;
        }
        None
    }

    /// Evicts idle connections for one that was accepted over capacity and has sent a request;
    /// true if there is capacity for it now. A client with a request goes before those without.
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
