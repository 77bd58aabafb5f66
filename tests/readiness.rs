//! When a process that has just started is ready: `GET /healthz` says so. No test bounds the
//! time, but for the patience of all; that discovery has not spoken shows that nobody waits for
//! it.

mod peers;
use peers::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::thread;

const ID: &str = "Request-Id: {id}\r\n";
const MODES: [&str; 2] = ["ask", "push"];

fn settings(known: &[String], discovery: SocketAddr, mode: &str) -> String {
    let mode = format!("\"discovery\":\"{mode}\"");
    config(&list(5, true, known), discovery, 256).replace("\"discovery\":\"ask\"", &mode)
}

fn health(program: &Program) -> u16 {
    program.client().ask("/healthz", "", "").status()
}

/// Guards against a process that waits for discovery though it has a list, be that old, and
/// serves nobody meanwhile.
#[test]
fn a_known_list_makes_ready_while_discovery_has_not_spoken() {
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
            assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
        }
    }
}

/// Guards against twenty processes that keep each other from being ready.
#[test]
fn twenty_processes_that_start_at_once_are_ready_while_discovery_has_not_spoken() {
    let (upstream, discovery) = (Upstream::start(Reply::Ok), DiscoveryPeer::start());
    let known = [endpoint("u0", upstream.address, "in_service")];
    let config = settings(&known, discovery.address, "push");
    thread::scope(|scope| {
        let start = || health(&Program::start(&config, "127.0.0.1:0"));
        let all: Vec<_> = (0..20).map(|_| scope.spawn(start)).collect();
        all.into_iter()
            .for_each(|one| assert_eq!(one.join().unwrap(), 200));
    });
}

/// Guards against a front that sends clients where nobody can be served, and against requests
/// that are lost there: those that come wait for the list.
#[test]
fn with_nothing_known_it_is_ready_once_discovery_has_spoken() {
    let upstream = Upstream::start(Reply::Ok);
    for mode in MODES {
        let down = Refusing::new();
        let program = Program::start(&settings(&[], down.address, mode), "127.0.0.1:0");
        assert_eq!(health(&program), 503);
        let mut early = program.client();
        early.send("/read", ID, "").unwrap();
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

/// Guards against giving up each watch before a slow discovery gets to it: the first one is kept.
#[test]
fn a_discovery_that_is_slower_than_watches_are_opened_is_heard() {
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
    assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
}

/// Guards against a process that waits for another beside it which says nothing, or whose word
/// can't be used.
#[test]
fn neither_a_silent_process_nor_a_broken_state_keeps_it_from_being_ready() {
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
    let old = start(&folder, "127.0.0.1:0");
    let address = old.address.to_string();
    old.hold();
    let new = start(&folder, &address);
    assert_eq!(new.call("GET /healthcheck").0, 200);
    drop((old, new));
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
    // Now there is no such folder.
    assert_eq!(start(&folder, &address).call("GET /healthcheck").0, 200);
}

/// Guards against nobody who listens: the process beside it, whose clients it would not take
/// before it can serve them, is gone.
#[test]
fn it_takes_clients_when_the_process_beside_it_has_gone_before_discovery_has_spoken() {
    let (upstream, silent, down) = (
        Upstream::start(Reply::Ok),
        DiscoveryPeer::start(),
        Refusing::new(),
    );
    let known = [endpoint("u0", upstream.address, "in_service")];
    let folder = folder();
    let variables = [("TMPDIR", folder.to_str().unwrap())];
    let mut old = Program::start_with(
        &variables,
        &settings(&known, silent.address, "push"),
        "127.0.0.1:0",
    );
    let mut new = spawn_in(
        &folder,
        &settings(&[], down.address, "push"),
        &old.address.to_string(),
    );
    let mut log = BufReader::new(new.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "they have met"
    );
    old.kill();
    let (sender, listens) = channel();
    thread::spawn(move || {
        log.find(|line| {
            line.as_ref()
                .is_ok_and(|line| line.contains("listening for clients"))
        })
        .map(|_| sender.send(log))
    });
    let log = listens.recv_timeout(PATIENCE);
    let mut client = Client::connect(old.address);
    if let Ok(client) = &mut client {
        client.send("/read", ID, "").unwrap();
        let new = [endpoint("u0", upstream.address, "in_service")];
        down.discovery().next().line(&list(6, true, &new));
        assert_eq!(
            client.receive().unwrap().map(|answer| answer.status()),
            Some(200)
        );
    }
    new.kill().unwrap();
    new.wait().unwrap();
    assert!(log.is_ok() && client.is_ok(), "somebody listens");
    std::fs::remove_dir_all(folder).unwrap();
}
