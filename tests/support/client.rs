//! A client of the load balancer.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The next request id.
static NEXT_ID: AtomicU64 = AtomicU64::new(0x1000);

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

    /// Sends a request for this path, by GET for `/read` and POST for others. `headers` are
    /// complete lines, in which `{id}` stands for a new request id.
    pub fn send(&mut self, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let id = format!("{:04x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
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

    /// The local port of the connection.
    pub fn port(&self) -> u16 {
        self.output.local_addr().unwrap().port()
    }

    /// Shuts down the sending half of the connection.
    pub fn half_close(&self) {
        self.output.shutdown(Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.output)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Sends this text as it is. Errors are ignored, as the program may have closed the
    /// connection.
    pub fn write(&mut self, text: &str) {
        let _ = self.output.write_all(text.as_bytes());
    }

    /// Returns a writer for another thread, while this one waits for the response.
    pub fn writer(&self) -> impl FnMut(&str) -> io::Result<()> + Send + 'static {
        let mut output = self.output.try_clone().unwrap();
        move |text| output.write_all(text.as_bytes())
    }

    /// Reads and discards this many bytes.
    pub fn take(&mut self, count: usize) {
        self.input.read_exact(&mut vec![0; count]).unwrap();
    }

    /// Reads to the end of the connection.
    pub fn read_to_end_bytes(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // The connection may end in a reset.
        let _ = self.input.read_to_end(&mut bytes);
        bytes
    }

    /// Waits for the next event on the connection; true if it is a close and no data.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.input.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// Receives a response; `None` if the connection ends without one.
    pub fn receive(&mut self) -> io::Result<Option<Message>> {
        Message::read(&mut self.input)
    }

    /// Sends a request and receives its response.
    pub fn request(&mut self, path: &str, headers: &str, body: &str) -> Message {
        self.send(path, headers, body).unwrap();
        self.receive().unwrap().expect("a response")
    }
}
