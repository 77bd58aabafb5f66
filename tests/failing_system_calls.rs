//! System calls that fail for a moment, in all the ways that Linux documents.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\n";

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

/// More than any test makes.
const ALWAYS: u32 = 1_000_000;

/// A program with these upstreams, of whose calls some fail.
fn start(faults: &str, upstreams: &[SocketAddr], sockets: usize) -> (Program, DiscoveryPeer) {
    let discovery = DiscoveryPeer::start();
    let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults)];
    (
        Program::start_with(
            &variables,
            &config_of(upstreams, discovery.address, sockets),
            "127.0.0.1:0",
        ),
        discovery,
    )
}

/// Clients that have connected and not asked yet are not closed because the next one could not be taken at once.
#[test]
fn an_accept_that_fails_for_a_moment_closes_no_other_connection() {
    for error in [ECONNABORTED, ENOBUFS, EINTR, ENFILE, EMFILE] {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = start(
            &format!("accept4:{error}:1:3:{ALWAYS}"),
            &[upstream.address],
            256,
        );
        let before = program.descriptors();
        let mut clients = Vec::new();
        for number in 1..=12 {
            let client = program.client();
            until("it is taken", || program.descriptors() >= before + number);
            clients.push(client);
        }
        for client in &mut clients {
            client.send("/read", ID, "").unwrap();
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|answer| answer.status());
            assert_eq!(status, Some(200), "error {error}");
        }
    }
}

/// A connection that has been taken is served though the runtime can't watch it at once, also if SIGTERM comes meanwhile.
#[test]
fn a_connection_that_can_not_be_watched_at_once_is_served() {
    for error in [ENOMEM, ENOSPC] {
        let upstream = Upstream::start(Reply::Ok);
        // The first connection, and then one of those beside SIGTERM, for some 0.2 s each.
        let faults =
            format!("epoll_ctl_accepted:{error}:1:1:20,epoll_ctl_accepted:{error}:25:1:20");
        let (mut program, _discovery) = start(&faults, &[upstream.address], 256);
        let mut client = program.client();
        client.send("/pay", ID, "coins").unwrap();
        assert_eq!(
            client.receive().unwrap().expect("an answer").status(),
            200,
            "error {error}"
        );
        let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
        clients
            .iter_mut()
            .for_each(|client| client.send("/pay", ID, "coins").unwrap());
        program.terminate();
        for client in &mut clients {
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|answer| answer.status());
            assert_eq!(status, Some(200), "error {error}");
        }
        assert!(program.wait().success());
    }
}

/// Whoever connected before the listener closed has an answer, though the last calls to accept fail.
#[test]
fn connections_that_wait_when_the_listener_closes_are_taken_though_accept_fails() {
    for (error, times) in [(ECONNABORTED, 300), (ENOBUFS, 95), (EMFILE, 95)] {
        let upstream = Upstream::start(Reply::Ok);
        let (mut program, _discovery) = start(
            &format!("accept4:{error}:1:1:{times}"),
            &[upstream.address],
            256,
        );
        let mut clients: Vec<_> = (0..8).map(|_| program.client()).collect();
        clients
            .iter_mut()
            .for_each(|client| client.send("/pay", ID, "coins").unwrap());
        program.terminate();
        for client in &mut clients {
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|answer| answer.status());
            assert_eq!(status, Some(200), "error {error}");
        }
        assert!(program.wait().success());
    }
}

/// Nor does a shortage at each second call keep many so long that the listener closes first: with deadlines of 0.5 s that
/// is 0.95 s after SIGTERM.
#[test]
fn many_connections_are_taken_in_time_though_each_second_accept_fails() {
    for error in [ENOBUFS, ENFILE, EMFILE] {
        let (upstream, discovery) = (Upstream::start(Reply::Ok), DiscoveryPeer::start());
        let config = config_of(&[upstream.address], discovery.address, 1024).replace(
            "\"aim\":5.0,\"hardLimit\":10.0",
            "\"aim\":0.5,\"hardLimit\":0.5",
        );
        let faults = format!("accept4:{error}:1:2:{ALWAYS}");
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", &faults)];
        let program = Program::start_with(&variables, &config, "127.0.0.1:0");
        program.hold();
        let mut clients: Vec<_> = (0..200).map(|_| program.client()).collect();
        clients
            .iter_mut()
            .for_each(|client| client.send("/read", ID, "").unwrap());
        program.terminate();
        program.go_on();
        for client in &mut clients {
            assert!(
                client.receive().is_ok_and(|answer| answer.is_some()),
                "error {error}"
            );
        }
    }
}

/// How long it takes to answer many that had connected before SIGTERM.
fn time_of_many(faults: &str) -> Duration {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = start(faults, &[upstream.address], 1024);
    program.hold();
    let mut clients: Vec<_> = (0..300).map(|_| program.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.send("/read", ID, "").unwrap());
    let begin = Instant::now();
    program.terminate();
    program.go_on();
    for client in &mut clients {
        assert!(
            client.receive().is_ok_and(|answer| answer.is_some()),
            "{faults}"
        );
    }
    begin.elapsed()
}

/// Connections that can't be watched at once keep those behind them for a moment only: SIGKILL may be close.
#[test]
fn many_connections_are_served_soon_though_each_second_can_not_be_watched() {
    let usual = time_of_many("");
    for error in [ENOMEM, ENOSPC] {
        let time = time_of_many(&format!("epoll_ctl_accepted:{error}:1:2:{ALWAYS}"));
        assert!(
            time < 3 * usual + Duration::from_millis(500),
            "{time:?}, else {usual:?}, error {error}"
        );
    }
}

/// Errors of connect that speak of this machine cost no request its answer, and no upstream its turns.
#[test]
fn a_connect_that_fails_for_a_moment_costs_no_answer_and_no_upstream_its_turns() {
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
        // Each request on a connection of its own.
        let upstreams: Vec<_> = (0..3)
            .map(|_| Upstream::start(Reply::OkThenClose))
            .collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        // Two of three fail, but for the first ones, which are those of the start.
        let faults = format!("{call}:{error}:5:3:{ALWAYS},{call}:{error}:6:3:{ALWAYS}");
        let (program, _discovery) = start(&faults, &addresses, 256);
        let mut client = program.client();
        for _ in 0..60 {
            assert_eq!(
                client.ask("/pay", ID, "coins").status(),
                200,
                "{call}, error {error}"
            );
        }
        for upstream in &upstreams {
            let seen = upstream.seen.try_iter().count();
            // Turns are even in the time that calls take, which differs on a busy machine. One that is ejected gets few.
            assert!(
                (12..=30).contains(&seen),
                "{seen} calls of 60 at one of three, {call}, error {error}"
            );
        }
    }
}

/// A socket that can't be had for a moment keeps no process from starting.
#[test]
fn a_start_outlasts_sockets_that_fail_for_a_moment() {
    for error in [ENFILE, EMFILE, ENOBUFS, ENOMEM] {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) =
            start(&format!("socket:{error}:1:1:6"), &[upstream.address], 256);
        assert_eq!(
            program.client().ask("/read", ID, "").status(),
            200,
            "error {error}"
        );
    }
}

/// Nor does any other call that it makes before it listens end it, if that fails for a moment: not the first one of its
/// kind, nor a later one, nor each second one for as long as it runs.
#[test]
fn a_start_outlasts_every_call_that_fails_for_a_moment() {
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
    for (call, error, last) in calls {
        let now_and_then = (1..=last).map(|first| format!("{call}:{error}:{first}:1:2"));
        let each_second = (1..=2).map(|first| format!("{call}:{error}:{first}:2:{ALWAYS}"));
        for faults in now_and_then.chain(each_second) {
            let upstream = Upstream::start(Reply::Ok);
            let discovery = DiscoveryPeer::start();
            let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", &faults)];
            let config = config_of(&[upstream.address], discovery.address, 256);
            let program = Program::start_with(&variables, &config, "127.0.0.1:0");
            assert_eq!(
                program.client().ask("/read", ID, "").status(),
                200,
                "{faults}"
            );
        }
    }
}

/// A new configuration counts though it can't be read at once.
#[test]
fn a_new_configuration_is_read_though_its_file_can_not_be_opened_at_once() {
    for error in [ENFILE, EMFILE, ENOMEM, EIO] {
        let (upstream, old, new) = (
            Upstream::start(Reply::Ok),
            DiscoveryPeer::start(),
            DiscoveryPeer::start(),
        );
        let config =
            |discovery: &DiscoveryPeer| config_of(&[upstream.address], discovery.address, 256);
        // The first one is read at the start.
        let faults = format!("open:{error}:2:1:3");
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", &faults)];
        let program = Program::start_with(&variables, &config(&old), "127.0.0.1:0");
        let _watch = old.next();
        program.reload(&config(&new));
        let _watch = new.next();
    }
}

/// A call that is interrupted, or short of memory for a moment, is made again.
#[test]
fn interrupted_reads_and_writes_cut_no_request() {
    let interrupted = ["recv", "send", "writev", "poll", "epoll_wait"].map(|call| (call, EINTR));
    let short = ["recv", "send", "writev"].map(|call| (call, ENOBUFS));
    for (call, error) in interrupted.into_iter().chain(short) {
        let upstreams: Vec<_> = (0..2).map(|_| Upstream::start(Reply::Ok)).collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        let (program, _discovery) = start(&format!("{call}:{error}:7:5:{ALWAYS}"), &addresses, 256);
        let mut client = program.client();
        for _ in 0..200 {
            client.send("/pay", ID, "coins").unwrap();
            let status = client
                .receive()
                .ok()
                .flatten()
                .map(|answer| answer.status());
            assert_eq!(status, Some(200), "{call}, error {error}");
        }
    }
}

/// A connection that breaks in whatever way the system says so is a reset: nothing that may have run goes out again, and
/// whoever is told that nothing has run can rely on it.
///
/// A request with a fault takes nine calls of recv, so that each ninth one may hit the same call of every request, also the
/// one that reads the answer of a request that has run. How many are served is asked where it can't.
#[test]
fn a_broken_connection_runs_no_request_twice_whatever_the_system_calls_it() {
    for error in [ETIMEDOUT, EHOSTUNREACH, ECONNRESET] {
        let often =
            ["recv", "send", "writev"].map(|call| (call, 9, if call == "recv" { 0 } else { 40 }));
        let seldom = ["recv", "send", "writev"].map(|call| (call, 31, 45));
        for (call, every, least) in often.into_iter().chain(seldom) {
            let upstreams: Vec<_> = (0..3).map(|_| Upstream::start(Reply::Ok)).collect();
            let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
            let (program, _discovery) = start(
                &format!("{call}:{error}:7:{every}:{ALWAYS}"),
                &addresses,
                256,
            );
            let statuses: Vec<_> = (0..60)
                .map(|number| {
                    let mut client = program.client();
                    // The path tells which request it is.
                    let sent = client.send(&format!("/pay/{number}"), ID, "coins");
                    sent.ok()
                        .and_then(|()| client.receive().ok().flatten())
                        .map(|answer| answer.status())
                })
                .collect();
            let seen: Vec<_> = upstreams
                .iter()
                .flat_map(|upstream| upstream.seen.try_iter())
                .collect();
            for (number, status) in statuses.iter().enumerate() {
                let line = format!("POST /pay/{number} HTTP/1.1");
                let runs = seen.iter().filter(|message| message.first == line).count();
                assert!(runs <= 1, "{runs} runs of {number}, {call}, error {error}");
                match status {
                    Some(200) => assert_eq!(runs, 1, "{number}, {call}, error {error}"),
                    Some(503) => assert_eq!(runs, 0, "{number}, {call}, error {error}"),
                    _ => {}
                }
            }
            let served = statuses
                .iter()
                .filter(|status| **status == Some(200))
                .count();
            assert!(
                served > least,
                "{served} of 60 served, {call} {every}, error {error}"
            );
        }
    }
}

/// A signal is heard, and ends nothing that it should not, though the calls that tell of it inside the process are
/// interrupted.
#[test]
fn signals_are_heard_though_the_calls_that_tell_of_them_are_interrupted() {
    for call in ["recv", "send"] {
        let upstream = Upstream::start(Reply::Ok);
        let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
        let (first, second) = (DiscoveryPeer::start(), DiscoveryPeer::start());
        let faults = format!("{call}:{EINTR}:1:1:3");
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", &faults)];
        let mut program = Program::start_with(
            &variables,
            &config(&known, first.address, 256),
            "127.0.0.1:0",
        );
        program.reload(&config(&known, second.address, 256));
        second.next();
        assert_eq!(
            program.client().ask("/read", ID, "").status(),
            200,
            "{call}"
        );
        program.terminate();
        assert!(program.wait().success(), "{call}");
    }
}
