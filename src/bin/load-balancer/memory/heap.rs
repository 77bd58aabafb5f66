//! Counts the bytes that the process has allocated on the heap.

use cap::Cap;
use std::alloc::System;

/// The allocator of the process: the one of the system, with a counter and without a limit.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the number of bytes that are allocated. The resident memory of the process is larger,
/// because of what the allocator keeps or can't use.
pub(super) fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}
