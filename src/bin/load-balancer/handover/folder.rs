//! The folder in which the processes of one balancer find each other.

use crate::retry::RetrySchedule;
use crate::socket::system_errors::is_transient;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};

/// Names of files begin with this: versions up to 47c951f look for it.
const FILE_NAME_PREFIX: &str = "magpiechute";

/// For transient errors of the folder's files.
pub const FOLDER_RETRY_SCHEDULE: RetrySchedule = RetrySchedule {
    interval: Duration::from_millis(20),
    timeout: Duration::from_secs(1),
};

/// The folder `$TMPDIR`, and the address of the balancer, which is part of the files' names.
pub struct HandoverFolder {
    /// `None` without `$TMPDIR`: then no state is stored, and no other process is found.
    path: Option<PathBuf>,
    address: Cell<SocketAddr>,
}

impl HandoverFolder {
    /// The folder of the balancer that listens on this address.
    pub fn new(path: Option<PathBuf>, address: SocketAddr) -> Self {
        HandoverFolder {
            path,
            address: Cell::new(address),
        }
    }

    /// The address on which the balancer listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets that address, once the kernel has chosen the port.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// The path of the state file.
    pub fn state_file(&self) -> Option<PathBuf> {
        self.file("state")
    }

    /// The path of the socket on which a process awaits its successor.
    pub fn socket(&self) -> Option<PathBuf> {
        self.file("sock")
    }

    fn file(&self, extension: &str) -> Option<PathBuf> {
        let folder = self.path.as_ref()?;
        Some(folder.join(format!("{FILE_NAME_PREFIX}-{}.{extension}", self.address())))
    }
}

/// Connects to the predecessor at this socket, if there is one; transient errors are retried.
pub async fn connect_to_predecessor(socket: &Path) -> Option<UnixStream> {
    let is_transient = |result: &io::Result<UnixStream>| result.as_ref().is_err_and(is_transient);
    let connect = || UnixStream::connect(socket);
    FOLDER_RETRY_SCHEDULE.run(is_transient, connect).await.ok()
}

/// Listens for a successor at this socket. It takes the place of the predecessor's socket in one
/// step, so that a process that starts meanwhile finds one of the two.
///
/// # Errors
///
/// Those of the file system, and of socket(2) and bind(2).
pub fn listen_for_successor(socket: &Path) -> io::Result<UnixListener> {
    let temporary = socket.with_extension(std::process::id().to_string());
    // A file of this name was left by a dead process with the same id.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, socket)?;
    Ok(listener)
}
