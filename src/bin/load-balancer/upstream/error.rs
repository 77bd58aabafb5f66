//! The error of an attempt, and the outcome that it is reported as.

use load_balancer::AttemptOutcome;
use thiserror::Error;

/// Why an attempt has no successful response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AttemptError {
    /// The request was not sent completely, for a reason that says nothing about the upstream.
    #[error("the request was not sent")]
    NotSent,
    /// No connection was established; or the connection failed, the deadline passed or a successful
    /// response was received before the request was sent completely.
    #[error("the upstream could not be reached")]
    ConnectFailed,
    /// The upstream rejected the request without starting it.
    #[error("the upstream rejected the request")]
    Rejected,
    /// The response has a status other than 200 and does not count as [`Self::Rejected`].
    #[error("the upstream responded with an error status")]
    ErrorStatus,
    /// The response is malformed, too large or truncated.
    #[error("the response is invalid")]
    InvalidResponse,
    /// The connection failed after the request was sent and before any byte of the response was
    /// received.
    #[error("the connection was reset")]
    Reset,
    /// The deadline passed before the response was received.
    #[error("no response before the deadline")]
    TimedOut,
}

impl From<AttemptError> for AttemptOutcome {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::NotSent => AttemptOutcome::NotSent,
            AttemptError::ConnectFailed => AttemptOutcome::ConnectFailed,
            AttemptError::Rejected => AttemptOutcome::Rejected,
            AttemptError::ErrorStatus => AttemptOutcome::Error,
            AttemptError::InvalidResponse => AttemptOutcome::InvalidResponse,
            AttemptError::Reset => AttemptOutcome::Reset,
            AttemptError::TimedOut => AttemptOutcome::TimedOut,
        }
    }
}
