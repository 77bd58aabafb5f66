//! A request as it is forwarded to upstreams.

use crate::body::Upload;
use crate::shutdown_deadline::ShutdownDeadline;
use crate::socket::PeerHandle;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request as it is forwarded by each attempt, without the Request-Timeout header: its value
/// depends on the time of the attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The path and query of the client's request.
    pub uri: Uri,
    /// The headers of the client's request that are forwarded.
    pub headers: HeaderMap,
    /// The body of the client's request.
    pub upload: Rc<Upload>,
    /// The connection on which the client waits for the response.
    pub client: PeerHandle,
    /// How long the client waits after it has sent the last byte of its body.
    pub timeout: Duration,
    /// The deadline of a graceful shutdown. Once it is set, it limits the deadline of the request.
    pub shutdown_deadline: ShutdownDeadline,
}

impl ForwardedRequest {
    /// Returns when the request times out. The deadline moves when a further part of the body is
    /// read that the client has sent later.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.shutdown_deadline
            .limit(self.upload.sent_at() + self.timeout)
    }
}
