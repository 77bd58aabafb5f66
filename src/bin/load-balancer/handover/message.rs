//! The messages that the two processes of an upgrade exchange, each as one line of JSON.
//!
//! Versions up to 47c951f speak the same lines, so neither they nor their forms may change.

use serde::{Deserialize, Serialize};

/// What one process tells its peer.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A successor has started and needs a part of the descriptors.
    #[serde(rename = "hello")]
    Hello,
    /// The predecessor uses at most this many descriptors from now on.
    #[serde(rename = "holds")]
    DescriptorsInUse(usize),
    /// The successor accepts clients' connections.
    #[serde(rename = "ready")]
    Ready,
    /// The state file has been replaced.
    #[serde(rename = "state")]
    StateChanged,
}

impl PeerMessage {
    /// The message as a line, with its end.
    ///
    /// # Errors
    ///
    /// Those of the serializer.
    pub fn to_line(&self) -> serde_json::Result<Vec<u8>> {
        let mut line = serde_json::to_vec(self)?;
        line.push(b'\n');
        Ok(line)
    }

    /// The message on this line.
    ///
    /// # Errors
    ///
    /// If the line is no message that this version knows.
    pub fn from_line(line: &str) -> serde_json::Result<Self> {
        serde_json::from_str(line)
    }
}
