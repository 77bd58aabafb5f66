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
        let (first, door, discovery) = (Upstream::start(Reply::Hold), Door::shut(), DiscoveryPeer::start());
        let known = list(5, true, &[endpoint("u0", first.address, "in_service")]);
        let short = format!("\"dedupScope\":\"{scope}\",\"dedupWindow\":1.5");
        let config = config(&known, discovery.address, 256)
            .replace("\"dedupScope\":\"all\",\"dedupWindow\":8.0", &short)
            .replace("Timeout\":1.0", "Timeout\":60.0");
        let program = Program::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0");
        let mut client = program.client();
        client.send("/hold", ID, "coins").unwrap();
        first.next();
        let begun = Instant::now();
        discovery.next().line(&list(6, false, &[endpoint("u1", door.address, "in_service")]));
        while program.figure("upstreams_known") < 2 {
            assert!(begun.elapsed() < PATIENCE, "it is listed");
        }
        first.set(Reply::Status(500));
        first.release();
        sleep(Duration::from_millis(1700).saturating_sub(begun.elapsed()));
        let late = door.open(Reply::Ok);
        assert_eq!(client.receive().unwrap().expect("an answer").status(), status, "{scope}");
        assert!(late.seen.try_recv().is_err(), "{scope}");
    }
}
