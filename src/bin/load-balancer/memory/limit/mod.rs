//! The memory that the process may use for its clients, and how short of it the process is.

use crate::memory::heap::allocated_bytes;
use crate::memory::resident::resident_bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Memory of the process that is not anonymous, in bytes: mostly its code.
const FIXED_BYTES: usize = 4 << 20;
/// Share of the remaining memory that may be allocated if the resident memory can't be read. The
/// rest is what the allocator can't use, because it lies between allocated blocks.
const ALLOCATABLE_SHARE: f64 = 0.75;
/// The process can't work with less heap than this, in bytes, whatever its configuration says.
const MIN_HEAP_BYTES: usize = 8 << 20;
/// Share of the heap limit from which on the pressure is [`MemoryPressure::High`].
const HIGH_SHARE: f64 = 0.85;
/// Share of the heap limit from which on the pressure is [`MemoryPressure::Critical`].
const CRITICAL_SHARE: f64 = 0.95;
/// Share of the remaining memory that may be resident before the heap limit is lowered.
const RESIDENT_SHARE: f64 = 0.92;
/// The resident memory is not read while less than this share of the heap limit is allocated.
const RESIDENT_CHECK_SHARE: f64 = 0.5;
/// The resident memory is read again when the heap has grown by this number of bytes.
const RESIDENT_CHECK_GROWTH: usize = 256 << 10;
/// The resident memory is read again after this time.
const RESIDENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How short of memory the process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// Enough memory is free.
    None,
    /// Connections that are idle or send slowly are closed, so that others can be served.
    High,
    /// Requests are rejected, and none may take more memory.
    Critical,
}

/// Functions that return how much memory the process uses, in bytes.
#[derive(Clone, Copy, Debug)]
struct MemoryUsage {
    allocated: fn() -> usize,
    /// Returns `None` if it is not known.
    resident: fn() -> Option<usize>,
}

impl MemoryUsage {
    /// Returns how many bytes may be allocated by a process that may use `process_bytes` bytes, as
    /// long as not too much of them is resident.
    fn initial_heap_limit(self, process_bytes: usize) -> usize {
        let available = available_bytes(process_bytes);
        match (self.resident)() {
            Some(_) => available,
            None => ((available as f64 * ALLOCATABLE_SHARE) as usize).max(MIN_HEAP_BYTES),
        }
    }
}

/// Returns how many bytes of anonymous memory a process may use that may use `process_bytes` bytes
/// in total.
fn available_bytes(process_bytes: usize) -> usize {
    process_bytes
        .saturating_sub(FIXED_BYTES)
        .max(MIN_HEAP_BYTES)
}

/// The last time that the resident memory was read.
#[derive(Clone, Copy, Debug)]
struct ResidentCheck {
    at: Instant,
    allocated: usize,
}

/// The limit on the heap, which follows from the memory of the configuration.
///
/// How much memory is resident for each allocated byte depends on what is allocated. When nearly
/// all of the memory is resident, the limit is therefore lowered to what is allocated then.
#[derive(Debug)]
pub struct MemoryLimit {
    /// Memory that the process and the other process of an upgrade may use together, in bytes.
    balancer_bytes: usize,
    /// Memory that this process may use, in bytes.
    process_bytes: Cell<usize>,
    heap_limit_bytes: Cell<usize>,
    /// The most memory that has been resident when the limit was lowered, in bytes.
    resident_peak: Cell<usize>,
    resident_check: Cell<Option<ResidentCheck>>,
    usage: MemoryUsage,
    /// Notified when a check has found the process to be short of memory.
    shortage: Notify,
}

impl MemoryLimit {
    /// Creates the limit of a process that may use `balancer_bytes` bytes in total.
    #[must_use]
    pub fn new(balancer_bytes: usize) -> Rc<Self> {
        let usage = MemoryUsage {
            allocated: allocated_bytes,
            resident: resident_bytes,
        };
        Self::with_usage(balancer_bytes, usage)
    }

    fn with_usage(balancer_bytes: usize, usage: MemoryUsage) -> Rc<Self> {
        Rc::new(MemoryLimit {
            balancer_bytes,
            process_bytes: Cell::new(balancer_bytes),
            heap_limit_bytes: Cell::new(usage.initial_heap_limit(balancer_bytes)),
            resident_peak: Cell::new(0),
            resident_check: Cell::new(None),
            usage,
            shortage: Notify::new(),
        })
    }

    /// Sets how many processes use the memory, each of which gets an equal share.
    pub fn set_process_count(&self, processes: usize) {
        let process_bytes = self.balancer_bytes / processes.max(1);
        self.process_bytes.set(process_bytes);
        let heap_limit_bytes = self.usage.initial_heap_limit(process_bytes);
        self.heap_limit_bytes.set(heap_limit_bytes);
        self.resident_peak.set(0);
    }

    /// Returns the number of bytes that may be allocated on the heap.
    #[must_use]
    pub fn heap_limit_bytes(&self) -> usize {
        self.heap_limit_bytes.get()
    }

    /// Returns the number of bytes that are allocated on the heap.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        (self.usage.allocated)()
    }

    /// Returns how short of memory the process is.
    #[must_use]
    pub fn pressure(&self) -> MemoryPressure {
        let allocated = self.heap_bytes();
        if self.is_resident_check_due(allocated) {
            self.check_resident(allocated);
        }
        let used_share = self.used_share(allocated);
        if used_share >= CRITICAL_SHARE {
            MemoryPressure::Critical
        } else if used_share >= HIGH_SHARE {
            MemoryPressure::High
        } else {
            MemoryPressure::None
        }
    }

    /// Returns how short of memory the process is, and wakes [`Self::shortage`] if it is short.
    /// Called before memory is taken for a client.
    #[must_use]
    pub fn check(&self) -> MemoryPressure {
        let pressure = self.pressure();
        if pressure >= MemoryPressure::High {
            self.shortage.notify_one();
        }
        pressure
    }

    /// Waits until a check finds the process to be short of memory.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }

    fn used_share(&self, allocated: usize) -> f64 {
        allocated as f64 / self.heap_limit_bytes() as f64
    }

    fn is_resident_check_due(&self, allocated: usize) -> bool {
        self.used_share(allocated) >= RESIDENT_CHECK_SHARE
            && self.resident_check.get().is_none_or(|last| {
                allocated >= last.allocated + RESIDENT_CHECK_GROWTH
                    || last.at.elapsed() >= RESIDENT_CHECK_INTERVAL
            })
    }

    /// Lowers the heap limit to what is allocated if nearly all memory is resident, and more than
    /// when the limit was last lowered. What the allocator has once taken from the system mostly
    /// stays resident, so the same amount with less allocated is no reason to lower the limit.
    fn check_resident(&self, allocated: usize) {
        let at = Instant::now();
        self.resident_check
            .set(Some(ResidentCheck { at, allocated }));
        let resident = (self.usage.resident)().unwrap_or(0);
        let available = available_bytes(self.process_bytes.get());
        let max_resident = (available as f64 * RESIDENT_SHARE) as usize;
        if resident <= max_resident.max(self.resident_peak.get()) {
            return;
        }
        self.resident_peak.set(resident);
        let lowered = ((allocated as f64 / CRITICAL_SHARE) as usize).max(MIN_HEAP_BYTES);
        self.heap_limit_bytes
            .set(lowered.min(self.heap_limit_bytes()));
    }
}

#[cfg(test)]
mod tests;
