//! Unit tests of the descriptor budget and of blocked writes.

use super::descriptor_budget::{RESERVED_FOR_ADMIN, RESERVED_FOR_DISCOVERY};
use super::*;
use hyper::rt::Write;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

impl Socket {
    /// Returns a connection on loopback and its peer.
    pub async fn with_peer() -> (Self, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        let address = listener.local_addr().expect("listener has no address");
        let permit = DescriptorBudget::new(64, AdminEndpoint::Absent)
            .acquire(Purpose::Upstream)
            .expect("no free descriptor");
        let socket = Socket::connect(address, permit, Duration::from_secs(60))
            .await
            .expect("not connected");
        let (peer, _) = listener.accept().await.expect("no connection accepted");
        (socket, peer)
    }

    /// Sets the size of the kernel's send buffer, of which the kernel uses twice as much.
    pub fn set_send_buffer_bytes(&self, bytes: usize) {
        socket2::SockRef::from(&self.0.stream)
            .set_send_buffer_size(bytes)
            .expect("the send buffer can't be set");
    }
}

/// Clients must not use up the descriptors that upstreams need, and neither clients nor upstreams
/// may use those that are reserved for discovery and the admin endpoint.
#[test]
fn descriptor_quotas_prevent_starvation() {
    let budget = DescriptorBudget::new(256, AdminEndpoint::Present);
    let acquire_all = |purpose| std::iter::from_fn(|| budget.acquire(purpose)).collect::<Vec<_>>();
    let clients = acquire_all(Purpose::ClientConnection);
    let upstreams = acquire_all(Purpose::Upstream);
    assert!(
        upstreams.len() > 256 / 3 && clients.len() > 256 / 3,
        "descriptors out of 256: {} for clients, {} for upstreams",
        clients.len(),
        upstreams.len()
    );
    assert!(budget.acquire(Purpose::ClientConnection).is_none());
    assert!(
        !acquire_all(Purpose::Rejection).is_empty() && budget.acquire(Purpose::Discovery).is_some()
    );
    assert_eq!(acquire_all(Purpose::Admin).len(), RESERVED_FOR_ADMIN);
    assert!(
        budget.in_use() > 200,
        "expected more than 200 descriptors in use, got {}",
        budget.in_use()
    );
    // During an upgrade a second process gets half of the descriptors. A watch must not have to
    // wait until clients have closed enough connections.
    budget.set_limit(128);
    assert_eq!(
        acquire_all(Purpose::Discovery).len(),
        RESERVED_FOR_DISCOVERY
    );
    drop((clients, upstreams));
    let (clients, upstreams) = (
        acquire_all(Purpose::ClientConnection),
        acquire_all(Purpose::Upstream),
    );
    assert!(
        clients.len() > 30 && upstreams.len() > 30 && budget.in_use() <= 128,
        "descriptors out of 128: {} for clients, {} for upstreams, {} in use",
        clients.len(),
        upstreams.len(),
        budget.in_use()
    );
    drop(clients);
    assert!(!acquire_all(Purpose::Upstream).is_empty());
}

/// A connection must not be treated as idle, and evicted, while a part of the response is still to
/// be written.
#[test]
fn write_stays_blocked_until_peer_reads_pending_output() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("no runtime");
    runtime.block_on(async {
        let (mut socket, peer) = Socket::with_peer().await;
        let bytes = [0; 1 << 16];
        let mut is_write_pending =
            |cx: &mut Context<'_>| Pin::new(&mut socket).poll_write(cx, &bytes).is_pending();
        std::future::poll_fn(|cx| {
            while !is_write_pending(cx) {}
            Poll::Ready(())
        })
        .await;
        assert!(socket.is_write_blocked());
        let mut buffer = vec![0; 1 << 20];
        while socket.is_write_blocked() {
            peer.readable().await.expect("connection failed");
            let _ = peer.try_read(&mut buffer);
            tokio::task::yield_now().await;
            std::future::poll_fn(|cx| {
                Poll::Ready(Pin::new(&mut socket).poll_write(cx, &[0]).is_ready())
            })
            .await;
        }
    });
}
