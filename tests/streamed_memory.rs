//! The memory of responses that are streamed to many slow clients at once.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const MEMORY_MB: usize = 32;
const MAX_DESCRIPTORS: usize = 1024;
/// Clients use at most a third of the descriptors for their requests.
const CLIENTS: usize = MAX_DESCRIPTORS / 3;
const UPSTREAMS: usize = 14;
const CHUNK_BYTES: usize = 16 << 10;
/// More than the kernel buffers for a client that doesn't read.
const RESPONSE_BYTES: usize = 16 << 20;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Memory that has not grown for this time is taken not to grow any more.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Returns the peak of the anonymous memory until it has not grown for [`SETTLING_TIME`].
fn settled_anonymous_memory(program: &Program) -> usize {
    let start = Instant::now();
    let (mut peak, mut peak_at) = (0, start);
    while peak_at.elapsed() < SETTLING_TIME && start.elapsed() < TEST_TIMEOUT {
        let bytes = program.anonymous_memory_bytes();
        if bytes > peak {
            (peak, peak_at) = (bytes, Instant::now());
        }
        sleep(SAMPLE_INTERVAL);
    }
    peak
}

fn begin_response(program: &Program) -> Client {
    let mut client = program.client();
    client.send("/read", REQUEST_ID, "").unwrap();
    let mut head = Vec::new();
    while head.len() < "HTTP/1.1 200".len() {
        head.extend(client.read_byte());
    }
    assert_eq!(head, b"HTTP/1.1 200");
    client
}

/// A process that exceeds its memory is killed. All clients are served, and a further request gets
/// its response while they wait.
#[test]
fn many_slow_clients_of_large_responses_stay_within_the_memory_limit() {
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
    let chunks = chunk.repeat(RESPONSE_BYTES / CHUNK_BYTES);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response: &str = format!("{head}{chunks}0\r\n\r\n").leak();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|_| StubUpstream::start(StubResponse::Raw(response)))
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&addresses, discovery.address, MAX_DESCRIPTORS);
    let program = Program::start(&with_memory_mb(&config, MEMORY_MB), "127.0.0.1:0");
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| begin_response(&program)).collect();
    let bytes = settled_anonymous_memory(&program);
    println!("settled at {bytes} bytes");
    assert!(
        bytes <= MEMORY_MB << 20,
        "{bytes} bytes of anonymous memory, limit {} bytes",
        MEMORY_MB << 20
    );
    drop(begin_response(&program));
    // A stream that has waited for its client is completed.
    clients[0].discard(RESPONSE_BYTES);
}
