//! A listening socket that loses no connections when system calls fail transiently.

use crate::socket::enable_receive_timestamps;
use crate::socket::system_errors::{is_transient, retry_transient_errors};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Maximum number of connections that the kernel queues while the process is busy.
const LISTEN_BACKLOG: i32 = 4096;
/// Delay before registering a connection with the event loop is retried. The first retry is
/// immediate.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of retries to register a connection, so that the connections queued after it wait
/// at most 0.4 s.
const MAX_REGISTER_RETRIES: usize = 40;

/// Whether other processes may listen on the same port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may listen on the port.
    Exclusive,
    /// Other processes that also enable sharing may listen on the port, so that a new process can
    /// replace an old one.
    Shared,
}

/// A listening socket.
///
/// Tokio's `TcpListener` registers each connection with the event loop during accept, and closes
/// the connection if that fails. This type registers only the listening socket, wrapped in tokio's
/// `TcpStream`, and returns connections that are not registered yet.
pub struct Listener(TcpStream);

impl Listener {
    /// Listens on an address, even one that was in use by a process that has been killed. A call
    /// that fails transiently is retried individually, without repeating the calls before it.
    ///
    /// # Errors
    ///
    /// Returns an error of the system if the address is in use or doesn't belong to this machine,
    /// or if a failure persists.
    pub fn bind(address: SocketAddr, sharing: PortSharing) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let is_shared = sharing == PortSharing::Shared;
        let socket =
            retry_transient_errors(|| Socket::new(domain, Type::STREAM, Some(Protocol::TCP)))?;
        retry_transient_errors(|| socket.set_nonblocking(true))?;
        retry_transient_errors(|| socket.set_reuse_address(true))?;
        retry_transient_errors(|| socket.set_reuse_port(is_shared))?;
        // Without timestamps, the time of a read is taken for that of the arrival.
        let _ = retry_transient_errors(|| enable_receive_timestamps(&socket));
        retry_transient_errors(|| socket.bind(&address.into()))?;
        retry_transient_errors(|| socket.listen(LISTEN_BACKLOG))?;
        let registered =
            retry_transient_errors(|| TcpStream::from_std(socket.try_clone()?.into()))?;
        Ok(Listener(registered))
    }

    /// Returns the address on which the socket listens.
    ///
    /// # Errors
    ///
    /// Returns any error of getsockname(2).
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next connection. Cancel safe: dropping the future loses no connection.
    ///
    /// # Errors
    ///
    /// Returns any error of accept(2).
    pub async fn accept(&self) -> io::Result<PendingConnection> {
        loop {
            self.0.readable().await?;
            match self.0.try_io(Interest::READABLE, || self.try_accept()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Accepts the next connection in the kernel's queue without waiting. Queries the kernel, as
    /// the event loop may not have seen the connection yet.
    ///
    /// # Errors
    ///
    /// Returns any error of accept(2), including `WouldBlock` if the queue is empty.
    pub fn try_accept(&self) -> io::Result<PendingConnection> {
        let (stream, _) = SockRef::from(&self.0).accept()?;
        Ok(PendingConnection(stream.into()))
    }
}

/// An accepted connection that is not registered with the event loop yet.
pub struct PendingConnection(net::TcpStream);

impl PendingConnection {
    /// Registers the connection with the event loop. Tokio closes the socket if registration fails,
    /// so a duplicate descriptor, if one is free, keeps the connection open for a retry.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be made non-blocking, or if its registration by
    /// epoll_ctl(2) fails and can't be retried any more.
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
