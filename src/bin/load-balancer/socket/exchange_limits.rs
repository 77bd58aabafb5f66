//! What an exchange with an upstream requires of its socket.

use super::{PeerHandle, Socket};
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// The limits of one exchange after another; on a socket without exchanges they limit nothing.
/// All byte positions are counted from the start of the connection.
#[derive(Debug)]
pub(super) struct ExchangeLimits {
    /// The exchange has not written its first byte.
    awaits_first_write: Cell<bool>,
    /// The connection on which the client waits for the response.
    client: RefCell<PeerHandle>,
    /// Input beyond this position fails the connection.
    max_received: Cell<usize>,
    /// Position behind the last byte of the request; `usize::MAX` while it is not known.
    request_end: Cell<usize>,
    /// Counts the attempt once its request is written completely.
    completion: RefCell<Option<Rc<Metrics>>>,
}

impl ExchangeLimits {
    pub(super) fn none() -> Self {
        ExchangeLimits {
            awaits_first_write: Cell::new(false),
            client: RefCell::default(),
            max_received: Cell::new(usize::MAX),
            request_end: Cell::new(usize::MAX),
            completion: RefCell::default(),
        }
    }

    /// Forgets the previous exchange.
    pub(super) fn begin(&self, client: PeerHandle, max_received: usize) {
        self.awaits_first_write.set(true);
        *self.client.borrow_mut() = client;
        self.request_end.set(usize::MAX);
        self.set_max_received(max_received);
        *self.completion.borrow_mut() = None;
    }

    pub(super) fn set_max_received(&self, position: usize) {
        self.max_received.set(position);
    }

    /// The request ends at this position.
    pub(super) fn set_request_end(&self, position: usize, metrics: Rc<Metrics>) {
        self.request_end.set(position);
        *self.completion.borrow_mut() = Some(metrics);
    }

    /// Counts the attempt when everything up to the request's end has been written.
    pub(super) fn record_sent(&self, position: usize) {
        let is_complete = position >= self.request_end.get();
        if let Some(metrics) = self.completion.borrow_mut().take_if(|_| is_complete) {
            metrics.count_attempt();
        }
    }

    /// Fails if more has been received than the exchange allows, such as an endless response.
    pub(super) fn check_received(&self, position: usize) -> io::Result<()> {
        if position > self.max_received.get() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Fails if the next `length` bytes must not be written.
    ///
    /// The first write needs an idle connection: one that the upstream has closed would lose the
    /// request, and late bytes of the previous exchange would be taken for the response. The first
    /// and the last write need a client that still waits, as the upstream may start on either.
    pub(super) fn check_write(&self, socket: &Socket, length: usize) -> io::Result<()> {
        let is_first = self.awaits_first_write.replace(false);
        if is_first && !socket.is_open_and_idle() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let is_last = socket.written().saturating_add(length) >= self.request_end.get();
        if (is_first || is_last) && self.client.borrow().is_disconnected() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}
