//! A stand-in for discovery.

use super::*;
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// Discovery: each watch that comes is handed to the test.
pub struct StubDiscovery {
    pub address: SocketAddr,
    pub watches: Receiver<StubWatch>,
}

/// One watch: what it asked for, and its connection.
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

    pub fn next(&self) -> StubWatch {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("a watch comes")
    }
}

impl StubWatch {
    /// Waits until the program has closed it.
    pub fn ended(&mut self) {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        match self.stream.read(&mut [0]) {
            Ok(count) => assert_eq!(count, 0, "nothing more is asked on a watch"),
            // It closed before it had read the last line.
            Err(error) => assert_eq!(error.kind(), io::ErrorKind::ConnectionReset),
        }
    }

    pub fn line(&mut self, text: &str) {
        self.part(&format!("{text}\n"));
    }

    /// Sends this as it is, in a piece of its own.
    pub fn part(&mut self, text: &str) {
        write!(self.stream, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    }

    /// Resets the connection, whatever is on its way.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// True if the program has not closed it.
    pub fn is_open(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let open = matches!(self.stream.read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).unwrap();
        open
    }
}
