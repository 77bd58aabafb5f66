//! A client of the program.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static IDS: AtomicU64 = AtomicU64::new(0x1000);

/// A client's connection.
pub struct Client {
    out: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let out = TcpStream::connect(address)?;
        out.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client {
            input: BufReader::new(out.try_clone()?),
            out,
        })
    }

    /// Sends a request of this class; `headers` are whole lines, in which `{id}` stands for a new name.
    pub fn send(&mut self, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let id = format!("{:04x}", IDS.fetch_add(1, Ordering::SeqCst));
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
        self.out.write_all(text.as_bytes())
    }

    pub fn port(&self) -> u16 {
        self.out.local_addr().unwrap().port()
    }

    /// Closes the half of the connection on which it sends.
    pub fn half_close(&self) {
        self.out.shutdown(Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.out)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Sends this text as it is; the program may have closed the connection by then.
    pub fn write(&mut self, text: &str) {
        let _ = self.out.write_all(text.as_bytes());
    }

    /// Writes for another thread, while this one waits for the answer.
    pub fn writer(&self) -> impl FnMut(&str) -> io::Result<()> + Send + 'static {
        let mut out = self.out.try_clone().unwrap();
        move |text| out.write_all(text.as_bytes())
    }

    /// Takes so many bytes, whatever they are.
    pub fn take(&mut self, count: usize) {
        self.input.read_exact(&mut vec![0; count]).unwrap();
    }

    /// What is left until the connection ends.
    pub fn read_to_end_bytes(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        // It may end in a reset.
        let _ = self.input.read_to_end(&mut rest);
        rest
    }

    /// Waits until the program has closed the connection, on which it sends nothing more.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.input.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// The answer; `None` if the connection ends without one.
    pub fn receive(&mut self) -> io::Result<Option<Message>> {
        Message::read(&mut self.input)
    }

    pub fn request(&mut self, path: &str, headers: &str, body: &str) -> Message {
        self.send(path, headers, body).unwrap();
        self.receive().unwrap().expect("an answer")
    }
}
