//! Implements hyper's I/O traits for [`Socket`].

use super::system_errors::{is_resource_exhaustion, retry_on_interrupt};
use super::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// Maximum number of bytes that one call reads.
pub(super) const MAX_READ_BYTES: usize = 8 << 10;

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; MAX_READ_BYTES];
        let capacity = buffer.remaining().min(bytes.len());
        let count = ready!(self.poll_input(cx, &mut bytes[..capacity]))?;
        self.0.received.add(count);
        self.0.client_input.record_read(count);
        self.0.exchange.check_received(self.bytes_read())?;
        self.0
            .client_input
            .record_bytes(&bytes[..count], self.bytes_read());
        buffer.put_slice(&bytes[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, bytes.len(), |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        self.poll_write_with(cx, length, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushes.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

impl Socket {
    /// Reads from the read-ahead buffer, or from the kernel if the buffer is empty.
    fn poll_input(&self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        self.0.input_limit.check_read(self.bytes_read())?;
        if let Some(count) = self.0.read_ahead.take(bytes) {
            return Poll::Ready(Ok(count));
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.try_receive(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if is_resource_exhaustion(&error) => {
                    // The bytes stay in the kernel. Other tasks run before the read is retried.
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                result => {
                    self.0.received.record_progress();
                    return Poll::Ready(result);
                }
            }
        }
    }

    /// Checks the limits of the exchange, and calls `write` once the socket is writable. `write`
    /// passes `length` bytes to the kernel and returns the number of bytes accepted.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        length: usize,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.0.exchange.check_write(self, length)?;
        loop {
            let writable = self.0.stream.poll_write_ready(cx);
            self.0.is_write_blocked.set(writable.is_pending());
            ready!(writable)?;
            match retry_on_interrupt(|| write(&self.0.stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if is_resource_exhaustion(&error) => {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    self.record_sent(count);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }

    /// Records that the kernel has accepted `count` bytes.
    fn record_sent(&self, count: usize) {
        self.0.sent.add(count);
        self.0.sent.record_progress();
        self.0.exchange.record_sent(self.bytes_written());
    }
}
