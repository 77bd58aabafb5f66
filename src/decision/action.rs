//! The actions that a balancer asks its embedder to carry out.

use super::event::{RequestId, UpstreamId};
use super::log_event::LogEvent;

/// An action that the embedder has to carry out, in the order given. Durations are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request to send.
        id: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// Time within which the last byte of the request has to be written; after that, the
        /// attempt must be abandoned. `None`: no limit.
        write_within: Option<f64>,
    },
    /// Send the final response: rejected. The request has never run or may run more than once, so
    /// a retry does no harm.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// How long the client should wait before a retry (Retry-After).
        retry_after: Option<f64>,
    },
    /// Send the final response: failed. The request may have run.
    Fail {
        /// The failed request.
        id: RequestId,
    },
    /// Cancel an attempt in flight. The end of the attempt still has to be reported.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt, from 0 in the order sent.
        attempt: u32,
    },
    /// Close all idle connections to an upstream.
    CloseIdleConnections {
        /// The upstream whose idle connections are closed.
        upstream: UpstreamId,
    },
    /// Report `Event::TimerFired` after a delay.
    SetTimer {
        /// The delay.
        after: f64,
        /// Token that the event has to carry.
        token: u64,
    },
    /// Watch or poll the endpoint list.
    WatchEndpoints,
    /// Write a line to the log.
    Log(LogEvent),
}
