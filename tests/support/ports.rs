//! Addresses at which connections are refused, or not accepted.

use super::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An address where no connection is established: the backlog of its listener is full, and nothing
/// accepts from it until the process ends.
pub fn unreachable_address() -> SocketAddr {
    let BlockedPort {
        address,
        listener,
        waiting,
    } = BlockedPort::new();
    std::mem::forget((listener, waiting));
    address
}

/// An address that refuses connections, and that nothing else can bind until the process ends.
pub fn refusing_address() -> SocketAddr {
    let RefusingPort { address, socket } = RefusingPort::new();
    std::mem::forget(socket);
    address
}

/// True while a connection to this address is being established.
pub fn has_pending_connect(address: SocketAddr) -> bool {
    tcp_endpoints()
        .iter()
        .any(|endpoint| endpoint.remote_port == address.port() && endpoint.state == SYN_SENT)
}

/// An address where no connection is established until it is opened.
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

    /// Starts an upstream that accepts the pending connections, but for those that filled the
    /// backlog.
    pub fn open(self, response: StubResponse) -> StubUpstream {
        drop(self.waiting);
        StubUpstream::on(self.listener, response)
    }
}

/// An address that refuses connections, and that nothing else can bind.
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

    /// Starts a discovery service at this address.
    pub fn start_discovery(self) -> StubDiscovery {
        self.socket.listen(128).unwrap();
        StubDiscovery::on(self.socket.into())
    }
}

/// A listener whose backlog is full, its address, and the connections that fill the backlog.
fn listen_with_full_backlog() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let timeout = Duration::from_millis(200);
    let waiting =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, timeout).ok()).collect();
    (socket.into(), address, waiting)
}
