//! Whether the peer has closed its side, and how this side closes without losing a response.
//!
//! The checks ask the kernel: the event loop only knows what had happened when it last polled.

use super::io::MAX_READ_BYTES;
use super::system_errors::{is_resource_exhaustion, retry_on_interrupt};
use super::Socket;
use nix::libc::POLLRDHUP;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::Interest;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Calls to the kernel in one check, so that a fast sender doesn't occupy the thread.
const MAX_READS_PER_CHECK: usize = 64;

/// What becomes of input that nobody has read when a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// It stays in the kernel: a request among it was not read, and its client may send it again.
    Keep,
    /// It is read and dropped without limit, as the rest of a rejected request.
    Discard,
}

impl Socket {
    /// Waits until input, its end or an error can be read.
    pub async fn readable(&self) {
        // If the readiness can't be awaited, the caller's next check shows the error.
        let _ = self
            .0
            .stream
            .ready(Interest::READABLE | Interest::ERROR)
            .await;
    }

    /// True if the peer has closed its connection or its sending half, or reset it, even if bytes
    /// sent before that are still unread.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(
            self.0.stream.as_fd(),
            PollFlags::from_bits_retain(POLLRDHUP),
        )];
        let hung_up = retry_on_interrupt(|| Ok(poll(&mut polled, PollTimeout::ZERO)?));
        hung_up.is_ok_and(|ready| ready > 0)
            || self.0.read_ahead.is_enabled() && self.read_ahead_to_end()
    }

    /// Reads ahead all input that has arrived; true if its end or an error comes behind it. Unread
    /// input could otherwise fill the receive window and keep the peer's FIN from arriving.
    fn read_ahead_to_end(&self) -> bool {
        let mut bytes = [0; MAX_READ_BYTES];
        for _ in 0..MAX_READS_PER_CHECK {
            match self.read_from_kernel(&mut bytes) {
                Ok(0) => return true,
                Ok(count) => {
                    self.0.received.record_progress();
                    self.0.read_ahead.append(&bytes[..count]);
                }
                Err(error) => {
                    return error.kind() != io::ErrorKind::WouldBlock
                        && !is_resource_exhaustion(&error);
                }
            }
        }
        false
    }

    /// Reads without waiting, also if the event loop has not seen the input yet.
    fn read_from_kernel(&self, bytes: &mut [u8]) -> io::Result<usize> {
        match retry_on_interrupt(|| self.0.stream.try_read(bytes)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                retry_on_interrupt(|| (&*SockRef::from(&self.0.stream)).read(bytes))
            }
            result => result,
        }
    }

    /// Lingering close: ends the sending half, then waits until the peer has closed too if input
    /// is unread or is to be discarded. Closing over unread input would reset the connection, and
    /// the peer would lose what it has not read. With [`UnreadInput::Keep`] the peer is checked
    /// once per `check_interval`.
    pub async fn linger(&self, unread: UnreadInput, check_interval: Duration) {
        // Fails if the connection is broken or already half-closed.
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        let is_discarding = unread == UnreadInput::Discard;
        self.set_read_ahead(is_discarding);
        if !is_discarding && !self.has_unread() {
            return;
        }
        while !self.is_disconnected() {
            self.readable().await;
            if is_discarding {
                yield_now().await;
            } else {
                sleep(check_interval).await;
            }
        }
    }

    /// True if input of the peer is unread, whether the connection is closed or not.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.0.read_ahead.is_empty() || matches!(self.peek(), Ok(1..))
    }

    /// True if the peer has neither closed the connection nor sent anything that is unread.
    #[must_use]
    pub fn is_open_and_idle(&self) -> bool {
        self.0.read_ahead.is_empty()
            && matches!(self.peek(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Looks for one byte, the end or an error without taking it from the kernel.
    fn peek(&self) -> io::Result<usize> {
        let socket = SockRef::from(&self.0.stream);
        retry_on_interrupt(|| socket.peek(&mut [MaybeUninit::uninit()]))
    }
}
