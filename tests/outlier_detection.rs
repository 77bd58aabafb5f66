//! Ejection of upstreams that fail, and what it leaves to requests.

mod support;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Guards against a slot that one bad answer takes for good: the limit is in whole calls, so a width that comes
/// back to just under what it was is one call less.
#[test]
fn good_responses_restore_the_concurrency_limit_after_a_malformed_one() {
    let upstream = StubUpstream::raw("what?\r\n\r\n");
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        502
    );
    upstream.set_response(StubResponse::Ok);
    for _ in 0..3 {
        assert_eq!(
            program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
    }
    upstream.set_response(StubResponse::Never);
    assert_eq!(upstream.seen.try_iter().count(), 4);
    let (mut one, mut two) = (program.client(), program.client());
    one.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    two.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
}

/// Guards against an upstream that is left out for minutes because the call that was lost there was a heavy one.
#[test]
fn a_lost_request_ejects_its_upstream_for_no_longer_when_its_cost_is_large() {
    let (lossy, other) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let discovery = StubDiscovery::start();
    let entries =
        [&lossy, &other].map(|u| endpoint(&u.address.to_string(), u.address, "in_service"));
    let brisk = config(&list(5, true, &entries), discovery.address, 1024)
        .replace("\"aim\":5.0", "\"aim\":0.3");
    let program = Program::start(&brisk, "127.0.0.1:0");
    let light = || {
        assert_eq!(
            program
                .client()
                .request("/pay", &format!("{REQUEST_ID}Work-Hint: 1000\r\n"), "")
                .status(),
            200
        )
    };
    (0..10).for_each(|_| light());
    [&lossy, &other]
        .iter()
        .for_each(|upstream| upstream.set_response(StubResponse::Never));
    let heavy = format!("{REQUEST_ID}Work-Hint: 900000000\r\nRequest-Timeout: 0.6\r\n");
    assert_eq!(program.client().request("/pay", &heavy, "").status(), 502);
    for upstream in [&lossy, &other] {
        upstream.set_response(StubResponse::Ok);
        upstream.seen.try_iter().count();
    }
    let begin = Instant::now();
    let mut seen = [0, 0];
    while seen.contains(&0) {
        assert!(
            begin.elapsed() < TEST_TIMEOUT,
            "one of them gets nothing any more"
        );
        light();
        seen[0] += lossy.seen.try_iter().count();
        seen[1] += other.seen.try_iter().count();
        sleep(Duration::from_millis(5));
    }
}

/// Guards against turning calls away at once when all upstreams are silent, as they are when trouble deeper down is
/// blamed on them: a call waits for a slot as ever.
#[test]
fn a_request_is_queued_though_all_upstreams_are_ejected() {
    let upstream = StubUpstream::start(StubResponse::Never);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let (mut one, mut two) = (program.client(), program.client());
    one.send("/pay", REQUEST_ID, "coins").unwrap();
    two.send("/pay", REQUEST_ID, "coins").unwrap();
    upstream.next();
    upstream.next();
    // A silence of six times the usual latency, which is a sixth of the aim to begin with.
    sleep(Duration::from_millis(5200));
    upstream.set_response(StubResponse::Ok);
    let mut third = program.client();
    third.send("/pay", REQUEST_ID, "coins").unwrap();
    // It has been taken by now, and would have been turned away.
    sleep(Duration::from_millis(300));
    drop(one);
    assert_eq!(third.receive().unwrap().unwrap().status(), 200);
}

/// Guards against an upstream that draws calls because it fails them fast; errors that all have eject none.
#[test]
fn an_upstream_that_alone_responds_with_errors_is_ejected() {
    let (bad, good) = (
        StubUpstream::start(StubResponse::Status(500)),
        [(); 2].map(|()| StubUpstream::start(StubResponse::Ok)),
    );
    let (program, _discovery) =
        Program::with_upstreams(&[bad.address, good[0].address, good[1].address]);
    let mut client = program.client();
    let mut ask = |times: usize| {
        (0..times)
            .filter(|_| client.request("/pay", REQUEST_ID, "").status() == 200)
            .count()
    };
    ask(90);
    let met = bad.seen.try_iter().count();
    assert!(0 < met && met < 18, "{met} of 90, where an even turn is 30");
    bad.set_response(StubResponse::Ok);
    // Trials go there until it has answered for a while: in the end it has its even turn again.
    let mut rounds = 0;
    while bad.seen.try_iter().count() < 25 {
        rounds += 1;
        assert!(rounds < 200, "it stays left out");
        ask(90);
    }
    let all = || good.iter().chain([&bad]);
    let mut set_all = |reply: StubResponse| -> Vec<_> {
        for upstream in all() {
            upstream.set_response(reply);
            upstream.seen.try_iter().count();
        }
        ask(90);
        all()
            .map(|upstream| upstream.seen.try_iter().count())
            .collect()
    };
    // Turns are even in the time that answers take, which no machine keeps even: once is enough.
    for round in 0.. {
        let taken = set_all(StubResponse::Status(500));
        if taken.iter().all(|count| *count > 20) {
            break;
        }
        assert!(round < 50, "{taken:?}");
        set_all(StubResponse::Ok);
    }
}
