//! When the client of one request sent it.

use super::PeerHandle;
use std::cell::Cell;
use tokio::time::Instant;

/// The time at which a client sent the bytes of its request that have been read so far, or the
/// earliest possible time if it is not known exactly. The request may have been read much later.
#[derive(Debug)]
pub struct RequestArrival {
    client: PeerHandle,
    /// Offset of the request's end in the bytes received on the connection; `None` if unknown.
    end_offset: Option<usize>,
    sent_at: Cell<Instant>,
}

impl RequestArrival {
    /// Tracks the request that is being read from `client` and ends at `end_offset`, if known.
    #[must_use]
    pub fn new(client: PeerHandle, end_offset: Option<usize>) -> Self {
        RequestArrival {
            client,
            end_offset,
            sent_at: Cell::new(Instant::now()),
        }
    }

    /// Records that more of the request, or its end, has been read.
    pub fn record_progress(&self) {
        if let Some(sent_at) = self.client.sent_at(self.end_offset) {
            self.sent_at.set(sent_at);
        }
    }

    /// Returns when the client sent the last byte that was read, as of the last recorded progress.
    /// Before the first one, returns when the request began to be tracked.
    #[must_use]
    pub fn sent_at(&self) -> Instant {
        self.sent_at.get()
    }
}
