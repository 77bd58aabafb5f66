//! Addresses at which connections are refused, or not accepted.

use super::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An address that never lets a connection come up: its queue of connections is full and nobody takes them.
pub fn unreachable_address() -> SocketAddr {
    let BlockedPort {
        address,
        listener,
        waiting,
    } = BlockedPort::new();
    std::mem::forget((listener, waiting));
    address
}

/// An address that refuses connections until the process ends, as nobody else can take it.
pub fn refusing_address() -> SocketAddr {
    let RefusingPort { address, socket } = RefusingPort::new();
    std::mem::forget(socket);
    address
}

/// True while somebody waits for a connection to this address to come up.
pub fn has_pending_connect(address: SocketAddr) -> bool {
    tcp_endpoints()
        .iter()
        .any(|end| end.there == address.port() && end.state == "02")
}

/// The same, until it is opened.
pub struct BlockedPort {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What keeps others out.
    pub waiting: Vec<TcpStream>,
}

impl BlockedPort {
    pub fn new() -> Self {
        let (listener, address, waiting) = shut();
        BlockedPort {
            address,
            listener,
            waiting,
        }
    }

    /// An upstream that takes what waits, but for those that kept others out.
    pub fn open(self, reply: StubResponse) -> StubUpstream {
        drop(self.waiting);
        StubUpstream::on(self.listener, reply)
    }
}

/// An address that refuses connections, and that nobody else can take.
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

    /// From now on discovery is there.
    pub fn start_discovery(self) -> StubDiscovery {
        self.socket.listen(128).unwrap();
        StubDiscovery::on(self.socket.into())
    }
}

fn shut() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let wait = Duration::from_millis(200);
    let waiting = std::iter::from_fn(|| TcpStream::connect_timeout(&address, wait).ok()).collect();
    (socket.into(), address, waiting)
}
