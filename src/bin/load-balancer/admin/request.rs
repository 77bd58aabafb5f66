//! The requests that the admin endpoint accepts, by path and method.

use crate::server::ClientDrain;
use hyper::Method;
use load_balancer::Maintenance;

/// A request to the admin endpoint.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminRequest<'a> {
    /// Is this process ready to serve clients?
    Health,
    /// All figures.
    Metrics,
    /// Begin or end the draining of clients.
    DrainClients(ClientDrain),
    /// Take an upstream out of service, or put it back.
    SetMaintenance {
        /// Its name, percent-encoded.
        upstream: &'a str,
        /// What is to change.
        change: Maintenance,
    },
}

impl<'a> AdminRequest<'a> {
    /// The request at this path; `None` if there is no such path.
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

    /// The method that belongs to the request's path.
    pub fn method(&self) -> Method {
        match self {
            AdminRequest::Health | AdminRequest::Metrics => Method::GET,
            AdminRequest::DrainClients(_) | AdminRequest::SetMaintenance { .. } => Method::POST,
        }
    }
}
