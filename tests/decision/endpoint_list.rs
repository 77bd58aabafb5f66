//! The endpoint list: upstreams that drain, are removed, or may have done so unnoticed.

use crate::harness::{attempt_ended, entry, is_rejected, request, started_attempts, Harness};
use load_balancer::{
    AttemptOutcome, DiscoveryMode, Idempotency, ListScope, Settings, UpstreamEntry, UpstreamState,
};

#[test]
fn draining_and_removed_upstreams_get_no_requests() {
    for state in [UpstreamState::Draining, UpstreamState::Removed] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 2);
        let held = harness.fill_slots(1, 0);
        // What waits for the drained one moves to the other's queue, and is sent there only.
        harness.update_endpoints(ListScope::Delta, vec![UpstreamEntry { state, ..entry(1) }]);
        for id in 1..held {
            assert!(started_attempts(&harness.handle(attempt_ended(
                id,
                0,
                AttemptOutcome::Success
            )))
            .iter()
            .all(|(_, upstream)| *upstream == 2));
        }
        for id in 1000..1020 {
            assert!(started_attempts(&harness.handle(request(id, 0, 2.0)))
                .iter()
                .all(|(_, upstream)| *upstream == 2));
        }
    }
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.update_endpoints(ListScope::Full, vec![entry(2)]);
    assert_eq!(
        started_attempts(&harness.handle(request(1, 0, 2.0))),
        [(1, 2)]
    );
}

#[test]
fn requests_queued_at_a_draining_upstream_are_reassigned() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = harness.fill_slots(1, 0);
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Draining,
            ..entry(1)
        }],
    );
    assert_eq!(
        started_attempts(&harness.update_endpoints(ListScope::Delta, vec![entry(2)])),
        [(held, 2)]
    );
}

#[test]
fn request_waits_for_the_first_endpoint_list() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 0);
    assert!(started_attempts(&harness.handle(request(1, 0, 2.0))).is_empty());
    assert_eq!(
        started_attempts(&harness.update_endpoints(ListScope::Delta, vec![entry(1)])),
        [(1, 1)]
    );
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 0);
    harness.handle(request(1, 0, 2.0));
    assert!(is_rejected(&harness.fire_timer_after(2.01, 1), 1));
}

#[test]
fn endpoint_churn_leaks_nothing() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 4);
    for round in 0..2000_u64 {
        harness.now += 0.5;
        harness.handle(request(round, 0, 2.0));
        let state = if round % 2 == 0 {
            UpstreamState::Active
        } else {
            UpstreamState::Removed
        };
        harness.update_endpoints(
            ListScope::Delta,
            vec![UpstreamEntry {
                state,
                ..entry(5 + round / 2)
            }],
        );
        harness.handle(attempt_ended(round, 0, AttemptOutcome::Success));
    }
    harness.update_endpoints(ListScope::Delta, Vec::new());
    assert_eq!(harness.open_and_in_flight(), (0, 0));
    assert!(harness.balancer.load().upstreams <= 4);
}

/// A balancer whose list is stale or current, with `upstreams` of which the first `full` reject all requests. Returns
/// how many requests each had.
fn send_with_rejections(
    stale: bool,
    upstreams: u64,
    full: u64,
    calls: u64,
) -> (Harness, Vec<usize>) {
    let mut settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.classes[0].deadline = 60.0;
    let mut harness = Harness::new(settings, upstreams);
    if stale {
        harness.update_endpoints(ListScope::Failed, vec![]);
    }
    let mut had = vec![0; upstreams as usize + 1];
    send_requests(&mut harness, 1, full, calls, &mut had);
    (harness, had)
}

fn send_requests(harness: &mut Harness, first: u64, full: u64, calls: u64, had: &mut [usize]) {
    for id in first..first + calls {
        harness.now += 0.5;
        let mut actions = harness.handle(request(id, 0, 60.0));
        let mut attempt = 0;
        while let Some((_, upstream)) = started_attempts(&actions)
            .into_iter()
            .find(|(sent, _)| *sent == id)
        {
            had[upstream as usize] += 1;
            let outcome = if upstream <= full {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Success
            };
            actions = harness.handle(attempt_ended(id, attempt, outcome));
            attempt += 1;
        }
    }
}

/// While the list is stale, upstreams may drain unnoticed.
#[test]
fn upstreams_that_reject_everything_are_left_out_while_the_list_is_stale() {
    let (mut harness, mut had) = send_with_rejections(true, 6, 2, 300);
    assert!(had[1] <= 3 && had[2] <= 3, "{had:?}");
    assert_eq!(
        harness.balancer.excluded_upstreams(),
        2,
        "operators are told"
    );
    // It is heard again, and lists them still: they are tried as before.
    harness.update_endpoints(ListScope::Delta, vec![]);
    let before = had.clone();
    send_requests(&mut harness, 1000, 0, 300, &mut had);
    assert!(had[1] > before[1] && had[2] > before[2], "{had:?}");
}

/// A current list takes precedence, and if most upstreams reject they are overloaded.
#[test]
fn rejecting_upstreams_stay_in_use_while_the_list_is_current_or_most_reject() {
    let (_, had) = send_with_rejections(false, 6, 2, 300);
    assert!(had[1] > 3 && had[2] > 3, "{had:?}");
    let (_, had) = send_with_rejections(true, 6, 6, 300);
    assert!(
        had[1..].iter().filter(|had| **had > 3).count() >= 3,
        "{had:?}"
    );
}
