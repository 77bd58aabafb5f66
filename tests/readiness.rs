//! Readiness of a newly started process, as reported by `GET /healthz` or by `GET /healthcheck` of
//! the admin endpoint. The tests have no time limits other than `TEST_TIMEOUT`. Where a process
//! must not wait for discovery, discovery sends nothing, so a process that waited would never be
//! ready.

mod support;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::thread::{self, sleep};
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const DISCOVERY_MODES: [&str; 2] = ["ask", "push"];

fn config_with_mode(known: &[String], discovery: SocketAddr, mode: &str) -> String {
    let mode = format!("\"discovery\":\"{mode}\"");
    config(&list(5, true, known), discovery, 256).replace("\"discovery\":\"ask\"", &mode)
}

fn health_status(program: &Program) -> u16 {
    program.client().request("/healthz", "", "").status()
}

/// The process does not wait for discovery, even if all endpoints that it knows refuse connections.
#[test]
fn process_with_known_endpoints_is_ready_without_discovery() {
    let (upstream, refusing, silent) = (
        StubUpstream::start(StubResponse::Ok),
        RefusingPort::new(),
        StubDiscovery::start(),
    );
    for discovery in [
        refusing_address(),
        unreachable_address(),
        refusing.address,
        silent.address,
    ] {
        for mode in DISCOVERY_MODES {
            let refusing_endpoints = [endpoint("u0", refusing.address, "in_service")];
            assert_eq!(
                health_status(&Program::start(
                    &config_with_mode(&refusing_endpoints, discovery, mode),
                    "127.0.0.1:0"
                )),
                200
            );
            let working_endpoints = [endpoint("u0", upstream.address, "in_service")];
            let program = Program::start(
                &config_with_mode(&working_endpoints, discovery, mode),
                "127.0.0.1:0",
            );
            assert_eq!(health_status(&program), 200);
            assert_eq!(
                program
                    .client()
                    .request("/pay", REQUEST_ID, "coins")
                    .status(),
                200
            );
        }
    }
}

#[test]
fn twenty_processes_started_together_are_ready_without_discovery() {
    let (upstream, discovery) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    let known = [endpoint("u0", upstream.address, "in_service")];
    let config = config_with_mode(&known, discovery.address, "push");
    thread::scope(|scope| {
        let start = || health_status(&Program::start(&config, "127.0.0.1:0"));
        let processes: Vec<_> = (0..20).map(|_| scope.spawn(start)).collect();
        for process in processes {
            assert_eq!(process.join().unwrap(), 200);
        }
    });
}

/// The platform must not send clients to a process that knows no upstream. Requests that arrive
/// nevertheless are queued.
#[test]
fn process_without_known_endpoints_is_ready_once_discovery_sends_some() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    for mode in DISCOVERY_MODES {
        let down = RefusingPort::new();
        let program = Program::start(&config_with_mode(&[], down.address, mode), "127.0.0.1:0");
        assert_eq!(health_status(&program), 503);
        let mut early = program.client();
        early.send("/read", REQUEST_ID, "").unwrap();
        let mut watch = down.start_discovery().next();
        assert_eq!(health_status(&program), 503);
        watch.send_line(&list(
            6,
            true,
            &[endpoint("u0", upstream.address, "in_service")],
        ));
        assert_eq!(
            early.receive().unwrap().map(|response| response.status()),
            Some(200)
        );
        assert_eq!(health_status(&program), 200);
    }
}

/// A slow discovery may send the list on the first watch, but only after further watches have been
/// opened.
#[test]
fn first_watch_stays_open_while_further_watches_are_opened() {
    let (upstream, discovery) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    let program = Program::start(
        &config_with_mode(&[], discovery.address, "push"),
        "127.0.0.1:0",
    );
    let mut watches: Vec<_> = (0..6).map(|_| discovery.next()).collect();
    assert!(watches[0].is_open(), "the first watch was closed");
    watches[0].send_line(&list(
        6,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    wait_until("the list is received", || health_status(&program) == 200);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
}

#[test]
fn a_silent_predecessor_or_a_malformed_state_file_does_not_delay_readiness() {
    let (upstream, silent) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
    );
    let known = [endpoint("u0", upstream.address, "in_service")];
    let config = config_with_mode(&known, silent.address, "push");
    let start = |folder: &Path, listen: &str| {
        let variables = [
            ("TMPDIR", folder.to_str().unwrap()),
            ("PROXY_CONSOLE", "127.0.0.1:0"),
        ];
        Program::start_with(&variables, &config, listen)
    };
    let folder = create_temp_folder();
    let predecessor = start(&folder, "127.0.0.1:0");
    let address = predecessor.address.to_string();
    predecessor.suspend();
    let successor = start(&folder, &address);
    assert_eq!(successor.admin_request("GET /healthcheck").0, 200);
    drop((predecessor, successor));
    let state = folder.join(format!("magpiechute-{address}.state"));
    for text in ["", "{", "[]", "null", "{\"balancer\":7}"] {
        std::fs::write(&state, text).unwrap();
        assert_eq!(
            start(&folder, &address).admin_request("GET /healthcheck").0,
            200,
            "state file {text:?}"
        );
    }
    std::fs::remove_file(&state).unwrap();
    std::fs::create_dir(&state).unwrap();
    assert_eq!(
        start(&folder, &address).admin_request("GET /healthcheck").0,
        200
    );
    std::fs::remove_dir_all(&folder).unwrap();
    // A folder that does not exist does not delay readiness either.
    assert_eq!(
        start(&folder, &address).admin_request("GET /healthcheck").0,
        200
    );
}

/// If a successor listened only once it is ready, no process would listen after the predecessor has
/// ended early.
#[test]
fn unready_successor_accepts_clients_once_its_predecessor_has_ended() {
    let (upstream, silent, down) = (
        StubUpstream::start(StubResponse::Ok),
        StubDiscovery::start(),
        RefusingPort::new(),
    );
    let known = [endpoint("u0", upstream.address, "in_service")];
    let folder = create_temp_folder();
    let variables = [("TMPDIR", folder.to_str().unwrap())];
    let mut predecessor = Program::start_with(
        &variables,
        &config_with_mode(&known, silent.address, "push"),
        "127.0.0.1:0",
    );
    let mut successor = spawn_in_folder(
        &folder,
        &config_with_mode(&[], down.address, "push"),
        &predecessor.address.to_string(),
    );
    let mut log = BufReader::new(successor.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "the successor did not find its predecessor"
    );
    predecessor.kill();
    let (sender, listening) = channel();
    thread::spawn(move || {
        log.find(|line| {
            line.as_ref()
                .is_ok_and(|line| line.contains("listening for clients"))
        })
        .map(|_| sender.send(log))
    });
    let log = listening.recv_timeout(TEST_TIMEOUT);
    let mut client = Client::connect(predecessor.address);
    if let Ok(client) = &mut client {
        client.send("/read", REQUEST_ID, "").unwrap();
        let new = [endpoint("u0", upstream.address, "in_service")];
        down.start_discovery()
            .next()
            .send_line(&list(6, true, &new));
        assert_eq!(
            client.receive().unwrap().map(|response| response.status()),
            Some(200)
        );
    }
    successor.kill().unwrap();
    successor.wait().unwrap();
    assert!(
        log.is_ok() && client.is_ok(),
        "no process listens after the predecessor was killed"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn process_is_ready_after_the_first_endpoint_is_listed() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, discovery) = Program::with_upstreams(&[]);
    assert_eq!(program.client().request("/healthz", "", "").status(), 503);
    discovery.next().send_line(&list(
        6,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    while program.client().request("/healthz", "", "").status() != 200 {
        sleep(Duration::from_millis(5));
    }
    assert_eq!(
        program.client().request("/read", REQUEST_ID, "").status(),
        200
    );
}
