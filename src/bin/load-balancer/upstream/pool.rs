//! Idle connections to upstreams.

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

/// Idle connections are closed this share of the idle timeout before the upstream would.
const IDLE_TIMEOUT_MARGIN_SHARE: f64 = 0.1;
/// The most idle connections to one upstream, which limits the connections of all balancers
/// together.
pub(super) const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Longest timeouts in effect, in seconds.
const MAX_CONNECT_TIMEOUT_SECONDS: f64 = 60.0;
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

/// The address of a listed upstream, and the idle connections to it, the latest one last.
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
    /// A pool with timeouts in seconds: for a connect, and after which upstreams close idle
    /// connections. Bodies of responses are read ahead within `memory`.
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

    /// Pools idle connections to this upstream from now on, and closes those to another address.
    pub fn allow(&self, upstream: UpstreamId, address: SocketAddr) {
        let mut upstreams = self.upstreams.borrow_mut();
        let entry = upstreams
            .entry(upstream)
            .or_insert_with(|| UpstreamConnections::new(address));
        if entry.address != address {
            *entry = UpstreamConnections::new(address);
        }
    }

    /// Closes the idle connections to this upstream, and pools no more of them.
    pub fn remove(&self, upstream: UpstreamId) {
        self.upstreams.borrow_mut().remove(&upstream);
    }

    /// Closes the idle connections to this upstream.
    pub fn close_idle(&self, upstream: UpstreamId) {
        if let Some(entry) = self.upstreams.borrow_mut().get_mut(&upstream) {
            entry.idle.clear();
        }
    }

    /// Closes all idle connections, and pools no more of them.
    pub fn close_all(&self) {
        self.upstreams.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for too long or that the upstream has closed.
    pub fn close_expired(&self) {
        for entry in self.upstreams.borrow_mut().values_mut() {
            entry.idle.retain(|idle| self.is_usable(idle));
        }
    }

    /// Closes the connection that has been idle for longest; false if there is none.
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

    /// Takes the connection that was used last, so that the others can expire.
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

    /// False if the upstream has closed the connection or is about to: a request sent on it would
    /// meet a reset, after which it is unknown whether the request has run.
    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.idle_since.elapsed() < self.idle_timeout && idle.socket.is_open_and_idle()
    }

    /// Adds an idle connection, unless its upstream has been removed or has another address.
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

    /// Opens a connection; if no descriptor is free, closes an idle connection first.
    ///
    /// # Errors
    ///
    /// [`AttemptError::NotSent`] if this process lacks descriptors or memory, which says nothing
    /// about the upstream, else [`AttemptError::ConnectFailed`].
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
