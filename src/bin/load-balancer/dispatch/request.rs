//! Requests that the dispatcher accepts, and their final responses.

use crate::upstream::{ForwardedRequest, UpstreamResponse};
use load_balancer::RequestId;
use thiserror::Error;
use tokio::sync::oneshot;

/// A valid client request that the dispatcher has not accepted yet.
pub struct ValidatedRequest {
    /// The id that the client gave the request. It must differ from those of recent requests.
    pub client_request_id: String,
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The index of the request's tenant in the settings, or the number of tenants in the settings
    /// if they don't name this tenant.
    pub tenant: usize,
    /// The expected work, in seconds on a standard core.
    pub cost_hint: Option<f64>,
    /// The request in the form that is sent to upstreams.
    pub forwarded_request: ForwardedRequest,
}

/// A request that the dispatcher has accepted.
pub struct DispatchedRequest {
    /// The dispatcher's id of the request.
    pub id: RequestId,
    /// Receives the final response, or an error if the client disconnects before there is one.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// Why the dispatcher does not accept a request.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum RejectionReason {
    /// The number of open requests has reached its limit.
    #[error("too many requests are open")]
    TooManyOpen,
    /// A recent request has the same id and may still be running; the two could run concurrently.
    #[error("a recent request has the same id")]
    DuplicateId,
    /// So many recent requests were sent to upstreams that no more of their ids can be retained.
    #[error("too many recent requests have ids that are retained")]
    TooManyRecent,
}

/// The final response to a request.
pub enum FinalResponse {
    /// An upstream served the request with this response.
    Served(UpstreamResponse),
    /// The request was not served. It never ran or may run more than once, so the client may retry
    /// it.
    Rejected {
        /// How long the client should wait before a retry, in seconds.
        retry_after: Option<f64>,
    },
    /// The request failed and may have run on an upstream.
    Failed,
}
