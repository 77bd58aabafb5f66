//! The admin endpoint of the real program.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::Duration;

const ID: &str = "Request-Id: {id}\r\n";

#[test]
fn operators_are_answered_beside_callers_that_never_finish_their_call() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let half = "POST /healthcheck/fail HTTP/1.1\r\nHost: c";
    let mut slow: Vec<_> = (0..60).map(|_| program.operator()).collect();
    slow.iter_mut()
        .step_by(2)
        .for_each(|caller| caller.write(half));
    assert_eq!(program.call("GET /healthcheck").0, 200);
    assert_eq!(program.call("GET /stats").0, 200);
    // None is kept for ever, and none of them has said anything.
    slow.iter_mut()
        .for_each(|caller| assert!(caller.is_closed()));
    assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
}

#[test]
fn operators_are_answered_when_clients_hold_every_descriptor() {
    let upstream = Upstream::start(Reply::Silent);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let clients: Vec<_> = (0..300).map(|_| program.client()).collect();
    assert_eq!(program.call("GET /healthcheck").0, 200);
    drop(clients);
}

#[test]
fn what_is_no_call_is_told_so_and_changes_nothing() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let cases = [
        ("GET / HTTP/1.1\r\nHost: c\r\n\r\n".to_string(), 404),
        ("GET /healthcheck/fail HTTP/1.1\r\nHost: c\r\n\r\n".into(), 405),
        ("POST /stats HTTP/1.1\r\nHost: c\r\n\r\n".into(), 405),
        ("POST /healthcheck/fail HTTP/1.1\r\nHost: c\r\nContent-Length: 9999\r\n\r\n".into(), 413),
        (
            "POST /healthcheck/fail HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into(),
            400,
        ),
        ("nonsense\r\n\r\n".into(), 400),
        (format!("POST /healthcheck/fail HTTP/1.1\r\nNews: {}", "x".repeat(20_000)), 431),
    ];
    for (text, status) in cases {
        let mut operator = program.operator();
        operator.write(&text);
        assert_eq!(
            operator.receive().unwrap().map(|answer| answer.status()),
            Some(status),
            "{text:.99}"
        );
        assert!(operator.is_closed());
    }
    assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
}

/// Guards against figures that count twice, or not at all: each ending stands under one count,
/// and an attempt counts once it is written.
#[test]
fn figures_tell_how_requests_ended() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    for _ in 0..3 {
        assert_eq!(client.ask("/read", ID, "").status(), 200);
    }
    upstream.set(Reply::CutOff);
    assert_eq!(client.ask("/pay", ID, "coins").status(), 502);
    upstream.set(Reply::NotStarted);
    assert_eq!(client.ask("/pay", ID, "coins").status(), 503);
    upstream.set(Reply::Silent);
    let mut leaving = program.client();
    leaving.send("/pay", ID, "coins").unwrap();
    until("the last attempt is written", || {
        program.figure("attempts") == 6
    });
    assert_eq!(program.figure("in_flight"), 1);
    drop(leaving);
    until("its client has left", || program.figure("in_flight") == 0);
    // No proper request.
    assert_eq!(client.ask("/pay", "", "coins").status(), 400);
    let counts = [
        ("served.read", 3),
        ("served.pay", 0),
        ("refused.pay", 1),
        ("failed.pay", 1),
        ("failed.read", 0),
        ("upstreams_known", 1),
    ];
    for (name, count) in counts {
        assert_eq!(program.figure(name), count, "{name}");
    }
}

/// Guards against clients that stay with a drained balancer, and against losing what they have
/// asked.
#[test]
fn a_drained_balancer_sends_its_clients_away_and_takes_them_back() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let (mut busy, mut idle) = (program.client(), program.client());
    assert_eq!(busy.ask("/pay", ID, "coins").status(), 200);
    assert_eq!(idle.ask("/pay", ID, "coins").status(), 200);
    for _ in 0..2 {
        assert_eq!(program.call("POST /healthcheck/fail").0, 200);
    }
    assert_eq!(program.call("GET /healthcheck").0, 503);
    assert_eq!(program.client().ask("/healthz", "", "").status(), 503);
    // It goes on serving what comes, and says that the connection ends.
    let answer = busy.ask("/pay", ID, "coins");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(busy.is_closed() && idle.is_closed());
    let mut late = program.client();
    assert_eq!(late.ask("/pay", ID, "coins").status(), 200);
    assert!(late.is_closed());
    assert_eq!(program.call("POST /healthcheck/ok").0, 200);
    assert_eq!(program.call("GET /healthcheck").0, 200);
    let mut back = program.client();
    for _ in 0..2 {
        assert_eq!(back.ask("/healthz", "", "").status(), 200);
        assert_eq!(back.ask("/pay", ID, "coins").status(), 200);
    }
}

#[test]
fn without_a_console_the_program_runs_as_before() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    assert_eq!(program.console, None);
    assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
}

/// Guards against calls to an upstream that is being worked on: the operators' word holds against
/// the list, until the one call that takes it back.
#[test]
fn an_upstream_is_left_out_until_it_is_put_back() {
    let (one, two) = (Upstream::start(Reply::Ok), Upstream::start(Reply::Ok));
    let (program, discovery) = Program::with_console(&[one.address, two.address]);
    let mut watch = discovery.next();
    let mut client = program.client();
    for _ in 0..10 {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    }
    assert!(one.seen.try_iter().count() > 0 && two.seen.try_iter().count() > 0);
    for _ in 0..2 {
        assert_eq!(program.call("POST /upstreams/u0/maint").0, 200);
    }
    one.closed
        .recv_timeout(PATIENCE)
        .expect("the idle connection to it is closed");
    // Discovery lists it again, and again as in service.
    watch.line(&list(6, true, &[endpoint("u1", two.address, "in_service")]));
    until("it has gone from the list", || {
        program.figure("upstreams_known") == 1
    });
    let both = [
        endpoint("u0", one.address, "in_service"),
        endpoint("u1", two.address, "in_service"),
    ];
    watch.line(&list(7, true, &both));
    until("it is back on the list", || {
        program.figure("upstreams_known") == 2
    });
    assert_eq!(program.figure("upstreams_excluded"), 1);
    for _ in 0..10 {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    }
    assert_eq!(
        (one.seen.try_iter().count(), two.seen.try_iter().count()),
        (0, 10)
    );
    assert_eq!(program.call("POST /upstreams/%750/ready").0, 200);
    assert_eq!(program.figure("upstreams_excluded"), 0);
    until("it is used again", || {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
        one.seen.try_iter().count() > 0
    });
}

#[test]
fn an_upstream_that_nobody_knows_is_owed_a_no() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    for path in [
        "/upstreams/u7/maint",
        "/upstreams/u7/ready",
        "/upstreams//maint",
        "/upstreams/u%200/maint",
    ] {
        assert_eq!(program.call(&format!("POST {path}")).0, 404, "{path}");
    }
    assert_eq!(program.call("POST /upstreams/%ff/maint").0, 400);
    assert_eq!(program.figure("upstreams_excluded"), 0);
    assert_eq!(program.client().ask("/pay", ID, "coins").status(), 200);
}

/// Guards against clients that are turned away for the sake of connections that only asked for
/// health.
#[test]
fn connections_that_only_asked_for_health_make_room_for_requests() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let healthy: Vec<_> = (0..200)
        .map(|_| {
            let mut client = program.client();
            // Where there is no room for it, it is told so.
            client.ask("/healthz", "", "");
            client
        })
        .collect();
    // Long enough that each may go; more does no harm.
    sleep(Duration::from_millis(60));
    let ask = |mut client: Client| {
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
        client
    };
    let clients: Vec<_> = (0..40).map(|_| ask(program.client())).collect();
    // Nor is one of them closed for the sake of another.
    clients.into_iter().map(ask).for_each(drop);
    drop(healthy);
}

/// Guards against figures that leave out who was turned away for want of room.
#[test]
fn a_request_refused_for_want_of_room_is_counted() {
    // So many that the module turns nobody away.
    let upstreams: Vec<_> = (0..12).map(|_| Upstream::start(Reply::Silent)).collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_console(&addresses);
    let mut busy: Vec<_> = (0..160).map(|_| program.client()).collect();
    busy.iter_mut()
        .for_each(|client| client.send("/pay", ID, "coins").unwrap());
    let mut refused = 0;
    until("one has no room", || {
        let mut client = program.client();
        // It may be closed at once, with no room even for a word.
        let answer = client.send("/read", ID, "").and_then(|()| client.receive());
        refused += u64::from(
            answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 503)),
        );
        refused > 0
    });
    assert_eq!(program.figure("refused.read"), refused);
}

/// Guards against closing on a client in the middle of a request, be it when the process ends or
/// clients are sent away.
#[test]
fn a_request_that_has_half_come_is_served_before_its_connection_ends() {
    for drain in [false, true] {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_console(&[upstream.address]);
        let mut client = program.client();
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
        client.write("POST /pay HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: dd0");
        match drain {
            true => assert_eq!(program.call("POST /healthcheck/fail").0, 200),
            false => program.terminate(),
        }
        until("it sends clients away", || {
            program.call("GET /healthcheck").0 == 503
        });
        // Longer than an idle connection is kept then, and shorter than a head may take.
        sleep(Duration::from_millis(1000));
        client.write("1\r\nContent-Length: 5\r\n\r\ncoins");
        let answer = client.receive().unwrap().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close")),
            "{drain}"
        );
        assert!(client.is_closed());
    }
}

/// Guards against a request that is still open when the process is killed: a body that comes too
/// slowly for that is turned away in time.
#[test]
fn a_body_that_still_comes_is_turned_away_before_sigkill() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.write(
        "POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: dd02\r\nContent-Length: 9000000\r\n\r\n",
    );
    client.write(&"x".repeat(200_000));
    until("it is taken", || program.figure("in_flight") == 1);
    program.terminate();
    // It goes on sending: for longer than the process may live, if nobody answers.
    let mut writer = client.writer();
    let sending = std::thread::spawn(move || {
        for _ in 0..400 {
            if writer(&"x".repeat(5000)).is_err() {
                return false;
            }
            sleep(Duration::from_millis(50));
        }
        true
    });
    assert_eq!(client.receive().unwrap().expect("an answer").status(), 503);
    assert!(!sending.is_finished(), "it came while the body did");
    assert!(upstream.seen.try_recv().is_err());
}
