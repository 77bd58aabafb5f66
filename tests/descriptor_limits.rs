//! Descriptor limits under many idle clients: what is reserved for discovery, the admin endpoint
//! and clients with requests.

mod peers;
use peers::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep, JoinHandle};
use std::time::Duration;

const ID: &str = "Request-Id: {id}\r\n";
/// Descriptor limits: the smallest that is allowed, and larger ones.
const DESCRIPTOR_LIMITS: [usize; 4] = [64, 128, 256, 1024];

/// Runs one test at a time, as together they would hold more descriptors than a process may.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    // A test that has failed before this one has ended all the same.
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(known: &str, discovery: SocketAddr, sockets: usize, mode: &str) -> Program {
    let mode = format!("\"discovery\":\"{mode}\"");
    let config = config(known, discovery, sockets).replace("\"discovery\":\"ask\"", &mode);
    Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0")
}

/// This many connections on which nothing is sent.
fn open_idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect()
}

/// Idle clients that hold more connections than there are descriptors, and keep opening new ones.
struct IdleClients {
    stop: Arc<AtomicBool>,
    clients: Option<JoinHandle<()>>,
}

impl IdleClients {
    fn at(address: SocketAddr, count: usize) -> Self {
        let mut open: VecDeque<_> = open_idle(address, count).into();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let clients = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                open.pop_front();
                open.extend(open_idle(address, 1));
                sleep(Duration::from_millis(1));
            }
        });
        IdleClients {
            stop,
            clients: Some(clients),
        }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        // A panic has been reported already.
        let _ = self.clients.take().map(JoinHandle::join);
    }
}

/// A request may arrive among open_idle connections that are all accepted in one turn of the
/// event loop, and among others whose close has not been noticed. Its connection is evicted after
/// those without a request.
#[test]
fn a_request_among_idle_connections_is_the_last_to_be_evicted() {
    let _exclusive = run_exclusively();
    for sockets in DESCRIPTOR_LIMITS {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], sockets);
        let ended = open_idle(program.address, sockets * 2 / 3);
        until("they fill it", || program.descriptors() > sockets / 3);
        program.hold();
        drop(ended);
        let mut open = open_idle(program.address, sockets * 2 / 3);
        let mut requesting: Vec<_> = (0..4)
            .map(|_| {
                let mut client = program.client();
                client.send("/pay", ID, "coins").unwrap();
                open.extend(open_idle(program.address, sockets / 32));
                client
            })
            .collect();
        open.extend(open_idle(program.address, sockets / 16));
        program.go_on();
        for client in &mut requesting {
            let response = client
                .receive()
                .unwrap_or_default()
                .map(|response| response.status());
            assert_eq!(response, Some(200), "{sockets}");
        }
        assert!(program.descriptors() <= sockets);
    }
}

/// A request is not rejected for a lack of descriptors that has ended since its connection was
/// accepted.
#[test]
fn a_client_accepted_over_capacity_is_served_if_there_is_capacity_when_its_request_arrives() {
    let _exclusive = run_exclusively();
    let upstream = Upstream::start(Reply::Hold);
    let discovery = DiscoveryPeer::start();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    let program = start(&known, discovery.address, 64, "ask");
    let mut busy = Vec::new();
    while program.figure("refused.read") == 0 {
        let mut client = program.client();
        client.send("/read", ID, "").unwrap();
        busy.push(client);
        let taken = || program.figure("in_flight") + program.figure("refused.read");
        until("it is settled", || taken() == busy.len() as u64);
    }
    program.hold();
    let mut late = program.client();
    late.send("/read", ID, "").unwrap();
    drop(busy);
    upstream.release();
    program.go_on();
    assert_eq!(
        late.receive().unwrap().map(|response| response.status()),
        Some(200)
    );
}

/// The same when all are accepted in one turn of the event loop, at whatever place the request
/// comes.
#[test]
fn a_complete_request_has_capacity_behind_any_number_of_partial_ones() {
    let _exclusive = run_exclusively();
    for count in 18..36 {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], 64);
        program.hold();
        let mut idle_clients = open_idle(program.address, count);
        idle_clients.iter_mut().for_each(|client| {
            client
                .write_all(b"GET /read HTTP/1.1\r\nHost: b\r\nRequ")
                .unwrap()
        });
        let response = send_before_accept(&program, "/read")
            .receive()
            .unwrap_or_default();
        assert_eq!(
            response.map(|response| response.status()),
            Some(200),
            "{count}"
        );
    }
}

/// Sends a request on a new connection, which is accepted only after all of the request has
/// arrived.
fn send_before_accept(program: &Program, path: &str) -> Client {
    program.hold();
    let mut client = program.client();
    client.send(path, ID, "").unwrap();
    program.go_on();
    client
}

/// Connections with partial requests, and those that sent only health checks and stay open, are
/// evicted first.
#[test]
fn a_complete_request_goes_before_partial_ones_and_before_health_checks() {
    let _exclusive = run_exclusively();
    for sockets in DESCRIPTOR_LIMITS {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], sockets);
        for text in [
            "GET /read HTTP/1.1\r\nHost: b\r\nRequ",
            "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
        ] {
            let mut idle_clients = open_idle(program.address, sockets * 2 / 3);
            // Some have been evicted already.
            idle_clients
                .iter_mut()
                .for_each(|client| drop(client.write_all(text.as_bytes())));
            for _ in 0..4 {
                let response = send_before_accept(&program, "/read")
                    .receive()
                    .unwrap_or_default();
                assert_eq!(
                    response.map(|response| response.status()),
                    Some(200),
                    "{sockets} {text}"
                );
            }
        }
    }
}

/// A watch finds a descriptor once discovery is back, the admin endpoint responds, and requests
/// are served then. The endpoint list at the start is empty, or holds only an upstream that is
/// gone.
#[test]
fn behind_many_idle_clients_requests_are_served_once_discovery_has_responded() {
    let _exclusive = run_exclusively();
    for (sockets, mode, empty) in [
        (64, "ask", true),
        (128, "push", false),
        (256, "push", true),
        (256, "ask", false),
        (1024, "ask", true),
    ] {
        let upstreams = [Upstream::start(Reply::Ok), Upstream::start(Reply::Ok)];
        let (gone, down) = (Refusing::new(), Refusing::new());
        let old = if empty {
            vec![]
        } else {
            vec![endpoint("u0", gone.address, "in_service")]
        };
        let program = start(&list(5, true, &old), down.address, sockets, mode);
        let idle_clients = IdleClients::at(program.address, sockets * 2 / 3);
        let mut early = send_before_accept(&program, "/read");
        for _ in 0..10 {
            assert_eq!(
                program.call("GET /healthcheck").0,
                if empty { 503 } else { 200 }
            );
            assert_eq!(program.call("GET /stats").0, 200);
            assert!(program.descriptors() <= sockets, "{sockets}");
        }
        let discovery = down.discovery();
        let mut watch = discovery.next();
        // It is silent at first, so that in push mode another watch is opened beside it.
        let other = (mode == "push").then(|| discovery.next());
        assert_eq!(program.call("GET /stats").0, 200);
        let new =
            [1, 2].map(|n| endpoint(&format!("u{n}"), upstreams[n - 1].address, "in_service"));
        watch.line(&list(6, true, &new));
        until("the list has come", || {
            program.figure("upstreams_known") == 2
        });
        for _ in 0..8 {
            let mut client = send_before_accept(&program, "/read");
            let response = client
                .receive()
                .unwrap_or_default()
                .map(|response| response.status());
            assert_eq!(response, Some(200), "{sockets} {mode}");
            assert!(program.descriptors() <= sockets, "{sockets}");
        }
        if empty {
            // This request has been queued meanwhile.
            assert_eq!(
                early.receive().unwrap().map(|response| response.status()),
                Some(200)
            );
        }
        drop((idle_clients, other));
    }
}

/// A watch fails while a new process has half of the descriptors, and clients with requests in
/// flight, which can't be evicted, hold more than the other half. Discovery has descriptors of
/// its own.
#[test]
fn a_watch_reconnects_while_a_new_process_has_half_of_the_descriptors() {
    let _exclusive = run_exclusively();
    let upstreams: Vec<_> = (0..12).map(|_| Upstream::start(Reply::Hold)).collect();
    let entry = |(n, upstream): (usize, &Upstream)| {
        endpoint(&format!("u{n}"), upstream.address, "in_service")
    };
    let known = list(
        5,
        true,
        &upstreams.iter().enumerate().map(entry).collect::<Vec<_>>(),
    );
    let (folder, discovery, other) = (folder(), DiscoveryPeer::start(), DiscoveryPeer::start());
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
    let old = Program::start_with(&variables, &config(discovery.address), "127.0.0.1:0");
    let mut watch = discovery.next();
    watch.line("");
    let mut busy: Vec<_> = (0..110).map(|_| old.client()).collect();
    busy.iter_mut()
        .for_each(|client| client.send("/read", ID, "").unwrap());
    until("they are taken", || old.figure("in_flight") == 110);
    let new = Program::start_with(&variables, &config(other.address), &old.address.to_string());
    watch.reset();
    discovery.next();
    assert_eq!(old.figure("in_flight"), 110);
    assert_eq!(new.call("GET /healthcheck").0, 200);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The system's limit may be smaller than the configured one. Clients must not take every
/// descriptor then and leave none to discovery and the admin endpoint.
#[test]
fn the_descriptor_limit_is_no_larger_than_that_of_the_system() {
    let _exclusive = run_exclusively();
    let upstream = Upstream::start(Reply::Ok);
    let down = Refusing::new();
    let config = config(&list(5, true, &[]), down.address, 1024);
    let program = Program::start_limited(128, &[("PROXY_CONSOLE", "127.0.0.1:0")], &config);
    let idle_clients = IdleClients::at(program.address, 300);
    for _ in 0..10 {
        assert_eq!(program.call("GET /stats").0, 200);
        assert!(program.descriptors() < 128 - 8, "some are kept free");
    }
    let mut watch = down.discovery().next();
    watch.line(&list(
        6,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    until("the list has come", || {
        program.call("GET /healthcheck").0 == 200
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
