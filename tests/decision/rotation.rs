//! The rotation: which upstream of the subset gets the next request.

use crate::harness::{attempt_ended, attempt_succeeded, entry, request, started_attempts, Harness};
use load_balancer::{
    AttemptOutcome, Event, Idempotency, ListScope, Request, RequestId, UpstreamEntry,
};

#[test]
fn rotation_is_even() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 5);
    let mut counts = [0; 6];
    for id in 1..=50 {
        let started = started_attempts(&harness.handle(request(id, 0, 2.0)));
        counts[started[0].upstream as usize] += 1;
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
    }
    assert_eq!(counts, [0, 10, 10, 10, 10, 10]);
}

#[test]
fn rotation_is_weighted_by_response_time() {
    // Upstreams 1 and 2 are of a machine kind that takes three times as long as that of 3 and 4.
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 0);
    let entries = (1..=4)
        .map(|id| UpstreamEntry {
            machine_kind: usize::from(id <= 2),
            ..entry(id)
        })
        .collect();
    harness.update_endpoints(ListScope::Full, entries);
    let mut counts = [0; 5];
    for id in 1..=400 {
        let upstream = harness.send(request(id, 0, 2.0));
        let elapsed = if upstream <= 2 { 0.3 } else { 0.1 };
        counts[upstream as usize] += u32::from(id > 200);
        harness.handle(attempt_succeeded(id, elapsed));
    }
    let (slow, fast) = (counts[1] + counts[2], counts[3] + counts[4]);
    assert!(
        counts[1].abs_diff(counts[2]) <= 3 && counts[3].abs_diff(counts[4]) <= 3,
        "requests by upstream {counts:?}, expected to differ by at most 3 within a machine kind"
    );
    assert!(
        (2 * slow..4 * slow).contains(&fast),
        "requests by upstream {counts:?}, expected 2 to 4 times as many at the fast kind"
    );
}

/// Large requests would be late at slow upstreams. Small ones are sent to all upstreams.
#[test]
fn large_request_prefers_a_fast_upstream() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    let send = |harness: &mut Harness, id: u64, hint: f64| {
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            remaining: 2.0,
            cost_hint: Some(hint),
            is_streamed: false,
        };
        let upstream = harness.send(Event::Request(request));
        let elapsed = hint * if upstream == 1 { 1.0 } else { 3.0 };
        harness.now += elapsed;
        harness.handle(attempt_succeeded(id, elapsed));
        upstream
    };
    let small: Vec<_> = (0..60).map(|id| send(&mut harness, id, 0.1)).collect();
    assert!(
        small[30..].contains(&1) && small[30..].contains(&2),
        "upstreams of small requests {small:?}, expected both in the second half"
    );
    let large: Vec<_> = (100..104).map(|id| send(&mut harness, id, 0.4)).collect();
    assert_eq!(large, [1, 1, 1, 1]);
}

#[test]
fn rejecting_upstream_is_paused() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 4);
    let started = started_attempts(&harness.handle(request(1, 0, 2.0)));
    let rejecting = started[0].upstream;
    let mut started_next =
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected)));
    assert_ne!(
        started_next[0].upstream, rejecting,
        "the retry was sent to the upstream that rejected the request"
    );
    for id in 2..=6 {
        started_next = started_attempts(&harness.handle(request(id, 0, 2.0)));
        assert!(started_next
            .iter()
            .all(|started| started.upstream != rejecting));
    }
}
