//! A request as it is forwarded to upstreams.

use crate::body::Upload;
use crate::socket::PeerHandle;
use hyper::{HeaderMap, Method, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request as each attempt forwards it, but for the header with the time left.
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
    /// Set while the process drains: the request ends by then in any case.
    pub drain_deadline: Rc<Cell<Option<Instant>>>,
}

impl ForwardedRequest {
    /// When the client gives up, unless it sends more of its body.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let deadline = self.upload.last_progress() + self.timeout;
        self.drain_deadline
            .get()
            .map_or(deadline, |drain| deadline.min(drain))
    }
}
