//! Estimates when the bytes of a client were sent, which may be long before they are read.
//!
//! Bytes that are not read at once are first stored in the receive buffer of this machine. The
//! kernel records when they arrived there. Once the buffer is full, the receive window is closed
//! and the client's kernel stores what the client sends: these bytes arrive only when the window
//! opens again. When the client sent them is not known then, and the earliest possible time is
//! taken. Where the kernel records no arrivals, bytes count as sent when they are read.

mod withheld_input;

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use withheld_input::WithheldInput;

/// While fewer bytes are unread, the receive window is open.
const MIN_RECEIVE_WINDOW_BYTES: usize = 32 << 10;
/// Input that was unread for longer than this may have closed the receive window even if it is less
/// than [`MIN_RECEIVE_WINDOW_BYTES`]: on loopback, the kernel only opens the window again when a
/// segment of up to 64 KiB fits in the buffer.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(25);
/// Maximum number of stored arrivals. They cover the input that was read, but not yet processed.
const MAX_ARRIVALS: usize = 64;
/// Arrivals within this time of each other are stored as one.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(10);

/// The arrival of the bytes up to an offset in the input of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Arrival {
    end_offset: usize,
    at: Instant,
}

/// Consecutive reads that left the receive buffer not empty, as far as known.
#[derive(Debug)]
struct Burst {
    began: Instant,
    bytes: usize,
}

impl Burst {
    /// Returns whether the receive window may have been closed since the burst began or before.
    fn may_have_closed_window(&self) -> bool {
        self.bytes >= MIN_RECEIVE_WINDOW_BYTES
    }
}

/// Estimates when the bytes of one connection were sent.
#[derive(Debug, Default)]
pub(super) struct ArrivalEstimator {
    bytes_read: usize,
    /// `None` while the receive buffer is empty, as far as known.
    burst: Option<Burst>,
    /// When the receive buffer was last found to be empty.
    empty_at: Option<Instant>,
    /// The latest timestamp; `None` if there has been none.
    last_timestamp: Option<Instant>,
    /// Set while the client's kernel may hold bytes for which the receive window was closed.
    withheld: Option<WithheldInput>,
    /// Estimates for the latest bytes, in ascending order.
    sent: VecDeque<Arrival>,
}

impl ArrivalEstimator {
    /// Records that `count` bytes were read at `now`, the last of which arrived at `timestamp`
    /// (`None`: unknown).
    pub(super) fn record_read(&mut self, count: usize, timestamp: Option<Instant>, now: Instant) {
        let arrived_at = self.arrived_at(timestamp, now);
        let burst = self.burst.get_or_insert(Burst {
            began: now,
            bytes: 0,
        });
        let was_unread = now.saturating_duration_since(arrived_at) > MAX_UNREAD_TIME;
        let may_have_closed_window = burst.may_have_closed_window();
        let arrived_during_burst = arrived_at > burst.began;
        burst.bytes += count;
        self.bytes_read += count;
        if may_have_closed_window && arrived_during_burst {
            self.begin_withheld();
        }
        self.update_withheld(may_have_closed_window || was_unread, arrived_at);
        let sent_at = match &mut self.withheld {
            Some(withheld) => {
                withheld.record_arrival(self.bytes_read, arrived_at);
                withheld.earliest_sent(self.bytes_read)
            }
            None => arrived_at,
        };
        self.push(sent_at);
    }

    /// Returns when input that is read at `now` arrived. Within a burst, a missing timestamp counts
    /// as the previous one; without any, the input counts as read at once.
    fn arrived_at(&mut self, timestamp: Option<Instant>, now: Instant) -> Instant {
        let timestamp = timestamp.map(|time| self.empty_at.map_or(time, |empty| time.max(empty)));
        let known = timestamp.or(self.last_timestamp.filter(|_| self.burst.is_some()));
        self.last_timestamp = timestamp.or(self.last_timestamp);
        known.unwrap_or(now)
    }

    /// Records that nothing was left to read at `now`.
    pub(super) fn record_empty(&mut self, now: Instant) {
        let burst = self.burst.take();
        self.empty_at = Some(now);
        if burst.is_some_and(|burst| burst.may_have_closed_window()) {
            self.begin_withheld();
        }
        if let Some(withheld) = &mut self.withheld {
            withheld.record_empty(now);
        }
    }

    /// Records that the client has received its response. A request that follows was sent
    /// afterwards, unless it already began to arrive.
    pub(super) fn end_request(&mut self) {
        if self.burst.is_none() {
            self.withheld = None;
        }
    }

    /// Returns the earliest time at which the last byte before `end_offset` can have been sent
    /// (`None`: the last byte that was read). Returns `None` before the first read.
    pub(super) fn sent_at(&self, end_offset: Option<usize>) -> Option<Instant> {
        let last = self.sent.back()?;
        let end_offset = end_offset.unwrap_or(last.end_offset);
        match &self.withheld {
            Some(withheld) if end_offset > last.end_offset => {
                Some(withheld.earliest_sent(end_offset))
            }
            _ => {
                let first = self
                    .sent
                    .partition_point(|sent| sent.end_offset < end_offset);
                Some(self.sent.get(first).map_or(last.at, |sent| sent.at))
            }
        }
    }

    /// Records that the client's kernel may hold bytes that were sent after those read so far.
    fn begin_withheld(&mut self) {
        if let (None, Some(last)) = (&self.withheld, self.sent.back()) {
            self.withheld = Some(WithheldInput::new(last.at));
        }
    }

    /// Decides whether the client's kernel may have withheld the bytes that are being read.
    fn update_withheld(&mut self, may_have_closed_window: bool, arrived_at: Instant) {
        let Some(withheld) = &mut self.withheld else {
            return;
        };
        if may_have_closed_window {
            withheld.record_full();
        }
        if withheld.is_flushed(arrived_at) {
            self.withheld = None;
        }
    }

    fn push(&mut self, at: Instant) {
        if let Some(last) = self.sent.back_mut() {
            if at < last.at + ARRIVAL_RESOLUTION {
                last.end_offset = self.bytes_read;
                return;
            }
        }
        if self.sent.len() == MAX_ARRIVALS {
            self.sent.pop_front();
        }
        self.sent.push_back(Arrival {
            end_offset: self.bytes_read,
            at,
        });
    }
}

#[cfg(test)]
mod tests;
