//! The state file: what a process stores for its successor.
//!
//! Versions up to 47c951f read and write the same fields, so their names on disk may not change.

use crate::socket::system_errors::is_transient;
use load_balancer::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// The contents of the file.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredState {
    /// The address on which the balancer that wrote it listens for clients.
    pub balancer: String,
    /// The upstreams that operators have taken out of service.
    #[serde(rename = "out")]
    pub upstreams_in_maintenance: BTreeSet<String>,
    /// What the decision module has learned.
    #[serde(default, rename = "knowledge")]
    pub learned_state: LearnedState,
    /// For a state that was read: the age of the file by its own time stamp, as the wall clocks
    /// that two processes read at their starts may differ.
    #[serde(skip)]
    pub age: Option<Duration>,
}

/// Why a state file could not be read or written.
#[derive(Debug, Error)]
pub enum StateError {
    /// The file is missing or can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is incomplete or no state.
    #[error("{path}: {source}", path = .path.display())]
    Malformed {
        /// Its path.
        path: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The file was written by a balancer at another address.
    #[error("{path} belongs to the balancer at {balancer}", path = .path.display())]
    WrongBalancer {
        /// Its path.
        path: PathBuf,
        /// The address of the balancer that wrote it.
        balancer: String,
    },
    /// The file can't be written.
    #[error("{path}: {source}", path = .path.display())]
    Unwritable {
        /// Its path.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
}

impl StateError {
    /// True for an error of reading that may be over a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, StateError::Unreadable { source, .. } if is_transient(source))
    }
}

impl StoredState {
    /// Replaces the file in one step, so that a reader or a kill in between finds a complete one.
    ///
    /// # Errors
    ///
    /// `Unwritable`.
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

    /// Reads the state of the balancer at this address.
    ///
    /// # Errors
    ///
    /// `Unreadable`, `Malformed` or `WrongBalancer`.
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

/// How long ago a file was written; `None` if unknown, or if the wall clock says that it was
/// written in the future.
fn file_age(path: &Path) -> Option<Duration> {
    let written_at = std::fs::metadata(path).and_then(|file| file.modified());
    SystemTime::now().duration_since(written_at.ok()?).ok()
}
