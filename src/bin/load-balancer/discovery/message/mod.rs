//! Decodes the body of a watch: a sequence of JSON objects, with empty lines as keep-alives.

use crate::discovery::endpoint::{Endpoint, EndpointList};
use serde::Deserialize;
use thiserror::Error;

/// A message is rejected as malformed if it is longer than this and still incomplete after a chunk.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Why the body of a watch can't be decoded.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A message is not valid JSON or not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// A string is not closed on its line, so the end of the message can't be determined.
    #[error("malformed endpoint list: a string continues past the end of its line")]
    UnterminatedString,
    /// An incomplete message is longer than `MAX_MESSAGE_BYTES`.
    #[error("malformed endpoint list: it is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
}

/// An endpoint list as a watch receives it. Unlike in the configuration file, the version and the
/// endpoints are required; otherwise an unrelated JSON object would be read as an empty list.
#[derive(Deserialize)]
struct WatchMessage {
    #[serde(rename = "index")]
    version: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

/// Splits the body of a watch into messages. A message may span several lines and may arrive in any
/// number of chunks.
#[derive(Default)]
pub struct MessageDecoder {
    /// The bytes of the current message that have been received so far.
    buffer: Vec<u8>,
    /// The number of braces and brackets of the current message that are open.
    open_brackets: usize,
    is_in_string: bool,
    /// Whether the next byte of the string is escaped by a backslash.
    is_escaped: bool,
}

impl MessageDecoder {
    /// Decodes the next bytes of the body and calls `on_list` for each message that they complete.
    /// Returns whether the bytes complete a message or an empty line, which is what shows that the
    /// watch is alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed. The decoder must not be used after that.
    pub fn decode(
        &mut self,
        chunk: &[u8],
        mut on_list: impl FnMut(EndpointList),
    ) -> Result<bool, MessageError> {
        let mut is_alive = false;
        for byte in chunk {
            if self.open_brackets == 0 && byte.is_ascii_whitespace() {
                is_alive |= *byte == b'\n';
                continue;
            }
            if self.push(*byte)? {
                on_list(self.parse_message()?);
                is_alive = true;
            }
        }
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        Ok(is_alive)
    }

    /// Appends a byte to the current message. Returns whether the byte completes the message.
    fn push(&mut self, byte: u8) -> Result<bool, MessageError> {
        self.buffer.push(byte);
        if self.is_in_string {
            self.is_in_string = byte != b'"' || self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            // The rest of a truncated message is never sent. Without this check the next message
            // would be read as part of the open string.
            if byte == b'\n' {
                return Err(MessageError::UnterminatedString);
            }
            return Ok(false);
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.open_brackets += 1,
            b'}' | b']' => self.open_brackets = self.open_brackets.saturating_sub(1),
            _ => {}
        }
        Ok(self.open_brackets == 0)
    }

    /// Parses the buffered message, which is complete, and clears the buffer for the next one.
    fn parse_message(&mut self) -> Result<EndpointList, MessageError> {
        let message: WatchMessage = serde_json::from_slice(&self.buffer)?;
        self.buffer.clear();
        Ok(EndpointList {
            version: message.version,
            snapshot: message.snapshot,
            endpoints: message.endpoints,
        })
    }
}

#[cfg(test)]
mod tests;
