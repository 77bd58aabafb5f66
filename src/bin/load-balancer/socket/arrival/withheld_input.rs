//! Input that a client's kernel may hold because the receive window was closed.

use super::Arrival;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes that a client's kernel stores for a connection: Linux's default limit of
/// the send buffer.
const MAX_SEND_BUFFER_BYTES: usize = 4 << 20;
/// Number of bytes after which another arrival is stored.
const SAMPLE_BYTES: usize = MAX_SEND_BUFFER_BYTES / 64;
/// Once the receive buffer is empty, bytes that a client's kernel holds arrive within this time.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The input of a connection since its receive window may have been closed.
#[derive(Debug)]
pub(super) struct WithheldInput {
    /// The bytes that arrived since were sent at this time or later.
    since: Instant,
    /// When bytes arrived, at intervals of [`SAMPLE_BYTES`]. They cover the latest
    /// [`MAX_SEND_BUFFER_BYTES`].
    pub(super) arrivals: VecDeque<Arrival>,
    /// When the receive buffer was found to be empty, unless it may have been full again since.
    empty_at: Option<Instant>,
}

impl WithheldInput {
    pub(super) fn new(since: Instant) -> Self {
        WithheldInput {
            since,
            arrivals: VecDeque::new(),
            empty_at: None,
        }
    }

    /// Records that the bytes before `end_offset` have arrived at `at`.
    pub(super) fn record_arrival(&mut self, end_offset: usize, at: Instant) {
        let next_sample = self
            .arrivals
            .back()
            .map_or(0, |last| last.end_offset + SAMPLE_BYTES);
        if end_offset >= next_sample {
            self.arrivals.push_back(Arrival { end_offset, at });
        }
        let Some(held_from) = end_offset.checked_sub(MAX_SEND_BUFFER_BYTES) else {
            return;
        };
        while self
            .arrivals
            .get(1)
            .is_some_and(|second| second.end_offset <= held_from)
        {
            self.arrivals.pop_front();
        }
    }

    /// Records that the receive buffer is empty, so that the window is open.
    pub(super) fn record_empty(&mut self, now: Instant) {
        self.empty_at.get_or_insert(now);
    }

    /// Records that the receive buffer may have been full.
    pub(super) fn record_full(&mut self) {
        self.empty_at = None;
    }

    /// Returns whether a byte that arrived at this time was sent then, because the client's kernel
    /// had held nothing.
    pub(super) fn is_flushed(&self, arrived_at: Instant) -> bool {
        self.empty_at
            .is_some_and(|empty| arrived_at >= empty + FLUSH_TIME)
    }

    /// Returns the earliest time at which the last byte before `end_offset` can have been sent. The
    /// client's kernel could only store this byte when all but [`MAX_SEND_BUFFER_BYTES`] before it
    /// had arrived.
    pub(super) fn earliest_sent(&self, end_offset: usize) -> Instant {
        let Some(held_from) = end_offset.checked_sub(MAX_SEND_BUFFER_BYTES) else {
            return self.since;
        };
        let mut arrived = self.arrivals.iter().rev();
        arrived
            .find(|arrival| arrival.end_offset <= held_from)
            .map_or(self.since, |arrival| arrival.at.max(self.since))
    }
}
