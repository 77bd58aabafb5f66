//! A stream whose reads and writes outlast interrupts and resource exhaustion.

use crate::socket::system_errors::is_resource_exhaustion;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Wraps a stream: an interrupted call is made again at once, one that failed for want of a
/// resource in a later turn of the event loop.
pub struct RetryOnInterrupt<T>(pub T);

/// The final result of a call, or `None` if it has to be made again at once.
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

impl<T: AsyncRead + Unpin> AsyncRead for RetryOnInterrupt<T> {
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

impl<T: AsyncWrite + Unpin> AsyncWrite for RetryOnInterrupt<T> {
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
