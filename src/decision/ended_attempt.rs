//! Ended attempts and the classification of their outcomes.

use super::event::{AttemptOutcome, AttemptResult};
use super::latency::OVERDUE_FACTOR;
use super::upstream::InFlightAttempt;

/// An attempt that has ended, with the classification of its outcome. Times are in seconds.
pub(super) struct EndedAttempt {
    pub(super) class: usize,
    pub(super) outcome: AttemptOutcome,
    /// When the attempt started.
    pub(super) sent_at: f64,
    /// How long the attempt took.
    pub(super) elapsed: f64,
    /// Expected latency of the attempt.
    pub(super) expected_latency: f64,
    /// How long the connection had been idle when the attempt started; 0 for a new connection.
    pub(super) connection_idle: f64,
    /// Whether the upstream responded, possibly with an error, a rejection or an invalid response.
    pub(super) is_response: bool,
    /// Whether the upstream is to blame for the missing response.
    pub(super) is_lost: bool,
}

impl EndedAttempt {
    /// Combines the record of an attempt in flight with its result.
    pub(super) fn new(
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        has_short_deadline: bool,
    ) -> Self {
        let outcome = result.outcome;
        let is_overdue = result.elapsed > OVERDUE_FACTOR * attempt.expected_latency;
        let is_lost = match outcome {
            AttemptOutcome::Cancelled => is_overdue,
            // The upstream is not to blame if the client gives up before the latency objective and
            // the attempt is not overdue.
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
            // The embedder's value takes precedence: the connection that was expected to carry the
            // attempt may have been closed, so that a different one was used.
            connection_idle: result.connection_idle.unwrap_or(attempt.connection_idle),
            is_response: is_reusable(outcome) || outcome == AttemptOutcome::InvalidResponse,
            is_lost,
        }
    }

    /// Returns whether the connection can carry another attempt.
    pub(super) fn connection_is_reusable(&self) -> bool {
        is_reusable(self.outcome)
    }

    /// Returns whether the attempt was lost without any notice from the upstream.
    pub(super) fn is_lost_silently(&self) -> bool {
        let is_silent = matches!(
            self.outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
        );
        self.is_lost && is_silent
    }

    /// Returns whether the upstream responded with an error or a rejection.
    pub(super) fn is_error(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::Error | AttemptOutcome::Rejected
        )
    }

    /// Returns whether the attempt ended because the connection broke or was not established.
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
