//! Queues: when requests wait, for how long, and which goes first.

use crate::harness::{attempt_ended, class, is_rejected, request, started_attempts, Harness};
use load_balancer::{
    Action, AttemptOutcome, Class, Event, Idempotency, Request, RequestId, Settings, Tenant,
};

#[test]
fn ended_attempt_dispatches_a_queued_request() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = harness.fill_slots(1, 0);
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Success))),
        [(held, 1)]
    );
    // An error narrows the slice by up to one call, so the next end at the latest wakes the waiter.
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = harness.fill_slots(1, 0);
    let mut woken = started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Error)));
    woken.extend(started_attempts(&harness.handle(attempt_ended(
        2,
        0,
        AttemptOutcome::Error,
    ))));
    assert_eq!(woken, [(held, 1)]);
}

#[test]
fn queued_request_is_given_up_once_at_its_queue_deadline() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = harness.fill_slots(1, 0);
    let actions = harness.fire_timer_after(2.1, held);
    assert!(is_rejected(&actions, held));
    assert!(
        !harness
            .fire_timer_after(0.1, held)
            .iter()
            .any(|a| matches!(a, Action::Reject { .. })),
        "one answer only"
    );
}

#[test]
fn full_queue_rejects() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let refusals = (1..200)
        .filter(|id| is_rejected(&harness.handle(request(*id, 0, 2.0)), *id))
        .count();
    assert!(refusals > 100, "only {refusals} refused at once");
    assert!(harness.balancer.load().open_requests < 100);
}

#[test]
fn request_goes_to_another_queue_when_one_is_full() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 3);
    let mut held = 0;
    for id in 1..200 {
        let actions = harness.handle(request(id, 0, 2.0));
        held += u32::from(!is_rejected(&actions, id) && started_attempts(&actions).is_empty());
    }
    // Each of the three queues is used, so more calls wait than any one of them takes.
    let mut one = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let one_queue = (1..200)
        .filter(|id| !is_rejected(&one.handle(request(*id, 0, 2.0)), *id))
        .count()
        - one.balancer.load().attempts_in_flight;
    assert!(
        held as usize >= 3 * one_queue / 2,
        "{held} held by three, {one_queue} by one"
    );
}

#[test]
fn rejected_request_is_not_queued_past_its_latency_objective() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    harness.handle(request(1, 0, 2.0));
    assert!(
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected))).is_empty()
    );
    assert_eq!(
        harness.balancer.load().open_requests,
        0,
        "its only upstream was tried: refused"
    );
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 2);
    let held = harness.fill_slots(1, 0);
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected));
    harness.now += 0.95;
    let waiting = (1..=held)
        .filter(|id| is_rejected(&harness.handle(Event::TimerFired(*id)), *id))
        .count();
    assert!(waiting >= 1, "the aim of one second is as good as over");
}

/// A request that is given up has its final response at once.
#[test]
fn rejection_carries_retry_after_where_allowed() {
    for (most, at_most) in [(None, 0.0), (Some(0.01), 0.01), (Some(2.0), 2.0)] {
        let mut settings = Settings::simple();
        settings.limits.max_retry_after = most;
        let mut harness = Harness::new(settings, 1);
        harness.handle(request(1, 0, 2.0));
        let actions = harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected));
        let told = actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let told = told.expect("refused at once");
        assert_eq!(told.is_some(), most.is_some());
        assert!(told.is_none_or(|t| t > 0.0 && t <= at_most), "{told:?}");
    }
}

/// Two classes with the same latency; the second has the larger priority weight.
fn two_priorities() -> Settings {
    let cheap = class(Idempotency::NonIdempotent);
    let dear = Class {
        priority_weight: 5.0,
        ..cheap.clone()
    };
    Settings {
        classes: vec![cheap, dear],
        ..Settings::simple()
    }
}

#[test]
fn higher_priority_weight_is_dispatched_first() {
    let mut harness = Harness::new(two_priorities(), 1);
    let cheap = harness.fill_slots(1, 0);
    let dear = cheap + 1;
    assert!(started_attempts(&harness.handle(request(dear, 1, 2.0))).is_empty());
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Success))),
        [(dear, 1)]
    );
}

#[test]
fn tenant_over_its_quota_is_dispatched_last() {
    let tenant = |name: &str| Tenant {
        name: name.into(),
        quota_per_second: 10.0,
    };
    let tenants = vec![tenant("flood"), tenant("calm")];
    let mut harness = Harness::new(
        Settings {
            tenants,
            over_quota_weight: 0.1,
            ..Settings::simple()
        },
        1,
    );
    let from = |id: u64, tenant: usize| {
        let id = RequestId(id);
        Event::Request(Request {
            id,
            class: 0,
            tenant,
            remaining: 2.0,
            cost_hint: None,
            streamed: false,
        })
    };
    for id in 1..100 {
        harness.handle(from(id, 0));
        if id < 95 {
            harness.handle(Event::ClientDisconnected(RequestId(id)));
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Cancelled));
        }
    }
    assert!(
        started_attempts(&harness.handle(from(200, 1))).is_empty(),
        "the slots are taken"
    );
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(95, 0, AttemptOutcome::Success))),
        [(200, 1)],
        "held last, woken first"
    );
}
