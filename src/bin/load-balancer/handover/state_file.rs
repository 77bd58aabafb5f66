//! The state file, in which a process stores maintenance and learned state for its successor.
//!
//! Versions up to 47c951f read and write the same fields, so their names in the file must not
//! change.

use crate::socket::system_errors::is_transient;
use load_balancer::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// The contents of the state file.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredState {
    /// The address on which the balancer that wrote the file listens for clients.
    pub balancer: String,
    /// Names of the upstreams in maintenance.
    #[serde(rename = "out")]
    pub upstreams_in_maintenance: BTreeSet<String>,
    /// The learned state of the decision module.
    #[serde(default, rename = "knowledge")]
    pub learned_state: LearnedState,
    /// Age of the file when it was read, if known. It is computed from the file's modification time
    /// and not from the times in the learned state: each process derives those from the wall clock
    /// at its own start, so the times of two processes may not be comparable.
    #[serde(skip)]
    pub age: Option<Duration>,
}

/// The reason why the state file could not be read or written.
#[derive(Debug, Error)]
pub enum StateError {
    /// The state file is missing or can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        /// The path of the state file.
        path: PathBuf,
        /// The file system's error.
        source: io::Error,
    },
    /// The state file is truncated or its contents are not a valid state.
    #[error("{path}: {source}", path = .path.display())]
    Malformed {
        /// The path of the state file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The state file was written by a balancer that listens on another address.
    #[error("{path} belongs to the balancer at {balancer}", path = .path.display())]
    WrongBalancer {
        /// The path of the state file.
        path: PathBuf,
        /// The address of the balancer that wrote the file.
        balancer: String,
    },
    /// The state file can't be written.
    #[error("{path}: {source}", path = .path.display())]
    Unwritable {
        /// The path of the state file.
        path: PathBuf,
        /// The file system's error.
        source: io::Error,
    },
}

impl StateError {
    /// Returns whether this is a read error that may disappear when the read is repeated.
    pub fn is_transient(&self) -> bool {
        matches!(self, StateError::Unreadable { source, .. } if is_transient(source))
    }
}

impl StoredState {
    /// Replaces the state file atomically, so that any reader finds a complete file, even if the
    /// process was killed during the write.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::Unwritable`] if the file can't be written or renamed.
    pub fn write(&self, path: &Path) -> Result<(), StateError> {
        self.replace_file(path)
            .map_err(|source| StateError::Unwritable {
                path: path.into(),
                source,
            })
    }

    fn replace_file(&self, path: &Path) -> io::Result<()> {
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, serde_json::to_vec(self)?)?;
        std::fs::rename(temporary, path)
    }

    /// Reads the state of the balancer that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::Unreadable`] if the file can't be read, [`StateError::Malformed`] if
    /// its contents are not a valid state, and [`StateError::WrongBalancer`] if a balancer at
    /// another address wrote it.
    pub fn read(path: &Path, address: SocketAddr) -> Result<Self, StateError> {
        let bytes = std::fs::read(path).map_err(|source| StateError::Unreadable {
            path: path.into(),
            source,
        })?;
        let mut state: StoredState =
            serde_json::from_slice(&bytes).map_err(|source| StateError::Malformed {
                path: path.into(),
                source,
            })?;
        state.age = file_age(path);
        if state.balancer != address.to_string() {
            return Err(StateError::WrongBalancer {
                path: path.into(),
                balancer: state.balancer,
            });
        }
        Ok(state)
    }
}

/// Returns the time since the file's last modification, or `None` if the modification time is
/// unknown or later than the wall clock's current time.
fn file_age(path: &Path) -> Option<Duration> {
    let written_at = std::fs::metadata(path).and_then(|file| file.modified());
    SystemTime::now().duration_since(written_at.ok()?).ok()
}
