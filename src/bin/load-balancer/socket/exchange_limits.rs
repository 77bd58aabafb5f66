//! The limits that an exchange with an upstream sets on reads and writes of its socket.

use super::{PeerHandle, Socket};
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// The limits of the current exchange on a connection. Without an exchange, as on a client's
/// connection, nothing is limited. Byte positions are counted from the start of the connection.
#[derive(Debug)]
pub(super) struct ExchangeLimits {
    /// Whether the exchange has not yet tried to write its first bytes.
    awaits_first_write: Cell<bool>,
    /// The connection on which the client waits for the response.
    client: RefCell<PeerHandle>,
    /// Position up to which input may be received; reading beyond it fails.
    max_received: Cell<usize>,
    /// Lower bound of the position after the last byte of the request; `usize::MAX` while it is
    /// unknown.
    request_end: Cell<usize>,
    /// The metrics that count the attempt once its request is written up to `request_end`. `None`
    /// while that position is unknown, and after the attempt has been counted.
    attempt_metrics: RefCell<Option<Rc<Metrics>>>,
}

impl ExchangeLimits {
    /// Returns limits that allow every read and write.
    pub(super) fn none() -> Self {
        ExchangeLimits {
            awaits_first_write: Cell::new(false),
            client: RefCell::default(),
            max_received: Cell::new(usize::MAX),
            request_end: Cell::new(usize::MAX),
            attempt_metrics: RefCell::default(),
        }
    }

    /// Replaces the limits of the previous exchange with those of a new one.
    pub(super) fn begin(&self, client: PeerHandle, max_received: usize) {
        self.awaits_first_write.set(true);
        *self.client.borrow_mut() = client;
        self.request_end.set(usize::MAX);
        self.set_max_received(max_received);
        *self.attempt_metrics.borrow_mut() = None;
    }

    pub(super) fn set_max_received(&self, position: usize) {
        self.max_received.set(position);
    }

    /// Sets the lower bound of the position after the last byte of the request, and the metrics
    /// that count the attempt.
    pub(super) fn set_request_end(&self, position: usize, metrics: Rc<Metrics>) {
        self.request_end.set(position);
        *self.attempt_metrics.borrow_mut() = Some(metrics);
    }

    /// Counts the attempt, once, if `position`, the number of bytes written, has reached
    /// `request_end`.
    pub(super) fn record_sent(&self, position: usize) {
        let is_complete = position >= self.request_end.get();
        if let Some(metrics) = self.attempt_metrics.borrow_mut().take_if(|_| is_complete) {
            metrics.count_attempt();
        }
    }

    /// Returns an error if more bytes have been received than the exchange allows, for example
    /// because the response is endless.
    pub(super) fn check_received(&self, position: usize) -> io::Result<()> {
        if position > self.max_received.get() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Returns an error if the next `length` bytes must not be written.
    ///
    /// The first write requires an open and idle connection. On a connection that the upstream has
    /// closed, the request would be lost. On one with unread bytes of the previous exchange, these
    /// would be read as the response. The first write and a write that may complete the request
    /// require that the client is still connected: an attempt begins with the first byte of its
    /// request, the upstream starts work only after the last byte, and neither must happen for a
    /// client that has disconnected.
    pub(super) fn check_write(&self, socket: &Socket, length: usize) -> io::Result<()> {
        let is_first = self.awaits_first_write.replace(false);
        if is_first && !socket.is_open_and_idle() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let is_last = socket.bytes_written().saturating_add(length) >= self.request_end.get();
        if (is_first || is_last) && self.client.borrow().is_disconnected() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}
