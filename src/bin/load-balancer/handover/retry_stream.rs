//! A stream on which an interrupted call, or one that is short of memory for a moment, is no end.

use crate::socket::system_errors::is_resource_exhaustion;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reads and writes on a stream, again where a call was interrupted; after a shortage in a later turn of the event loop.
pub struct RetryOnInterrupt<T>(pub T);

/// What becomes of a call: `None` if it is to be made again at once.
fn settled<T>(result: Poll<io::Result<T>>, context: &Context) -> Option<Poll<io::Result<T>>> {
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
        bytes: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        loop {
            let result = Pin::new(&mut self.0).poll_read(context, bytes);
            if let Some(result) = settled(result, context) {
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
            if let Some(result) = settled(result, context) {
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
