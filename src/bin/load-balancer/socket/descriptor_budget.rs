//! The process's descriptors, divided among the purposes that sockets serve.

use super::read_ahead::ReadAheadUsage;
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are not counted one by one: standard streams, event loop, listeners, signals.
const RESERVED_FOR_PROCESS: usize = 16;
/// Descriptors reserved for clients whose requests are rejected.
const RESERVED_FOR_REJECTIONS: usize = 8;
/// Descriptors reserved for discovery: the watches that are followed at a time, and one that
/// replaces another.
pub(super) const RESERVED_FOR_DISCOVERY: usize = 5;
/// Descriptors reserved for the admin endpoint, if there is one.
pub(super) const RESERVED_FOR_ADMIN: usize = 12;
/// Share of the remaining descriptors that clients can't use.
const UPSTREAM_DESCRIPTOR_SHARE: f64 = 0.4;

/// What a socket is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A connection to an upstream.
    Upstream,
    /// A client's connection.
    ClientConnection,
    /// A client's connection beyond the clients' quota, accepted only to reject its request.
    Rejection,
    /// A connection to discovery.
    Discovery,
    /// A connection to the admin endpoint.
    Admin,
}

/// Whether the process has an admin endpoint, so that descriptors are reserved for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminEndpoint {
    /// It has one.
    Present,
    /// It has none.
    Absent,
}

/// Counts the open sockets against the process's limit of descriptors.
///
/// Each purpose has a quota of its own: if clients could use every descriptor, none would be left
/// for the upstreams that their requests need.
#[derive(Debug)]
pub struct DescriptorBudget {
    /// Open connections of clients, including those that are to be rejected.
    clients: Cell<usize>,
    upstreams: Cell<usize>,
    discovery: Cell<usize>,
    admin: Cell<usize>,
    /// Descriptors for clients and upstreams together.
    shared_limit: Cell<usize>,
    client_limit: Cell<usize>,
    admin_limit: usize,
    read_ahead_usage: Rc<ReadAheadUsage>,
}

impl DescriptorBudget {
    /// A budget of this many descriptors.
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

    /// Changes the process's limit. Sockets that are open beyond the new limit stay open.
    pub fn set_limit(&self, descriptors: usize) {
        let shared_limit = descriptors.saturating_sub(self.reserved());
        let unreserved = shared_limit.saturating_sub(RESERVED_FOR_REJECTIONS) as f64;
        self.shared_limit.set(shared_limit);
        self.client_limit
            .set((unreserved * (1.0 - UPSTREAM_DESCRIPTOR_SHARE)) as usize);
    }

    /// Descriptors in use, with all reserved ones counted as used.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.clients_and_upstreams() + self.reserved()
    }

    /// Descriptors that neither clients nor upstreams can have.
    fn reserved(&self) -> usize {
        RESERVED_FOR_PROCESS + RESERVED_FOR_DISCOVERY + self.admin_limit
    }

    fn clients_and_upstreams(&self) -> usize {
        self.clients.get() + self.upstreams.get()
    }

    /// Reserves one descriptor, if the purpose's quota allows it.
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
            // Independent of the shared limit, which clients and upstreams exceed for a while
            // after it has been lowered.
            Purpose::Discovery => self.discovery.get() < RESERVED_FOR_DISCOVERY,
            Purpose::Admin => self.admin.get() < self.admin_limit,
        }
    }

    /// True while clients hold more than their quota, that is, while some use descriptors that are
    /// reserved for rejections.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.clients.get() > self.client_limit.get()
            || self.clients_and_upstreams() + RESERVED_FOR_REJECTIONS > self.shared_limit.get()
    }

    fn count(&self, purpose: Purpose) -> &Cell<usize> {
        match purpose {
            Purpose::ClientConnection | Purpose::Rejection => &self.clients,
            Purpose::Upstream => &self.upstreams,
            Purpose::Discovery => &self.discovery,
            Purpose::Admin => &self.admin,
        }
    }
}

/// One reserved descriptor; released when dropped.
#[derive(Debug)]
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    purpose: Purpose,
}

impl DescriptorPermit {
    /// True for a connection that a client opened to send requests.
    pub(super) fn is_for_client(&self) -> bool {
        matches!(self.purpose, Purpose::ClientConnection | Purpose::Rejection)
    }

    /// The bytes that all connections under the same budget have read ahead.
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
