//! Responses of the admin endpoint, and the HTTP status of each error.

use crate::handover::MaintenanceError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Method, Response, StatusCode};
use thiserror::Error;

/// A response with a complete body.
pub type AdminResponse = Response<Full<Bytes>>;

/// The reason why an admin request failed. Its text is the body of the response.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The path is unknown.
    #[error("no such call")]
    UnknownPath,
    /// The path is known, but is only accepted with the given method.
    #[error("this is asked for with {0}")]
    WrongMethod(Method),
    /// The request body exceeds the limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The request body could not be read.
    #[error("the body is broken")]
    MalformedBody,
    /// The percent-decoded name of the upstream is not valid UTF-8.
    #[error("the id can't be read")]
    MalformedUpstreamName,
    /// This process is not ready to serve clients.
    #[error("not ready")]
    NotReady,
    /// No upstream with this name is known.
    #[error("no such upstream")]
    UnknownUpstream,
    /// The state file could not be read or written, so a maintenance change is not stored.
    #[error("done, but an upgrade now would undo it")]
    StateNotStored,
}

impl From<MaintenanceError> for AdminError {
    fn from(error: MaintenanceError) -> Self {
        match error {
            MaintenanceError::UnknownUpstream => AdminError::UnknownUpstream,
            MaintenanceError::StateUnreadable(_) | MaintenanceError::StateUnwritable(_) => {
                AdminError::StateNotStored
            }
        }
    }
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            AdminError::UnknownPath | AdminError::UnknownUpstream => StatusCode::NOT_FOUND,
            AdminError::WrongMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            AdminError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            AdminError::MalformedBody | AdminError::MalformedUpstreamName => {
                StatusCode::BAD_REQUEST
            }
            AdminError::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            AdminError::StateNotStored => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the response that reports this error.
    pub fn response(&self) -> AdminResponse {
        let mut response = text_response(self.status(), &self.to_string());
        if let AdminError::WrongMethod(method) = self {
            if let Ok(method) = HeaderValue::from_str(method.as_str()) {
                response.headers_mut().insert(ALLOW, method);
            }
        }
        response
    }
}

/// Returns a plain-text response with `text` as its body, terminated by exactly one line feed.
pub fn text_response(status: StatusCode, text: &str) -> AdminResponse {
    let body = Bytes::from(format!("{}\n", text.trim_end()));
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
