//! Buffers bytes of a client that are read from the kernel before the server reads them.
//!
//! A client's close is received only after all bytes that the client sent before. While the server
//! doesn't read a connection, these bytes are moved to a buffer, so that the close is detected.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of bytes that one connection may buffer. It leaves room for many pipelined
/// requests, because requests beyond the limit are lost.
const MAX_READ_AHEAD_BYTES: usize = 512 << 10;
/// Maximum number of bytes that one connection may buffer while all connections together buffer
/// [`READ_AHEAD_PRESSURE_BYTES`] or more.
const MAX_READ_AHEAD_BYTES_UNDER_PRESSURE: usize = 16 << 10;
/// Once all connections together buffer this many bytes, the lower limit applies to each of them.
const READ_AHEAD_PRESSURE_BYTES: usize = 2 << 20;
/// A buffer grows by at least this number of bytes, or by its size divided by [`GROWTH_DIVISOR`],
/// so that little of what is allocated is unused.
const MIN_GROWTH_BYTES: usize = 4 << 10;
const GROWTH_DIVISOR: usize = 8;

/// The number of bytes that all connections together have read ahead and still buffer.
#[derive(Debug, Default)]
pub(in crate::socket) struct ReadAheadUsage(Cell<usize>);

impl ReadAheadUsage {
    fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }

    fn subtract(&self, bytes: usize) {
        self.0.set(self.0.get() - bytes);
    }

    /// Returns how many bytes one connection may buffer now.
    fn connection_limit(&self) -> usize {
        if self.0.get() < READ_AHEAD_PRESSURE_BYTES {
            MAX_READ_AHEAD_BYTES
        } else {
            MAX_READ_AHEAD_BYTES_UNDER_PRESSURE
        }
    }
}

/// The read-ahead buffer of one connection. Its bytes precede those that are still in the kernel.
#[derive(Debug)]
pub(in crate::socket) struct ReadAheadBuffer {
    bytes: RefCell<VecDeque<u8>>,
    /// Whether bytes were dropped because the limit was reached. The input then ends after the
    /// buffered bytes.
    is_truncated: Cell<bool>,
    /// Whether input may be read ahead, which is so while the server doesn't read the connection.
    is_enabled: Cell<bool>,
    usage: Rc<ReadAheadUsage>,
}

impl ReadAheadBuffer {
    pub(in crate::socket) fn new(usage: Rc<ReadAheadUsage>) -> Self {
        ReadAheadBuffer {
            bytes: RefCell::default(),
            is_truncated: Cell::new(false),
            is_enabled: Cell::new(false),
            usage,
        }
    }

    pub(in crate::socket) fn set_enabled(&self, enabled: bool) {
        self.is_enabled.set(enabled);
    }

    pub(in crate::socket) fn is_enabled(&self) -> bool {
        self.is_enabled.get()
    }

    pub(in crate::socket) fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Appends input. Bytes beyond the limit are dropped, and so is all input after them.
    pub(in crate::socket) fn append(&self, input: &[u8]) {
        let mut bytes = self.bytes.borrow_mut();
        let free = if self.is_truncated.get() {
            0
        } else {
            self.usage.connection_limit().saturating_sub(bytes.len())
        };
        let accepted = input.len().min(free);
        if bytes.capacity() - bytes.len() < accepted {
            let growth = MIN_GROWTH_BYTES.max(bytes.len() / GROWTH_DIVISOR);
            bytes.reserve_exact(accepted.max(growth));
        }
        bytes.extend(&input[..accepted]);
        self.usage.add(accepted);
        if accepted < input.len() {
            self.is_truncated.set(true);
        }
    }

    /// Drops the buffered bytes, and all input from now on.
    pub(in crate::socket) fn discard(&self) {
        let bytes = self.bytes.take();
        self.usage.subtract(bytes.len());
        self.is_truncated.set(true);
    }

    /// Moves buffered bytes to `target` and returns how many. Once the buffer is empty, returns 0
    /// (the end of input) if input was dropped, or `None` if input is to be read from the kernel.
    pub(in crate::socket) fn take(&self, target: &mut [u8]) -> Option<usize> {
        let mut bytes = self.bytes.borrow_mut();
        if bytes.is_empty() {
            return self.is_truncated.get().then_some(0);
        }
        let count = bytes.len().min(target.len());
        self.usage.subtract(count);
        for (to, from) in target.iter_mut().zip(bytes.drain(..count)) {
            *to = from;
        }
        if bytes.is_empty() {
            // Releases the memory, as the connection may stay idle for long.
            *bytes = VecDeque::new();
        }
        Some(count)
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.usage.subtract(self.bytes.borrow().len());
    }
}

#[cfg(test)]
mod tests;
