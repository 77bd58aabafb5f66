//! The memory for reading bodies ahead: who holds it, and what happens while it is used up.

mod support;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// The memory for reading ahead, in bytes, of a process with `memory_mb` 1: two large bodies.
const READ_AHEAD_MEMORY: u64 = 128 << 10;
/// Number of bodies that use up this memory if each holds 64 KiB, with some to spare.
const HOLDERS: usize = 6;

/// Starts the program with an admin endpoint, these upstreams, a `memory_mb` of 1, and deadlines
/// that no test reaches.
fn start_with_little_memory(upstreams: &[StubUpstream]) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let config = with_long_timeouts(&config_with_upstreams(&addresses, discovery.address, 256));
    let limits = "\"limits\":{\"sockets\"";
    let config = config.replace(limits, "\"limits\":{\"memory_mb\":1,\"sockets\"");
    assert!(config.contains("memory_mb"));
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

/// Returns a body of 60,000 bytes that differs from those of other numbers.
fn large_body(number: usize) -> String {
    format!("{number:06}").repeat(10_000)
}

/// Guards against requests with a body that are never answered: they waited without a time limit
/// for memory that long responses held until their ends.
#[test]
fn requests_with_a_body_are_served_while_long_responses_are_received() {
    let beginnings = [
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nbeginning",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbeginning\r\n",
    ];
    for beginning in beginnings {
        let upstreams = start_upstreams(StubResponse::RawThenSilent(beginning));
        let (program, _discovery) = start_with_little_memory(&upstreams);
        let mut readers: Vec<_> = (0..HOLDERS).map(|_| program.client()).collect();
        for reader in &mut readers {
            reader.send("/read", REQUEST_ID, "").unwrap();
            let mut received = Vec::new();
            while !received.ends_with(b"beginning") && !received.ends_with(b"beginning\r\n") {
                received.extend(reader.read_byte());
            }
        }
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
    assert_eq!(program.metric("read_ahead_bytes"), 0);
}
