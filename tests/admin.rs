//! The admin endpoint of the real program.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::Duration;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

#[test]
fn admin_requests_are_answered_beside_callers_that_never_finish_theirs() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let half = "POST /healthcheck/fail HTTP/1.1\r\nHost: c";
    let mut slow: Vec<_> = (0..60).map(|_| program.operator()).collect();
    for caller in slow.iter_mut().step_by(2) {
        caller.write(half);
    }
    assert_eq!(program.call("GET /healthcheck").0, 200);
    assert_eq!(program.call("GET /stats").0, 200);
    // They are closed in the end, without a response.
    for caller in &mut slow {
        assert!(caller.is_closed());
    }
    assert_eq!(program.client().ask("/healthz", "", "").status(), 200);
}

#[test]
fn admin_requests_are_answered_when_clients_hold_every_descriptor() {
    let upstream = Upstream::start(Reply::Silent);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let clients: Vec<_> = (0..300).map(|_| program.client()).collect();
    assert_eq!(program.call("GET /healthcheck").0, 200);
    drop(clients);
}

#[test]
fn an_invalid_request_gets_its_status_and_changes_nothing() {
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

#[test]
fn figures_count_each_outcome_once_and_attempts_when_written() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    for _ in 0..3 {
        assert_eq!(client.ask("/read", REQUEST_ID, "").status(), 200);
    }
    upstream.set(Reply::CutOff);
    assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 502);
    upstream.set(Reply::NotStarted);
    assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 503);
    upstream.set(Reply::Silent);
    let mut leaving = program.client();
    leaving.send("/pay", REQUEST_ID, "coins").unwrap();
    until("the last attempt is written", || {
        program.figure("attempts") == 6
    });
    assert_eq!(program.figure("in_flight"), 1);
    drop(leaving);
    until("its client has disconnected", || {
        program.figure("in_flight") == 0
    });
    // Without an id the request is malformed.
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

/// Clients do not stay with a drained balancer, and lose no request.
#[test]
fn a_client_drain_closes_connections_after_a_response_and_can_be_ended() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let (mut busy, mut idle) = (program.client(), program.client());
    assert_eq!(busy.ask("/pay", REQUEST_ID, "coins").status(), 200);
    assert_eq!(idle.ask("/pay", REQUEST_ID, "coins").status(), 200);
    for _ in 0..2 {
        assert_eq!(program.call("POST /healthcheck/fail").0, 200);
    }
    assert_eq!(program.call("GET /healthcheck").0, 503);
    assert_eq!(program.client().ask("/healthz", "", "").status(), 503);
    // Requests are still served; the response announces the close.
    let answer = busy.ask("/pay", REQUEST_ID, "coins");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(busy.is_closed() && idle.is_closed());
    let mut late = program.client();
    assert_eq!(late.ask("/pay", REQUEST_ID, "coins").status(), 200);
    assert!(late.is_closed());
    assert_eq!(program.call("POST /healthcheck/ok").0, 200);
    assert_eq!(program.call("GET /healthcheck").0, 200);
    let mut back = program.client();
    for _ in 0..2 {
        assert_eq!(back.ask("/healthz", "", "").status(), 200);
        assert_eq!(back.ask("/pay", REQUEST_ID, "coins").status(), 200);
    }
}

#[test]
fn the_program_runs_without_an_admin_endpoint() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with(&[upstream.address]);
    assert_eq!(program.console, None);
    assert_eq!(
        program.client().ask("/pay", REQUEST_ID, "coins").status(),
        200
    );
}

/// Operators may be working on the upstream, whatever discovery lists.
#[test]
fn maintenance_holds_against_the_endpoint_list_until_it_is_ended() {
    let (one, two) = (Upstream::start(Reply::Ok), Upstream::start(Reply::Ok));
    let (program, discovery) = Program::with_console(&[one.address, two.address]);
    let mut watch = discovery.next();
    let mut client = program.client();
    for _ in 0..10 {
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert!(one.seen.try_iter().count() > 0 && two.seen.try_iter().count() > 0);
    for _ in 0..2 {
        assert_eq!(program.call("POST /upstreams/u0/maint").0, 200);
    }
    one.closed
        .recv_timeout(PATIENCE)
        .expect("its idle connection is closed");
    // Discovery removes it and lists it again as in service.
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
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(
        (one.seen.try_iter().count(), two.seen.try_iter().count()),
        (0, 10)
    );
    assert_eq!(program.call("POST /upstreams/%750/ready").0, 200);
    assert_eq!(program.figure("upstreams_excluded"), 0);
    until("it is used again", || {
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
        one.seen.try_iter().count() > 0
    });
}

#[test]
fn maintenance_of_an_unknown_upstream_is_not_found() {
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
    assert_eq!(
        program.client().ask("/pay", REQUEST_ID, "coins").status(),
        200
    );
}

#[test]
fn connections_that_only_checked_health_are_evicted_for_requests() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let healthy: Vec<_> = (0..200)
        .map(|_| {
            let mut client = program.client();
            // Without capacity for it, it gets an error.
            client.ask("/healthz", "", "");
            client
        })
        .collect();
    // Long enough that each may be evicted; more does no harm.
    sleep(Duration::from_millis(60));
    let ask = |mut client: Client| {
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
        client
    };
    let clients: Vec<_> = (0..40).map(|_| ask(program.client())).collect();
    // None of these is evicted for another.
    clients.into_iter().map(ask).for_each(drop);
    drop(healthy);
}

#[test]
fn a_request_rejected_for_want_of_capacity_is_counted() {
    // So many that the decision module rejects nothing.
    let upstreams: Vec<_> = (0..12).map(|_| Upstream::start(Reply::Silent)).collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_console(&addresses);
    let mut busy: Vec<_> = (0..160).map(|_| program.client()).collect();
    for client in &mut busy {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
    }
    let mut refused = 0;
    until("one is rejected", || {
        let mut client = program.client();
        // It may be closed at once, without capacity even for a response.
        let answer = client
            .send("/read", REQUEST_ID, "")
            .and_then(|()| client.receive());
        refused += u64::from(
            answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 503)),
        );
        refused > 0
    });
    assert_eq!(program.figure("refused.read"), refused);
}

/// At the end of the process, and in a client drain.
#[test]
fn a_request_that_has_arrived_in_part_is_served_before_its_connection_closes() {
    for drain in [false, true] {
        let upstream = Upstream::start(Reply::Ok);
        let (program, _discovery) = Program::with_console(&[upstream.address]);
        let mut client = program.client();
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
        client.write("POST /pay HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: dd0");
        if drain {
            assert_eq!(program.call("POST /healthcheck/fail").0, 200);
        } else {
            program.terminate();
        }
        until("it drains", || program.call("GET /healthcheck").0 == 503);
        // Longer than the grace of an idle connection, and shorter than a head may take.
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

/// Otherwise it would be open when the process is killed.
#[test]
fn a_request_whose_body_still_arrives_is_rejected_before_sigkill() {
    let upstream = Upstream::start(Reply::Ok);
    let (program, _discovery) = Program::with_console(&[upstream.address]);
    let mut client = program.client();
    client.write(
        "POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: dd02\r\nContent-Length: 9000000\r\n\r\n",
    );
    client.write(&"x".repeat(200_000));
    until("it is taken", || program.figure("in_flight") == 1);
    program.terminate();
    // Sends for longer than the process may live, unless a response comes.
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
