//! Admission of client connections: evicts idle connections to stay within the descriptor budget.

use crate::memory::MemoryPressure;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::connection_table::EvictionPurpose;
use crate::server::Server;
use crate::socket::{DescriptorPermit, Purpose};
use tokio::task::yield_now;

/// Maximum number of times that a new connection tries to obtain a descriptor, yielding to other
/// tasks in between. Connections with unread input are not evicted, and their input may be unread
/// only because their tasks have not run yet.
const MAX_PERMIT_ATTEMPTS: usize = 16;

/// Whether a connection was accepted within or over capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The connection uses a descriptor from the budget for clients.
    WithinCapacity,
    /// The connection uses a descriptor reserved for rejections. Its request is served only if
    /// there is capacity when it arrives or eviction makes room for it. The connection closes after
    /// the response.
    OverCapacity,
}

/// Permission to serve a new connection.
pub(super) struct ConnectionPermit {
    pub(super) descriptor: DescriptorPermit,
    pub(super) admission: Admission,
}

impl Server {
    /// Closes idle connections, those to upstreams first, until the process holds at most
    /// `descriptors` descriptors or no connection can be closed.
    pub async fn evict_down_to(&self, descriptors: usize) {
        while self.resources.descriptors.in_use() > descriptors
            && (self.resources.pool.evict_oldest() || self.evict_for_descriptor().await)
        {}
    }

    /// Acquires a descriptor for a new connection, evicting an idle connection if necessary.
    /// Returns `None` if there is no descriptor even for a rejection. Never waits for a client to
    /// act: a silent client would block all connections queued after it.
    pub(super) async fn acquire_permit(&self) -> Option<ConnectionPermit> {
        let has_memory = self.make_memory_available().await;
        let admission = if has_memory {
            Admission::WithinCapacity
        } else {
            Admission::OverCapacity
        };
        if let Some(permit) = self.try_acquire_permit(admission) {
            return Some(permit);
        }
        for _ in 0..MAX_PERMIT_ATTEMPTS {
            if self.evict_for_descriptor().await {
                if let Some(permit) = self.try_acquire_permit(admission) {
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

    /// Evicts the connection of an idle or slow client if memory is short, so that a new connection
    /// takes no more. Returns false if memory is so short that the connection can only be rejected.
    async fn make_memory_available(&self) -> bool {
        match self.resources.memory_limit.check() {
            MemoryPressure::None => true,
            MemoryPressure::High => {
                self.evict_for_memory().await;
                true
            }
            MemoryPressure::Critical => self.evict_for_memory().await,
        }
    }

    async fn evict_for_descriptor(&self) -> bool {
        self.connections
            .evict_one(EvictionPurpose::Descriptor)
            .await
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

    /// Evicts idle connections to make room for a connection that was accepted over capacity and
    /// has sent a request, because a client with a request has priority over clients without.
    /// Returns whether there is capacity now.
    pub(super) async fn wait_for_capacity(&self, client: &ClientConnection) -> bool {
        // Excludes this connection from eviction.
        client.enter(Phase::AwaitingCapacity);
        while self.resources.descriptors.is_rejection_reserve_in_use() {
            if !self.evict_for_descriptor().await {
                return false;
            }
        }
        true
    }
}
