//! The lifecycle of a request: slots, results, and the release of its state.

use crate::harness::{attempt_ended, request, started_attempts, Harness};
use load_balancer::{
    Action, AttemptOutcome, Balancer, Event, Idempotency, RequestId, Settings, SettingsError,
};

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::InvalidResponse,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

#[test]
fn every_outcome_frees_its_slot() {
    for outcome in OUTCOMES {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
        harness.handle(request(1, 0, 2.0));
        assert_eq!(harness.open_and_in_flight(), (1, 1));
        harness.handle(attempt_ended(1, 0, outcome));
        assert_eq!(
            harness.balancer.load().attempts_in_flight,
            0,
            "attempts in flight after {outcome:?}"
        );
    }
}

#[test]
fn repeated_result_counts_once() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 1);
    harness.handle(request(1, 0, 2.0));
    harness.handle(request(2, 0, 2.0));
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    assert_eq!(harness.open_and_in_flight(), (1, 1));
}

#[test]
fn late_result_leaks_nothing() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.handle(request(1, 0, 2.0));
    harness.handle(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(
        harness.open_and_in_flight(),
        (1, 1),
        "open requests and attempts in flight before the attempt ends"
    );
    let actions = harness.handle(attempt_ended(1, 0, AttemptOutcome::TimedOut));
    let is_log = |a: &Action| matches!(a, Action::Log(_));
    assert!(
        actions.iter().all(is_log),
        "actions after the late result: {actions:?}"
    );
    assert_eq!(harness.open_and_in_flight(), (0, 0));
}

#[test]
fn unknown_ids_are_ignored() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.handle(attempt_ended(99, 0, AttemptOutcome::Success));
    harness.handle(request(1, 0, 2.0));
    harness.handle(attempt_ended(1, 5, AttemptOutcome::Success));
    harness.handle(request(2, 17, 2.0));
    harness.handle(Event::ClientDisconnected(RequestId(98)));
    harness.handle(Event::TimerFired(97));
    harness.handle(Event::ResponseStarted(RequestId(96)));
    assert_eq!(harness.open_and_in_flight(), (1, 1));
}

#[test]
fn backward_clock_step_is_tolerated() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 2);
    harness.handle(request(1, 0, 2.0));
    harness.now -= 50.0;
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    assert_eq!(
        started_attempts(&harness.handle(request(2, 0, 2.0))).len(),
        1
    );
}

#[test]
fn started_response_is_final() {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 3);
    harness.handle(request(1, 0, 2.0));
    assert!(harness
        .handle(Event::ResponseStarted(RequestId(1)))
        .is_empty());
    assert!(
        harness.fire_timer_after(30.0, 1).is_empty(),
        "the timer of the request caused actions"
    );
    assert_eq!(
        harness.open_and_in_flight(),
        (1, 1),
        "open requests and attempts in flight while the response is streamed"
    );
    assert!(harness
        .handle(attempt_ended(1, 0, AttemptOutcome::Success))
        .is_empty());
    assert_eq!(harness.open_and_in_flight(), (0, 0));
}

#[test]
fn invalid_settings_are_rejected_with_a_specific_error() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = Settings::simple();
        change(&mut settings);
        Balancer::new(settings, 1, 0.0).err()
    };
    assert_eq!(
        error_of(|s| s.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        error_of(|s| s.classes[0].latency_objective = 0.0).map(|e| e.to_string().contains("aim")),
        Some(true)
    );
    assert!(matches!(
        error_of(|s| s.rules.poll_interval = f64::NAN),
        Some(SettingsError::NumberOutOfRange { .. })
    ));
    assert!(matches!(
        error_of(|s| s.peer_index = 3),
        Some(SettingsError::IndexOutOfRange {
            index: 3,
            count: 1,
            ..
        })
    ));
    assert!(matches!(
        error_of(|s| s.peer_count = 0),
        Some(SettingsError::IndexOutOfRange { .. })
    ));
}
