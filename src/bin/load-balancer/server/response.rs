//! Answers to clients.

use crate::body::ResponseBody;
use crate::server::connection::{ClientConnection, Phase};
use bytes::Bytes;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Response, StatusCode};
use std::rc::Rc;

pub(super) type ClientResponse = Response<ResponseBody>;

/// An answer that goes to its client in parts.
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

pub(super) fn text_response(status: StatusCode, text: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::whole(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Has the connection closed after this response.
pub(super) fn close_connection_after(response: &mut ClientResponse) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
