//! Answers to clients.

use crate::body::ResponseBody;
use crate::server::connection::ClientConnection;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use std::rc::Rc;

pub(super) type Answer = Response<ResponseBody>;

/// An answer that goes to its client in parts.
pub(super) struct Streaming(Rc<ClientConnection>);

impl Streaming {
    pub(super) fn begin(client: &Rc<ClientConnection>) -> Self {
        client.streaming.set(true);
        Streaming(client.clone())
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        self.0.streaming.set(false);
        self.0.rest();
    }
}

pub(super) fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(ResponseBody::whole(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
