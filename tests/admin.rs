//! The admin endpoint of the running program.

mod support;
use std::thread::sleep;
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

#[test]
fn admin_requests_are_answered_despite_unfinished_ones() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let partial_request = "POST /healthcheck/fail HTTP/1.1\r\nHost: c";
    let mut unfinished: Vec<_> = (0..60).map(|_| program.connect_admin()).collect();
    for admin_client in unfinished.iter_mut().step_by(2) {
        admin_client.write(partial_request);
    }
    assert_eq!(program.admin_request("GET /healthcheck").0, 200);
    assert_eq!(program.admin_request("GET /stats").0, 200);
    // The balancer closes connections without a complete request, and sends no response on them.
    for admin_client in &mut unfinished {
        assert!(admin_client.is_closed_by_peer());
    }
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
}

#[test]
fn admin_requests_are_answered_when_clients_hold_every_descriptor() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let clients: Vec<_> = (0..300).map(|_| program.client()).collect();
    assert_eq!(program.admin_request("GET /healthcheck").0, 200);
    drop(clients);
}

#[test]
fn an_invalid_request_gets_its_status_and_changes_nothing() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let cases = [
        ("GET / HTTP/1.1\r\nHost: c\r\n\r\n".to_string(), 404),
        (
            "GET /healthcheck/fail HTTP/1.1\r\nHost: c\r\n\r\n".into(),
            405,
        ),
        ("POST /stats HTTP/1.1\r\nHost: c\r\n\r\n".into(), 405),
        (
            "POST /healthcheck/fail HTTP/1.1\r\nHost: c\r\nContent-Length: 9999\r\n\r\n".into(),
            413,
        ),
        (
            "POST /healthcheck/fail HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n\
                zz\r\n"
                .into(),
            400,
        ),
        ("nonsense\r\n\r\n".into(), 400),
        (
            format!(
                "POST /healthcheck/fail HTTP/1.1\r\nNews: {}",
                "x".repeat(20_000)
            ),
            431,
        ),
    ];
    for (text, status) in cases {
        let mut admin_client = program.connect_admin();
        admin_client.write(&text);
        assert_eq!(
            admin_client
                .receive()
                .unwrap()
                .map(|response| response.status()),
            Some(status),
            "{text:.99}"
        );
        assert!(admin_client.is_closed_by_peer());
    }
    assert_eq!(program.client().request("/healthz", "", "").status(), 200);
}

#[test]
fn metrics_count_each_outcome_and_each_written_attempt_once() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    for _ in 0..3 {
        assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
    }
    upstream.set_response(StubResponse::Truncate);
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 502);
    upstream.set_response(StubResponse::Rejected);
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 503);
    upstream.set_response(StubResponse::NoResponse);
    let mut disconnecting = program.client();
    disconnecting.send("/pay", REQUEST_ID, "coins").unwrap();
    wait_until("the last attempt is written", || {
        program.metric("attempts") == 6
    });
    assert_eq!(program.metric("in_flight"), 1);
    drop(disconnecting);
    wait_until("the disconnect is noticed", || {
        program.metric("in_flight") == 0
    });
    // A request without Request-Id is malformed and counts for no class.
    assert_eq!(client.request("/pay", "", "coins").status(), 400);
    let counts = [
        ("served.read", 3),
        ("served.pay", 0),
        ("refused.pay", 1),
        ("failed.pay", 1),
        ("failed.read", 0),
        ("upstreams_known", 1),
    ];
    for (name, count) in counts {
        assert_eq!(program.metric(name), count, "{name}");
    }
}

/// A client drain closes all client connections, and no request is lost.
#[test]
fn a_client_drain_closes_connections_after_a_response_and_can_be_ended() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let (mut busy, mut idle) = (program.client(), program.client());
    assert_eq!(busy.request("/pay", REQUEST_ID, "coins").status(), 200);
    assert_eq!(idle.request("/pay", REQUEST_ID, "coins").status(), 200);
    for _ in 0..2 {
        assert_eq!(program.admin_request("POST /healthcheck/fail").0, 200);
    }
    assert_eq!(program.admin_request("GET /healthcheck").0, 503);
    assert_eq!(program.client().request("/healthz", "", "").status(), 503);
    // Requests are still served; the response announces the close.
    let response = busy.request("/pay", REQUEST_ID, "coins");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(busy.is_closed_by_peer() && idle.is_closed_by_peer());
    let mut late = program.client();
    assert_eq!(late.request("/pay", REQUEST_ID, "coins").status(), 200);
    assert!(late.is_closed_by_peer());
    assert_eq!(program.admin_request("POST /healthcheck/ok").0, 200);
    assert_eq!(program.admin_request("GET /healthcheck").0, 200);
    let mut after_drain = program.client();
    for _ in 0..2 {
        assert_eq!(after_drain.request("/healthz", "", "").status(), 200);
        assert_eq!(
            after_drain.request("/pay", REQUEST_ID, "coins").status(),
            200
        );
    }
}

#[test]
fn the_program_runs_without_an_admin_endpoint() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    assert_eq!(program.admin, None);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
}

/// Operators may still be working on the upstream when discovery lists it again.
#[test]
fn maintenance_outlasts_changes_of_the_endpoint_list() {
    let (one, two) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) = Program::with_admin(&[one.address, two.address]);
    let mut watch = discovery.next();
    let mut client = program.client();
    for _ in 0..10 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert!(one.seen.try_iter().count() > 0 && two.seen.try_iter().count() > 0);
    for _ in 0..2 {
        assert_eq!(program.admin_request("POST /upstreams/u0/maint").0, 200);
    }
    one.closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is not closed");
    // Discovery removes u0 and lists it again as in service.
    watch.send_line(&list(6, true, &[endpoint("u1", two.address, "in_service")]));
    wait_until("u0 is removed from the list", || {
        program.metric("upstreams_known") == 1
    });
    let both = [
        endpoint("u0", one.address, "in_service"),
        endpoint("u1", two.address, "in_service"),
    ];
    watch.send_line(&list(7, true, &both));
    wait_until("u0 is on the list again", || {
        program.metric("upstreams_known") == 2
    });
    assert_eq!(program.metric("upstreams_excluded"), 1);
    for _ in 0..10 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(
        (one.seen.try_iter().count(), two.seen.try_iter().count()),
        (0, 10)
    );
    assert_eq!(program.admin_request("POST /upstreams/%750/ready").0, 200);
    assert_eq!(program.metric("upstreams_excluded"), 0);
    wait_until("u0 receives requests again", || {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
        one.seen.try_iter().count() > 0
    });
}

#[test]
fn maintenance_of_an_unknown_upstream_is_not_found() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    for path in [
        "/upstreams/u7/maint",
        "/upstreams/u7/ready",
        "/upstreams//maint",
        "/upstreams/u%200/maint",
    ] {
        assert_eq!(
            program.admin_request(&format!("POST {path}")).0,
            404,
            "{path}"
        );
    }
    assert_eq!(program.admin_request("POST /upstreams/%ff/maint").0, 400);
    assert_eq!(program.metric("upstreams_excluded"), 0);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
}

#[test]
fn connections_with_only_health_checks_are_evicted_for_requests() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let health_check_clients: Vec<_> = (0..200)
        .map(|_| {
            let mut client = program.client();
            // Beyond the capacity, clients get an error response, so the status isn't checked.
            client.request("/healthz", "", "");
            client
        })
        .collect();
    // Connections that have carried only health checks may be evicted once they have been idle for
    // 30 ms. A longer pause does no harm.
    sleep(Duration::from_millis(60));
    let send_request = |mut client: Client| {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
        client
    };
    let clients: Vec<_> = (0..40).map(|_| send_request(program.client())).collect();
    // None of these connections is evicted for another one.
    clients.into_iter().map(send_request).for_each(drop);
    drop(health_check_clients);
}

#[test]
fn request_rejected_for_lack_of_capacity_is_counted() {
    // With this many upstreams, the decision module rejects no request.
    let upstreams: Vec<_> = (0..12)
        .map(|_| StubUpstream::start(StubResponse::NoResponse))
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (program, _discovery) = Program::with_admin(&addresses);
    let mut busy: Vec<_> = (0..160).map(|_| program.client()).collect();
    for client in &mut busy {
        client.send("/pay", REQUEST_ID, "coins").unwrap();
    }
    let mut rejected = 0;
    wait_until("a request is rejected", || {
        let mut client = program.client();
        // The connection may be closed immediately if there is no capacity even for a response.
        let response = client
            .send("/read", REQUEST_ID, "")
            .and_then(|()| client.receive());
        rejected += u64::from(
            response
                .is_ok_and(|response| response.is_some_and(|response| response.status() == 503)),
        );
        rejected > 0
    });
    assert_eq!(program.metric("refused.read"), rejected);
}

/// A partial request may be completed during a graceful shutdown and during a client drain.
#[test]
fn partial_request_is_served_before_its_connection_closes() {
    for is_client_drain in [false, true] {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = Program::with_admin(&[upstream.address]);
        let mut client = program.client();
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
        client.write("POST /pay HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: dd0");
        if is_client_drain {
            assert_eq!(program.admin_request("POST /healthcheck/fail").0, 200);
        } else {
            program.terminate();
        }
        wait_until("the process is draining", || {
            program.admin_request("GET /healthcheck").0 == 503
        });
        // This is longer than the 0.7 s that an idle connection stays open in a drain, and shorter
        // than the time limit of 2.5 s for a head.
        sleep(Duration::from_millis(1000));
        client.write("1\r\nContent-Length: 5\r\n\r\ncoins");
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close")),
            "client drain: {is_client_drain}"
        );
        assert!(client.is_closed_by_peer());
    }
}

/// A graceful shutdown rejects a request whose body is still being received. The request would
/// otherwise be open when SIGKILL ends the process.
#[test]
fn request_with_an_incomplete_body_is_rejected_before_sigkill() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    let mut client = program.client();
    client.write(
        "POST /pay HTTP/1.1\r\nHost: b\r\nRequest-Id: dd02\r\nContent-Length: 9000000\r\n\r\n",
    );
    client.write(&"x".repeat(200_000));
    wait_until("the request is accepted", || {
        program.metric("in_flight") == 1
    });
    program.terminate();
    // Sends for 20 s, longer than the process may run after SIGTERM, or until a write fails.
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
    assert_eq!(
        client.receive().unwrap().expect("no response").status(),
        503
    );
    assert!(
        !sending.is_finished(),
        "the client stopped sending its body before it received the response"
    );
    assert!(upstream.seen.try_recv().is_err());
}
