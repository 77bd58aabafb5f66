//! The memory for bodies: what is read ahead of them, and what is buffered while they are streamed.

use super::READ_AHEAD_BYTES;
use crate::memory::{MemoryLimit, MemoryPressure};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory for reading ahead is the memory of the process divided by this number. During an
/// upgrade a second process runs next to this one and uses as much memory for reading ahead.
const MEMORY_DIVISOR: usize = 8;
/// All streamed bodies together may buffer the memory of the process divided by this number.
const STREAM_MEMORY_DIVISOR: usize = 16;
/// Number of bytes of a body that are read ahead even if no memory is free, so that short bodies
/// are always read completely. A connection's read buffer takes twice as much.
const UNRESERVED_READ_AHEAD_BYTES: usize = 4 << 10;

/// The memory that all bodies together may use for reading ahead.
///
/// Nothing waits for this memory, because it may be held for as long as a request is in flight. A
/// body for which no memory is free is streamed after its first part.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: Rc<MemoryLimit>,
    total_bytes: usize,
    free: Arc<Semaphore>,
    shortages: Cell<u64>,
    /// Memory for buffering streamed bodies, in bytes.
    stream_bytes: usize,
    streams: Cell<usize>,
}

/// The share of one streamed body in the memory for buffering such bodies. The share of each body
/// becomes smaller while there are more of them.
#[derive(Debug)]
pub struct StreamShare(Rc<MemoryBudget>);

/// The memory that one body may use for reading ahead. Dropping it releases the memory that
/// [`Self::attach`] has not attached to any bytes.
#[derive(Debug)]
pub struct ReadAheadReservation {
    max_bytes: usize,
    /// `None` if no memory was free.
    memory: Option<OwnedSemaphorePermit>,
}

/// Bytes that have been read ahead, and the memory that is reserved for them.
struct ReservedBytes {
    data: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl MemoryBudget {
    /// Creates the budget for a process that may use `process_bytes` bytes in total.
    #[must_use]
    pub fn new(process_bytes: usize, limit: Rc<MemoryLimit>) -> Rc<Self> {
        let bytes =
            (process_bytes / MEMORY_DIVISOR).clamp(READ_AHEAD_BYTES, Semaphore::MAX_PERMITS);
        Rc::new(MemoryBudget {
            limit,
            total_bytes: bytes,
            free: Arc::new(Semaphore::new(bytes)),
            shortages: Cell::new(0),
            stream_bytes: process_bytes / STREAM_MEMORY_DIVISOR,
            streams: Cell::new(0),
        })
    }

    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.total_bytes - self.free.available_permits()
    }

    /// Begins to stream a body, until the returned share is dropped.
    #[must_use]
    pub fn begin_stream(self: &Rc<Self>) -> StreamShare {
        self.streams.set(self.streams.get() + 1);
        StreamShare(self.clone())
    }

    /// Returns how many bodies have found less memory free than they needed.
    #[must_use]
    pub fn shortages(&self) -> u64 {
        self.shortages.get()
    }

    /// Reserves memory for reading ahead a body of `length` bytes (`None`: unknown), but at most
    /// [`READ_AHEAD_BYTES`]. If that much memory is not free, or the process is short of memory,
    /// the reservation only allows [`UNRESERVED_READ_AHEAD_BYTES`].
    #[must_use]
    pub fn reserve(&self, length: Option<u64>) -> ReadAheadReservation {
        let needed_bytes = length.map_or(READ_AHEAD_BYTES, |length| {
            (length as usize).min(READ_AHEAD_BYTES)
        });
        if let Some(memory) = self.try_reserve(needed_bytes) {
            return ReadAheadReservation {
                max_bytes: READ_AHEAD_BYTES,
                memory: Some(memory),
            };
        }
        self.shortages.set(self.shortages.get() + 1);
        ReadAheadReservation {
            max_bytes: UNRESERVED_READ_AHEAD_BYTES,
            memory: None,
        }
    }

    fn try_reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        if self.limit.check() >= MemoryPressure::High {
            return None;
        }
        self.free.clone().try_acquire_many_owned(bytes as u32).ok()
    }
}

impl StreamShare {
    /// Returns how many bytes the body may buffer now.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.0.stream_bytes / self.0.streams.get()
    }
}

impl Drop for StreamShare {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

impl ReadAheadReservation {
    /// Returns a reservation of no memory, which allows no bytes to be read ahead.
    #[must_use]
    pub fn none() -> Self {
        ReadAheadReservation {
            max_bytes: 0,
            memory: None,
        }
    }

    /// Returns how many bytes may be read ahead.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Keeps memory of the size of `data` reserved until all clones of the returned bytes have been
    /// dropped. They are dropped once they have been written to a connection, or will not be.
    #[must_use]
    pub fn attach(&mut self, data: Bytes) -> Bytes {
        let Some(memory) = &mut self.memory else {
            return data;
        };
        let bytes = data.len().min(memory.num_permits());
        match memory.split(bytes) {
            Some(memory) => Bytes::from_owner(ReservedBytes {
                data,
                _memory: memory,
            }),
            None => data,
        }
    }
}

#[cfg(test)]
mod tests;
