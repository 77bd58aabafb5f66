//! The order in which client connections are evicted when descriptors or memory run short.

use crate::server::connection::{ClientConnection, Phase, RequestHistory};
use crate::server::connection_table::EvictionPurpose;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that have waited this long for another request are evicted first.
const LONG_IDLE_AGE: Duration = Duration::from_secs(2);
/// Clients send their first request right after connecting, so a connection on which nothing was
/// sent for this long may stay unused.
const UNUSED_AGE: Duration = Duration::from_millis(30);
/// Clients rarely take longer than this to send a request, or to send the next request after a
/// response.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(500);

/// Why a connection may be evicted. The reasons that cost a client least come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionReason {
    /// The connection is lingering, or has waited for another request for [`LONG_IDLE_AGE`].
    LongIdle,
    /// The connection has carried no valid request, and has been idle for [`UNUSED_AGE`].
    Unused,
    /// A request has been arriving for [`SLOW_REQUEST_AGE`] and is still incomplete.
    SlowRequest,
    /// The connection has waited for another request for [`SLOW_REQUEST_AGE`].
    Idle,
    /// The connection has carried no valid request, and none is arriving.
    NoValidRequest,
    /// The first request is arriving. Connections on which a later request is arriving are evicted
    /// only as [`Self::SlowRequest`].
    FirstRequestArriving,
}

/// Sort key of the eviction order: the connection with the smallest key is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionPriority {
    reason: EvictionReason,
    idle_since: Instant,
}

impl ClientConnection {
    /// Returns the connection's position in the eviction order, or `None` if it can't be evicted.
    pub(super) fn eviction_priority(&self, purpose: EvictionPurpose) -> Option<EvictionPriority> {
        if self.eviction.is_pending() || self.socket.is_write_blocked() {
            return None;
        }
        match purpose {
            EvictionPurpose::Descriptor => self.idle_priority(),
            EvictionPurpose::Memory => self.memory_priority(),
        }
    }

    /// Returns the position in the eviction order of a client that is idle or sends slowly. A
    /// lingering connection holds little memory, and its client may still be receiving a response.
    fn memory_priority(&self) -> Option<EvictionPriority> {
        let is_closing = matches!(self.phase(), Phase::Lingering { .. });
        if is_closing || self.socket.is_input_aborted() {
            return None;
        }
        self.idle_priority()
            .filter(|priority| priority.reason <= EvictionReason::SlowRequest)
            .or_else(|| self.slow_body_priority())
    }

    fn idle_priority(&self) -> Option<EvictionPriority> {
        let idle_since = self.phase().idle_since()?;
        let reason = self.eviction_reason(idle_since.elapsed())?;
        Some(EvictionPriority { reason, idle_since })
    }

    /// Returns the position of a connection on which a body is being read ahead, if it is slow.
    fn slow_body_priority(&self) -> Option<EvictionPriority> {
        let idle_since = self.socket.request_started_at()?;
        let is_slow = idle_since.elapsed() >= SLOW_REQUEST_AGE;
        (is_slow && self.phase() == Phase::ReceivingBody).then_some(EvictionPriority {
            reason: EvictionReason::SlowRequest,
            idle_since,
        })
    }

    /// Returns why the connection may be evicted after having been idle for `idle`, if it may be.
    fn eviction_reason(&self, idle: Duration) -> Option<EvictionReason> {
        if matches!(self.phase(), Phase::Lingering { .. }) {
            return Some(EvictionReason::LongIdle);
        }
        if let Some(request_started_at) = self.socket.request_started_at() {
            return if request_started_at.elapsed() >= SLOW_REQUEST_AGE {
                Some(EvictionReason::SlowRequest)
            } else if self.history() == RequestHistory::Empty {
                Some(EvictionReason::FirstRequestArriving)
            } else {
                None
            };
        }
        match self.history() {
            RequestHistory::Empty if idle >= UNUSED_AGE => Some(EvictionReason::Unused),
            RequestHistory::Empty => Some(EvictionReason::NoValidRequest),
            _ if idle >= LONG_IDLE_AGE => Some(EvictionReason::LongIdle),
            RequestHistory::NoneValid if idle >= UNUSED_AGE => Some(EvictionReason::Unused),
            RequestHistory::SomeValid if idle >= SLOW_REQUEST_AGE => Some(EvictionReason::Idle),
            RequestHistory::NoneValid => Some(EvictionReason::NoValidRequest),
            RequestHistory::SomeValid => None,
        }
    }
}
