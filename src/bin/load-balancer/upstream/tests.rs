//! Unit tests of the connection pool, and a request for other unit tests.

use super::pool::MAX_IDLE_PER_UPSTREAM;
use super::*;
use crate::body::{MemoryBudget, Upload};
use crate::memory::MemoryLimit;
use crate::metrics::Metrics;
use crate::socket::{AdminEndpoint, DescriptorBudget, PeerHandle, RequestArrival};
use hyper::{HeaderMap, Method, Uri};
use load_balancer::UpstreamId;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

impl ForwardedRequest {
    /// Returns a request without a body, sent now by no client.
    pub fn without_client(timeout: Duration) -> Self {
        let client = PeerHandle::default();
        let arrival = RequestArrival::new(client.clone(), None);
        ForwardedRequest {
            method: Method::GET,
            uri: Uri::from_static("/call"),
            headers: HeaderMap::new(),
            upload: Rc::new(Upload::empty(arrival)),
            client,
            timeout,
            shutdown_deadline: Default::default(),
        }
    }
}

/// An upstream accepts a limited number of connections from all balancers together. Without a limit
/// per upstream, idle connections could use them up.
#[test]
fn idle_connections_per_upstream_are_limited() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("no runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        let address = listener.local_addr().expect("listener has no address");
        let budget = DescriptorBudget::new(256, AdminEndpoint::Absent);
        let classes = ["read".to_string()];
        let pool = ConnectionPool::new(
            budget.clone(),
            Metrics::new(&classes),
            MemoryBudget::new(32 << 20, MemoryLimit::new(1 << 40)),
            1.0,
            60.0,
        );
        let upstream = UpstreamId::from_name("u0");
        pool.allow_pooling(upstream, address);
        let mut peers = Vec::new();
        for _ in 0..3 * MAX_IDLE_PER_UPSTREAM {
            let socket = pool.connect(address).await.expect("not connected");
            peers.push(listener.accept().await.expect("no connection accepted"));
            pool.put(upstream, address, socket);
        }
        assert_eq!(
            pool.upstreams.borrow()[&upstream].idle.len(),
            MAX_IDLE_PER_UPSTREAM
        );
        let used_before = budget.in_use();
        pool.remove(upstream);
        assert_eq!(
            used_before - budget.in_use(),
            MAX_IDLE_PER_UPSTREAM,
            "descriptors freed by the removal; the other connections should have been closed before"
        );
    });
}
