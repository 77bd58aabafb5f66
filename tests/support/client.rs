//! An HTTP client of the load balancer.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The next number to use as a request ID, so that all request IDs of a test process differ.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(0x1000);

/// A client with one connection.
pub struct Client {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let output = TcpStream::connect(address)?;
        output.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client {
            input: BufReader::new(output.try_clone()?),
            output,
        })
    }

    /// Sends a request for `path`, with GET if the path begins with `/read` and with POST
    /// otherwise. `headers` holds complete header lines, in which `{id}` is replaced by a new
    /// request ID.
    pub fn send(&mut self, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let id = format!("{:04x}", NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst));
        let headers = headers.replace("{id}", &id);
        let method = if path.starts_with("/read") {
            "GET"
        } else {
            "POST"
        };
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: backend.local\r\n{headers}{length}\r\n{body}"
        );
        self.output.write_all(text.as_bytes())
    }

    /// Returns the local port of the connection.
    pub fn port(&self) -> u16 {
        self.output.local_addr().unwrap().port()
    }

    /// Closes the sending half of the connection.
    pub fn half_close(&self) {
        self.output.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        SockRef::from(&self.output)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Sends `text` unchanged. Errors are ignored, as the program may already have closed the
    /// connection.
    pub fn write(&mut self, text: &str) {
        let _ = self.output.write_all(text.as_bytes());
    }

    /// Returns a function that sends text on the connection. Another thread can call it while the
    /// client's thread waits for the response.
    pub fn writer(&self) -> impl FnMut(&str) -> io::Result<()> + Send + 'static {
        let mut output = self.output.try_clone().unwrap();
        move |text| output.write_all(text.as_bytes())
    }

    /// Reads and discards `count` bytes.
    pub fn discard(&mut self, count: usize) {
        self.input.read_exact(&mut vec![0; count]).unwrap();
    }

    /// Reads one byte.
    pub fn read_byte(&mut self) -> [u8; 1] {
        let mut byte = [0];
        self.input.read_exact(&mut byte).unwrap();
        byte
    }

    /// Reads until the connection ends, and returns the bytes.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // The connection may end in a reset.
        let _ = self.input.read_to_end(&mut bytes);
        bytes
    }

    /// Waits until the connection is readable. Returns whether the peer has closed or reset it:
    /// false if data was received, or if nothing happened within `TEST_TIMEOUT`.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.input.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// Receives a response. Returns `None` if the connection ends before its head is complete.
    pub fn receive(&mut self) -> io::Result<Option<Message>> {
        Message::read(&mut self.input)
    }

    /// Sends a request and returns its response.
    pub fn request(&mut self, path: &str, headers: &str, body: &str) -> Message {
        self.send(path, headers, body).unwrap();
        self.receive()
            .unwrap()
            .expect("the connection ended without a response")
    }
}
