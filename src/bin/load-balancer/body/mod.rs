//! Bodies of requests and responses. Small bodies are read completely before they are forwarded,
//! large ones are streamed.
//!
//! The memory for reading ahead is limited by one [`MemoryBudget`], for which nothing waits. It is
//! released with the bytes that were read ahead, not at the end of their body. A streamed body is
//! only read as fast as its receiver accepts it; what is buffered for the receivers of all streamed
//! bodies is limited too. [`Upload`] and [`UploadBody`] represent a
//! request's body, [`Download`] and [`ResponseBody`] a response's body.

mod download;
mod memory_budget;
mod response_body;
mod stall_timer;
mod stream_window;
mod upload;

pub use download::Download;
pub use memory_budget::{MemoryBudget, ReadAheadReservation, StreamShare};
pub use response_body::ResponseBody;
pub use stream_window::StreamWindow;
pub use upload::{Upload, UploadBody};

use std::time::Duration;
use thiserror::Error;

/// Maximum size of a request or response body in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// A body of fewer bytes is read completely before any of it is forwarded, so that it can be
/// retried, or found to be truncated. Larger bodies are streamed, and so are smaller ones for which
/// no memory is free and smaller responses that are slow.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// Maximum time for which a response of unknown length is held back, as its client may be waiting
/// for the beginning.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Longest pause allowed to a client that sends a streamed body.
pub const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Why a body ended before it was complete.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The sender closed its connection, or the received data is malformed.
    #[error("the body is broken")]
    Truncated,
    /// The sender paused for too long or was too slow.
    #[error("the body did not come in time")]
    Stalled,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("the body is too large")]
    TooLarge,
    /// The request was concluded before its body was complete, so the rest is not forwarded.
    #[error("the body is not forwarded any more")]
    Abandoned,
}
