//! The latest input of a client's connection.

use std::cell::{Cell, Ref, RefCell};
use tokio::time::Instant;

/// Bytes of the latest input that are stored; a request's head usually fits.
const MAX_RECENT_BYTES: usize = 8 << 10;

/// Input of a client's connection; empty on connections of other kinds.
#[derive(Debug)]
pub(super) struct ClientInput {
    recent_bytes: RefCell<Vec<u8>>,
    /// False on connections that are not a client's.
    records_bytes: bool,
    /// When the first byte was read since the connection was last idle.
    request_started_at: Cell<Option<Instant>>,
}

impl ClientInput {
    pub(super) fn new(records_bytes: bool) -> Self {
        ClientInput {
            recent_bytes: RefCell::default(),
            records_bytes,
            request_started_at: Cell::new(None),
        }
    }

    /// Input has been read, or the end of it if `count` is 0.
    pub(super) fn record_read(&self, count: usize) {
        if count > 0 && self.request_started_at.get().is_none() {
            self.request_started_at.set(Some(Instant::now()));
        }
    }

    /// Appends to the recent bytes, and drops the oldest ones beyond the limit.
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

    pub(super) fn request_started_at(&self) -> Option<Instant> {
        self.request_started_at.get()
    }

    pub(super) fn mark_idle(&self) {
        self.request_started_at.set(None);
    }
}
