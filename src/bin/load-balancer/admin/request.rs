//! The requests that the admin endpoint accepts, by path and method.

use crate::server::ClientDrain;
use hyper::Method;
use load_balancer::Maintenance;

/// A request to the admin endpoint.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminRequest<'a> {
    /// Asks whether this process is ready to serve clients.
    Health,
    /// Asks for all metrics.
    Metrics,
    /// Begins or ends a client drain.
    DrainClients(ClientDrain),
    /// Begins or ends the maintenance of an upstream.
    SetMaintenance {
        /// The name of the upstream, percent-encoded.
        upstream: &'a str,
        /// Whether the maintenance begins or ends.
        change: Maintenance,
    },
}

impl<'a> AdminRequest<'a> {
    /// Returns the request for a path, or `None` if the path is unknown.
    pub fn from_path(path: &'a str) -> Option<Self> {
        let segments: Vec<_> = path.strip_prefix('/')?.split('/').collect();
        Some(match segments[..] {
            ["healthcheck"] => AdminRequest::Health,
            ["stats"] => AdminRequest::Metrics,
            ["healthcheck", "fail"] => AdminRequest::DrainClients(ClientDrain::Begin),
            ["healthcheck", "ok"] => AdminRequest::DrainClients(ClientDrain::End),
            ["upstreams", upstream, "maint"] => AdminRequest::SetMaintenance {
                upstream,
                change: Maintenance::Begin,
            },
            ["upstreams", upstream, "ready"] => AdminRequest::SetMaintenance {
                upstream,
                change: Maintenance::End,
            },
            _ => return None,
        })
    }

    /// Returns the only HTTP method that is accepted for this request.
    pub fn method(&self) -> Method {
        match self {
            AdminRequest::Health | AdminRequest::Metrics => Method::GET,
            AdminRequest::DrainClients(_) | AdminRequest::SetMaintenance { .. } => Method::POST,
        }
    }
}
