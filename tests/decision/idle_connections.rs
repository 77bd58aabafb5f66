//! Idle connections: how long they may be reused.

use crate::harness::{attempt_ended, first_attempt_failed, request, started_attempts, Harness};
use load_balancer::{Action, AttemptOutcome, Idempotency};

/// Sends 20 requests to one upstream, each a second after the end of the previous request. Each
/// request ends after 50 ms with the outcome that `outcome` returns for its id. Returns how many
/// times the balancer closes idle connections.
fn count_closes(outcome: impl Fn(u64) -> AttemptOutcome) -> usize {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let mut closes = 0;
    for id in 1..=20 {
        harness.now += 1.0;
        let actions = harness.handle(request(id, 0, 2.0));
        assert_eq!(started_attempts(&actions).len(), 1);
        closes += actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdleConnections { .. }))
            .count();
        harness.now += 0.05;
        match outcome(id) {
            AttemptOutcome::Success => {
                harness.handle(attempt_ended(id, 0, AttemptOutcome::Success))
            }
            outcome => harness.handle(first_attempt_failed(id, outcome, 0.001)),
        };
    }
    closes
}

#[test]
fn idle_connections_are_closed_after_two_resets() {
    assert_eq!(count_closes(|_| AttemptOutcome::Success), 0);
    assert_eq!(
        count_closes(|id| if id == 2 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }),
        0,
        "idle connections were closed after a single reset"
    );
    let closes = count_closes(|id| {
        if id == 2 || id == 4 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }
    });
    assert!(
        closes >= 12,
        "idle connections were closed {closes} times, expected at least 12"
    );
    // Each reset may fail a request that can't be retried, so two resets suffice for closing idle
    // connections even if responses are received between them.
    assert!(
        count_closes(|id| if id == 2 || id == 11 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }) >= 6
    );
}

/// If new connections break as well, opening a new connection for each request avoids no reset.
#[test]
fn idle_connections_are_kept_while_new_ones_break_as_well() {
    // The request after a reset finds no idle connection, so every other reset is on a new
    // connection.
    let on_idle_and_new = |id: u64| {
        if id % 6 == 2 || id % 6 == 3 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }
    };
    assert_eq!(count_closes(on_idle_and_new), 0);
    // The resets of requests 2 and 4 on idle connections lower the idle timeout. Request 6 is sent
    // on a new connection, and its reset restores the timeout.
    assert_eq!(
        count_closes(|id| if [2, 4, 6].contains(&id) {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }),
        1
    );
}

/// The connection carries no bytes for 0.1 s during each request and is not dropped then. The pause
/// of 20 ms between requests is shorter, so a reset after the pause does not show that connections
/// are dropped because they were idle.
#[test]
fn connections_are_kept_if_idle_times_are_shorter_than_the_latency() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    for id in 1..=40 {
        harness.now += 0.02;
        let actions = harness.handle(request(id, 0, 2.0));
        assert!(
            !actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. })),
            "idle connections closed with request {id}: {actions:?}"
        );
        harness.now += 0.1;
        match id % 4 {
            0 => harness.handle(first_attempt_failed(id, AttemptOutcome::Reset, 0.001)),
            _ => harness.handle(attempt_ended(id, 0, AttemptOutcome::Success)),
        };
    }
}
