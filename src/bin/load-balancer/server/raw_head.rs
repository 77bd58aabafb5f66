//! Request heads as they were received.
//!
//! The HTTP implementation drops a Content-Length beside a transfer coding, and doesn't say where
//! a head ends. Both are therefore looked up in the bytes of the connection.

/// What only the bytes of a request head show.
pub(super) struct RawHead {
    /// It has a Content-Length, beside a transfer coding or not.
    pub(super) has_content_length: bool,
    /// The number of bytes that have been received behind the head.
    pub(super) trailing_bytes: usize,
}

impl RawHead {
    /// Finds the head of the request with this id among the bytes that were received last.
    pub(super) fn find(recent: &[u8], request_id: &str) -> Option<Self> {
        let mut id_matches = false;
        let mut has_content_length = false;
        let mut consumed = 0;
        for line in recent.split_inclusive(|byte| *byte == b'\n') {
            consumed += line.len();
            let (name, value) = split_header(line.trim_ascii());
            if name.is_empty() {
                if id_matches {
                    return Some(RawHead {
                        has_content_length,
                        trailing_bytes: recent.len() - consumed,
                    });
                }
                // Another head has ended.
                has_content_length = false;
            } else if name.eq_ignore_ascii_case(b"content-length") {
                has_content_length = true;
            } else if name.eq_ignore_ascii_case(b"request-id") {
                id_matches = value.trim_ascii() == request_id.as_bytes();
            }
        }
        None
    }
}

/// The name and the value of a header line; the value is empty if there is no colon.
fn split_header(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => (&line[..colon], &line[colon + 1..]),
        None => (line, &[]),
    }
}

#[cfg(test)]
mod tests;
