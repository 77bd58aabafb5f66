//! When a process that has just started is ready, by `GET /healthz`. No test bounds the time but
//! for the timeout of all; in most, discovery sends nothing, which shows that the process does
//! not wait for it.

mod peers;
use peers::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::thread;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const MODES: [&str; 2] = ["ask", "push"];

fn settings(known: &[String], discovery: SocketAddr, mode: &str) -> String {
    let mode = format!("\"discovery\":\"{mode}\"");
    config(&list(5, true, known), discovery, 256).replace("\"discovery\":\"ask\"", &mode)
}

fn health(program: &Program) -> u16 {
    program.client().ask("/healthz", "", "").status()
}

/// The process does not wait for discovery, however old the list.
#[test]
fn a_known_endpoint_list_makes_ready_without_discovery() {
    let (served, dead, silent) = (
        Upstream::start(Reply::Ok),
        Refusing::new(),
        DiscoveryPeer::start(),
    );
    for discovery in [
        Refusing::new().address,
        unreachable(),
        dead.address,
        silent.address,
    ] {
        for mode in MODES {
            let old = [endpoint("u0", dead.address, "in_service")];
            assert_eq!(
                health(&Program::start(
                    &settings(&old, discovery, mode),
                    "127.0.0.1:0"
                )),
                200
            );
            let good = [endpoint("u0", served.address, "in_service")];
            let program = Program::start(&settings(&good, discovery, mode), "127.0.0.1:0");
            assert_eq!(health(&program), 200);
            assert_eq!(
                program.client().ask("/pay", REQUEST_ID, "coins").status(),
                200
            );
        }
    }
}

#[test]
fn twenty_processes_that_start_at_once_are_ready_without_discovery() {
    let (upstream, discovery) = (Upstream::start(Reply::Ok), DiscoveryPeer::start());
    let known = [endpoint("u0", upstream.address, "in_service")];
    let config = settings(&known, discovery.address, "push");
    thread::scope(|scope| {
        let start = || health(&Program::start(&config, "127.0.0.1:0"));
        let all: Vec<_> = (0..20).map(|_| scope.spawn(start)).collect();
        for one in all {
            assert_eq!(one.join().unwrap(), 200);
        }
    });
}

/// Clients are not sent to a process that can't serve them; requests that arrive all the same
/// wait.
#[test]
fn without_known_endpoints_it_is_ready_once_discovery_has_sent_some() {
    let upstream = Upstream::start(Reply::Ok);
    for mode in MODES {
        let down = Refusing::new();
        let program = Program::start(&settings(&[], down.address, mode), "127.0.0.1:0");
        assert_eq!(health(&program), 503);
        let mut early = program.client();
        early.send("/read", REQUEST_ID, "").unwrap();
        let mut watch = down.discovery().next();
        assert_eq!(health(&program), 503);
        watch.line(&list(
            6,
            true,
            &[endpoint("u0", upstream.address, "in_service")],
        ));
        assert_eq!(
            early.receive().unwrap().map(|answer| answer.status()),
            Some(200)
        );
        assert_eq!(health(&program), 200);
    }
}

/// A slow discovery may answer it last.
#[test]
fn the_first_watch_is_kept_while_further_ones_are_opened() {
    let (upstream, discovery) = (Upstream::start(Reply::Ok), DiscoveryPeer::start());
    let program = Program::start(&settings(&[], discovery.address, "push"), "127.0.0.1:0");
    let mut watches: Vec<_> = (0..6).map(|_| discovery.next()).collect();
    assert!(watches[0].is_open(), "it is waited for");
    watches[0].line(&list(
        6,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    until("the list has come", || health(&program) == 200);
    assert_eq!(
        program.client().ask("/pay", REQUEST_ID, "coins").status(),
        200
    );
}

#[test]
fn a_silent_predecessor_or_a_malformed_state_file_does_not_delay_readiness() {
    let (upstream, silent) = (Upstream::start(Reply::Ok), DiscoveryPeer::start());
    let known = [endpoint("u0", upstream.address, "in_service")];
    let config = settings(&known, silent.address, "push");
    let start = |folder: &Path, listen: &str| {
        let variables = [
            ("TMPDIR", folder.to_str().unwrap()),
            ("PROXY_CONSOLE", "127.0.0.1:0"),
        ];
        Program::start_with(&variables, &config, listen)
    };
    let folder = folder();
    let predecessor = start(&folder, "127.0.0.1:0");
    let address = predecessor.address.to_string();
    predecessor.hold();
    let successor = start(&folder, &address);
    assert_eq!(successor.call("GET /healthcheck").0, 200);
    drop((predecessor, successor));
    let state = folder.join(format!("magpiechute-{address}.state"));
    for text in ["", "{", "[]", "null", "{\"balancer\":7}"] {
        std::fs::write(&state, text).unwrap();
        assert_eq!(
            start(&folder, &address).call("GET /healthcheck").0,
            200,
            "{text}"
        );
    }
    std::fs::remove_file(&state).unwrap();
    std::fs::create_dir(&state).unwrap();
    assert_eq!(start(&folder, &address).call("GET /healthcheck").0, 200);
    std::fs::remove_dir_all(&folder).unwrap();
    // Now the folder is missing.
    assert_eq!(start(&folder, &address).call("GET /healthcheck").0, 200);
}

/// Otherwise nobody would listen.
#[test]
fn a_successor_accepts_clients_before_it_is_ready_once_its_predecessor_is_gone() {
    let (upstream, silent, down) = (
        Upstream::start(Reply::Ok),
        DiscoveryPeer::start(),
        Refusing::new(),
    );
    let known = [endpoint("u0", upstream.address, "in_service")];
    let folder = folder();
    let variables = [("TMPDIR", folder.to_str().unwrap())];
    let mut predecessor = Program::start_with(
        &variables,
        &settings(&known, silent.address, "push"),
        "127.0.0.1:0",
    );
    let mut successor = spawn_in(
        &folder,
        &settings(&[], down.address, "push"),
        &predecessor.address.to_string(),
    );
    let mut log = BufReader::new(successor.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "they have met"
    );
    predecessor.kill();
    let (sender, listens) = channel();
    thread::spawn(move || {
        log.find(|line| {
            line.as_ref()
                .is_ok_and(|line| line.contains("listening for clients"))
        })
        .map(|_| sender.send(log))
    });
    let log = listens.recv_timeout(PATIENCE);
    let mut client = Client::connect(predecessor.address);
    if let Ok(client) = &mut client {
        client.send("/read", REQUEST_ID, "").unwrap();
        let new = [endpoint("u0", upstream.address, "in_service")];
        down.discovery().next().line(&list(6, true, &new));
        assert_eq!(
            client.receive().unwrap().map(|answer| answer.status()),
            Some(200)
        );
    }
    successor.kill().unwrap();
    successor.wait().unwrap();
    assert!(log.is_ok() && client.is_ok(), "a process listens");
    std::fs::remove_dir_all(folder).unwrap();
}
