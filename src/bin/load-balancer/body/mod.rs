//! Bodies of requests and responses: small ones are read completely before they are passed on,
//! large ones are streamed.
//!
//! What is read ahead comes out of one [`MemoryBudget`], and a body is only read as fast as its
//! receiver takes it. [`Upload`] and [`UploadBody`] are a request's body, [`Download`] and
//! [`ResponseBody`] a response's.

mod download;
mod memory_budget;
mod response_body;
mod stall_timer;
mod upload;

pub use download::Download;
pub use memory_budget::MemoryBudget;
pub use response_body::ResponseBody;
pub use upload::{Upload, UploadBody};

use std::time::Duration;
use thiserror::Error;

/// Largest body in either direction, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Bytes of a body that are read ahead: a body that is no larger can be retried, or found broken,
/// before any of it is passed on.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// How long a response of unknown length is held back, as its client may wait for the beginning.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// How long a client that sends a streamed body may pause.
pub const CLIENT_STALL: Duration = Duration::from_millis(2500);

/// Why a body ends early.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The sender closed its connection, or what it sent is malformed.
    #[error("the body is broken")]
    Truncated,
    /// The sender paused for too long, or is too slow.
    #[error("the body did not come in time")]
    Stalled,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("the body is too large")]
    TooLarge,
}
