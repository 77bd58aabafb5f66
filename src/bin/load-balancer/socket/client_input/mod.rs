//! The recent input of a client's connection, when it was sent, and when its current request began.

use crate::socket::arrival::ArrivalEstimator;
use std::cell::{Cell, Ref, RefCell, RefMut};
use tokio::time::Instant;

/// Maximum number of recent input bytes that are stored; the head of a request usually fits.
const MAX_RECENT_BYTES: usize = 8 << 10;

/// The recent input of a client's connection. Connections of other kinds store no bytes.
#[derive(Debug)]
pub(in crate::socket) struct ClientInput {
    recent_bytes: RefCell<Vec<u8>>,
    /// Whether input is stored: true only on connections of clients.
    records_bytes: bool,
    /// Input before this offset belongs to the body of the current request and is not stored.
    body_end_offset: Cell<usize>,
    /// When the first byte of the current request was read; `None` on an idle connection.
    request_started_at: Cell<Option<Instant>>,
    arrivals: RefCell<ArrivalEstimator>,
}

impl ClientInput {
    pub(in crate::socket) fn new(records_bytes: bool) -> Self {
        ClientInput {
            recent_bytes: RefCell::default(),
            records_bytes,
            body_end_offset: Cell::new(0),
            request_started_at: Cell::new(None),
            arrivals: RefCell::default(),
        }
    }

    /// Records the current time as the start of a request, unless a start is already recorded. A
    /// `count` of 0 means the end of the input and has no effect.
    pub(in crate::socket) fn record_read(&self, count: usize) {
        if count > 0 {
            self.record_request_start();
        }
    }

    /// Records the current time as the start of a request, unless a start is already recorded.
    pub(in crate::socket) fn record_request_start(&self) {
        if self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Appends to the recent bytes, and drops the oldest ones beyond [`MAX_RECENT_BYTES`]. The last
    /// one of `bytes` is before `end_offset` in the input.
    pub(in crate::socket) fn record_bytes(&self, bytes: &[u8], end_offset: usize) {
        if !self.records_bytes {
            return;
        }
        let stored = end_offset.saturating_sub(self.body_end_offset.get());
        let stored = stored.min(bytes.len()).min(MAX_RECENT_BYTES);
        let bytes = &bytes[bytes.len() - stored..];
        let mut recent = self.recent_bytes.borrow_mut();
        let excess = (recent.len() + bytes.len()).saturating_sub(MAX_RECENT_BYTES);
        recent.drain(..excess);
        if recent.capacity() < recent.len() + bytes.len() {
            recent.reserve_exact(bytes.len());
        }
        recent.extend_from_slice(bytes);
    }

    pub(in crate::socket) fn recent_bytes(&self) -> Ref<'_, Vec<u8>> {
        self.recent_bytes.borrow()
    }

    /// Drops the recent bytes before `body_end_offset`, the end of the current request, and stores
    /// none before it. `end_offset` is the end of the input that has been read.
    pub(in crate::socket) fn skip_until(&self, body_end_offset: usize, end_offset: usize) {
        self.body_end_offset.set(body_end_offset);
        let following = end_offset.saturating_sub(body_end_offset);
        let mut recent = self.recent_bytes.borrow_mut();
        let excess = recent.len().saturating_sub(following);
        *recent = recent.split_off(excess);
    }

    pub(in crate::socket) fn clear_recent_bytes(&self) {
        self.recent_bytes.take();
    }

    /// Returns the estimator of when the input was sent.
    pub(in crate::socket) fn arrivals(&self) -> RefMut<'_, ArrivalEstimator> {
        self.arrivals.borrow_mut()
    }

    pub(in crate::socket) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at.get()
    }

    /// Marks the connection as idle: the next byte read belongs to a new request.
    pub(in crate::socket) fn mark_idle(&self) {
        self.request_started_at.set(None);
        self.arrivals.borrow_mut().end_request();
    }
}

#[cfg(test)]
mod tests;
