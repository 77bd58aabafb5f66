//! The endpoint list: draining and removed upstreams, and lists that may be out of date.

use crate::harness::{
    attempt_ended, entry, is_rejected, request, started_attempts, Harness, StartedAttempt,
};
use load_balancer::{
    AttemptOutcome, DiscoveryMode, Idempotency, ListScope, Settings, UpstreamEntry, UpstreamState,
};

#[test]
fn draining_and_removed_upstreams_get_no_requests() {
    for state in [UpstreamState::Draining, UpstreamState::Removed] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 2);
        let queued = harness.fill_slots(1, 0);
        // Requests queued at upstream 1 are reassigned to upstream 2.
        harness.update_endpoints(ListScope::Delta, vec![UpstreamEntry { state, ..entry(1) }]);
        for id in 1..queued {
            assert!(started_attempts(&harness.handle(attempt_ended(
                id,
                0,
                AttemptOutcome::Success
            )))
            .iter()
            .all(|started| started.upstream == 2));
        }
        for id in 1000..1020 {
            assert!(started_attempts(&harness.handle(request(id, 0, 2.0)))
                .iter()
                .all(|started| started.upstream == 2));
        }
    }
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.update_endpoints(ListScope::Full, vec![entry(2)]);
    assert_eq!(
        started_attempts(&harness.handle(request(1, 0, 2.0))),
        [StartedAttempt {
            request: 1,
            upstream: 2
        }]
    );
}

#[test]
fn requests_queued_at_a_draining_upstream_are_reassigned() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let queued = harness.fill_slots(1, 0);
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Draining,
            ..entry(1)
        }],
    );
    assert_eq!(
        started_attempts(&harness.update_endpoints(ListScope::Delta, vec![entry(2)])),
        [StartedAttempt {
            request: queued,
            upstream: 2
        }]
    );
}

#[test]
fn request_waits_for_the_first_endpoint_list() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 0);
    assert!(started_attempts(&harness.handle(request(1, 0, 2.0))).is_empty());
    assert_eq!(
        started_attempts(&harness.update_endpoints(ListScope::Delta, vec![entry(1)])),
        [StartedAttempt {
            request: 1,
            upstream: 1
        }]
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

/// Whether the endpoint list is up to date.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListAge {
    Current,
    Stale,
}

/// Sends requests through a balancer whose list is stale or current. Upstreams with ids up to
/// `rejecting_count` reject all requests. Returns the balancer and, by upstream id, how many
/// attempts each upstream received.
fn send_with_rejections(
    list: ListAge,
    upstream_count: u64,
    rejecting_count: u64,
    request_count: u64,
) -> (Harness, Vec<usize>) {
    let mut settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.classes[0].deadline = 60.0;
    let mut harness = Harness::new(settings, upstream_count);
    if list == ListAge::Stale {
        harness.update_endpoints(ListScope::Failed, vec![]);
    }
    let mut counts = vec![0; upstream_count as usize + 1];
    send_requests(&mut harness, 1, rejecting_count, request_count, &mut counts);
    (harness, counts)
}

/// Sends requests with ids from `first` on. The upstreams with ids up to `rejecting_count` reject
/// all of them. Adds the number of attempts that each upstream receives to `counts`.
fn send_requests(
    harness: &mut Harness,
    first: u64,
    rejecting_count: u64,
    request_count: u64,
    counts: &mut [usize],
) {
    for id in first..first + request_count {
        harness.now += 0.5;
        let mut actions = harness.handle(request(id, 0, 60.0));
        let mut attempt = 0;
        while let Some(StartedAttempt { upstream, .. }) = started_attempts(&actions)
            .into_iter()
            .find(|started| started.request == id)
        {
            counts[upstream as usize] += 1;
            let outcome = if upstream <= rejecting_count {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Success
            };
            actions = harness.handle(attempt_ended(id, attempt, outcome));
            attempt += 1;
        }
    }
}

/// While the list is stale, the balancer does not learn which upstreams drain. A draining upstream
/// rejects all requests, so an upstream that does so is assumed to be draining.
#[test]
fn upstreams_that_reject_everything_are_left_out_while_the_list_is_stale() {
    let (mut harness, mut counts) = send_with_rejections(ListAge::Stale, 6, 2, 300);
    assert!(
        counts[1] <= 3 && counts[2] <= 3,
        "attempts by upstream {counts:?}, expected at most 3 at upstreams 1 and 2"
    );
    assert_eq!(
        harness.balancer.excluded_upstreams(),
        2,
        "excluded upstreams shown to operators"
    );
    // The list is current again and contains both upstreams.
    harness.update_endpoints(ListScope::Delta, vec![]);
    let before = counts.clone();
    send_requests(&mut harness, 1000, 0, 300, &mut counts);
    assert!(
        counts[1] > before[1] && counts[2] > before[2],
        "attempts by upstream {counts:?}, expected more than {before:?} at upstreams 1 and 2"
    );
}

/// A current list takes precedence over rejections. If most upstreams reject requests, they are
/// probably overloaded rather than draining, so at least three of six stay in use.
#[test]
fn rejecting_upstreams_stay_in_use_while_the_list_is_current_or_most_reject() {
    let (_, counts) = send_with_rejections(ListAge::Current, 6, 2, 300);
    assert!(
        counts[1] > 3 && counts[2] > 3,
        "attempts by upstream {counts:?}, expected more than 3 at upstreams 1 and 2"
    );
    let (_, counts) = send_with_rejections(ListAge::Stale, 6, 6, 300);
    assert!(
        counts[1..].iter().filter(|count| **count > 3).count() >= 3,
        "attempts by upstream {counts:?}, expected more than 3 at three or more upstreams"
    );
}
