//! Descriptors when idle clients take all that they can get: what is left for discovery, for operators and for proper
//! requests.

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
/// The least descriptors, and the most that are common.
const LIMITS: [usize; 4] = [64, 128, 256, 1024];

/// One test at a time. Guards against tests that together hold more descriptors than one process may.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    // Whatever a test before has failed at, it has ended.
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(known: &str, discovery: SocketAddr, sockets: usize, mode: &str) -> Program {
    let mode = format!("\"discovery\":\"{mode}\"");
    let config = config(known, discovery, sockets).replace("\"discovery\":\"ask\"", &mode);
    Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0")
}

/// So many connections on which nothing comes.
fn idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect()
}

/// Idle clients that hold more connections than there are descriptors, and open new ones all the time.
struct Crowd {
    over: Arc<AtomicBool>,
    clients: Option<JoinHandle<()>>,
}

impl Crowd {
    fn at(address: SocketAddr, count: usize) -> Self {
        let mut open: VecDeque<_> = idle(address, count).into();
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let clients = thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                open.pop_front();
                open.extend(idle(address, 1));
                sleep(Duration::from_millis(1));
            }
        });
        Crowd {
            over,
            clients: Some(clients),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // One that panicked has said so.
        let _ = self.clients.take().map(JoinHandle::join);
    }
}

/// Guards against a proper request that is shut unread because it comes in the midst of idle connections, all taken in
/// one turn, and of others that have ended unnoticed: whoever has asked goes before whoever has not.
#[test]
fn a_request_among_idle_connections_is_the_last_to_be_shut() {
    let _alone = alone();
    for sockets in LIMITS {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], sockets);
        let ended = idle(program.address, sockets * 2 / 3);
        until("they fill it", || program.descriptors() > sockets / 3);
        program.hold();
        drop(ended);
        let mut open = idle(program.address, sockets * 2 / 3);
        let mut proper: Vec<_> = (0..4)
            .map(|_| {
                let mut client = program.client();
                client.send("/pay", ID, "coins").unwrap();
                open.extend(idle(program.address, sockets / 32));
                client
            })
            .collect();
        open.extend(idle(program.address, sockets / 16));
        program.go_on();
        for client in &mut proper {
            let answer = client
                .receive()
                .unwrap_or_default()
                .map(|answer| answer.status());
            assert_eq!(answer, Some(200), "{sockets}");
        }
        assert!(program.descriptors() <= sockets);
    }
}

/// Guards against turning away a request for want of room that there was when its connection came, and that is free
/// again when it asks.
#[test]
fn whoever_found_no_room_is_served_if_there_is_room_when_it_asks() {
    let _alone = alone();
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
        late.receive().unwrap().map(|answer| answer.status()),
        Some(200)
    );
}

/// The same where all come in one turn, wherever the request stands in the row.
#[test]
fn a_whole_request_has_room_behind_any_number_of_half_ones() {
    let _alone = alone();
    for count in 18..36 {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], 64);
        program.hold();
        let mut crowd = idle(program.address, count);
        crowd.iter_mut().for_each(|client| {
            client
                .write_all(b"GET /read HTTP/1.1\r\nHost: b\r\nRequ")
                .unwrap()
        });
        let answer = ask_at_once(&program, "/read").receive().unwrap_or_default();
        assert_eq!(answer.map(|answer| answer.status()), Some(200), "{count}");
    }
}

/// Sends a request on a new connection, with all of it there before the program takes the connection.
fn ask_at_once(program: &Program, path: &str) -> Client {
    program.hold();
    let mut client = program.client();
    client.send(path, ID, "").unwrap();
    program.go_on();
    client
}

/// Guards against whole requests that are shut for the sake of those that have half come, and against a crowd that asks for
/// health and stays.
#[test]
fn a_whole_request_goes_before_half_ones_and_before_those_that_asked_for_health() {
    let _alone = alone();
    for sockets in LIMITS {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_sockets(&[upstream.address], sockets);
        for text in [
            "GET /read HTTP/1.1\r\nHost: b\r\nRequ",
            "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
        ] {
            let mut crowd = idle(program.address, sockets * 2 / 3);
            // Those that are shut already hear nothing of it.
            crowd
                .iter_mut()
                .for_each(|client| drop(client.write_all(text.as_bytes())));
            for _ in 0..4 {
                let answer = ask_at_once(&program, "/read").receive().unwrap_or_default();
                assert_eq!(
                    answer.map(|answer| answer.status()),
                    Some(200),
                    "{sockets} {text}"
                );
            }
        }
    }
}

/// Guards against a watch that finds no descriptor once discovery is back, an operator who finds nobody, and proper
/// requests that are not served then. Nothing is known of upstreams, or only old news of one that is gone.
#[test]
fn behind_an_idle_crowd_requests_are_served_once_discovery_has_spoken() {
    let _alone = alone();
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
        let crowd = Crowd::at(program.address, sockets * 2 / 3);
        let mut early = ask_at_once(&program, "/read");
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
        // It is silent at first, so that where lists are pushed another watch is opened beside it.
        let other = (mode == "push").then(|| discovery.next());
        assert_eq!(program.call("GET /stats").0, 200);
        let new =
            [1, 2].map(|n| endpoint(&format!("u{n}"), upstreams[n - 1].address, "in_service"));
        watch.line(&list(6, true, &new));
        until("the list has come", || {
            program.figure("upstreams_known") == 2
        });
        for _ in 0..8 {
            let mut client = ask_at_once(&program, "/read");
            let answer = client
                .receive()
                .unwrap_or_default()
                .map(|answer| answer.status());
            assert_eq!(answer, Some(200), "{sockets} {mode}");
            assert!(program.descriptors() <= sockets, "{sockets}");
        }
        if empty {
            // It has waited for that.
            assert_eq!(
                early.receive().unwrap().map(|answer| answer.status()),
                Some(200)
            );
        }
        drop((crowd, other));
    }
}

/// Guards against a watch that is lost while a new process has half of the descriptors, and clients with open requests
/// hold more than the other half: they can't be closed, and discovery has a part of its own.
#[test]
fn a_watch_comes_back_while_a_new_process_has_half_of_the_descriptors() {
    let _alone = alone();
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

/// Guards against a limit of the system that is smaller than what the configuration promises: clients would take every
/// descriptor there is, and leave none to discovery and operators.
#[test]
fn no_more_is_promised_than_the_system_lets_a_process_hold() {
    let _alone = alone();
    let upstream = Upstream::start(Reply::Ok);
    let down = Refusing::new();
    let config = config(&list(5, true, &[]), down.address, 1024);
    let program = Program::start_limited(128, &[("PROXY_CONSOLE", "127.0.0.1:0")], &config);
    let crowd = Crowd::at(program.address, 300);
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
            ask_at_once(&program, "/read")
                .receive()
                .unwrap()
                .map(|answer| answer.status()),
            Some(200)
        );
    }
    drop(crowd);
}
