//! Changes of the endpoint list: draining upstreams and unknown status values.

mod support;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

#[test]
fn a_draining_upstream_gets_no_new_request() {
    let (old, new) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (program, discovery) = Program::with_upstreams(&[old.address]);
    let mut client = program.client();
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    let mut watch = discovery.next();
    assert!(
        watch.request_line.contains("follow=1") && watch.request_line.contains("since=5"),
        "request line {:?}, expected follow=1 and since=5",
        watch.request_line
    );
    watch.send_line("");
    watch.send_line(&list(
        6,
        false,
        &[
            endpoint("u0", old.address, "terminating"),
            endpoint("u9", new.address, "in_service"),
        ],
    ));
    // The idle connection is closed once the change has been received.
    old.closed.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(old.seen.try_iter().count(), 1);
    for _ in 0..10 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    }
    assert_eq!(
        (old.seen.try_iter().count(), new.seen.try_iter().count()),
        (0, 10)
    );
}

/// An attempt that began before the drain is cancelled long before the connect timeout, and the
/// request is retried at another upstream.
#[test]
fn a_drain_cancels_an_attempt_that_is_still_connecting() {
    let (old, new) = (unreachable_address(), StubUpstream::start(StubResponse::Ok));
    let discovery = StubDiscovery::start();
    let known = list(5, true, &[endpoint("u0", old, "in_service")]);
    let config = config(&known, discovery.address, 1024).replace("Timeout\":1.0", "Timeout\":60.0");
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    client.send("/pay", REQUEST_ID, "coins").unwrap();
    let changes = [
        endpoint("u0", old, "terminating"),
        endpoint("u9", new.address, "in_service"),
    ];
    discovery.next().send_line(&list(6, false, &changes));
    assert_eq!(client.receive().unwrap().unwrap().status(), 200);
    assert_eq!(new.seen.try_iter().count(), 1);
}

/// A status that this version does not know must not be treated as `in_service`.
#[test]
fn an_upstream_whose_status_is_unknown_gets_no_request() {
    let (warming_up, in_service) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let discovery = StubDiscovery::start();
    let endpoints_with_status = |status: &str| {
        [
            endpoint("u0", warming_up.address, status),
            endpoint("u1", in_service.address, "in_service"),
        ]
    };
    let config = config(
        &list(5, true, &endpoints_with_status("warming_up")),
        discovery.address,
        256,
    );
    let program = Program::start(&config, "127.0.0.1:0");
    let mut client = program.client();
    for _ in 0..20 {
        assert_eq!(
            client
                .request("/pay", "Request-Id: {id}\r\n", "coins")
                .status(),
            200
        );
    }
    assert!(warming_up.seen.try_recv().is_err());
    discovery
        .next()
        .send_line(&list(6, true, &endpoints_with_status("in_service")));
    wait_until("the upstream that is now in service gets a request", || {
        assert_eq!(
            client
                .request("/pay", "Request-Id: {id}\r\n", "coins")
                .status(),
            200
        );
        warming_up.seen.try_recv().is_ok()
    });
}
