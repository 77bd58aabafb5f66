//! A request as it is forwarded to upstreams.

use crate::body::Upload;
use crate::shutdown_deadline::ShutdownDeadline;
use crate::socket::PeerHandle;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request as each attempt forwards it, except for the header with the time left.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The client's body.
    pub upload: Rc<Upload>,
    /// The client's connection.
    pub client: PeerHandle,
    /// How long the client waits after it has sent its last byte.
    pub timeout: Duration,
    /// The request ends by then in any case.
    pub shutdown_deadline: ShutdownDeadline,
}

impl ForwardedRequest {
    /// When the client gives up, unless it sends more of its body.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.shutdown_deadline
            .limit(self.upload.last_progress() + self.timeout)
    }
}
