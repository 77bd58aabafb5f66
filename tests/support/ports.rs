//! Addresses that refuse connections, or that leave connection attempts pending.

use super::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns an address where connection attempts stay pending until the test process ends: the
/// backlog of its listener is full, and no connection is accepted from it.
pub fn unreachable_address() -> SocketAddr {
    let BlockedPort {
        address,
        listener,
        waiting,
    } = BlockedPort::new();
    std::mem::forget((listener, waiting));
    address
}

/// Returns an address that refuses connections. It stays bound until the test process ends, so
/// that no other process can use it.
pub fn refusing_address() -> SocketAddr {
    let RefusingPort { address, socket } = RefusingPort::new();
    std::mem::forget(socket);
    address
}

/// Keeps a port, on which a program listens, from being given to another process once the program
/// has ended. Until the test process ends, only programs that share their port can listen on it.
pub fn keep_port(address: SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_port(true).unwrap();
    let bound = socket.bind(&address.into());
    bound.expect("the program does not share its port");
    std::mem::forget(socket);
}

/// Returns whether a connection attempt to this address is waiting for the answer to its SYN.
pub fn has_pending_connect(address: SocketAddr) -> bool {
    tcp_endpoints()
        .iter()
        .any(|endpoint| endpoint.remote_port == address.port() && endpoint.state == SYN_SENT)
}

/// An address where connection attempts stay pending until `open` is called: the backlog of its
/// listener is full.
pub struct BlockedPort {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the listener's backlog.
    pub waiting: Vec<TcpStream>,
}

impl BlockedPort {
    pub fn new() -> Self {
        let (listener, address, waiting) = listen_with_full_backlog();
        BlockedPort {
            address,
            listener,
            waiting,
        }
    }

    /// Closes the connections that fill the backlog, and starts an upstream that accepts the
    /// pending connections. The upstream also accepts and counts the closed connections, which are
    /// still in the backlog.
    pub fn open(self, response: StubResponse) -> StubUpstream {
        drop(self.waiting);
        StubUpstream::with_listener(self.listener, response)
    }
}

/// An address that refuses connections. It stays bound, so that no other process can use it.
pub struct RefusingPort {
    pub address: SocketAddr,
    socket: Socket,
}

impl RefusingPort {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        RefusingPort { address, socket }
    }

    /// Starts a discovery service that listens at this address.
    pub fn start_discovery(self) -> StubDiscovery {
        self.socket.listen(128).unwrap();
        StubDiscovery::with_listener(self.socket.into())
    }
}

/// Returns a listener whose backlog is full, its address, and the connections that fill it.
fn listen_with_full_backlog() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let connect_timeout = Duration::from_millis(200);
    let waiting =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    (socket.into(), address, waiting)
}
