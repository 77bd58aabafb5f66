//! The folder with the handover socket and the state file of a balancer.

use crate::retry::RetrySchedule;
use crate::socket::system_errors::is_transient;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};

/// Prefix of the file names. Versions up to 47c951f look for files with the same prefix, so it must
/// not change.
const FILE_NAME_PREFIX: &str = "magpiechute";

/// Extension of the file with the id of the process that claims request ids at its successor.
const CLAIMS_EXTENSION: &str = "claims";

/// Schedule by which a connect to the handover socket or a read of the state file is retried after
/// a transient error.
pub const FOLDER_RETRY_SCHEDULE: RetrySchedule = RetrySchedule {
    interval: Duration::from_millis(20),
    timeout: Duration::from_secs(1),
};

/// The folder `$TMPDIR` and the balancer's listening address, which is part of the file names.
pub struct HandoverFolder {
    /// `None` if `$TMPDIR` is not set: no state is stored and no peer process is found.
    path: Option<PathBuf>,
    address: Cell<SocketAddr>,
}

impl HandoverFolder {
    /// Creates a handle to the folder at `path` for the balancer that listens on `address`.
    pub fn new(path: Option<PathBuf>, address: SocketAddr) -> Self {
        HandoverFolder {
            path,
            address: Cell::new(address),
        }
    }

    /// Returns the address on which the balancer listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets the address on which the balancer listens for clients. The configured port may be 0,
    /// in which case the kernel chooses the port when the listener is bound.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Returns the path of the state file, or `None` without a folder.
    pub fn state_file(&self) -> Option<PathBuf> {
        self.file("state")
    }

    /// Returns the path of the socket on which a process waits for its successor, or `None` without
    /// a folder.
    pub fn socket(&self) -> Option<PathBuf> {
        self.file("sock")
    }

    /// Declares that this process claims the ids of requests at its successor. Without the file, a
    /// successor takes this process for one of an earlier version.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn declare_claims(&self) -> io::Result<()> {
        self.file(CLAIMS_EXTENSION).map_or(Ok(()), |path| {
            std::fs::write(path, process::id().to_string())
        })
    }

    /// Returns whether the process with this id claims the ids of requests at its successor.
    pub fn has_declared_claims(&self, process_id: i32) -> bool {
        let declared = self
            .file(CLAIMS_EXTENSION)
            .and_then(|path| std::fs::read_to_string(path).ok());
        declared.is_some_and(|id| id == process_id.to_string())
    }

    fn file(&self, extension: &str) -> Option<PathBuf> {
        let folder = self.path.as_ref()?;
        Some(folder.join(format!("{FILE_NAME_PREFIX}-{}.{extension}", self.address())))
    }
}

/// Connects to the predecessor that listens on `socket`. Retries after transient errors, as
/// scheduled by [`FOLDER_RETRY_SCHEDULE`]. Returns `None` if no connection is established.
pub async fn connect_to_predecessor(socket: &Path) -> Option<UnixStream> {
    let should_retry = |result: &io::Result<UnixStream>| result.as_ref().is_err_and(is_transient);
    let connect = || UnixStream::connect(socket);
    FOLDER_RETRY_SCHEDULE.run(should_retry, connect).await.ok()
}

/// Listens for a successor on `socket`. The new socket file atomically replaces the predecessor's,
/// so that a process that starts at the same time finds either of them.
///
/// # Errors
///
/// Returns the error of socket(2), bind(2) or listen(2), or of the rename to `socket`.
pub fn listen_for_successor(socket: &Path) -> io::Result<UnixListener> {
    let temporary = socket.with_extension(process::id().to_string());
    // A file with this name can only be left over from a dead process with the same process id.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, socket)?;
    Ok(listener)
}
