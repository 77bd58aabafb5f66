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

/// The descriptor of a new connection.
pub(super) struct ConnectionPermit {
    pub(super) descriptor: DescriptorPermit,
    pub(super) admission: Admission,
}

impl Server {
    /// Closes idle connections, those to upstreams first, until the process holds no more than
    /// this many descriptors or there is nothing left to close.
    pub async fn evict_down_to(&self, descriptors: usize) {
        while self.resources.descriptors.in_use() > descriptors
            && (self.resources.pool.evict_oldest() || self.connections.evict_one().await)
        {}
    }

    /// Takes a descriptor from the budget for a new connection, evicting an idle one if
    /// necessary; `None` if not even a rejection can be sent. Never waits for a client, as silent
    /// clients would then block all connections behind them.
    pub(super) async fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if let Some(permit) = self.try_acquire_permit(Admission::WithinCapacity) {
            return Some(permit);
        }
        for _ in 0..MAX_PERMIT_ATTEMPTS {
            if self.connections.evict_one().await {
                if let Some(permit) = self.try_acquire_permit(Admission::WithinCapacity) {
                    return Some(permit);
                }
            }
            if let Some(permit) = self.try_acquire_permit(Admission::OverCapacity) {
                return Some(permit);
            }
            yield_now().await;
        }
        None
    }

    fn try_acquire_permit(&self, admission: Admission) -> Option<ConnectionPermit> {
        let purpose = match admission {
            Admission::WithinCapacity => Purpose::ClientConnection,
            Admission::OverCapacity => Purpose::Rejection,
        };
        let descriptor = self.resources.descriptors.acquire(purpose)?;
        Some(ConnectionPermit {
            descriptor,
            admission,
        })
    }

    /// Evicts idle connections for one that was accepted over capacity and has sent a request;
    /// true if there is capacity for it now. A client with a request has
    /// priority over those without.
    pub(super) async fn wait_for_capacity(&self, client: &ClientConnection) -> bool {
        // Keeps the connection itself from being evicted.
        client.enter(Phase::AwaitingCapacity);
        while self.resources.descriptors.is_exceeded() {
            if !self.connections.evict_one().await {
                return false;
            }
        }
        true
    }
}
