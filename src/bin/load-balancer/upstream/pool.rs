//! The pool of idle connections to upstreams.

use super::AttemptError;
use crate::body::MemoryBudget;
use crate::metrics::Metrics;
use crate::socket::system_errors::is_resource_exhaustion;
use crate::socket::{DescriptorBudget, Purpose, Socket};
use load_balancer::UpstreamId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the upstream's idle timeout by which an idle connection expires in the pool before the
/// upstream closes it.
const IDLE_TIMEOUT_MARGIN_SHARE: f64 = 0.1;
/// Maximum number of idle connections that are kept to one upstream. It keeps the idle connections
/// of all balancers together from using up the limited number that the upstream accepts.
pub(super) const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Upper bound of the configured connect timeout, in seconds.
const MAX_CONNECT_TIMEOUT_SECONDS: f64 = 60.0;
/// Upper bound of the idle timeout after the margin is subtracted, in seconds.
const MAX_IDLE_TIMEOUT_SECONDS: f64 = 3600.0;

/// Idle connections to upstreams, and the resources that all attempts share.
pub struct ConnectionPool {
    pub(super) upstreams: RefCell<HashMap<UpstreamId, UpstreamConnections>>,
    descriptors: Rc<DescriptorBudget>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) memory: Rc<MemoryBudget>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

/// The address of a listed upstream and the idle connections to it, ordered by the start of their
/// idle time with the most recent one last.
pub(super) struct UpstreamConnections {
    address: SocketAddr,
    pub(super) idle: Vec<IdleConnection>,
}

pub(super) struct IdleConnection {
    idle_since: Instant,
    socket: Socket,
}

/// A connection that has been taken from the pool.
pub(super) struct ReusedConnection {
    pub(super) socket: Socket,
    pub(super) idle_for: Duration,
}

impl UpstreamConnections {
    fn new(address: SocketAddr) -> Self {
        UpstreamConnections {
            address,
            idle: Vec::new(),
        }
    }
}

impl ConnectionPool {
    /// Creates an empty pool. `connect_timeout_seconds` limits each connect,
    /// `idle_timeout_seconds` is the time after which upstreams close idle connections, and
    /// `memory` limits the bytes of response bodies that are read ahead.
    #[must_use]
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
        connect_timeout_seconds: f64,
        idle_timeout_seconds: f64,
    ) -> Self {
        let connect_timeout = connect_timeout_seconds.min(MAX_CONNECT_TIMEOUT_SECONDS);
        let idle_timeout = idle_timeout_seconds * (1.0 - IDLE_TIMEOUT_MARGIN_SHARE);
        ConnectionPool {
            upstreams: RefCell::default(),
            descriptors,
            metrics,
            memory,
            connect_timeout: Duration::from_secs_f64(connect_timeout),
            idle_timeout: Duration::from_secs_f64(idle_timeout.min(MAX_IDLE_TIMEOUT_SECONDS)),
        }
    }

    /// Allows idle connections to `upstream` at `address` to be pooled. Closes those to a previous
    /// address of the upstream.
    pub fn allow_pooling(&self, upstream: UpstreamId, address: SocketAddr) {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams
            .entry(upstream)
            .or_insert_with(|| UpstreamConnections::new(address));
        if entry.address != address {
            *entry = UpstreamConnections::new(address);
        }
    }

    /// Closes the idle connections to `upstream`; none are pooled until [`Self::allow_pooling`] is
    /// called for it again.
    pub fn remove(&self, upstream: UpstreamId) {
        self.upstreams.borrow_mut().remove(&upstream);
    }

    /// Closes the idle connections to `upstream`.
    pub fn close_idle(&self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.borrow_mut().get_mut(&upstream) {
            entry.idle.clear();
        }
    }

    /// Closes all idle connections; none are pooled to an upstream until [`Self::allow_pooling`] is
    /// called for it again.
    pub fn close_all(&self) {
        self.upstreams.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for too long or that the upstream has closed.
    pub fn close_expired(&self) {
        for entry in self.upstreams.borrow_mut().values_mut() {
            entry.idle.retain(|idle| self.is_usable(idle));
        }
    }

    /// Closes the connection that has been idle for the longest time. Returns false if the pool has
    /// no idle connection.
    pub fn evict_oldest(&self) -> bool {
        let mut upstreams = self.upstreams.borrow_mut();
        let oldest = upstreams
            .values_mut()
            .filter(|entry| !entry.idle.is_empty())
            .min_by_key(|entry| entry.idle[0].idle_since);
        let Some(entry) = oldest else {
            return false;
        };
        entry.idle.remove(0);
        true
    }

    /// Takes the most recently used connection to `upstream`, so that the others can expire.
    /// Returns `None` if no usable connection to `address` is pooled.
    pub(super) fn take(
        &self,
        upstream: UpstreamId,
        address: SocketAddr,
    ) -> Option<ReusedConnection> {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams
            .get_mut(&upstream)
            .filter(|entry| entry.address == address)?;
        while let Some(idle) = entry.idle.pop() {
            if self.is_usable(&idle) {
                return Some(ReusedConnection {
                    idle_for: idle.idle_since.elapsed(),
                    socket: idle.socket,
                });
            }
        }
        None
    }

    /// Returns false if the upstream has closed the connection or is about to, or has sent unread
    /// bytes. A connection that the upstream closes while a request is sent could be reset, and it
    /// would be unknown whether the request has run.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.idle_since.elapsed() < self.idle_timeout && idle.socket.is_open_and_idle()
    }

    /// Adds an idle connection. Drops it instead if its upstream has been removed or has another
    /// address by now, or if the connection is not open and idle. Beyond
    /// [`MAX_IDLE_PER_UPSTREAM`], the connection that has been idle longest is closed.
    pub(super) fn put(&self, upstream: UpstreamId, address: SocketAddr, socket: Socket) {
        let mut upstreams = self.upstreams.borrow_mut();
        let Some(entry) = upstreams
            .get_mut(&upstream)
            .filter(|entry| entry.address == address && socket.is_open_and_idle())
        else {
            return;
        };
        entry.idle.push(IdleConnection {
            idle_since: Instant::now(),
            socket,
        });
        if entry.idle.len() > MAX_IDLE_PER_UPSTREAM {
            entry.idle.remove(0);
        }
    }

    /// Opens a connection to `address`. If no descriptor is free, first closes the connection that
    /// has been idle longest.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::NotSent`] if this process lacks descriptors or memory, which says
    /// nothing about the health of the upstream, and [`AttemptError::ConnectFailed`] if the connect
    /// fails for another reason or times out.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Socket, AttemptError> {
        let permit = self.descriptors.acquire(Purpose::Upstream).or_else(|| {
            self.evict_oldest();
            self.descriptors.acquire(Purpose::Upstream)
        });
        let permit = permit.ok_or(AttemptError::NotSent)?;
        Socket::connect(address, permit, self.connect_timeout)
            .await
            .map_err(|error| {
                if is_resource_exhaustion(&error) {
                    AttemptError::NotSent
                } else {
                    AttemptError::ConnectFailed
                }
            })
    }
}
