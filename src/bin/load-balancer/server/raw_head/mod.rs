//! Request heads as they were received.
//!
//! Hyper drops a Content-Length header next to Transfer-Encoding, and doesn't report where a head
//! ends. Whether a head has a Content-Length, and where it ends, is therefore determined from the
//! bytes received on the connection.

/// Properties of a request head that hyper doesn't report.
pub(super) struct RawHead {
    /// Whether the head has a Content-Length header, with or without Transfer-Encoding.
    pub(super) has_content_length: bool,
    /// Number of bytes received after the head.
    pub(super) trailing_bytes: usize,
}

impl RawHead {
    /// Finds the head of the request with this id in the most recently received bytes.
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
                // This is the end of another request's head.
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

/// Splits a header line into name and value; the value is empty if there is no colon.
fn split_header(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => (&line[..colon], &line[colon + 1..]),
        None => (line, &[]),
    }
}

#[cfg(test)]
mod tests;
