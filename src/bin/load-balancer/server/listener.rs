//! A listening socket whose connections outlast a passing failure of the calls that make them ready for use.

use crate::socket::system_errors::{is_transient, retry_transient_errors};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Connections that the kernel takes for us while the loop is busy.
const LISTEN_BACKLOG: i32 = 4096;
/// A connection that can't be watched for events is tried again at once, then this much later,
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// and so often: the others behind it wait for no longer than 0.4 s.
const MAX_REGISTER_RETRIES: usize = 40;

/// A listening socket. The runtime's own type for it would register each connection within accept, and close those for
/// which that fails; this one only has its readiness watched, in the type that allows that.
pub struct Listener(TcpStream);

impl Listener {
    /// Listens; an address that a killed predecessor held can be taken at once, and one that is `shared` beside a process
    /// that shares it as well. A passing failure of each call is waited out by itself. Guards against two that fail in
    /// turn.
    ///
    /// # Errors
    ///
    /// Those of the system: the address is taken or not of this machine, or the failure lasts.
    pub fn bind(address: SocketAddr, shared: bool) -> io::Result<Self> {
        let domain = Domain::for_address(address);
        let socket =
            retry_transient_errors(|| Socket::new(domain, Type::STREAM, Some(Protocol::TCP)))?;
        retry_transient_errors(|| socket.set_nonblocking(true))?;
        retry_transient_errors(|| socket.set_reuse_address(true))?;
        retry_transient_errors(|| socket.set_reuse_port(shared))?;
        retry_transient_errors(|| socket.bind(&address.into()))?;
        retry_transient_errors(|| socket.listen(LISTEN_BACKLOG))?;
        let watched = retry_transient_errors(|| TcpStream::from_std(socket.try_clone()?.into()))?;
        Ok(Listener(watched))
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// Those of getsockname(2).
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// The next connection, once there is one; dropped before that, it has taken none.
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

    /// The next connection if the kernel holds one now, asked of the kernel: the event loop may know less.
    ///
    /// # Errors
    ///
    /// As above; `WouldBlock` if there is none.
    pub fn accept_now(&self) -> io::Result<PendingConnection> {
        let (stream, _) = SockRef::from(&self.0).accept()?;
        Ok(PendingConnection(stream.into()))
    }
}

/// A connection that has been taken, and can't be waited on yet.
pub struct PendingConnection(net::TcpStream);

impl PendingConnection {
    /// Has the runtime watch it. Guards against a connection that is closed, as the runtime does, because the call for
    /// that fails for a moment: a second descriptor keeps it, if there is room for one.
    ///
    /// # Errors
    ///
    /// Those of epoll_ctl(2), if it goes on failing.
    pub async fn register(self) -> io::Result<TcpStream> {
        let mut stream = self.0;
        stream.set_nonblocking(true)?;
        let mut tries = 0;
        loop {
            let spare = stream.try_clone();
            match (TcpStream::from_std(stream), spare) {
                (Err(error), Ok(spare)) if is_transient(&error) && tries < MAX_REGISTER_RETRIES => {
                    stream = spare
                }
                (result, _) => return result,
            }
            match tries {
                0 => yield_now().await,
                _ => sleep(REGISTER_RETRY_INTERVAL).await,
            }
            tries += 1;
        }
    }
}
