//! Response bodies as they are sent to clients.

use super::{BodyError, Download};
use crate::metrics::{InFlightRequest, RequestOutcome};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::any::Any;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The body of a response to a client, either complete in memory or streamed.
pub struct ResponseBody(Content);

enum Content {
    /// The complete body in memory; `None` if it is empty or has been returned.
    Complete(Option<Bytes>),
    Streamed(StreamedContent),
}

/// A body that is forwarded while it is being received.
struct StreamedContent {
    download: Box<Download>,
    /// Counts the request in the metrics when the body ends.
    in_flight: InFlightRequest,
    /// Dropped when the body ends or the client disconnects.
    _resources: Box<dyn Any>,
}

impl ResponseBody {
    /// Creates a body that is complete in memory.
    #[must_use]
    pub fn complete(body: Bytes) -> Self {
        ResponseBody(Content::Complete(
            Some(body).filter(|body| !body.is_empty()),
        ))
    }

    /// Creates a body that is forwarded while it is being received. When it ends, the request is
    /// counted in the metrics and `resources` are dropped.
    #[must_use]
    pub fn streamed(
        download: Box<Download>,
        in_flight: InFlightRequest,
        resources: Box<dyn Any>,
    ) -> Self {
        ResponseBody(Content::Streamed(StreamedContent {
            download,
            in_flight,
            _resources: resources,
        }))
    }
}

impl StreamedContent {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = ready!(self.download.poll_data(cx));
        match next {
            Some(Ok(_)) if !self.download.is_finished() => {}
            Some(Ok(_)) | None => self.in_flight.end(RequestOutcome::Served),
            Some(Err(_)) => self.in_flight.end(RequestOutcome::Failed),
        }
        Poll::Ready(next)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = match &mut self.0 {
            Content::Complete(body) => body.take().map(Ok),
            Content::Streamed(streamed) => {
                let next = ready!(streamed.poll_data(cx));
                if !matches!(next, Some(Ok(_))) {
                    self.0 = Content::Complete(None);
                }
                next
            }
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Content::Complete(body) => body.is_none(),
            Content::Streamed(streamed) => streamed.download.is_finished(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Content::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            Content::Streamed(streamed) => streamed.download.size_hint(),
        }
    }
}
