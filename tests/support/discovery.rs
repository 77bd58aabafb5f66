//! A stub of the discovery service.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// A discovery service that passes each watch that is opened to the test.
pub struct StubDiscovery {
    pub address: SocketAddr,
    pub watches: Receiver<StubWatch>,
}

/// An open watch: its request line and its connection.
pub struct StubWatch {
    pub request_line: String,
    stream: TcpStream,
}

impl StubDiscovery {
    pub fn start() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub(super) fn on(listener: TcpListener) -> Self {
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

    /// The next watch; waits until it is opened.
    pub fn next(&self) -> StubWatch {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("a watch is opened")
    }
}

impl StubWatch {
    /// Waits until the program has closed the watch.
    pub fn wait_for_end(&mut self) {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        match self.stream.read(&mut [0]) {
            Ok(count) => assert_eq!(count, 0, "a watch carries one request"),
            // The program closed it before it had read the last line.
            Err(error) => assert_eq!(error.kind(), io::ErrorKind::ConnectionReset),
        }
    }

    /// Sends this text and a line feed, as one chunk.
    pub fn line(&mut self, text: &str) {
        self.part(&format!("{text}\n"));
    }

    /// Sends this text as one chunk.
    pub fn part(&mut self, text: &str) {
        write!(self.stream, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// True if the program has not closed the watch.
    pub fn is_open(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.read(&mut [0]);
        let open = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        open
    }
}
