//! What can be asked of the admin endpoint: paths and methods.

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
    /// The request at this path, and the method that belongs to it; `None` if there is no such
    /// path.
    pub fn at_path(path: &'a str) -> Option<(Method, Self)> {
        let segments: Vec<_> = path.strip_prefix('/')?.split('/').collect();
        Some(match segments[..] {
            ["healthcheck"] => (Method::GET, AdminRequest::Health),
            ["stats"] => (Method::GET, AdminRequest::Metrics),
            ["healthcheck", "fail"] => {
                (Method::POST, AdminRequest::DrainClients(ClientDrain::Begin))
            }
            ["healthcheck", "ok"] => (Method::POST, AdminRequest::DrainClients(ClientDrain::End)),
            ["upstreams", upstream, "maint"] => {
                let change = Maintenance::Begin;
                (
                    Method::POST,
                    AdminRequest::SetMaintenance { upstream, change },
                )
            }
            ["upstreams", upstream, "ready"] => {
                let change = Maintenance::End;
                (
                    Method::POST,
                    AdminRequest::SetMaintenance { upstream, change },
                )
            }
            _ => return None,
        })
    }
}
