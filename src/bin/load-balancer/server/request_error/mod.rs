//! The errors for which a client's request is not served, and their response statuses.

use crate::body::BodyError;
use crate::dispatch::RejectionReason;
use hyper::{Method, StatusCode};
use thiserror::Error;

/// Why a request is not served. The text is the body of the response to the client.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum RequestError {
    #[error("the path names no known class")]
    UnknownClass,
    #[error("this class is asked for with {expected}")]
    MethodNotAllowed { expected: Method },
    #[error("{0} can't be read")]
    UnreadableHeader(&'static str),
    #[error("{0} stands there twice")]
    RepeatedHeader(&'static str),
    #[error("{0} is not a number")]
    NotANumber(&'static str),
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    #[error("this class has no Idempotency-Key")]
    UnexpectedIdempotencyKey,
    #[error("Request-Id is missing")]
    MissingRequestId,
    #[error("Request-Id is malformed")]
    MalformedRequestId,
    #[error("the end of the body is unclear")]
    AmbiguousBodyLength,
    #[error("GET has no body")]
    UnexpectedBody,
    #[error("the path is missing")]
    MissingPath,
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("too many requests are open")]
    TooManyOpen,
    #[error("too many requests were sent recently")]
    TooManyRecent,
    #[error("too little memory is free")]
    MemoryShortage,
    #[error("Request-Id has been used before")]
    DuplicateRequestId,
}

impl RequestError {
    /// Returns the status of the response to the client.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::UnknownClass
            | Self::UnreadableHeader(_)
            | Self::RepeatedHeader(_)
            | Self::NotANumber(_)
            | Self::MissingIdempotencyKey
            | Self::UnexpectedIdempotencyKey
            | Self::MissingRequestId
            | Self::MalformedRequestId
            | Self::AmbiguousBodyLength
            | Self::UnexpectedBody
            | Self::MissingPath
            | Self::Body(BodyError::Truncated) => StatusCode::BAD_REQUEST,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::Body(BodyError::Stalled) => StatusCode::REQUEST_TIMEOUT,
            Self::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::DuplicateRequestId => StatusCode::CONFLICT,
            Self::TooManyOpen
            | Self::TooManyRecent
            | Self::MemoryShortage
            | Self::Body(BodyError::Abandoned) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<RejectionReason> for RequestError {
    fn from(reason: RejectionReason) -> Self {
        match reason {
            RejectionReason::TooManyOpen => Self::TooManyOpen,
            RejectionReason::TooManyRecent => Self::TooManyRecent,
            RejectionReason::DuplicateId => Self::DuplicateRequestId,
        }
    }
}

#[cfg(test)]
mod tests;
