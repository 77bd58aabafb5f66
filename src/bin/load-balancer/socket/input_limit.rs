//! Refuses further input of a request that has not been accepted while the process is short of
//! memory.

use crate::memory::{MemoryLimit, MemoryPressure};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Number of bytes of a request that are read in any case. A connection has a read buffer of this
/// size from its beginning, and most requests fit in it.
const ADMITTED_BYTES: usize = 8 << 10;

/// The limit on the input of a client's connection. Connections of other kinds have none.
#[derive(Debug)]
pub(super) struct InputLimit {
    memory: Option<Rc<MemoryLimit>>,
    /// Offset in the input at which the current request begins, at the latest.
    request_offset: Cell<usize>,
    /// Whether the current request has been accepted, so that its input is not limited.
    is_accepted: Cell<bool>,
    /// Whether no more input is read, because memory is short.
    is_aborted: Cell<bool>,
}

impl InputLimit {
    pub(super) fn new(memory: Option<Rc<MemoryLimit>>) -> Self {
        InputLimit {
            memory,
            request_offset: Cell::new(0),
            is_accepted: Cell::new(false),
            is_aborted: Cell::new(false),
        }
    }

    /// Begins the next request; `bytes_read` bytes have been read on the connection.
    pub(super) fn begin_request(&self, bytes_read: usize) {
        self.request_offset.set(bytes_read);
        self.is_accepted.set(false);
    }

    /// Records that the current request has been accepted.
    pub(super) fn accept_request(&self) {
        self.is_accepted.set(true);
    }

    /// Makes all further reads fail.
    pub(super) fn abort(&self) {
        self.is_aborted.set(true);
    }

    pub(super) fn is_aborted(&self) -> bool {
        self.is_aborted.get()
    }

    /// Returns an error if no more input may be read; `bytes_read` bytes have been read on the
    /// connection.
    pub(super) fn check_read(&self, bytes_read: usize) -> io::Result<()> {
        if self.is_refused(bytes_read) {
            self.abort();
        }
        if self.is_aborted() {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    fn is_refused(&self, bytes_read: usize) -> bool {
        let Some(memory) = &self.memory else {
            return false;
        };
        let pressure = memory.check();
        pressure == MemoryPressure::Critical
            && !self.is_accepted.get()
            && bytes_read.saturating_sub(self.request_offset.get()) >= ADMITTED_BYTES
    }
}
