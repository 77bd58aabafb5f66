//! Heads of requests as they came.
//!
//! Whoever reads heads drops a length for the sake of a coding, and tells nobody where a head has ended, so that both have
//! to be looked up in the bytes.

/// The head of a request as it came.
pub struct RawHead {
    /// It has a length, beside a coding or not.
    pub has_content_length: bool,
    /// Bytes that have come behind it.
    pub trailing_bytes: usize,
}

impl RawHead {
    /// Finds the head of the request of this name among the bytes that came last.
    pub fn find(recent: &[u8], name: &str) -> Option<Self> {
        let (mut found, mut has_content_length, mut consumed) = (false, false, 0);
        for line in recent.split_inclusive(|byte| *byte == b'\n') {
            consumed += line.len();
            let line = line.trim_ascii();
            let mut parts = line.splitn(2, |byte| *byte == b':');
            let (header, value) = (
                parts.next().unwrap_or(line),
                parts.next().unwrap_or_default(),
            );
            match header {
                [] if found => {
                    return Some(RawHead {
                        has_content_length,
                        trailing_bytes: recent.len() - consumed,
                    })
                }
                [] => has_content_length = false,
                _ if header.eq_ignore_ascii_case(b"content-length") => has_content_length = true,
                _ if header.eq_ignore_ascii_case(b"request-id") => {
                    found = value.trim_ascii() == name.as_bytes();
                }
                _ => {}
            }
        }
        None
    }
}
