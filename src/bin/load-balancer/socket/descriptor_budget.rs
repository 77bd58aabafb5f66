//! Divides the file descriptors of the process among the purposes that sockets are used for.

use super::read_ahead::ReadAheadUsage;
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors reserved for what is not counted individually: standard streams, the event loop,
/// listeners and signals.
const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for clients whose requests are rejected.
const RESERVED_FOR_REJECTIONS: usize = 8;
/// Descriptors reserved for discovery: all concurrent watches, and one more while a new watch
/// replaces another.
pub(super) const RESERVED_FOR_DISCOVERY: usize = 5;
/// Descriptors reserved for the admin endpoint, if there is one.
pub(super) const RESERVED_FOR_ADMIN: usize = 12;
/// Share of the unreserved descriptors that clients can't use, so that they remain for upstreams.
const UPSTREAM_DESCRIPTOR_SHARE: f64 = 0.4;

/// The purpose of a socket, which decides the quota that its descriptor counts towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A connection to an upstream.
    Upstream,
    /// A client's connection within the clients' quota.
    ClientConnection,
    /// A client's connection beyond the clients' quota. Its request is rejected unless capacity has
    /// become available.
    Rejection,
    /// A connection to discovery.
    Discovery,
    /// A connection to the admin endpoint.
    Admin,
}

/// Whether the process has an admin endpoint, so that descriptors are reserved for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminEndpoint {
    /// The process has an admin endpoint.
    Present,
    /// The process has no admin endpoint.
    Absent,
}

/// Counts the open sockets against the descriptor limit of the process.
///
/// Each purpose except [`Purpose::Upstream`] has its own quota. If clients could use every
/// descriptor, none would be left for the connections to upstreams that their requests need.
#[derive(Debug)]
pub struct DescriptorBudget {
    /// Number of open connections of clients, including those beyond the clients' quota.
    clients: Cell<usize>,
    upstreams: Cell<usize>,
    discovery: Cell<usize>,
    admin: Cell<usize>,
    /// Maximum number of descriptors that clients and upstreams may use together.
    shared_limit: Cell<usize>,
    /// Maximum number of descriptors that clients may use, without those reserved for rejections.
    client_limit: Cell<usize>,
    admin_limit: usize,
    read_ahead_usage: Rc<ReadAheadUsage>,
}

impl DescriptorBudget {
    /// Creates a budget of `descriptors` descriptors, including the reserved ones.
    #[must_use]
    pub fn new(descriptors: usize, admin: AdminEndpoint) -> Rc<Self> {
        let budget = DescriptorBudget {
            clients: Cell::new(0),
            upstreams: Cell::new(0),
            discovery: Cell::new(0),
            admin: Cell::new(0),
            shared_limit: Cell::new(0),
            client_limit: Cell::new(0),
            admin_limit: match admin {
                AdminEndpoint::Present => RESERVED_FOR_ADMIN,
                AdminEndpoint::Absent => 0,
            },
            read_ahead_usage: Rc::default(),
        };
        budget.set_limit(descriptors);
        Rc::new(budget)
    }

    /// Changes the descriptor limit of the process. Sockets beyond the new limit stay open.
    pub fn set_limit(&self, descriptors: usize) {
        let shared_limit = descriptors.saturating_sub(self.reserved());
        let unreserved = shared_limit.saturating_sub(RESERVED_FOR_REJECTIONS) as f64;
        self.shared_limit.set(shared_limit);
        self.client_limit
            .set((unreserved * (1.0 - UPSTREAM_DESCRIPTOR_SHARE)) as usize);
    }

    /// Returns the number of descriptors in use, counting those reserved for the process, discovery
    /// and the admin endpoint as used.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.clients_and_upstreams() + self.reserved()
    }

    /// Returns the number of descriptors that neither clients nor upstreams can use.
    fn reserved(&self) -> usize {
        RESERVED_FOR_PROCESS + RESERVED_FOR_DISCOVERY + self.admin_limit
    }

    /// Returns the number of open connections of clients and to upstreams.
    fn clients_and_upstreams(&self) -> usize {
        self.clients.get() + self.upstreams.get()
    }

    /// Reserves one descriptor. Returns `None` if none is available for `purpose`.
    #[must_use]
    pub fn acquire(self: &Rc<Self>, purpose: Purpose) -> Option<DescriptorPermit> {
        if !self.is_available(purpose) {
            return None;
        }
        let count = self.count(purpose);
        count.set(count.get() + 1);
        Some(DescriptorPermit {
            budget: self.clone(),
            purpose,
        })
    }

    fn is_available(&self, purpose: Purpose) -> bool {
        let (clients, open) = (self.clients.get(), self.clients_and_upstreams());
        let (client_limit, shared_limit) = (self.client_limit.get(), self.shared_limit.get());
        match purpose {
            Purpose::Upstream => open + RESERVED_FOR_REJECTIONS < shared_limit,
            Purpose::ClientConnection => {
                clients < client_limit && open + RESERVED_FOR_REJECTIONS < shared_limit
            }
            Purpose::Rejection => {
                clients < client_limit + RESERVED_FOR_REJECTIONS && open < shared_limit
            }
            // Discovery and the admin endpoint don't depend on the shared limit: after this limit
            // has been lowered, clients and upstreams may exceed it until enough of their
            // connections are closed.
            Purpose::Discovery => self.discovery.get() < RESERVED_FOR_DISCOVERY,
            Purpose::Admin => self.admin.get() < self.admin_limit,
        }
    }

    /// Returns whether descriptors reserved for rejections are in use: clients exceed their quota,
    /// or clients and upstreams together exceed the shared limit minus the reserve.
    #[must_use]
    pub fn is_rejection_reserve_in_use(&self) -> bool {
        self.clients.get() > self.client_limit.get()
            || self.clients_and_upstreams() + RESERVED_FOR_REJECTIONS > self.shared_limit.get()
    }

    /// Returns the counter of open sockets for `purpose`.
    fn count(&self, purpose: Purpose) -> &Cell<usize> {
        match purpose {
            Purpose::ClientConnection | Purpose::Rejection => &self.clients,
            Purpose::Upstream => &self.upstreams,
            Purpose::Discovery => &self.discovery,
            Purpose::Admin => &self.admin,
        }
    }
}

/// A permit to use one descriptor. Dropping the permit returns the descriptor to the budget.
#[derive(Debug)]
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    purpose: Purpose,
}

impl DescriptorPermit {
    /// Returns the counter of bytes that all connections under the same budget have read ahead.
    pub(super) fn read_ahead_usage(&self) -> Rc<ReadAheadUsage> {
        self.budget.read_ahead_usage.clone()
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let count = self.budget.count(self.purpose);
        count.set(count.get() - 1);
    }
}
