//! The memory of a process whose clients send slowly, stop, or send more than they wait for.

mod support;
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};
use support::*;

/// The least memory and the most descriptors that the users' pages name.
const MEMORY_MB: usize = 32;
const MAX_DESCRIPTORS: usize = 1024;
/// More clients than a third of the descriptors: any peer may connect.
const CLIENTS: usize = 590;
const UPSTREAMS: usize = 14;
/// Size of the largest head that is accepted, with some to spare.
const LARGE_HEAD_BYTES: usize = 31_000;
/// Interval at which slow clients write, and the memory is measured.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
const OBSERVED_TIME: Duration = Duration::from_secs(2);
/// Number of requests with ever new ids, all of which are sent within the longest deadline.
const FLOOD_REQUESTS: usize = 60_000;
/// Number of requests that are sent at once.
const BATCH_REQUESTS: usize = 100;
/// Pause between two requests of the clients beside the flood.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// What a client sends: a first part, and then a further part at each [`WRITE_INTERVAL`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sender {
    /// A body of 60 kB, at twice the minimum rate.
    SlowBody,
    /// Half of a body that is declared to have 64 kB.
    HaltedBody,
    /// The beginning of a body that is declared to have 16 MiB.
    HaltedLargeBody,
    /// Half of a body in chunks of one byte.
    HaltedChunks,
    /// A head of 31 kB that is not complete.
    HaltedHead,
    /// A head of many fields, written slowly.
    SlowHead,
    /// A complete head of 31 kB, whose response doesn't come.
    LargeHead,
    /// A complete head of 95 short fields, whose response doesn't come.
    ManyFields,
    /// A request whose response doesn't come, with many further ones behind it.
    Pipelined,
}

const SENDERS: [Sender; 9] = [
    Sender::SlowBody,
    Sender::HaltedBody,
    Sender::HaltedLargeBody,
    Sender::HaltedChunks,
    Sender::HaltedHead,
    Sender::SlowHead,
    Sender::LargeHead,
    Sender::ManyFields,
    Sender::Pipelined,
];

/// Returns header lines of `total` bytes in 95 fields.
fn header_lines(total: usize) -> String {
    let value = "v".repeat(total / 95 - "f00: \r\n".len());
    (0..95)
        .map(|field| format!("f{field:02}: {value}\r\n"))
        .collect()
}

impl Sender {
    fn first_part(self, id: &str) -> String {
        let post = |framing: &str, body: &str| {
            format!("POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: {id}\r\n{framing}\r\n\r\n{body}")
        };
        let get = |id: &str, fields: &str| {
            format!("GET /read HTTP/1.1\r\nHost: b\r\nRequest-Id: {id}\r\n{fields}")
        };
        match self {
            Sender::SlowBody => post("Content-Length: 60000", ""),
            Sender::HaltedBody => post("Content-Length: 64000", &"x".repeat(32_000)),
            Sender::HaltedLargeBody => post("Content-Length: 16777216", &"x".repeat(200_000)),
            Sender::HaltedChunks => {
                post("Transfer-Encoding: chunked", &"1\r\nx\r\n".repeat(30_000))
            }
            Sender::HaltedHead => get(id, &header_lines(LARGE_HEAD_BYTES)),
            Sender::SlowHead => get(id, ""),
            Sender::LargeHead => get(id, &format!("{}\r\n", header_lines(LARGE_HEAD_BYTES))),
            Sender::ManyFields => get(id, &format!("{}\r\n", header_lines(1000))),
            Sender::Pipelined => {
                let behind = |number: usize| get(&format!("{id}-{number}"), "\r\n");
                let behind: String = (0..6000).map(behind).collect();
                format!("{}{behind}", get(id, "\r\n"))
            }
        }
    }

    fn further_part(self) -> String {
        match self {
            Sender::SlowBody => "x".repeat(6500),
            Sender::SlowHead => "f: v\r\n".repeat(4),
            _ => String::new(),
        }
    }
}

/// A client that never waits for the process to read.
struct SlowClient {
    stream: TcpStream,
    sender: Sender,
    unsent: Vec<u8>,
}

impl SlowClient {
    fn connect(program: &Program, sender: Sender, id: &str) -> Self {
        let stream = TcpStream::connect(program.address).unwrap();
        stream.set_nonblocking(true).unwrap();
        let mut client = SlowClient {
            stream,
            sender,
            unsent: sender.first_part(id).into_bytes(),
        };
        client.write();
        client
    }

    /// Writes as much as the kernel accepts. The process may have closed the connection.
    fn write(&mut self) {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => drop(self.unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.unsent.clear(),
            }
        }
    }

    fn continue_sending(&mut self) {
        if self.unsent.len() < 100_000 {
            self.unsent.extend(self.sender.further_part().into_bytes());
        }
        self.write();
    }
}

/// Returns the peak of the anonymous memory of a process with [`CLIENTS`] clients; the number of a
/// client chooses what it sends.
fn peak_memory(senders: &[Sender]) -> usize {
    let response = StubResponse::NoResponse;
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|_| StubUpstream::start(response))
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&addresses, discovery.address, MAX_DESCRIPTORS);
    let program = Program::start(&with_memory_mb(&config, MEMORY_MB), "127.0.0.1:0");
    let mut peak = 0;
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            peak = peak.max(program.anonymous_memory_bytes());
            let sender = senders[number % senders.len()];
            SlowClient::connect(&program, sender, &format!("c{number}"))
        })
        .collect();
    let start = Instant::now();
    while start.elapsed() < OBSERVED_TIME {
        clients.iter_mut().for_each(SlowClient::continue_sending);
        peak = peak.max(program.anonymous_memory_bytes());
        sleep(WRITE_INTERVAL);
    }
    println!("{senders:?}: peak {peak} bytes");
    let mut probe = program.client();
    let response = probe.request(
        "/pay",
        "Request-Id: probe\r\nRequest-Timeout: 0.3\r\n",
        "coins",
    );
    assert!(response.status() >= 200, "{senders:?}: {response:?}");
    println!("{senders:?}: peak {peak} bytes, then {}", response.status());
    peak
}

/// A process that exceeds its memory is killed: hundreds of clients that send slowly, stop in the
/// middle of a request or send large heads must not bring it there.
#[test]
fn hundreds_of_slow_clients_stay_within_the_memory_limit() {
    let limit = MEMORY_MB << 20;
    let mut senders: Vec<_> = SENDERS.iter().map(|sender| vec![*sender]).collect();
    senders.push(SENDERS.to_vec());
    let peaks = senders
        .iter()
        .map(|senders| (senders, peak_memory(senders)));
    let peaks: Vec<_> = peaks.collect();
    println!("peaks in bytes, limit {limit}: {peaks:#?}");
    let over: Vec<_> = peaks.iter().filter(|(_, peak)| *peak > limit).collect();
    assert!(over.is_empty(), "over {limit} bytes: {over:#?}");
}

/// Sends [`FLOOD_REQUESTS`] requests with new ids on one connection, as fast as they are accepted.
/// They have no time left, so that no upstream limits their rate. Ends when all have responses.
fn flood(program: &Program) -> JoinHandle<()> {
    let mut stream = TcpStream::connect(program.address).unwrap();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let reader = spawn(move || {
        for _ in 0..FLOOD_REQUESTS {
            let response = Message::read(&mut input).unwrap();
            response.expect("the connection ended during the flood");
        }
    });
    let request = |number: usize| {
        let time = "Request-Timeout: 0";
        format!("GET /read HTTP/1.1\r\nHost: b\r\nRequest-Id: {number:0120x}\r\n{time}\r\n\r\n")
    };
    spawn(move || {
        for first in (0..FLOOD_REQUESTS).step_by(BATCH_REQUESTS) {
            let batch: String = (first..first + BATCH_REQUESTS).map(request).collect();
            stream.write_all(batch.as_bytes()).unwrap();
        }
        reader.join().unwrap();
    })
}

/// The state that requests leave behind must not bring a process over its memory, and other clients
/// are served, while one client sends requests with ever new ids at full speed.
#[test]
fn flood_of_new_request_ids_leaves_little_memory_in_use() {
    let upstreams = [(); 4].map(|()| StubUpstream::start(StubResponse::Ok));
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&addresses, discovery.address, 256);
    let program = Program::start(&with_memory_mb(&config, MEMORY_MB), "127.0.0.1:0");
    let mut probe = program.client();
    let headers = "Request-Id: {id}\r\nRequest-Timeout: 2.0\r\n";
    assert_eq!(probe.request("/pay", headers, "coins").status(), 200);
    let before = program.anonymous_memory_bytes();
    let mut slowest = Duration::ZERO;
    let flood = flood(&program);
    while !flood.is_finished() {
        let sent = Instant::now();
        assert_eq!(probe.request("/pay", headers, "coins").status(), 200);
        slowest = slowest.max(sent.elapsed());
        sleep(PROBE_INTERVAL);
    }
    flood.join().unwrap();
    let growth = program.anonymous_memory_bytes() - before;
    let limit = (MEMORY_MB << 20) / 8;
    println!("growth {growth} bytes, limit {limit}; slowest probe {slowest:?}");
    assert!(growth <= limit, "grew by {growth} bytes, limit {limit}");
}
