//! What a balancer asks its embedder to do.

use super::event::{RequestId, UpstreamId};

/// What the embedder has to do, in the order given. Durations are seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// Which request.
        id: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Its last byte has to be written within this time, or it must not go; `None`: no limit.
        write_within: Option<f64>,
    },
    /// Final response: rejected. The request never ran or is idempotent, so a retry does no harm.
    Reject {
        /// Which request.
        id: RequestId,
        /// How long the client should wait before a retry (Retry-After).
        retry_after: Option<f64>,
    },
    /// Final response: failed. The request may have run.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Close all idle connections to an upstream.
    CloseIdleConnections {
        /// Which upstream.
        upstream: UpstreamId,
    },
    /// Report `Event::TimerFired` later.
    SetTimer {
        /// After this time.
        after: f64,
        /// Comes back with the event.
        token: u64,
    },
    /// Watch or poll the endpoint list.
    WatchEndpoints,
    /// Write a line to the log.
    Log {
        /// The upstream it is about.
        upstream: Option<UpstreamId>,
        /// The line.
        text: String,
    },
}
