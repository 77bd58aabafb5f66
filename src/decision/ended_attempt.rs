//! What the end of an attempt says of its upstream.

use super::event::{AttemptOutcome, AttemptResult};
use super::latency::OVERDUE_FACTOR;
use super::upstream::InFlightAttempt;

/// An attempt that has ended, with what follows from its outcome. Times are seconds.
pub(super) struct EndedAttempt {
    pub(super) class: usize,
    pub(super) outcome: AttemptOutcome,
    /// When it started.
    pub(super) sent_at: f64,
    /// How long it took.
    pub(super) elapsed: f64,
    /// How long it was expected to take.
    pub(super) expected_latency: f64,
    /// For how long its connection had been idle (0: it was new).
    pub(super) connection_idle: f64,
    /// The upstream responded, possibly with an error or a rejection.
    pub(super) is_response: bool,
    /// The upstream is to blame for the missing response.
    pub(super) is_lost: bool,
}

impl EndedAttempt {
    /// Combines what is known of the attempt with its result.
    pub(super) fn new(
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        has_short_deadline: bool,
    ) -> Self {
        let outcome = result.outcome;
        let is_overdue = result.elapsed > OVERDUE_FACTOR * attempt.expected_latency;
        let is_lost = match outcome {
            AttemptOutcome::Cancelled => is_overdue,
            // The upstream is not to blame for a client that gives up before the latency
            // objective.
            AttemptOutcome::TimedOut => is_overdue || !has_short_deadline,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => true,
            _ => false,
        };
        EndedAttempt {
            class: attempt.class,
            outcome,
            sent_at: attempt.sent_at,
            elapsed: result.elapsed,
            expected_latency: attempt.expected_latency,
            // The embedder's figure goes first: the connection may have been closed since it was
            // estimated.
            connection_idle: result.connection_idle.unwrap_or(attempt.connection_idle),
            is_response: is_reusable(outcome) || outcome == AttemptOutcome::InvalidResponse,
            is_lost,
        }
    }

    /// Its connection can carry the next attempt.
    pub(super) fn connection_is_reusable(&self) -> bool {
        is_reusable(self.outcome)
    }

    /// It was lost without any notice from the upstream.
    pub(super) fn is_lost_silently(&self) -> bool {
        let is_silent = matches!(
            self.outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
        );
        self.is_lost && is_silent
    }

    /// The upstream responded with an error or a rejection.
    pub(super) fn is_error(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Error | AttemptOutcome::Rejected
        )
    }

    /// It ended for a connection that broke or was not established.
    pub(super) fn is_connection_failure(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Reset | AttemptOutcome::ConnectFailed
        )
    }
}

fn is_reusable(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::Rejected
    )
}
