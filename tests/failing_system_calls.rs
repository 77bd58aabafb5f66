//! System calls that fail with transient errors that Linux documents for them.

mod support;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

const EINTR: i32 = 4;
const EIO: i32 = 5;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;

/// A number of failures that no test reaches, so that the faults last until the test ends.
const UNLIMITED: u32 = 1_000_000;

/// Starts a program with these upstreams. The program's system calls fail as `faults` specifies;
/// `faults/faults.c` describes the format under `FAULTS`.
fn start(faults: &str, upstreams: &[SocketAddr], sockets: usize) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let variables = [
        ("LD_PRELOAD", fault_injection_library()),
        ("FAULTS", faults),
    ];
    (
        Program::start_with(
            &variables,
            &config_with_upstreams(upstreams, discovery.address, sockets),
            "127.0.0.1:0",
        ),
        discovery,
    )
}

/// Idle clients must not be disconnected if the next connection can't be accepted immediately.
#[test]
fn a_transient_accept_error_closes_no_other_connection() {
    for error in [ECONNABORTED, ENOBUFS, EINTR, ENFILE, EMFILE] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = start(
            &format!("accept4:{error}:1:3:{UNLIMITED}"),
            &[upstream.address],
            256,
        );
        let before = program.open_descriptors();
        let mut clients = Vec::new();
        for number in 1..=12 {
            let client = program.client();
            wait_until("the connection is accepted", || {
                program.open_descriptors() >= before + number
            });
            clients.push(client);
        }
        for client in &mut clients {
            client.send("/read", REQUEST_ID, "").unwrap();
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "error {error}");
        }
    }
}

/// An accepted connection that can't be registered with epoll immediately is served later, even if
/// SIGTERM is received in the meantime.
#[test]
fn a_connection_is_served_after_transient_registration_errors() {
    for error in [ENOMEM, ENOSPC] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        // Registration fails for the first connection and for one of the connections around
        // SIGTERM. Each of these fails 20 times, which takes about 0.2 s.
        let faults =
            format!("epoll_ctl_accepted:{error}:1:1:20,epoll_ctl_accepted:{error}:25:1:20");
        let (mut program, _discovery) = start(&faults, &[upstream.address], 256);
        let mut client = program.client();
        client.send("/pay", REQUEST_ID, "coins").unwrap();
        assert_eq!(
            client.receive().unwrap().expect("no response").status(),
            200,
            "error {error}"
        );
        let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
        for client in &mut clients {
            client.send("/pay", REQUEST_ID, "coins").unwrap();
        }
        program.terminate();
        for client in &mut clients {
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "error {error}");
        }
        assert!(program.wait().success());
    }
}

/// Clients that connect before the listener closes get a response, although up to 300 calls of
/// accept fail first.
#[test]
fn queued_connections_are_accepted_at_shutdown_after_transient_accept_errors() {
    for (error, failures) in [(ECONNABORTED, 300), (ENOBUFS, 95), (EMFILE, 95)] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (mut program, _discovery) = start(
            &format!("accept4:{error}:1:1:{failures}"),
            &[upstream.address],
            256,
        );
        let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
        for client in &mut clients {
            client.send("/pay", REQUEST_ID, "coins").unwrap();
        }
        program.terminate();
        for client in &mut clients {
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "error {error}");
        }
        assert!(program.wait().success());
    }
}

/// With deadlines of 0.5 s, the listener closes at most 0.95 s after SIGTERM. All 200 queued
/// connections must be accepted before that.
#[test]
fn queued_connections_are_accepted_in_time_though_every_second_accept_fails() {
    for error in [ENOBUFS, ENFILE, EMFILE] {
        let (upstream, discovery) = (
            StubUpstream::start(StubResponse::Ok),
            StubDiscovery::start(),
        );
        let config = config_with_upstreams(&[upstream.address], discovery.address, 1024).replace(
            "\"aim\":5.0,\"hardLimit\":10.0",
            "\"aim\":0.5,\"hardLimit\":0.5",
        );
        let faults = format!("accept4:{error}:1:2:{UNLIMITED}");
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", &faults),
        ];
        let program = Program::start_with(&variables, &config, "127.0.0.1:0");
        program.suspend();
        let mut clients: Vec<_> = (0..200).map(|_| program.client()).collect();
        for client in &mut clients {
            client.send("/read", REQUEST_ID, "").unwrap();
        }
        program.terminate();
        program.resume();
        for client in &mut clients {
            assert!(
                client.receive().is_ok_and(|response| response.is_some()),
                "error {error}"
            );
        }
    }
}

/// Returns the time from SIGTERM until 300 clients that connected before it have their responses.
fn time_to_serve_queued_clients(faults: &str) -> Duration {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = start(faults, &[upstream.address], 1024);
    program.suspend();
    let mut clients: Vec<_> = (0..300).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/read", REQUEST_ID, "").unwrap();
    }
    let started = Instant::now();
    program.terminate();
    program.resume();
    for client in &mut clients {
        assert!(
            client.receive().is_ok_and(|response| response.is_some()),
            "{faults}"
        );
    }
    started.elapsed()
}

/// Connections that can't be registered immediately must not delay the connections queued after
/// them for long, as SIGKILL may follow soon.
#[test]
fn registration_errors_hardly_delay_other_connections() {
    let without_faults = time_to_serve_queued_clients("");
    for error in [ENOMEM, ENOSPC] {
        let with_faults =
            time_to_serve_queued_clients(&format!("epoll_ctl_accepted:{error}:1:2:{UNLIMITED}"));
        assert!(
            with_faults < 3 * without_faults + Duration::from_millis(500),
            "took {with_faults:?}, expected less than 0.5 s plus three times {without_faults:?}, \
             the time without faults, error {error}"
        );
    }
}

#[test]
fn local_connect_errors_fail_no_request_and_count_against_no_upstream() {
    let calls = [
        ("connect", EINTR),
        ("connect", EADDRNOTAVAIL),
        ("connect", ENETUNREACH),
        ("connect", EAGAIN),
    ];
    let calls =
        calls
            .into_iter()
            .chain([("connect", ENOMEM), ("socket", ENOBUFS), ("socket", ENFILE)]);
    for (call, error) in calls {
        // The upstreams close each connection after one response, so each request needs a new
        // connection.
        let upstreams: Vec<_> = (0..3)
            .map(|_| StubUpstream::start(StubResponse::OkThenClose))
            .collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        // From the fifth call on, two of three calls fail. The first calls, which the program makes
        // at startup, succeed.
        let faults = format!("{call}:{error}:5:3:{UNLIMITED},{call}:{error}:6:3:{UNLIMITED}");
        let (program, _discovery) = start(&faults, &addresses, 256);
        let mut client = program.client();
        for _ in 0..60 {
            let response = client.request("/pay", REQUEST_ID, "coins");
            assert_eq!(response.status(), 200, "{call}, error {error}");
            // Waits for the close, because a request that is written to the connection before that
            // may have run and would not be retried.
            let served_by = |upstream: &&StubUpstream| {
                response
                    .body
                    .ends_with(upstream.address.to_string().as_bytes())
            };
            let upstream = upstreams.iter().find(served_by);
            upstream
                .expect("the response names none of the upstreams")
                .wait_for_close();
        }
        for upstream in &upstreams {
            let seen = upstream.seen.try_iter().count();
            // The rotation balances the time that requests take, which varies on a busy machine, so
            // the counts may differ from an even share of 20. An ejected upstream would receive far
            // fewer requests.
            assert!(
                (12..=30).contains(&seen),
                "{seen} of 60 requests at one of three upstreams, expected 12 to 30, \
                    {call}, error {error}"
            );
        }
    }
}

#[test]
fn startup_retries_transient_socket_errors() {
    for error in [ENFILE, EMFILE, ENOBUFS, ENOMEM] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) =
            start(&format!("socket:{error}:1:1:6"), &[upstream.address], 256);
        assert_eq!(
            program.client().request("/read", REQUEST_ID, "").status(),
            200,
            "error {error}"
        );
    }
}

/// The process makes these calls before it listens. In each run, two calls in a row or every second
/// call fail, from the first call or a later one on.
#[test]
fn startup_retries_transient_errors_of_every_call() {
    let calls = [
        ("open", ENFILE, 1),
        ("open", EMFILE, 1),
        ("socketpair", ENFILE, 3),
        ("socketpair", ENOMEM, 3),
        ("epoll_create1", EMFILE, 1),
        ("eventfd", ENFILE, 1),
        ("epoll_ctl", ENOMEM, 8),
        ("epoll_ctl", ENOSPC, 8),
        ("getsockname", ENOBUFS, 2),
        ("setsockopt", ENOMEM, 4),
        ("listen", ENOBUFS, 1),
        ("pthread_create", EAGAIN, 1),
        ("bind", ENOMEM, 1),
    ];
    for (call, error, max_first) in calls {
        let temporary = (1..=max_first).map(|first| format!("{call}:{error}:{first}:1:2"));
        let every_second = (1..=2).map(|first| format!("{call}:{error}:{first}:2:{UNLIMITED}"));
        for faults in temporary.chain(every_second) {
            let upstream = StubUpstream::start(StubResponse::Ok);
            let discovery = StubDiscovery::start();
            let variables = [
                ("LD_PRELOAD", fault_injection_library()),
                ("FAULTS", &faults),
            ];
            let config = config_with_upstreams(&[upstream.address], discovery.address, 256);
            let program = Program::start_with(&variables, &config, "127.0.0.1:0");
            assert_eq!(
                program.client().request("/read", REQUEST_ID, "").status(),
                200,
                "{faults}"
            );
        }
    }
}

#[test]
fn a_reload_retries_opening_the_configuration() {
    for error in [ENFILE, EMFILE, ENOMEM, EIO] {
        let (upstream, old, new) = (
            StubUpstream::start(StubResponse::Ok),
            StubDiscovery::start(),
            StubDiscovery::start(),
        );
        let config = |discovery: &StubDiscovery| {
            config_with_upstreams(&[upstream.address], discovery.address, 256)
        };
        // The first open is made at startup and succeeds; the faults begin with the reload.
        let faults = format!("open:{error}:2:1:3");
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", &faults),
        ];
        let program = Program::start_with(&variables, &config(&old), "127.0.0.1:0");
        let _watch = old.next();
        program.reload(&config(&new));
        let _watch = new.next();
    }
}

/// Calls that are interrupted or fail for a temporary lack of buffers are retried.
#[test]
fn interrupted_reads_and_writes_fail_no_request() {
    let interrupted = ["recv", "send", "writev", "poll", "epoll_wait"].map(|call| (call, EINTR));
    let exhausted = ["recv", "send", "writev"].map(|call| (call, ENOBUFS));
    for (call, error) in interrupted.into_iter().chain(exhausted) {
        let upstreams: Vec<_> = (0..2)
            .map(|_| StubUpstream::start(StubResponse::Ok))
            .collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        let (program, _discovery) =
            start(&format!("{call}:{error}:7:5:{UNLIMITED}"), &addresses, 256);
        let mut client = program.client();
        for _ in 0..200 {
            client.send("/pay", REQUEST_ID, "coins").unwrap();
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|response| response.status());
            assert_eq!(status, Some(200), "{call}, error {error}");
        }
    }
}

/// A connection that breaks counts as reset whichever error reports it: a request that may have
/// run is not retried, and a 503 means that the request did not run.
///
/// If a call fails during a request, the balancer makes nine calls of recv for that request. If
/// every ninth call of recv fails, it may therefore fail at the same point of each request, even
/// where the response is read after the request has run. In that case only one served request is
/// required.
#[test]
fn request_runs_at_most_once_whichever_error_ends_its_connection() {
    for error in [ETIMEDOUT, EHOSTUNREACH, ECONNRESET] {
        let frequent =
            ["recv", "send", "writev"].map(|call| (call, 9, if call == "recv" { 0 } else { 40 }));
        let rare = ["recv", "send", "writev"].map(|call| (call, 31, 45));
        for (call, every, min_served) in frequent.into_iter().chain(rare) {
            let upstreams: Vec<_> = (0..3)
                .map(|_| StubUpstream::start(StubResponse::Ok))
                .collect();
            let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
            let (program, _discovery) = start(
                &format!("{call}:{error}:7:{every}:{UNLIMITED}"),
                &addresses,
                256,
            );
            let statuses: Vec<_> = (0..60)
                .map(|number| {
                    let mut client = program.client();
                    // The path identifies the request at the upstream.
                    let sent = client.send(&format!("/pay/{number}"), REQUEST_ID, "coins");
                    sent.ok()
                        .and_then(|()| client.receive().ok().flatten())
                        .map(|response| response.status())
                })
                .collect();
            let seen: Vec<_> = upstreams
                .iter()
                .flat_map(|upstream| upstream.seen.try_iter())
                .collect();
            for (number, status) in statuses.iter().enumerate() {
                let line = format!("POST /pay/{number} HTTP/1.1");
                let runs = seen
                    .iter()
                    .filter(|message| message.start_line == line)
                    .count();
                assert!(
                    runs <= 1,
                    "request {number} ran {runs} times, {call}, error {error}"
                );
                match status {
                    Some(200) => assert_eq!(runs, 1, "request {number}, {call}, error {error}"),
                    Some(503) => assert_eq!(runs, 0, "request {number}, {call}, error {error}"),
                    _ => {}
                }
            }
            let served = statuses
                .iter()
                .filter(|status| **status == Some(200))
                .count();
            assert!(
                served > min_served,
                "{served} of 60 requests served, expected more than {min_served}, \
                    every {every}th call of {call} fails with error {error}"
            );
        }
    }
}

/// Signals are passed on inside the process by send and recv, and these calls may be interrupted.
#[test]
fn signals_are_handled_though_their_notification_is_interrupted() {
    for call in ["recv", "send"] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
        let (first, second) = (StubDiscovery::start(), StubDiscovery::start());
        let faults = format!("{call}:{EINTR}:1:1:3");
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", &faults),
        ];
        let mut program = Program::start_with(
            &variables,
            &config(&known, first.address, 256),
            "127.0.0.1:0",
        );
        program.reload(&config(&known, second.address, 256));
        second.next();
        assert_eq!(
            program.client().request("/read", REQUEST_ID, "").status(),
            200,
            "{call}"
        );
        program.terminate();
        assert!(program.wait().success(), "{call}");
    }
}
