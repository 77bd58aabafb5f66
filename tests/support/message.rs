//! HTTP/1.1 messages.

use std::io::{self, BufRead};

/// A request or a response as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The upstream has rejected this request without starting it.
    pub rejected: bool,
}

impl Message {
    /// Reads one message; `None` if the connection ends before it.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
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
        message.read_body(from)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, from: &mut impl BufRead) -> io::Result<()> {
        if self.header("transfer-encoding").is_none() {
            let length = self
                .header("content-length")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            self.body.resize(length, 0);
            return from.read_exact(&mut self.body);
        }
        loop {
            let mut size = String::new();
            from.read_line(&mut size)?;
            let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
            let size = usize::from_str_radix(size.trim_end(), 16).map_err(invalid)?;
            let begin = self.body.len();
            // The line end behind the chunk is read with it.
            self.body.resize(begin + size + 2, 0);
            from.read_exact(&mut self.body[begin..])?;
            self.body.truncate(begin + size);
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// The value of the first header of this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}
