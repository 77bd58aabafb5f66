//! Maintenance: upstreams that operators take out of service and return to service.

use crate::harness::{attempt_ended, entry, maintenance, request, started_attempts, Harness};
use load_balancer::{
    AttemptOutcome, Idempotency, ListScope, Maintenance, Settings, UpstreamEntry, UpstreamState,
};

/// Operators' maintenance takes precedence over the endpoint list.
#[test]
fn upstream_in_maintenance_gets_no_requests_even_if_listed() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.fill_slots(1, 0);
    let open = harness.balancer.load().open_requests as u64;
    // Queued requests are reassigned, but start no attempt, as upstream 2 has no free slot.
    // Attempts in flight continue.
    assert!(started_attempts(&harness.handle(maintenance(1, Maintenance::Begin))).is_empty());
    harness.handle(maintenance(1, Maintenance::Begin));
    let relisted = UpstreamEntry {
        started_at: 90.0,
        ..entry(1)
    };
    harness.update_endpoints(ListScope::Full, vec![relisted.clone(), entry(2)]);
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Removed,
            ..relisted
        }],
    );
    harness.update_endpoints(ListScope::Delta, vec![entry(1)]);
    for id in 1..=open {
        let started =
            started_attempts(&harness.handle(attempt_ended(id, 0, AttemptOutcome::Success)));
        assert!(
            started.iter().all(|started| started.upstream == 2),
            "attempts {started:?}, expected only at upstream 2"
        );
    }
    let started_later: Vec<_> = (50..60)
        .flat_map(|id| started_attempts(&harness.handle(request(id, 0, 2.0))))
        .collect();
    assert!(
        !started_later.is_empty() && started_later.iter().all(|started| started.upstream == 2),
        "attempts {started_later:?}, expected some, and only at upstream 2"
    );
    assert_eq!(harness.balancer.excluded_upstreams(), 1);
    harness.handle(maintenance(1, Maintenance::End));
    assert_eq!(harness.balancer.excluded_upstreams(), 0);
    // The end of maintenance of an unknown upstream is accepted.
    harness.handle(maintenance(77, Maintenance::End));
}

/// An upstream may have been restarted while it was out of service, so its return begins with slow
/// start.
#[test]
fn upstream_returned_from_maintenance_is_in_slow_start() {
    let count_requests = |restarted_at: Option<f64>, is_listed_before_return: bool| {
        let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 3);
        harness.handle(maintenance(1, Maintenance::Begin));
        let restarted_entry = UpstreamEntry {
            started_at: restarted_at.unwrap_or(0.0),
            ..entry(1)
        };
        harness.now += 5.0;
        let list_restarted = |harness: &mut Harness| {
            harness.update_endpoints(ListScope::Delta, vec![restarted_entry.clone()]);
        };
        if is_listed_before_return {
            list_restarted(&mut harness);
        }
        harness.handle(maintenance(1, Maintenance::End));
        if !is_listed_before_return {
            list_restarted(&mut harness);
        }
        let upstreams = (1..=300).map(|id| {
            let upstream = harness.send(request(id, 0, 2.0));
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
            upstream
        });
        upstreams.filter(|upstream| *upstream == 1).count()
    };
    for (restarted_at, is_listed_before_return) in [
        (None, true),
        (None, false),
        (Some(104.0), true),
        (Some(104.0), false),
    ] {
        let count = count_requests(restarted_at, is_listed_before_return);
        assert!(
            (15..=50).contains(&count),
            "upstream 1 got {count} of 300 requests, expected 15 to 50; restarted at \
             {restarted_at:?}, listed before its return: {is_listed_before_return}"
        );
    }
}

/// Operators who return an upstream to service expect to see a request sent to it.
#[test]
fn upstream_returned_from_maintenance_is_used_once_outside_the_subset() {
    let mut harness = Harness::new(
        Settings {
            peer_count: 40,
            ..Settings::simple()
        },
        12,
    );
    let send = |harness: &mut Harness, id: u64| {
        let upstream = harness.send(request(id, 0, 2.0));
        harness.now += 0.05;
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        upstream
    };
    let used: Vec<_> = (1..60).map(|id| send(&mut harness, id)).collect();
    let unused: Vec<_> = (1..=12).filter(|id| !used.contains(id)).collect();
    assert!(
        unused.len() > 5,
        "the subset is too large: unused upstreams {unused:?}, more than 5 are needed"
    );
    harness.handle(maintenance(unused[0], Maintenance::Begin));
    // The upstream is removed from the list while it restarts, and then listed again.
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Removed,
            ..entry(unused[0])
        }],
    );
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            started_at: harness.now,
            ..entry(unused[0])
        }],
    );
    // Ending maintenance a second time has no effect.
    harness.handle(maintenance(unused[0], Maintenance::End));
    harness.handle(maintenance(unused[0], Maintenance::End));
    let after_return: Vec<_> = (100..200).map(|id| send(&mut harness, id)).collect();
    assert_eq!(
        after_return.iter().filter(|id| **id == unused[0]).count(),
        1,
        "requests sent to upstream {}; upstreams of all requests: {after_return:?}",
        unused[0]
    );
    assert!(
        !after_return.iter().any(|id| unused[1..].contains(id)),
        "upstreams of all requests: {after_return:?}, expected none of {:?}",
        &unused[1..]
    );
}
