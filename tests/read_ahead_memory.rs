//! The memory for reading bodies ahead: who holds it, and what happens while it is used up.

mod support;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// The memory for reading ahead, in bytes, of a process with `memory_mb` 1: two large bodies.
const READ_AHEAD_MEMORY: u64 = 128 << 10;
/// Number of bodies that use up this memory if each holds 64 KiB, with some to spare.
const HOLDERS: usize = 6;

/// Beginnings of long responses, with and without a declared length.
const RESPONSE_BEGINNINGS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nbeginning",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbeginning\r\n",
];

/// Starts the program with an admin endpoint, these upstreams, a `memory_mb` of 1, and deadlines
/// that no test reaches.
fn start_with_little_memory(upstreams: &[StubUpstream]) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let config = with_long_timeouts(&config_with_upstreams(&addresses, discovery.address, 256));
    let config = with_memory_mb(&config, 1);
    let variables = [("PROXY_CONSOLE", "127.0.0.1:0")];
    (
        Program::start_with(&variables, &config, "127.0.0.1:0"),
        discovery,
    )
}

fn start_upstreams(response: StubResponse) -> Vec<StubUpstream> {
    (0..2 * HOLDERS)
        .map(|_| StubUpstream::start(response))
        .collect()
}

/// Sends requests with this body whose responses are [`RESPONSE_BEGINNINGS`], and returns their
/// clients once each has received the beginning.
fn receive_beginnings(program: &Program, path: &str, body: &str) -> Vec<Client> {
    let mut clients: Vec<_> = (0..HOLDERS).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send(path, REQUEST_ID, body).unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"beginning") {
            received.extend(client.read_byte());
        }
    }
    clients
}

fn wait_until_memory_is_released(program: &Program) {
    wait_until("the memory is released", || {
        program.metric("read_ahead_bytes") == 0
    });
}

/// Returns a body of 60,000 bytes that differs from those of other numbers.
fn large_body(number: usize) -> String {
    format!("{number:06}").repeat(10_000)
}

/// Guards against requests with a body that are never answered: they waited without a time limit
/// for memory that long responses held until their ends.
#[test]
fn requests_with_a_body_are_served_while_long_responses_are_received() {
    for beginning in RESPONSE_BEGINNINGS {
        let upstreams = start_upstreams(StubResponse::RawThenSilent(beginning));
        let (program, _discovery) = start_with_little_memory(&upstreams);
        let _readers = receive_beginnings(&program, "/read", "");
        for upstream in &upstreams {
            upstream.set_response(StubResponse::Ok);
        }
        for body in ["coins".to_string(), large_body(1)] {
            let mut client = program.client();
            assert_eq!(client.request("/pay", REQUEST_ID, &body).status(), 200);
        }
    }
}

/// Guards against requests with a body that are never answered because the bodies of others, which
/// are in flight, hold all the memory.
#[test]
fn requests_beyond_the_read_ahead_memory_are_forwarded_unchanged() {
    let upstreams = start_upstreams(StubResponse::Hold);
    let (program, _discovery) = start_with_little_memory(&upstreams);
    let mut clients: Vec<_> = (0..HOLDERS).map(|_| program.client()).collect();
    let mut expected: Vec<_> = (0..HOLDERS).map(large_body).collect();
    for (client, body) in clients.iter_mut().zip(&expected) {
        client.send("/pay", REQUEST_ID, body).unwrap();
    }
    let mut forwarded = Vec::new();
    wait_until("all requests have reached an upstream", || {
        let seen = upstreams
            .iter()
            .flat_map(|upstream| upstream.seen.try_iter());
        forwarded.extend(seen.map(|request| String::from_utf8(request.body).unwrap()));
        forwarded.len() == HOLDERS
    });
    expected.sort_unstable();
    forwarded.sort_unstable();
    assert!(forwarded == expected, "a body was changed");
    assert!(program.metric("read_ahead_bytes") <= READ_AHEAD_MEMORY);
    assert!(program.metric("read_ahead_shortages") > 0);
    for upstream in &upstreams {
        upstream.set_response(StubResponse::Ok);
    }
    // The bodies in flight still hold the memory.
    for body in ["coins".to_string(), large_body(HOLDERS)] {
        let mut client = program.client();
        assert_eq!(client.request("/pay", REQUEST_ID, &body).status(), 200);
    }
    for upstream in &upstreams {
        upstream.release();
    }
    for client in &mut clients {
        assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    }
    wait_until_memory_is_released(&program);
}

/// Guards against long responses that hold memory until their ends, so that other bodies can't be
/// read ahead: the bytes that were read ahead have long been sent to the client, and the bodies of
/// the requests to the upstream.
#[test]
fn a_long_response_releases_the_memory_of_the_bytes_that_were_sent() {
    for beginning in RESPONSE_BEGINNINGS {
        let upstreams = start_upstreams(StubResponse::RawThenSilent(beginning));
        let (program, _discovery) = start_with_little_memory(&upstreams);
        let _readers = [
            receive_beginnings(&program, "/read", ""),
            receive_beginnings(&program, "/pay", &large_body(6)),
        ];
        assert_eq!(program.metric("in_flight"), 2 * HOLDERS as u64);
        wait_until_memory_is_released(&program);
    }
}

/// Guards against long uploads that hold memory until their ends: the bytes that were read ahead
/// have long been sent to the upstream, and can't be sent to another one.
#[test]
fn a_long_upload_releases_the_memory_of_the_bytes_that_were_sent() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    repeat_if_paused(|| {
        let mut client = program.client();
        let upload = SlowUpload::begin(&mut client, &large_body(7).repeat(2));
        wait_until("the upload has begun", || program.metric("in_flight") == 1);
        wait_until_memory_is_released(&program);
        let sent = upload.finish();
        let response = client.receive();
        let forwarded = upstream.seen.try_recv();
        sent.map(|body| {
            assert_eq!(response.unwrap().unwrap().status(), 200);
            assert!(forwarded.unwrap().body == body.as_bytes());
        })
    });
}

/// Guards against rejected uploads that hold memory while their clients are still sending: their
/// bodies are only discarded.
#[test]
fn a_rejected_upload_releases_its_memory_before_the_client_has_sent_it() {
    let refusing = RefusingPort::new();
    let (program, _discovery) = Program::with_admin(&[refusing.address]);
    repeat_if_paused(|| {
        let mut client = program.client();
        let upload = SlowUpload::begin(&mut client, &large_body(8).repeat(2));
        let response = client.receive();
        wait_until_memory_is_released(&program);
        let sent = upload.finish();
        sent.map(|_| {
            assert_eq!(response.unwrap().unwrap().status(), 503);
            // The connection has been kept open, so the body was still being discarded.
            assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 503);
        })
    });
}

/// The balancer closes the connection of a client that pauses for 2.5 s while it sends a body.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Runs `attempt` until it returns a result. It returns none if the machine has paused its client
/// for [`MAX_PAUSE`].
fn repeat_if_paused(mut attempt: impl FnMut() -> Option<()>) {
    let result = (0..10).find_map(|_| attempt());
    result.expect("the machine paused the client in each of 10 tries");
}

/// A chunked request for `/pay` whose body is sent by a thread, slowly but fast enough to be
/// accepted.
struct SlowUpload {
    stop: Sender<()>,
    thread: JoinHandle<Option<String>>,
}

impl SlowUpload {
    /// Sends the head and the beginning of the body, and starts the thread.
    fn begin(client: &mut Client, beginning: &str) -> Self {
        let framing = "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n";
        let headers = format!("{REQUEST_ID}{framing}");
        client.send("/pay", &headers, "").unwrap();
        assert_eq!(client.receive().unwrap().unwrap().status(), 100);
        client.write(&chunk(beginning));
        let (mut write, mut body) = (client.writer(), beginning.to_string());
        let (stop, stopped) = channel();
        let mut last_write = Instant::now();
        let thread = thread::spawn(move || {
            let mut longest_pause = Duration::ZERO;
            let interval = Duration::from_millis(10);
            while stopped.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
                let part = "part of a body ".repeat(60);
                // A failed write is ignored: the test fails if the connection has been closed.
                let _ = write(&chunk(&part));
                body.push_str(&part);
                longest_pause = longest_pause.max(last_write.elapsed());
                last_write = Instant::now();
            }
            let _ = write("0\r\n\r\n");
            (longest_pause.max(last_write.elapsed()) < MAX_PAUSE).then_some(body)
        });
        SlowUpload { stop, thread }
    }

    /// Sends the end of the body. Returns the whole body, or `None` if the machine has paused the
    /// thread for [`MAX_PAUSE`].
    fn finish(self) -> Option<String> {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap()
    }
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
