//! Response bodies as they are sent to clients.

use super::stream_window::StreamWindow;
use super::{BodyError, Download, StreamShare};
use crate::metrics::{InFlightRequest, RequestOutcome};
use crate::socket::{NextFlush, Socket};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::any::Any;
use std::mem;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The body of a response to a client, either complete in memory or streamed.
pub struct ResponseBody(Content);

enum Content {
    /// The complete body in memory; `None` if it is empty or has been returned.
    Complete(Option<Bytes>),
    Streamed(StreamedContent),
    Failed(FailedContent),
}

/// A body that is forwarded while it is being received.
struct StreamedContent {
    download: Box<Download>,
    window: StreamWindow,
    /// Counts the request in the metrics when the body ends.
    in_flight: InFlightRequest,
    /// Dropped when the body ends or the client disconnects.
    resources: Box<dyn Any>,
}

/// A body that has failed, and whose error is withheld until the next flush.
///
/// Hyper drops its write buffer when a body fails. If the body failed before the head was written,
/// the client would receive nothing, and could not tell that its request has run.
struct FailedContent {
    error: BodyError,
    flush: NextFlush,
    /// Dropped when the error is returned or the client disconnects.
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

    /// Creates a body that is forwarded to the client at `socket` while it is being received. When
    /// it ends, the request is counted in the metrics and `resources` are dropped.
    #[must_use]
    pub fn streamed(
        download: Box<Download>,
        socket: Socket,
        share: StreamShare,
        in_flight: InFlightRequest,
        resources: Box<dyn Any>,
    ) -> Self {
        ResponseBody(Content::Streamed(StreamedContent {
            download,
            window: StreamWindow::new(socket, share),
            in_flight,
            resources,
        }))
    }
}

impl Content {
    /// Returns the next part of the body. An error is returned once the parts before it, and the
    /// head, have been passed to the kernel.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = match self {
            Content::Complete(body) => return Poll::Ready(body.take().map(Ok)),
            Content::Streamed(streamed) => ready!(streamed.poll_data(cx)),
            Content::Failed(failed) => Some(Err(ready!(failed.poll_error(cx)))),
        };
        match next {
            Some(Ok(_)) => Poll::Ready(next),
            Some(Err(error)) => match mem::replace(self, Content::Complete(None)) {
                Content::Streamed(streamed) => {
                    *self = Content::Failed(streamed.fail(error));
                    self.poll_data(cx)
                }
                Content::Complete(_) | Content::Failed(_) => Poll::Ready(next),
            },
            None => {
                *self = Content::Complete(None);
                Poll::Ready(None)
            }
        }
    }
}

impl StreamedContent {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        ready!(self.window.poll_ready(cx));
        let mut next = ready!(self.download.poll_data(cx));
        if let Some(Ok(data)) = &mut next {
            *data = self.window.admit(mem::take(data));
        }
        match next {
            Some(Ok(_)) if !self.download.is_finished() => {}
            Some(Ok(_)) | None => self.in_flight.end(RequestOutcome::Served),
            Some(Err(_)) => self.in_flight.end(RequestOutcome::Failed),
        }
        Poll::Ready(next)
    }

    /// Closes the upstream connection, and withholds `error` until the next flush.
    fn fail(self, error: BodyError) -> FailedContent {
        FailedContent {
            error,
            flush: self.window.next_flush(),
            _resources: self.resources,
        }
    }
}

impl FailedContent {
    /// Returns the error after the flush.
    fn poll_error(&self, cx: &mut Context<'_>) -> Poll<BodyError> {
        self.flush.poll(cx).map(|()| self.error)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = ready!(self.0.poll_data(cx));
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Content::Complete(body) => body.is_none(),
            Content::Streamed(streamed) => streamed.download.is_finished(),
            Content::Failed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Content::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            Content::Streamed(streamed) => streamed.download.size_hint(),
            Content::Failed(_) => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
