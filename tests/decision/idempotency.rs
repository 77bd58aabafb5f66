//! Idempotency: which attempts may follow one that may have run.

use crate::harness::{
    attempt_ended, is_failed, is_rejected, request, started_attempts, Harness, WITH_IDEMPOTENCY_KEY,
};
use load_balancer::{Action, AttemptOutcome, DeduplicationScope, Idempotency};

#[test]
fn non_idempotent_request_fails_after_an_attempt_that_may_have_run() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
        harness.handle(request(1, 0, 2.0));
        let actions = harness.handle(attempt_ended(1, 0, outcome));
        assert!(
            started_attempts(&actions).is_empty() && is_failed(&actions, 1),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn non_idempotent_request_is_retried_after_an_attempt_that_never_ran() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
        let first = started_attempts(&harness.handle(request(1, 0, 2.0)));
        let second = started_attempts(&harness.handle(attempt_ended(1, 0, outcome)));
        assert!(
            second.len() == 1 && second[0].upstream != first[0].upstream,
            "{outcome:?} at {first:?}: retries {second:?}, expected one at another upstream"
        );
    }
}

#[test]
fn retry_with_idempotency_key_stays_within_scope_and_window() {
    for idempotency in WITH_IDEMPOTENCY_KEY {
        let mut harness = Harness::with_classes(&[idempotency], 8);
        let first = harness.send(request(1, 0, 5.0));
        let retry = started_attempts(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Reset)));
        assert_eq!(retry.len(), 1, "{idempotency:?}");
        let is_same_cell = retry[0].upstream % 2 == first % 2;
        assert!(
            is_same_cell
                || idempotency
                    != Idempotency::IdempotencyKey {
                        scope: DeduplicationScope::Cell
                    }
        );
        let mut harness = Harness::with_classes(&[idempotency], 8);
        harness.handle(request(1, 0, 5.0));
        harness.now += 1.5;
        let actions = harness.handle(attempt_ended(1, 0, AttemptOutcome::Reset));
        assert!(
            started_attempts(&actions).is_empty(),
            "{idempotency:?}: retried after the deduplication window: {actions:?}"
        );
        assert_eq!(
            is_rejected(&actions, 1),
            idempotency
                == Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::All
                }
        );
    }
}

/// A retry that starts within the deduplication window may arrive after it, so the request has to
/// be written before the window ends.
#[test]
fn retry_with_idempotency_key_has_to_be_written_within_the_window() {
    let write_within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::StartAttempt { write_within, .. } => Some(*write_within),
            _ => None,
        })
    };
    for (idempotency, is_limited) in WITH_IDEMPOTENCY_KEY
        .map(|idempotency| (idempotency, true))
        .into_iter()
        .chain([(Idempotency::Idempotent, false)])
    {
        let mut harness = Harness::with_classes(&[idempotency], 8);
        assert_eq!(
            write_within(&harness.handle(request(1, 0, 5.0))),
            Some(None)
        );
        harness.now += 0.25;
        assert_eq!(
            write_within(&harness.handle(attempt_ended(1, 0, AttemptOutcome::Reset))),
            Some(is_limited.then_some(0.75)),
            "{idempotency:?}"
        );
        // After an attempt that never ran, the time for writing the retry is not limited.
        assert_eq!(
            write_within(&harness.handle(request(2, 0, 5.0))),
            Some(None)
        );
        assert_eq!(
            write_within(&harness.handle(attempt_ended(2, 0, AttemptOutcome::Rejected))),
            Some(None)
        );
    }
}
