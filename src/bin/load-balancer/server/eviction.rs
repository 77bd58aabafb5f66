//! The order in which client connections are evicted when descriptors run short.

use crate::server::connection::{ClientConnection, Phase, RequestHistory};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that awaits a further request for this long is evicted first.
const LONG_IDLE_AGE: Duration = Duration::from_secs(2);
/// A client sends its first request together with the connection, so that one which has sent
/// nothing for this long may never do so.
const UNUSED_AGE: Duration = Duration::from_millis(30);
/// Clients rarely take longer than this to send a request, or to follow up a response with the
/// next one.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(500);

/// Why a connection may be evicted, the reasons that cost a client least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionReason {
    /// It only lingers, or has awaited a further request for [`LONG_IDLE_AGE`].
    LongIdle,
    /// It has sent nothing but health checks, and nothing for [`UNUSED_AGE`].
    Unused,
    /// Its request takes longer than [`SLOW_REQUEST_AGE`] to arrive.
    SlowRequest,
    /// It has awaited a further request for [`SLOW_REQUEST_AGE`].
    Idle,
    /// It has carried no valid request, and none is arriving.
    NoValidRequest,
    /// Its first request is arriving. Connections on which a further one is arriving are spared.
    FirstRequestArriving,
}

/// Orders connections for eviction: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionPriority {
    reason: EvictionReason,
    idle_since: Instant,
}

impl ClientConnection {
    /// The connection's place in the order of eviction; `None` if it is not to be evicted.
    pub(super) fn eviction_priority(&self) -> Option<EvictionPriority> {
        if self.eviction.is_pending() || self.socket.is_blocked() {
            return None;
        }
        let idle_since = self.phase().idle_since()?;
        let reason = self.eviction_reason(idle_since.elapsed())?;
        Some(EvictionPriority { reason, idle_since })
    }

    /// Why the connection may be evicted after having been idle for this long.
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
