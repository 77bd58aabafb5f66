//! The messages that the two processes of an upgrade exchange, each as one line of JSON.
//!
//! Versions up to 47c951f send and expect the first four messages, so their format must not change.
//! They close the connection when they receive another one, so the other messages are only sent to
//! a predecessor that has declared that it claims request ids, and then by both.

use crate::dispatch::RequestFingerprint;
use serde::{Deserialize, Serialize};

/// A message from one process of an upgrade to the other.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent by a successor that has started and needs a share of the descriptors.
    #[serde(rename = "hello")]
    Hello,
    /// Sent by the predecessor: the maximum number of descriptors that it uses from now on.
    #[serde(rename = "holds")]
    DescriptorsInUse(usize),
    /// Sent by the successor once it accepts client connections.
    #[serde(rename = "ready")]
    Ready,
    /// Sent by either process after it has replaced the state file.
    #[serde(rename = "state")]
    StateChanged,
    /// Sent by a successor: from now on both processes claim the ids of requests at each other.
    ShareRequestIds,
    /// Sent by the predecessor in response: ids of its recent requests.
    RecentRequestIds(Vec<RequestFingerprint>),
    /// Sent by the predecessor after its last [`Self::RecentRequestIds`].
    RequestIdsShared,
    /// Sent before a request with this id is accepted.
    ClaimRequestId(RequestFingerprint),
    /// The answer to a claim.
    RequestIdClaimed {
        /// The id that was claimed.
        id: RequestFingerprint,
        /// Whether the sender has had no recent request with this id.
        is_new: bool,
    },
    /// Sent when a request with this id was claimed, and not sent to any upstream.
    ReleaseRequestId(RequestFingerprint),
}

impl PeerMessage {
    /// Serializes the message as one line, including the line end.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn to_line(&self) -> serde_json::Result<Vec<u8>> {
        let mut line = serde_json::to_vec(self)?;
        line.push(b'\n');
        Ok(line)
    }

    /// Parses a line into a message.
    ///
    /// # Errors
    ///
    /// Returns the parser's error if `line` is not a message that this version knows.
    pub fn from_line(line: &str) -> serde_json::Result<Self> {
        serde_json::from_str(line)
    }
}
