//! Addresses at which connections are refused, or not accepted.

use super::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// An address that never lets a connection come up: its queue of connections is full and nobody takes them.
pub fn unreachable() -> SocketAddr {
    let Door {
        address,
        listener,
        waiting,
    } = Door::shut();
    std::mem::forget((listener, waiting));
    address
}

/// True while somebody waits for a connection to this address to come up.
pub fn is_awaited(address: SocketAddr) -> bool {
    ends()
        .iter()
        .any(|end| end.there == address.port() && end.state == "02")
}

/// The same, until it is opened.
pub struct Door {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What keeps others out.
    pub waiting: Vec<TcpStream>,
}

impl Door {
    pub fn shut() -> Self {
        let (listener, address, waiting) = shut();
        Door {
            address,
            listener,
            waiting,
        }
    }

    /// An upstream that takes what waits, but for those that kept others out.
    pub fn open(self, reply: Reply) -> Upstream {
        drop(self.waiting);
        Upstream::on(self.listener, reply)
    }
}

/// An address that refuses connections, and that nobody else can take.
pub struct Refusing {
    pub address: SocketAddr,
    socket: Socket,
}

impl Refusing {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Refusing { address, socket }
    }

    /// From now on discovery is there.
    pub fn discovery(self) -> DiscoveryPeer {
        self.socket.listen(128).unwrap();
        DiscoveryPeer::on(self.socket.into())
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
