//! Responses to clients, and the guard of a streamed response.

use crate::body::ResponseBody;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::request_error::RequestError;
use bytes::Bytes;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::rc::Rc;

/// A response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// Keeps a connection in the streaming phase while a response is streamed to its client.
pub(super) struct StreamingGuard(Rc<ClientConnection>);

impl StreamingGuard {
    pub(super) fn begin(client: &Rc<ClientConnection>) -> Self {
        client.enter(Phase::StreamingResponse);
        StreamingGuard(client.clone())
    }
}

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        self.0.mark_idle();
    }
}

/// Builds a response whose body is a text.
pub(super) fn text_response(status: StatusCode, text: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::complete(Bytes::copy_from_slice(
        text.as_bytes(),
    )));
    *response.status_mut() = status;
    response
}

/// Builds the response to a request that is not served because of `error`.
pub(super) fn error_response(error: &RequestError) -> ClientResponse {
    text_response(error.status(), &error.to_string())
}

/// Builds the response to a request that the balancer has rejected; `retry_after` is in seconds.
pub(super) fn rejected_response(retry_after: Option<f64>) -> ClientResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Some(seconds) = retry_after {
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Makes the connection close after this response.
pub(super) fn close_connection_after(response: &mut ClientResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
