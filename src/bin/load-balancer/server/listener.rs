//! A listening socket that keeps connections when the calls that prepare them fail for a moment.

use crate::socket::system_errors::{is_transient, retry_transient_errors};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// The number of connections that the kernel queues while the process is busy.
const LISTEN_BACKLOG: i32 = 4096;
/// The delay before registering a connection with the event loop is retried. The first retry
/// follows at once.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Registering is retried this often, so that the connections behind it wait for 0.4 s at most.
const MAX_REGISTER_RETRIES: usize = 40;

/// Whether other processes may listen on the same port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// None may.
    Exclusive,
    /// Those that share it as well may, so that a new process can replace an old one.
    Shared,
}

/// A listening socket.
///
/// Tokio's listener registers each connection with the event loop within accept, and closes those
/// for which that fails. This one watches only the listening socket, for which tokio's stream
/// type has to serve, and hands out connections that are not registered.
pub struct Listener(TcpStream);

impl Listener {
    /// Listens on an address, also on one that a process held which was killed before. A
    /// transient failure of one call is retried by itself, without repeating the calls before it.
    ///
    /// # Errors
    ///
    /// Those of the system: the address is in use or not one of this machine, or a failure lasts.
    pub fn bind(address: SocketAddr, sharing: PortSharing) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let share = sharing == PortSharing::Shared;
        let socket =
            retry_transient_errors(|| Socket::new(domain, Type::STREAM, Some(Protocol::TCP)))?;
        retry_transient_errors(|| socket.set_nonblocking(true))?;
        retry_transient_errors(|| socket.set_reuse_address(true))?;
        retry_transient_errors(|| socket.set_reuse_port(share))?;
        retry_transient_errors(|| socket.bind(&address.into()))?;
        retry_transient_errors(|| socket.listen(LISTEN_BACKLOG))?;
        let registered =
            retry_transient_errors(|| TcpStream::from_std(socket.try_clone()?.into()))?;
        Ok(Listener(registered))
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// Those of getsockname(2).
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next connection. Cancel safe: no connection is lost if it is dropped.
    ///
    /// # Errors
    ///
    /// Those of accept(2).
    pub async fn accept(&self) -> io::Result<PendingConnection> {
        loop {
            self.0.readable().await?;
            match self.0.try_io(Interest::READABLE, || self.accept_now()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// The next connection in the kernel's queue. Asks the kernel, as the event loop may not know
    /// of it yet.
    ///
    /// # Errors
    ///
    /// Those of accept(2); `WouldBlock` if the queue is empty.
    pub fn accept_now(&self) -> io::Result<PendingConnection> {
        let (stream, _) = SockRef::from(&self.0).accept()?;
        Ok(PendingConnection(stream.into()))
    }
}

/// A connection that has been accepted, and is not registered with the event loop yet.
pub struct PendingConnection(net::TcpStream);

impl PendingConnection {
    /// Registers the connection with the event loop. Tokio closes the socket if that fails, so a
    /// second descriptor, if there is one to be had, keeps the connection open for a retry.
    ///
    /// # Errors
    ///
    /// Those of epoll_ctl(2) that last.
    pub async fn register(self) -> io::Result<TcpStream> {
        let mut stream = self.0;
        stream.set_nonblocking(true)?;
        let mut retries = 0;
        loop {
            let duplicate = stream.try_clone();
            match (TcpStream::from_std(stream), duplicate) {
                (Err(error), Ok(duplicate))
                    if is_transient(&error) && retries < MAX_REGISTER_RETRIES =>
                {
                    stream = duplicate;
                }
                (result, _) => return result,
            }
            if retries == 0 {
                yield_now().await;
            } else {
                sleep(REGISTER_RETRY_INTERVAL).await;
            }
            retries += 1;
        }
    }
}
