//! Descriptor limits with many idle clients: discovery, the admin endpoint and clients with
//! requests still get descriptors.

mod support;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
/// The smallest descriptor limit that is allowed, and larger ones.
const DESCRIPTOR_LIMITS: [usize; 4] = [64, 128, 256, 1024];

/// Waits until no other test of this file runs, because all tests together would exceed the
/// descriptor limit of the test process.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    // A failed test has poisoned the lock, but it has ended, so the lock can be used.
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(known: &str, discovery: SocketAddr, sockets: usize, mode: &str) -> Program {
    let mode = format!("\"discovery\":\"{mode}\"");
    let config = config(known, discovery, sockets).replace("\"discovery\":\"ask\"", &mode);
    Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0")
}

/// Opens `count` connections on which nothing is sent.
fn open_idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect()
}

/// Idle clients that open more connections than the descriptor limit has room for, and keep
/// replacing the oldest connection with a new connection.
struct IdleClients {
    stop: Arc<AtomicBool>,
    reconnect_thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    fn start(address: SocketAddr, count: usize) -> Self {
        let mut connections: VecDeque<_> = open_idle(address, count).into();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let reconnect_thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                connections.pop_front();
                connections.extend(open_idle(address, 1));
                sleep(Duration::from_millis(1));
            }
        });
        IdleClients {
            stop,
            reconnect_thread: Some(reconnect_thread),
        }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        // A panic of the thread has been printed already.
        let _ = self.reconnect_thread.take().map(JoinHandle::join);
    }
}

/// A request may arrive among idle connections that are all accepted in one event loop turn, and
/// among connections whose close has not been noticed. The connection of the request must not be
/// evicted while there are connections without a request.
#[test]
fn a_request_among_idle_connections_is_the_last_to_be_evicted() {
    let _exclusive = run_exclusively();
    for sockets in DESCRIPTOR_LIMITS {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], sockets);
        let closed_clients = open_idle(program.address, sockets * 2 / 3);
        wait_until("the capacity is used up", || {
            program.open_descriptors() > sockets / 3
        });
        program.suspend();
        drop(closed_clients);
        let mut idle_clients = open_idle(program.address, sockets * 2 / 3);
        let mut requesting: Vec<_> = (0..4)
            .map(|_| {
                let mut client = program.client();
                client.send("/pay", REQUEST_ID, "coins").unwrap();
                idle_clients.extend(open_idle(program.address, sockets / 32));
                client
            })
            .collect();
        idle_clients.extend(open_idle(program.address, sockets / 16));
        program.resume();
        for client in &mut requesting {
            let status = client
                .receive()
                .unwrap_or_default()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "descriptor limit {sockets}");
        }
        assert!(program.open_descriptors() <= sockets);
    }
}

/// Descriptors may be lacking when a connection is accepted, but be free again when its request is
/// read. In that case the request must not be rejected.
#[test]
fn client_accepted_over_capacity_is_served_if_its_request_finds_capacity() {
    let _exclusive = run_exclusively();
    let upstream = StubUpstream::start(StubResponse::Hold);
    let discovery = StubDiscovery::start();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    let program = start(&known, discovery.address, 64, "ask");
    let mut busy = Vec::new();
    while program.metric("refused.read") == 0 {
        let mut client = program.client();
        client.send("/read", REQUEST_ID, "").unwrap();
        busy.push(client);
        let settled = || program.metric("in_flight") + program.metric("refused.read");
        wait_until("the request is settled", || settled() == busy.len() as u64);
    }
    program.suspend();
    let mut late = program.client();
    late.send("/read", REQUEST_ID, "").unwrap();
    drop(busy);
    upstream.release();
    program.resume();
    assert_eq!(
        late.receive().unwrap().map(|response| response.status()),
        Some(200)
    );
}

/// All connections are accepted in one event loop turn. The connection with the complete request is
/// accepted last.
#[test]
fn complete_request_is_served_after_any_number_of_partial_ones() {
    let _exclusive = run_exclusively();
    for count in 18..36 {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], 64);
        program.suspend();
        let mut idle_clients = open_idle(program.address, count);
        for client in &mut idle_clients {
            client
                .write_all(b"GET /read HTTP/1.1\r\nHost: b\r\nRequ")
                .unwrap();
        }
        let response = send_before_accept(&program, "/read")
            .receive()
            .unwrap_or_default();
        assert_eq!(
            response.map(|response| response.status()),
            Some(200),
            "{count} partial requests"
        );
    }
}

/// Sends a request on a new connection, which the balancer accepts only after the complete request
/// has arrived.
fn send_before_accept(program: &Program, path: &str) -> Client {
    program.suspend();
    let mut client = program.client();
    client.send(path, REQUEST_ID, "").unwrap();
    program.resume();
    client
}

/// Connections with partial requests, and connections that stay open after a health check, are
/// evicted before those with complete requests.
#[test]
fn partial_requests_and_health_checks_are_evicted_for_complete_requests() {
    let _exclusive = run_exclusively();
    for sockets in DESCRIPTOR_LIMITS {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = Program::with_descriptor_limit(&[upstream.address], sockets);
        for text in [
            "GET /read HTTP/1.1\r\nHost: b\r\nRequ",
            "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
        ] {
            let mut idle_clients = open_idle(program.address, sockets * 2 / 3);
            // Errors are ignored, because writing fails on connections that have been evicted
            // already.
            for client in &mut idle_clients {
                drop(client.write_all(text.as_bytes()));
            }
            for _ in 0..4 {
                let response = send_before_accept(&program, "/read")
                    .receive()
                    .unwrap_or_default();
                assert_eq!(
                    response.map(|response| response.status()),
                    Some(200),
                    "descriptor limit {sockets}, idle clients sent {text:?}"
                );
            }
        }
    }
}

/// While discovery is down, idle clients must not take the descriptors of the watch and the admin
/// endpoint. Requests are served once discovery runs again and has sent a list. The endpoint list
/// at the start is empty, or holds only an upstream that refuses connections.
#[test]
fn requests_are_served_despite_idle_clients_once_discovery_has_responded() {
    let _exclusive = run_exclusively();
    for (sockets, mode, is_list_empty) in [
        (64, "ask", true),
        (128, "push", false),
        (256, "push", true),
        (256, "ask", false),
        (1024, "ask", true),
    ] {
        let upstreams = [
            StubUpstream::start(StubResponse::Ok),
            StubUpstream::start(StubResponse::Ok),
        ];
        let (gone, down) = (RefusingPort::new(), RefusingPort::new());
        let old = if is_list_empty {
            vec![]
        } else {
            vec![endpoint("u0", gone.address, "in_service")]
        };
        let program = start(&list(5, true, &old), down.address, sockets, mode);
        let idle_clients = IdleClients::start(program.address, sockets * 2 / 3);
        let mut early = send_before_accept(&program, "/read");
        for _ in 0..10 {
            assert_eq!(
                program.admin_request("GET /healthcheck").0,
                if is_list_empty { 503 } else { 200 }
            );
            assert_eq!(program.admin_request("GET /stats").0, 200);
            assert!(program.open_descriptors() <= sockets, "limit {sockets}");
        }
        let discovery = down.start_discovery();
        let mut watch = discovery.next();
        // In push mode the test waits for the second watch, which is opened because the first is
        // silent.
        let second_watch = (mode == "push").then(|| discovery.next());
        assert_eq!(program.admin_request("GET /stats").0, 200);
        let new =
            [1, 2].map(|n| endpoint(&format!("u{n}"), upstreams[n - 1].address, "in_service"));
        watch.send_line(&list(6, true, &new));
        wait_until("both upstreams are known", || {
            program.metric("upstreams_known") == 2
        });
        for _ in 0..8 {
            let mut client = send_before_accept(&program, "/read");
            let status = client
                .receive()
                .unwrap_or_default()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "limit {sockets}, discovery {mode}");
            assert!(program.open_descriptors() <= sockets, "limit {sockets}");
        }
        if is_list_empty {
            // This request was queued until the list was received.
            assert_eq!(
                early.receive().unwrap().map(|response| response.status()),
                Some(200)
            );
        }
        drop((idle_clients, second_watch));
    }
}

/// A watch fails while a successor has half of the 256 descriptors. The connections of requests in
/// flight, which can't be evicted, hold more than the other half. The watch can be reopened because
/// some descriptors are reserved for discovery.
#[test]
fn a_watch_is_reopened_while_a_successor_has_half_of_the_descriptors() {
    let _exclusive = run_exclusively();
    let upstreams: Vec<_> = (0..12)
        .map(|_| StubUpstream::start(StubResponse::Hold))
        .collect();
    let entry = |(n, upstream): (usize, &StubUpstream)| {
        endpoint(&format!("u{n}"), upstream.address, "in_service")
    };
    let known = list(
        5,
        true,
        &upstreams.iter().enumerate().map(entry).collect::<Vec<_>>(),
    );
    let (folder, discovery, successor_discovery) = (
        create_temp_folder(),
        StubDiscovery::start(),
        StubDiscovery::start(),
    );
    let config = |discovery| {
        config(&known, discovery, 256)
            .replace(
                "\"aim\":5.0,\"hardLimit\":10.0",
                "\"aim\":60.0,\"hardLimit\":60.0",
            )
            .replace("\"discovery\":\"ask\"", "\"discovery\":\"push\"")
    };
    let variables = [
        ("TMPDIR", folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    let predecessor = Program::start_with(&variables, &config(discovery.address), "127.0.0.1:0");
    let mut watch = discovery.next();
    watch.send_line("");
    let mut busy: Vec<_> = (0..110).map(|_| predecessor.client()).collect();
    for client in &mut busy {
        client.send("/read", REQUEST_ID, "").unwrap();
    }
    wait_until("the requests are in flight", || {
        predecessor.metric("in_flight") == 110
    });
    let successor = Program::start_with(
        &variables,
        &config(successor_discovery.address),
        &predecessor.address.to_string(),
    );
    watch.reset();
    discovery.next();
    assert_eq!(predecessor.metric("in_flight"), 110);
    assert_eq!(successor.admin_request("GET /healthcheck").0, 200);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The descriptor limit of the system may be smaller than the configured one. In that case clients
/// must not take the descriptors of discovery and the admin endpoint.
#[test]
fn descriptor_limit_is_no_larger_than_that_of_the_system() {
    let _exclusive = run_exclusively();
    let upstream = StubUpstream::start(StubResponse::Ok);
    let down = RefusingPort::new();
    let config = config(&list(5, true, &[]), down.address, 1024);
    let program =
        Program::start_with_descriptor_limit(128, &[("PROXY_CONSOLE", "127.0.0.1:0")], &config);
    let idle_clients = IdleClients::start(program.address, 300);
    for _ in 0..10 {
        assert_eq!(program.admin_request("GET /stats").0, 200);
        assert!(
            program.open_descriptors() < 128 - 8,
            "at least 120 of 128 descriptors are open"
        );
    }
    let mut watch = down.start_discovery().next();
    watch.send_line(&list(
        6,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    wait_until("the health check succeeds", || {
        program.admin_request("GET /healthcheck").0 == 200
    });
    for _ in 0..8 {
        assert_eq!(
            send_before_accept(&program, "/read")
                .receive()
                .unwrap()
                .map(|response| response.status()),
            Some(200)
        );
    }
    drop(idle_clients);
}
