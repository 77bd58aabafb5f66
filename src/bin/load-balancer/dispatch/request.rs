//! What the dispatcher accepts, and what it answers.

use crate::upstream::{ForwardedRequest, UpstreamResponse};
use thiserror::Error;

/// A request that has come in.
pub struct AcceptedRequest {
    /// The id that its client gave it, which no other request has.
    pub client_request_id: String,
    /// Index into the request classes.
    pub class: usize,
    /// Index into the tenants; their number for one that the settings don't name.
    pub tenant: usize,
    /// Expected work, in seconds on a standard core.
    pub cost_hint: Option<f64>,
    /// The request as it is forwarded.
    pub forward: ForwardedRequest,
}

/// Why a request is not accepted.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RejectionReason {
    /// As many requests are open as the settings allow.
    #[error("too many requests are open")]
    TooManyOpen,
    /// A recent request has the same id and may still run, so the two would run beside each other.
    #[error("a recent request has the same id")]
    DuplicateId,
}

/// The final answer to a request.
pub enum FinalResponse {
    /// The response of an upstream.
    Served(UpstreamResponse),
    /// The request never ran or is idempotent, so the client may retry it.
    Rejected {
        /// How long the client should wait before a retry, in seconds.
        retry_after: Option<f64>,
    },
    /// The request may have run.
    Failed,
}
