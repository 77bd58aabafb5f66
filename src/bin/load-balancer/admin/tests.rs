//! Unit tests of the paths and methods of the admin endpoint.

use super::*;
use hyper::Method;
use load_balancer::Maintenance;

#[test]
fn paths_are_parsed_into_admin_requests() {
    let upstream = "s-1";
    for (path, method, request) in [
        ("/healthcheck", Method::GET, AdminRequest::Health),
        ("/stats", Method::GET, AdminRequest::Metrics),
        (
            "/healthcheck/fail",
            Method::POST,
            AdminRequest::DrainClients(ClientDrain::Begin),
        ),
        (
            "/healthcheck/ok",
            Method::POST,
            AdminRequest::DrainClients(ClientDrain::End),
        ),
        (
            "/upstreams/s-1/maint",
            Method::POST,
            AdminRequest::SetMaintenance {
                upstream,
                change: Maintenance::Begin,
            },
        ),
        (
            "/upstreams/s-1/ready",
            Method::POST,
            AdminRequest::SetMaintenance {
                upstream,
                change: Maintenance::End,
            },
        ),
    ] {
        assert_eq!(request.method(), method, "{path}");
        assert_eq!(AdminRequest::from_path(path), Some(request), "{path}");
    }
    for path in [
        "/",
        "stats",
        "/stats/",
        "/upstreams/s-1",
        "/upstreams//x",
        "/upstreams/a/b/maint",
    ] {
        assert_eq!(AdminRequest::from_path(path), None, "{path}");
    }
}
