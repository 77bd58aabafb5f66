//! Why an attempt got no usable response.

use load_balancer::AttemptOutcome;
use thiserror::Error;

/// Why an attempt got no usable response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AttemptError {
    /// The request was not sent, for a reason that says nothing about the upstream.
    #[error("the request was not sent")]
    NotSent,
    /// No connection, or one that broke before the request was sent completely.
    #[error("the upstream could not be reached")]
    ConnectFailed,
    /// The upstream rejected the request without starting it.
    #[error("the upstream rejected the request")]
    Rejected,
    /// The upstream answered with an error status.
    #[error("the upstream answered with an error status")]
    ErrorStatus,
    /// What the upstream sent can't be used as a response, or ends early.
    #[error("the response is invalid")]
    InvalidResponse,
    /// The connection broke before the response began.
    #[error("the connection was reset")]
    Reset,
    /// No response before the deadline.
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
