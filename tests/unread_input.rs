//! Clients that disconnect while much of what they have sent is unread.

mod support;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::*;

/// Enough requests to use up the slots of the upstream, so that further ones are queued.
const FILLERS: usize = 12;
const UPLOADS: usize = 4;
/// More than is read ahead of a body, and than the kernel receives while nothing reads.
const UPLOAD_BYTES: usize = 300_000;
/// Time in which the disconnect of a client is detected.
const DETECTION_TIME: Duration = Duration::from_millis(300);

/// An upstream that reports the request id of each head it receives, before it reads the body. It
/// responds once it is released.
struct HeadUpstream {
    address: SocketAddr,
    ids: Receiver<String>,
    is_released: Arc<AtomicBool>,
}

impl HeadUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, ids) = channel();
        let is_released = Arc::new(AtomicBool::new(false));
        let released = is_released.clone();
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, released) = (sender.clone(), released.clone());
                spawn(move || serve(stream, &sender, &released));
            }
        });
        HeadUpstream {
            address,
            ids,
            is_released,
        }
    }
}

/// Serves the requests of one connection until it ends.
fn serve(mut stream: TcpStream, ids: &Sender<String>, is_released: &AtomicBool) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    loop {
        let (mut length, mut line) = (0, String::new());
        while line != "\r\n" {
            line.clear();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let lower = line.to_lowercase();
            if let Some(id) = lower.strip_prefix("request-id:") {
                ids.send(id.trim().to_string()).unwrap();
            }
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
        }
        if input.read_exact(&mut vec![0; length]).is_err() {
            return;
        }
        while !is_released.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(1));
        }
        if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

/// A queued request whose client has disconnected must not be sent to an upstream, although the
/// process has not read the end of what the client sent.
#[test]
fn queued_upload_is_not_sent_after_its_client_has_disconnected() {
    let upstream = HeadUpstream::start();
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut fillers: Vec<_> = (0..FILLERS).map(|_| program.client()).collect();
    for filler in &mut fillers {
        filler
            .send("/pay", "Request-Id: {id}\r\n", "coins")
            .unwrap();
    }
    upstream.ids.recv_timeout(TEST_TIMEOUT).unwrap();
    let body = "x".repeat(UPLOAD_BYTES);
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let mut client = program.client();
            let headers = format!("Request-Id: upload{number}\r\n");
            client.send("/pay", &headers, &body).unwrap();
            client
        })
        .collect();
    drop(uploads);
    sleep(DETECTION_TIME);
    upstream.is_released.store(true, Ordering::SeqCst);
    for filler in &mut fillers {
        let status = filler.receive().unwrap().unwrap().status();
        assert!([200, 503].contains(&status), "{status}");
    }
    sleep(DETECTION_TIME);
    let uploads = upstream
        .ids
        .try_iter()
        .filter(|id| id.starts_with("upload"));
    assert_eq!(uploads.count(), 0);
}
