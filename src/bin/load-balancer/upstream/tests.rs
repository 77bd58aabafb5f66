//! Unit tests of the connection pool.

use super::pool::MAX_IDLE_PER_UPSTREAM;
use super::*;
use crate::body::MemoryBudget;
use crate::metrics::Metrics;
use crate::socket::{AdminEndpoint, DescriptorBudget};
use load_balancer::UpstreamId;
use tokio::net::TcpListener;

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
            MemoryBudget::new(32 << 20),
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
