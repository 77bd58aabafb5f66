//! Queues: when requests are queued, for how long, and which one is dispatched first.

use crate::harness::{
    attempt_ended, class, is_rejected, request, started_attempts, Harness, StartedAttempt,
};
use load_balancer::{
    Action, AttemptOutcome, Class, Event, Idempotency, Request, RequestId, Settings, Tenant,
};

#[test]
fn ended_attempt_dispatches_a_queued_request() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let queued = harness.fill_slots(1, 0);
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Success))),
        [StartedAttempt {
            request: queued,
            upstream: 1
        }]
    );
    // An error may lower the limit by one slot, so that the slot of the failed attempt is not free.
    // After a second error, a slot is free in any case.
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let queued = harness.fill_slots(1, 0);
    let mut dispatched =
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Error)));
    dispatched.extend(started_attempts(&harness.handle(attempt_ended(
        2,
        0,
        AttemptOutcome::Error,
    ))));
    assert_eq!(
        dispatched,
        [StartedAttempt {
            request: queued,
            upstream: 1
        }]
    );
}

#[test]
fn queued_request_is_rejected_once_at_its_queue_deadline() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let queued = harness.fill_slots(1, 0);
    let actions = harness.fire_timer_after(2.1, queued);
    assert!(is_rejected(&actions, queued));
    assert!(
        !harness
            .fire_timer_after(0.1, queued)
            .iter()
            .any(|a| matches!(a, Action::Reject { .. })),
        "the request was rejected a second time"
    );
}

/// Guards against requests that fail although they never ran: they may have been read so late that
/// no time is left.
#[test]
fn a_request_without_time_left_is_rejected_at_once() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut harness = Harness::with_classes(&[idempotency], 1);
        let actions = harness.handle(request(1, 0, 0.0));
        assert!(is_rejected(&actions, 1), "{actions:?}");
        assert!(started_attempts(&actions).is_empty(), "{actions:?}");
        assert_eq!(harness.open_and_in_flight(), (0, 0));
    }
}

#[test]
fn full_queue_rejects() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let rejections = (1..200)
        .filter(|id| is_rejected(&harness.handle(request(*id, 0, 2.0)), *id))
        .count();
    assert!(
        rejections > 100,
        "{rejections} of 199 requests rejected immediately, expected more than 100"
    );
    assert!(harness.balancer.load().open_requests < 100);
}

#[test]
fn request_goes_to_another_queue_when_one_is_full() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 3);
    let mut queued = 0;
    for id in 1..200 {
        let actions = harness.handle(request(id, 0, 2.0));
        queued += u32::from(!is_rejected(&actions, id) && started_attempts(&actions).is_empty());
    }
    // All three queues are used, so more requests are queued than one queue holds.
    let mut one_upstream = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let queued_at_one = (1..200)
        .filter(|id| !is_rejected(&one_upstream.handle(request(*id, 0, 2.0)), *id))
        .count()
        - one_upstream.balancer.load().attempts_in_flight;
    assert!(
        queued as usize >= 3 * queued_at_one / 2,
        "{queued} requests in three queues, {queued_at_one} in one; expected a ratio of 1.5 or more"
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
        "requests still open after their only upstream rejected them"
    );
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 2);
    let queued = harness.fill_slots(1, 0);
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected));
    harness.now += 0.95;
    let rejected = (1..=queued)
        .filter(|id| is_rejected(&harness.handle(Event::TimerFired(*id)), *id))
        .count();
    assert!(
        rejected >= 1,
        "{rejected} requests rejected, expected at least one: the latency objective of one second \
         can't be met"
    );
}

/// A request that can't be retried is rejected immediately. The rejection has a `Retry-After` only
/// if the settings have a maximum for it, and the value does not exceed the maximum.
#[test]
fn rejection_carries_retry_after_where_allowed() {
    for (max, upper_bound) in [(None, 0.0), (Some(0.01), 0.01), (Some(2.0), 2.0)] {
        let mut settings = Settings::simple();
        settings.limits.max_retry_after = max;
        let mut harness = Harness::new(settings, 1);
        harness.handle(request(1, 0, 2.0));
        let actions = harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected));
        let retry_after = actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let retry_after = retry_after.expect("the request was not rejected immediately");
        assert_eq!(retry_after.is_some(), max.is_some());
        assert!(
            retry_after.is_none_or(|t| t > 0.0 && t <= upper_bound),
            "Retry-After of {retry_after:?} s, expected more than 0 and at most {upper_bound}"
        );
    }
}

/// Returns settings with two classes that differ only in priority weight: that of the second class
/// is larger.
fn two_priorities() -> Settings {
    let low = class(Idempotency::NonIdempotent);
    let high = Class {
        priority_weight: 5.0,
        ..low.clone()
    };
    Settings {
        classes: vec![low, high],
        ..Settings::simple()
    }
}

#[test]
fn class_with_higher_priority_weight_is_dispatched_first() {
    let mut harness = Harness::new(two_priorities(), 1);
    let low = harness.fill_slots(1, 0);
    let high = low + 1;
    assert!(started_attempts(&harness.handle(request(high, 1, 2.0))).is_empty());
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Success))),
        [StartedAttempt {
            request: high,
            upstream: 1
        }]
    );
}

#[test]
fn tenant_over_its_quota_is_dispatched_last() {
    let tenant = |name: &str| Tenant {
        name: name.into(),
        quota_per_second: 10.0,
    };
    let tenants = vec![tenant("over quota"), tenant("within quota")];
    let mut harness = Harness::new(
        Settings {
            tenants,
            over_quota_weight: 0.1,
            ..Settings::simple()
        },
        1,
    );
    let request_from = |id: u64, tenant: usize| {
        let id = RequestId(id);
        Event::Request(Request {
            id,
            class: 0,
            tenant,
            remaining: 2.0,
            cost_hint: None,
            is_streamed: false,
        })
    };
    for id in 1..100 {
        harness.handle(request_from(id, 0));
        if id < 95 {
            harness.handle(Event::ClientDisconnected(RequestId(id)));
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Cancelled));
        }
    }
    assert!(
        started_attempts(&harness.handle(request_from(200, 1))).is_empty(),
        "request 200 was dispatched though all slots are taken"
    );
    assert_eq!(
        started_attempts(&harness.handle(attempt_ended(95, 0, AttemptOutcome::Success))),
        [StartedAttempt {
            request: 200,
            upstream: 1
        }],
        "attempts started after the end of attempt 95"
    );
}
