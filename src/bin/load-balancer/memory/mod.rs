//! The memory of the process: how much is in use, and how much may be.
//!
//! [`MemoryLimit`] is the one place that decides what the process may still allocate for its
//! clients. It counts all that is allocated, whatever it is used for, so that no kind of memory can
//! be left out.

mod heap;
mod limit;
mod resident;

pub use limit::{MemoryLimit, MemoryPressure};
