//! Repeats through the real program: when they may still be written, and what time they tell their upstream.

mod peers;
use peers::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ID: &str = "Request-Id: {id}\r\nIdempotency-Key: k\r\n";

/// Guards against a repeat that is decided inside the window and written when it is over, because its connection came
/// up late: its upstream would take it for a new request.
#[test]
fn a_repeat_on_a_connection_that_comes_up_after_the_window_is_not_written() {
    for (scope, status) in [("all", 503), ("zone", 502), ("cell", 502)] {
        let (first, door, discovery) = (
            Upstream::start(Reply::Hold),
            Door::shut(),
            DiscoveryPeer::start(),
        );
        let known = list(5, true, &[endpoint("u0", first.address, "in_service")]);
        let short = format!("\"dedupScope\":\"{scope}\",\"dedupWindow\":1.5");
        let config = config(&known, discovery.address, 256)
            .replace("\"dedupScope\":\"all\",\"dedupWindow\":8.0", &short)
            .replace("Timeout\":1.0", "Timeout\":60.0");
        let program =
            Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/hold", ID, "coins").unwrap();
        first.next();
        let begun = Instant::now();
        discovery.next().line(&list(
            6,
            false,
            &[endpoint("u1", door.address, "in_service")],
        ));
        while program.figure("upstreams_known") < 2 {
            assert!(begun.elapsed() < PATIENCE, "it is listed");
        }
        first.set(Reply::Status(500));
        first.release();
        sleep(Duration::from_millis(1700).saturating_sub(begun.elapsed()));
        let late = door.open(Reply::Ok);
        assert_eq!(
            client.receive().unwrap().expect("an answer").status(),
            status,
            "{scope}"
        );
        assert!(late.seen.try_recv().is_err(), "{scope}");
    }
}

/// What the next request at this upstream was told to have left.
fn told(upstream: &Upstream) -> f64 {
    upstream
        .next()
        .header("request-timeout")
        .unwrap()
        .parse()
        .unwrap()
}

/// Guards against an attempt that tells its upstream the time that its client had at first: what an earlier attempt, a
/// hold, or a request ahead on the same connection has taken is not left.
#[test]
fn an_attempt_tells_its_upstream_no_more_than_what_is_left_to_the_client() {
    let half = Duration::from_millis(500);
    let headers = "Request-Id: {id}\r\nRequest-Timeout: 5.0\r\n";
    let (one, two) = (Upstream::start(Reply::Hold), Upstream::start(Reply::Hold));
    let (program, _discovery) = Program::with_console(&[one.address, two.address]);
    let mut clients: Vec<_> = (0..12).map(|_| program.client()).collect();
    for client in &mut clients {
        client.send("/pay", headers, "coins").unwrap();
    }
    while program.figure("in_flight") < 12 {}
    sleep(half);
    // Some go on to the other one, and those that are held come after them.
    let early = one.seen.try_iter().count() + two.seen.try_iter().count();
    assert!((2..12).contains(&early), "some are held");
    one.set(Reply::NotStarted);
    two.set(Reply::Ok);
    one.release();
    two.release();
    for client in &mut clients {
        assert!(client.receive().unwrap().is_some());
    }
    // All that were held, and most of what the first one turned away.
    let late: Vec<_> = one.seen.try_iter().chain(two.seen.try_iter()).collect();
    assert!(late.len() > 12 - early, "{}", late.len());
    for request in late {
        assert!(
            request
                .header("request-timeout")
                .unwrap()
                .parse::<f64>()
                .unwrap()
                <= 4.5
        );
    }
}

/// Guards against the same where requests come at once on one connection, and the later ones wait for the first.
#[test]
fn requests_that_come_at_once_on_one_connection_wait_from_then_on() {
    let upstream = Upstream::start(Reply::Hold);
    let (program, _discovery) = Program::with(&[upstream.address]);
    let mut client = program.client();
    let request = |id: &str| {
        format!(
            "POST /pay HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Timeout: 5.0\r\nContent-Length: 1\r\n\r\nx"
        )
    };
    client.write(&[request("c201"), request("c202"), request("c203")].concat());
    upstream.next();
    sleep(Duration::from_millis(500));
    upstream.release();
    assert!(told(&upstream) <= 4.5);
    assert!(told(&upstream) <= 4.5);
    for _ in 0..3 {
        assert_eq!(client.receive().unwrap().expect("an answer").status(), 200);
    }
}
