//! A stream that retries reads and writes after interrupts and resource exhaustion.

use crate::socket::system_errors::is_resource_exhaustion;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A wrapper of a stream that hides transient errors. A call that was interrupted is repeated
/// immediately; a call that failed because a resource was exhausted is repeated in a later
/// iteration of the event loop.
pub struct RetryStream<T>(pub T);

/// Returns the result that a poll function passes to its caller, or `None` if the call has to be
/// repeated immediately.
fn final_result<T>(result: Poll<io::Result<T>>, context: &Context) -> Option<Poll<io::Result<T>>> {
    match result {
        Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => None,
        Poll::Ready(Err(error)) if is_resource_exhaustion(&error) => {
            context.waker().wake_by_ref();
            Some(Poll::Pending)
        }
        result => Some(result),
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for RetryStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        loop {
            let result = Pin::new(&mut self.0).poll_read(context, buffer);
            if let Some(result) = final_result(result, context) {
                return result;
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for RetryStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let result = Pin::new(&mut self.0).poll_write(context, bytes);
            if let Some(result) = final_result(result, context) {
                return result;
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
