//! A stub of the discovery service.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// A discovery service that accepts each watch and hands it to the test through `watches`.
pub struct StubDiscovery {
    pub address: SocketAddr,
    pub watches: Receiver<StubWatch>,
}

/// A watch that the program has opened: its request line and its connection.
pub struct StubWatch {
    pub request_line: String,
    stream: TcpStream,
}

impl StubDiscovery {
    pub fn start() -> Self {
        Self::with_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub(super) fn with_listener(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let (sender, watches) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                if let Ok(Some(request)) = Message::read(&mut input) {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let _ = stream.write_all(head.as_bytes());
                    let _ = sender.send(StubWatch {
                        request_line: request.start_line,
                        stream,
                    });
                }
            }
        });
        StubDiscovery { address, watches }
    }

    /// Waits until the program opens a watch, and returns it.
    pub fn next(&self) -> StubWatch {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the program opened no watch")
    }
}

impl StubWatch {
    /// Waits until the program closes the watch.
    pub fn wait_for_close(&mut self) {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        match self.stream.read(&mut [0]) {
            Ok(count) => assert_eq!(
                count, 0,
                "the program sent data after the request of its watch"
            ),
            // The program closed the watch before it had read the last line, so the kernel sent a
            // reset.
            Err(error) => assert_eq!(error.kind(), io::ErrorKind::ConnectionReset),
        }
    }

    /// Sends `text` and a line feed as one chunk.
    pub fn send_line(&mut self, text: &str) {
        self.send_chunk(&format!("{text}\n"));
    }

    /// Sends `text` as one chunk.
    pub fn send_chunk(&mut self, text: &str) {
        write!(self.stream, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Returns whether the program has left the watch open.
    pub fn is_open(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        let is_open = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        is_open
    }
}
