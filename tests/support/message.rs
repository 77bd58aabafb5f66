//! HTTP/1.1 messages.

use std::io::{self, BufRead};

/// A request or a response that was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the stub upstream rejects this request as not started.
    pub is_rejected: bool,
}

impl Message {
    /// Reads one message. Returns `None` if the connection ends before the head is complete.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            match line.trim_end() {
                "" => break,
                text if message.start_line.is_empty() => message.start_line = text.to_string(),
                text => {
                    let (name, value) = text.split_once(':').unwrap_or((text, ""));
                    message
                        .headers
                        .push((name.to_lowercase(), value.trim().to_string()));
                }
            }
        }
        message.read_body(input)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, input: &mut impl BufRead) -> io::Result<()> {
        if self.header("transfer-encoding").is_none() {
            let length = self
                .header("content-length")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            self.body.resize(length, 0);
            return input.read_exact(&mut self.body);
        }
        loop {
            let mut size = String::new();
            input.read_line(&mut size)?;
            let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
            let size = usize::from_str_radix(size.trim_end(), 16).map_err(invalid)?;
            let start = self.body.len();
            // The CRLF that ends the chunk is read with its data, and removed below.
            self.body.resize(start + size + 2, 0);
            input.read_exact(&mut self.body[start..])?;
            self.body.truncate(start + size);
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}
