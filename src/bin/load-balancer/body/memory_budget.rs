//! The memory for what is read ahead of bodies.

use super::READ_AHEAD_BYTES;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// One part in this many of the process's memory is used for reading ahead. A second process,
/// which runs beside this one during an upgrade, uses as much.
const MEMORY_DIVISOR: usize = 8;

/// The bytes that all bodies together may read ahead.
#[derive(Debug)]
pub struct MemoryBudget(Arc<Semaphore>);

/// Reserved memory; released when dropped.
pub type MemoryPermit = OwnedSemaphorePermit;

impl MemoryBudget {
    /// A budget for a process that may use this many bytes in all.
    #[must_use]
    pub fn new(process_limit: usize) -> Rc<Self> {
        let bytes =
            (process_limit / MEMORY_DIVISOR).clamp(READ_AHEAD_BYTES, Semaphore::MAX_PERMITS);
        Rc::new(MemoryBudget(Arc::new(Semaphore::new(bytes))))
    }

    /// Waits until this many bytes are available. `None` would mean that the semaphore is closed,
    /// which never happens.
    pub(super) async fn take(&self, bytes: usize) -> Option<MemoryPermit> {
        self.0.clone().acquire_many_owned(bytes as u32).await.ok()
    }

    /// Reserves what one body may read ahead, if it is available now.
    #[must_use]
    pub fn try_take(&self) -> Option<MemoryPermit> {
        self.0
            .clone()
            .try_acquire_many_owned(READ_AHEAD_BYTES as u32)
            .ok()
    }
}
