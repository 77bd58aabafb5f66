//! The recent input of a client's connection, when it was sent, and when its current request began.

use super::arrival::ArrivalEstimator;
use std::cell::{Cell, Ref, RefCell, RefMut};
use tokio::time::Instant;

/// Maximum number of recent input bytes that are stored; the head of a request usually fits.
const MAX_RECENT_BYTES: usize = 8 << 10;

/// The recent input of a client's connection. Connections of other kinds store no bytes.
#[derive(Debug)]
pub(super) struct ClientInput {
    recent_bytes: RefCell<Vec<u8>>,
    /// Whether input is stored: true only on connections of clients.
    records_bytes: bool,
    /// When the first byte of the current request was read; `None` on an idle connection.
    request_started_at: Cell<Option<Instant>>,
    arrivals: RefCell<ArrivalEstimator>,
}

impl ClientInput {
    pub(super) fn new(records_bytes: bool) -> Self {
        ClientInput {
            recent_bytes: RefCell::default(),
            records_bytes,
            request_started_at: Cell::new(None),
            arrivals: RefCell::default(),
        }
    }

    /// Records the current time as the start of a request, unless a start is already recorded. A
    /// `count` of 0 means the end of the input and has no effect.
    pub(super) fn record_read(&self, count: usize) {
        if count > 0 && self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Appends to the recent bytes, and drops the oldest ones beyond [`MAX_RECENT_BYTES`].
    pub(super) fn record_bytes(&self, bytes: &[u8]) {
        if !self.records_bytes {
            return;
        }
        let mut recent = self.recent_bytes.borrow_mut();
        let bytes = &bytes[bytes.len().saturating_sub(MAX_RECENT_BYTES)..];
        let excess = (recent.len() + bytes.len()).saturating_sub(MAX_RECENT_BYTES);
        recent.drain(..excess);
        recent.extend_from_slice(bytes);
    }

    pub(super) fn recent_bytes(&self) -> Ref<'_, Vec<u8>> {
        self.recent_bytes.borrow()
    }

    pub(super) fn clear_recent_bytes(&self) {
        self.recent_bytes.borrow_mut().clear();
    }

    /// Returns the estimator of when the input was sent.
    pub(super) fn arrivals(&self) -> RefMut<'_, ArrivalEstimator> {
        self.arrivals.borrow_mut()
    }

    pub(super) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at.get()
    }

    /// Marks the connection as idle: the next byte read belongs to a new request.
    pub(super) fn mark_idle(&self) {
        self.request_started_at.set(None);
        self.arrivals.borrow_mut().end_request();
    }
}
