//! The time of a request counts from when its client has sent the last byte, however long the
//! request then lies unread.

mod support;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};
use support::*;

/// How long the clients wait for the response.
const TIMEOUT: Duration = Duration::from_secs(4);
/// How long a request lies unread.
const UNREAD: Duration = Duration::from_millis(2500);
/// A response after this time shows that the request was given more time than its client has left.
/// The earliest wrong response comes [`UNREAD`] after the timeout.
const LATEST_RESPONSE: Duration = Duration::from_millis(5250);

const HEADERS: &str = "Request-Id: {id}\r\nRequest-Timeout: 4.0\r\n";
const CHUNKED_HEADERS: &str =
    "Request-Id: {id}\r\nRequest-Timeout: 4.0\r\nTransfer-Encoding: chunked\r\n";

/// Whether the kernel records when input arrives.
#[derive(Clone, Copy, Debug)]
enum Timestamps {
    Recorded,
    NotRecorded,
}

impl Timestamps {
    /// Returns the environment variables of a program with these timestamps.
    fn variables(self) -> Vec<(&'static str, &'static str)> {
        match self {
            Timestamps::Recorded => vec![],
            // The call that enables them fails with ENOPROTOOPT.
            Timestamps::NotRecorded => vec![
                ("LD_PRELOAD", fault_injection_library()),
                ("FAULTS", "setsockopt_timestamps:92:1:1:100"),
            ],
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    ContentLength,
    Chunked,
}

/// Sends a POST request with a body of this many bytes.
fn post(client: &mut Client, length: usize, framing: Framing) {
    let body = "x".repeat(length);
    match framing {
        Framing::ContentLength => client.send("/pay", HEADERS, &body).unwrap(),
        Framing::Chunked => {
            client.send("/pay", CHUNKED_HEADERS, "").unwrap();
            client.write(&format!("{length:x}\r\n{body}\r\n0\r\n\r\n"));
        }
    }
}

/// A client that waits for a response in a thread. The result is the status, and the time since the
/// request was sent.
type WaitingClient = JoinHandle<(u16, Duration)>;

fn wait_for_response(mut client: Client) -> WaitingClient {
    let sent_at = Instant::now();
    thread::spawn(move || {
        let response = client.receive().unwrap().expect("no response");
        (response.status(), sent_at.elapsed())
    })
}

fn assert_answered_in_time(waiting: WaitingClient, description: &str) {
    let (status, elapsed) = waiting.join().unwrap();
    assert!(
        elapsed < LATEST_RESPONSE,
        "{description}: status {status} after {elapsed:?}"
    );
}

/// A program that knows no upstream until [`Self::add_upstreams`] is called, so that requests are
/// queued.
struct QueueingProgram {
    program: Program,
    upstreams: Vec<StubUpstream>,
    _discovery: StubDiscovery,
    watch: StubWatch,
}

impl QueueingProgram {
    fn start(memory_mb: usize, response: StubResponse, timestamps: Timestamps) -> Self {
        let discovery = StubDiscovery::start();
        let config = config(&list(5, true, &[]), discovery.address, 256);
        let config = with_memory_mb(&config, memory_mb);
        let mut variables = timestamps.variables();
        variables.push(("PROXY_CONSOLE", "127.0.0.1:0"));
        let program = Program::start_with(&variables, &config, "127.0.0.1:0");
        QueueingProgram {
            program,
            upstreams: (0..12).map(|_| StubUpstream::start(response)).collect(),
            watch: discovery.next(),
            _discovery: discovery,
        }
    }

    fn add_upstreams(&mut self) {
        let entries: Vec<_> = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(number, upstream)| {
                endpoint(&format!("u{number}"), upstream.address, "in_service")
            })
            .collect();
        self.watch.send_line(&list(6, false, &entries));
    }
}

/// Queues requests with these bodies until only hanging upstreams are available, and checks that
/// each is answered in time.
fn check_queued_requests(mut queueing: QueueingProgram, bodies: &[(usize, Framing)]) {
    let waiting: Vec<_> = bodies
        .iter()
        .map(|(length, framing)| {
            let mut client = queueing.program.client();
            post(&mut client, *length, *framing);
            wait_for_response(client)
        })
        .collect();
    sleep(UNREAD);
    queueing.add_upstreams();
    for (waiting, body) in waiting.into_iter().zip(bodies) {
        assert_answered_in_time(waiting, &format!("{body:?}"));
    }
}

const LONG_BODIES: [(usize, Framing); 6] = [
    (80_000, Framing::ContentLength),
    (80_000, Framing::Chunked),
    (200_000, Framing::ContentLength),
    (200_000, Framing::Chunked),
    (1_500_000, Framing::ContentLength),
    (1_500_000, Framing::Chunked),
];

/// Guards against requests with a long body that are answered after their time: the rest of a body
/// was read only by the attempt, and the time was counted from then.
#[test]
fn a_queued_request_with_a_body_is_answered_in_time_if_its_upstream_hangs() {
    let queueing = QueueingProgram::start(48, StubResponse::NoResponse, Timestamps::Recorded);
    check_queued_requests(queueing, &LONG_BODIES);
}

/// Bodies that are streamed while the memory for reading ahead is used up.
const BODIES_BEYOND_MEMORY: [(usize, Framing); 4] = [
    (20_000, Framing::ContentLength),
    (60_000, Framing::ContentLength),
    (60_000, Framing::Chunked),
    (1_500_000, Framing::ContentLength),
];

/// Sends requests that use up the memory of a program with a `memory_mb` of 1, and returns their
/// clients.
fn use_up_memory(program: &Program) -> Vec<Client> {
    let mut holders: Vec<_> = (0..3).map(|_| program.client()).collect();
    for holder in &mut holders {
        post(holder, 64_000, Framing::ContentLength);
    }
    wait_until("the holders are queued", || {
        program.metric("in_flight") == 3
    });
    holders
}

/// Guards against the same for shorter bodies, which are streamed too while the memory for reading
/// ahead is used up.
#[test]
fn a_queued_request_is_answered_in_time_with_little_memory() {
    let queueing = QueueingProgram::start(1, StubResponse::NoResponse, Timestamps::Recorded);
    let _holders = use_up_memory(&queueing.program);
    check_queued_requests(queueing, &BODIES_BEYOND_MEMORY);
}

/// Guards against the same where the kernel records no arrivals.
#[test]
fn a_queued_request_is_answered_in_time_without_receive_timestamps() {
    let queueing = QueueingProgram::start(1, StubResponse::NoResponse, Timestamps::NotRecorded);
    let _holders = use_up_memory(&queueing.program);
    check_queued_requests(queueing, &BODIES_BEYOND_MEMORY);
}

/// Guards against requests that are only refused in time although an upstream can serve them.
#[test]
fn a_queued_request_with_a_body_is_served_within_its_time() {
    for memory_mb in [48, 1] {
        let mut queueing =
            QueueingProgram::start(memory_mb, StubResponse::Ok, Timestamps::Recorded);
        let waiting: Vec<_> = [60_000, 80_000, 200_000, 1_500_000]
            .into_iter()
            .flat_map(|length| [(length, Framing::ContentLength), (length, Framing::Chunked)])
            .map(|(length, framing)| {
                let mut client = queueing.program.client();
                post(&mut client, length, framing);
                (wait_for_response(client), length, framing)
            })
            .collect();
        sleep(Duration::from_secs(1));
        queueing.add_upstreams();
        for (waiting, length, framing) in waiting {
            let (status, _) = waiting.join().unwrap();
            assert_eq!(status, 200, "{memory_mb} MB, {length} bytes, {framing:?}");
        }
        let mut lengths: Vec<_> = queueing
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.seen.try_iter())
            .map(|request| request.body.len())
            .collect();
        lengths.sort_unstable();
        assert_eq!(
            lengths,
            [60_000, 60_000, 80_000, 80_000, 200_000, 200_000, 1_500_000, 1_500_000]
        );
    }
}

/// Guards against too little time for a request that its client sends as soon as it has received
/// the response to one that was read late.
#[test]
fn the_request_after_one_that_was_queued_has_its_whole_time() {
    for timestamps in [Timestamps::Recorded, Timestamps::NotRecorded] {
        let mut queueing = QueueingProgram::start(48, StubResponse::Ok, timestamps);
        let mut client = queueing.program.client();
        post(&mut client, 200_000, Framing::ContentLength);
        sleep(UNREAD);
        queueing.add_upstreams();
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(response.status(), 200);
        let headers = "Request-Id: {id}\r\nRequest-Timeout: 2.0\r\n";
        assert_eq!(client.request("/read", headers, "").status(), 200);
    }
}

/// Guards against requests that are answered after their time because the process was not running
/// when they arrived, and connections that had not been accepted then.
#[test]
fn a_request_that_arrives_while_the_process_is_suspended_is_answered_in_time() {
    let upstreams: Vec<_> = (0..4)
        .map(|_| StubUpstream::start(StubResponse::NoResponse))
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_upstreams(&addresses);
    let mut accepted = program.client();
    assert_eq!(accepted.request("/healthz", "", "").status(), 200);
    program.suspend();
    let mut waiting = Vec::new();
    for length in [0, 5_000, 200_000] {
        let mut client = program.client();
        if length == 0 {
            client.send("/read", HEADERS, "").unwrap();
        } else {
            post(&mut client, length, Framing::ContentLength);
        }
        waiting.push((wait_for_response(client), length));
    }
    post(&mut accepted, 80_000, Framing::Chunked);
    waiting.push((wait_for_response(accepted), 80_000));
    sleep(UNREAD);
    program.resume();
    for (waiting, length) in waiting {
        assert_answered_in_time(waiting, &format!("{length} bytes"));
    }
}

/// Guards against requests that run although their clients no longer wait, or that fail although
/// they never ran.
#[test]
fn a_request_that_is_read_after_its_time_is_rejected_without_an_attempt() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    program.suspend();
    let mut clients = [program.client(), program.client()];
    let headers = "Request-Id: {id}\r\nRequest-Timeout: 1.0\r\n";
    clients[0].send("/read", headers, "").unwrap();
    clients[1].send("/pay", headers, "coins").unwrap();
    sleep(Duration::from_secs(2));
    program.resume();
    for client in &mut clients {
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(response.status(), 503);
    }
    assert_eq!(program.metric("attempts"), 0);
    assert_eq!(upstream.seen.try_iter().count(), 0);
}

/// Guards against pipelined requests that are answered after their time: they lie unread while the
/// previous response is being sent.
#[test]
fn a_request_behind_a_long_response_is_answered_in_time() {
    const RESPONSE_LENGTH: usize = 24 << 20;
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_LENGTH}\r\n\r\n{}",
        "x".repeat(RESPONSE_LENGTH)
    );
    let upstream = StubUpstream::raw(&response);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    client.send("/read", HEADERS, "").unwrap();
    upstream.next();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.extend(client.read_byte());
    }
    upstream.set_response(StubResponse::NoResponse);
    post(&mut client, 80_000, Framing::ContentLength);
    let sent_at = Instant::now();
    sleep(UNREAD);
    client.discard(RESPONSE_LENGTH);
    let response = client.receive().unwrap().expect("no response");
    let elapsed = sent_at.elapsed();
    assert!(
        elapsed < LATEST_RESPONSE,
        "status {} after {elapsed:?}",
        response.status()
    );
}

/// Sends the body of a request in small parts over this time, and the last byte at its end.
fn post_slowly(client: &mut Client, sending_time: Duration, framing: Framing) {
    const PART: &str = "part of a body sent slowly; ";
    let parts = sending_time.as_millis() as usize / 20;
    let began = Instant::now();
    match framing {
        Framing::ContentLength => {
            let length = (PART.len() * 30 * parts).to_string();
            let headers = format!("{HEADERS}Content-Length: {length}\r\n");
            client.send("/pay", &headers, "").unwrap();
        }
        Framing::Chunked => client.send("/pay", CHUNKED_HEADERS, "").unwrap(),
    }
    for number in 1..=parts {
        sleep((sending_time * number as u32 / parts as u32).saturating_sub(began.elapsed()));
        let part = PART.repeat(30);
        client.write(&match framing {
            Framing::ContentLength => part,
            Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
        });
    }
    if matches!(framing, Framing::Chunked) {
        client.write("0\r\n\r\n");
    }
}

/// Guards against too little time for a client that sends slowly: the time of its request counts
/// from the last byte.
#[test]
fn a_client_that_sends_slowly_has_its_whole_time_left_at_the_end() {
    let clients = [
        (Timestamps::Recorded, Framing::ContentLength),
        (Timestamps::Recorded, Framing::Chunked),
        (Timestamps::NotRecorded, Framing::ContentLength),
        (Timestamps::NotRecorded, Framing::Chunked),
    ];
    let senders = clients.map(|(timestamps, framing)| {
        thread::spawn(move || {
            let upstream = StubUpstream::start(StubResponse::Hold);
            let discovery = StubDiscovery::start();
            let config = config_with_upstreams(&[upstream.address], discovery.address, 256);
            let program = Program::start_with(&timestamps.variables(), &config, "127.0.0.1:0");
            let mut client = program.client();
            post_slowly(&mut client, Duration::from_secs(5), framing);
            upstream.next();
            sleep(TIMEOUT / 2);
            upstream.release();
            let status = client.receive().unwrap().expect("no response").status();
            assert_eq!(status, 200, "{framing:?}, timestamps {timestamps:?}");
        })
    });
    for sender in senders {
        sender.join().unwrap();
    }
}

/// Guards against too little time for a client that was still sending while its request was queued,
/// when nothing read what it sent.
#[test]
fn a_client_that_sends_slowly_to_a_queue_has_its_whole_time_left_at_the_end() {
    for framing in [Framing::ContentLength, Framing::Chunked] {
        let mut queueing = QueueingProgram::start(1, StubResponse::Hold, Timestamps::Recorded);
        let mut client = queueing.program.client();
        let sender = thread::spawn(move || {
            post_slowly(&mut client, Duration::from_millis(3500), framing);
            client
        });
        // Most of the body arrives while the request is queued.
        sleep(Duration::from_secs(3));
        queueing.add_upstreams();
        let mut client = sender.join().unwrap();
        // From the time at which the request was queued, less than this would be left.
        sleep(TIMEOUT * 2 / 3);
        for upstream in &queueing.upstreams {
            upstream.release();
        }
        let status = client.receive().unwrap().expect("no response").status();
        assert_eq!(status, 200, "{framing:?}");
    }
}
