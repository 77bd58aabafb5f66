//! Fingerprints of request ids, which take less memory than the ids.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A fingerprint of the id that a client gave a request. It is the same in all processes of one
/// version. Two ids of a fleet practically never have the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64, u64);

impl RequestFingerprint {
    /// Returns the fingerprint of a request id.
    #[must_use]
    pub fn of(client_request_id: &str) -> Self {
        let half = |number: u8| {
            let mut hasher = DefaultHasher::new();
            number.hash(&mut hasher);
            client_request_id.hash(&mut hasher);
            hasher.finish()
        };
        RequestFingerprint(half(0), half(1))
    }
}
