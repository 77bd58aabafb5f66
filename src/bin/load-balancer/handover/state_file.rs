//! The file in which a process leaves to the next what has to outlast it.

use crate::socket::system_errors::is_transient;
use load_balancer::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// What outlasts a process.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// Whose it is: the address where clients connect.
    pub balancer: String,
    /// Upstreams that the operators have left out.
    pub out: BTreeSet<String>,
    /// What the module has learned.
    #[serde(default)]
    pub knowledge: LearnedState,
    /// How long ago it was written, where it was read. The file's own time tells: the wall clocks that two processes
    /// read at their starts may differ.
    #[serde(skip)]
    pub age: Option<Duration>,
}

/// Why there is no state to be had.
#[derive(Debug, Error)]
pub enum StateError {
    /// The file can't be read.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, #[source] io::Error),
    /// It holds no state, or half of one.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Malformed(PathBuf, #[source] serde_json::Error),
    /// It was left by a balancer at another address.
    #[error("{path} is of the balancer at {balancer}", path = .0.display(), balancer = .1)]
    Foreign(PathBuf, String),
}

impl StateError {
    /// True if the file may be read a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, StateError::Unreadable(_, error) if is_transient(error))
    }
}

impl State {
    /// Writes it aside and puts it in its place in one step.
    ///
    /// # Errors
    ///
    /// Those of the file system.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let aside = path.with_extension("new");
        std::fs::write(&aside, serde_json::to_vec(self)?)?;
        std::fs::rename(aside, path)
    }

    /// Reads what the balancer at this address has left there.
    ///
    /// # Errors
    ///
    /// If there is no such file, it can't be read, or holds something else.
    pub fn read(path: &Path, address: SocketAddr) -> Result<Self, StateError> {
        let text =
            std::fs::read(path).map_err(|error| StateError::Unreadable(path.into(), error))?;
        let mut state: State = serde_json::from_slice(&text)
            .map_err(|error| StateError::Malformed(path.into(), error))?;
        let written = std::fs::metadata(path).and_then(|about| about.modified());
        state.age = written
            .ok()
            .and_then(|written| SystemTime::now().duration_since(written).ok());
        match state.balancer == address.to_string() {
            true => Ok(state),
            false => Err(StateError::Foreign(path.into(), state.balancer)),
        }
    }
}
