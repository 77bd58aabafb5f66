//! Retries and hedged requests.

use crate::harness::{
    attempt_ended, class, first_attempt_failed, is_rejected, request, started_attempts, Harness,
};
use load_balancer::{Action, AttemptOutcome, Idempotency, RequestId, Settings};

#[test]
fn attempts_stop_at_the_limit() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 9);
    harness.handle(request(1, 0, 2.0));
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Rejected));
    harness.handle(attempt_ended(1, 1, AttemptOutcome::Rejected));
    let actions = harness.handle(attempt_ended(1, 2, AttemptOutcome::Rejected));
    assert!(is_rejected(&actions, 1) && started_attempts(&actions).is_empty());
}

#[test]
fn hedged_request_is_sent_only_where_allowed() {
    for hedging_allowed in [true, false] {
        let mut settings = Settings::simple();
        settings.limits.hedging_allowed = hedging_allowed;
        let mut harness = Harness::new(settings, 4);
        harness.handle(request(1, 0, 3.0));
        assert_eq!(
            started_attempts(&harness.fire_timer_after(1.5, 1)).len(),
            usize::from(hedging_allowed)
        );
    }
}

#[test]
fn non_idempotent_request_is_not_hedged() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    harness.handle(request(1, 0, 3.0));
    assert!(started_attempts(&harness.fire_timer_after(1.5, 1)).is_empty());
}

#[test]
fn overdue_attempt_is_cancelled_and_retried_where_hedging_is_not_allowed() {
    let mut settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::simple()
    };
    settings.limits.hedging_allowed = false;
    let mut harness = Harness::new(settings, 4);
    let first = harness.send(request(1, 0, 3.0));
    let actions = harness.fire_timer_after(1.5, 1);
    assert_eq!(
        actions,
        [Action::CancelAttempt {
            id: RequestId(1),
            attempt: 0
        }]
    );
    let retry = started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Cancelled)));
    assert!(
        retry.len() == 1 && retry[0].upstream != first,
        "attempts after the cancellation: {retry:?}, expected one, not at upstream {first}"
    );
}

#[test]
fn broken_connections_are_retried_within_the_budget() {
    let count_given_up = |outcome: AttemptOutcome| {
        let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 4);
        let mut given_up = 0;
        for id in 1..=300 {
            harness.handle(request(id, 0, 2.0));
            harness.now += 0.1;
            // The first attempt of every twentieth request fails. If a retry follows, it succeeds.
            if id % 20 == 0 {
                let actions = harness.handle(first_attempt_failed(id, outcome, 0.001));
                given_up += u32::from(started_attempts(&actions).is_empty());
                harness.handle(attempt_ended(id, 1, AttemptOutcome::Success));
            } else {
                harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
            }
        }
        given_up
    };
    assert_eq!(count_given_up(AttemptOutcome::Reset), 0);
    assert!(
        count_given_up(AttemptOutcome::Error) > 5,
        "at most 5 requests were not retried, expected more: errors may be due to congestion, so \
         the budget limits their retries"
    );
}
