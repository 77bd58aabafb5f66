//! The memory for reading bodies ahead.

use super::READ_AHEAD_BYTES;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory for reading ahead is the memory of the process divided by this number. During an
/// upgrade a second process runs next to this one and uses as much memory for reading ahead.
const MEMORY_DIVISOR: usize = 8;

/// The memory that all bodies together may use for reading ahead.
#[derive(Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
    free: Arc<Semaphore>,
    shortages: Cell<u64>,
}

/// Reserved memory, released when dropped.
pub type MemoryPermit = OwnedSemaphorePermit;

impl MemoryBudget {
    /// Creates the budget for a process that may use `process_bytes` bytes in total.
    #[must_use]
    pub fn new(process_bytes: usize) -> Rc<Self> {
        let bytes =
            (process_bytes / MEMORY_DIVISOR).clamp(READ_AHEAD_BYTES, Semaphore::MAX_PERMITS);
        Rc::new(MemoryBudget {
            total_bytes: bytes,
            free: Arc::new(Semaphore::new(bytes)),
            shortages: Cell::new(0),
        })
    }

    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.total_bytes - self.free.available_permits()
    }

    /// Returns how many bodies have found less memory free than they needed.
    #[must_use]
    pub fn shortages(&self) -> u64 {
        self.shortages.get()
    }

    /// Reserves `bytes` bytes, waiting until they are available. Returns `None` only if the
    /// semaphore is closed, which never happens.
    pub(super) async fn acquire(&self, bytes: usize) -> Option<MemoryPermit> {
        if let Some(permit) = self.try_reserve(bytes) {
            return Some(permit);
        }
        self.free
            .clone()
            .acquire_many_owned(bytes as u32)
            .await
            .ok()
    }

    /// Reserves the [`READ_AHEAD_BYTES`] of one body if they are available now.
    #[must_use]
    pub fn try_acquire(&self) -> Option<MemoryPermit> {
        self.try_reserve(READ_AHEAD_BYTES)
    }

    fn try_reserve(&self, bytes: usize) -> Option<MemoryPermit> {
        let permit = self.free.clone().try_acquire_many_owned(bytes as u32).ok();
        if permit.is_none() {
            self.shortages.set(self.shortages.get() + 1);
        }
        permit
    }
}
