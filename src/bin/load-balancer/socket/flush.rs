//! Waits until everything that hyper has buffered for a connection has been passed to the kernel.
//!
//! Hyper flushes a connection whenever its write buffer has become empty.

use super::Socket;
use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Counts the flushes of a connection, and wakes the task that waits for one.
#[derive(Debug, Default)]
pub(super) struct FlushCounter {
    count: Cell<u64>,
    waiting: RefCell<Option<Waker>>,
}

impl FlushCounter {
    /// Records that hyper's write buffer is empty.
    pub(super) fn record_flush(&self) {
        self.count.set(self.count.get() + 1);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }
}

/// The next flush of a connection after the creation of this value. One task can wait for the next
/// flush of a connection: the task that writes to it.
#[derive(Debug)]
pub struct NextFlush {
    socket: Socket,
    count_before: u64,
}

impl NextFlush {
    /// Returns whether the connection has been flushed.
    #[must_use]
    pub fn has_happened(&self) -> bool {
        self.socket.0.flushes.count.get() > self.count_before
    }

    /// Waits until the connection has been flushed.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_happened() {
            return Poll::Ready(());
        }
        let flushes = &self.socket.0.flushes;
        flushes.waiting.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl Socket {
    /// Returns the next flush: when it has happened, the kernel has accepted all bytes that were
    /// handed to hyper before this call.
    #[must_use]
    pub fn next_flush(&self) -> NextFlush {
        NextFlush {
            socket: self.clone(),
            count_before: self.0.flushes.count.get(),
        }
    }
}
