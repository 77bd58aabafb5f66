//! Detects whether the peer has disconnected, and closes a connection without losing a response.
//!
//! The checks query the kernel, as the event loop only knows the state of its last poll.

use super::io::MAX_READ_BYTES;
use super::system_errors::{is_resource_exhaustion, retry_on_interrupt};
use super::Socket;
use nix::libc::POLLRDHUP;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::Interest;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Maximum number of reads in one check, so that a fast sender doesn't occupy the thread.
const MAX_READS_PER_CHECK: usize = 64;

/// The treatment of unread input of the peer when a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// Unread input stays in the kernel. A request in this input was not read, so the client may
    /// retry the request.
    Keep,
    /// Unread input, such as the rest of a rejected request, is read without limit and not
    /// processed.
    Discard,
}

impl Socket {
    /// Waits until input, the end of input or an error can be read.
    pub async fn readable(&self) {
        // If waiting for readiness fails, the caller's next check detects the failure.
        let _ = self
            .0
            .stream
            .ready(Interest::READABLE | Interest::ERROR)
            .await;
    }

    /// Returns whether the peer has closed the connection or its sending half, or has reset the
    /// connection, even if bytes sent before that are still unread.
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

    /// Reads ahead the input that has been received, and returns whether the end of input or an
    /// error follows it. Unread input could otherwise fill the receive window and keep the peer's
    /// FIN from being received.
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

    /// Reads without waiting, even if the event loop has not yet reported the socket as readable.
    fn read_from_kernel(&self, bytes: &mut [u8]) -> io::Result<usize> {
        match self.try_receive(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.receive(bytes),
            result => result,
        }
    }

    /// Performs a lingering close: shuts down the sending half and then, if input is unread or is
    /// to be discarded, waits until the peer has closed too. Closing a connection with unread input
    /// would reset it, and the peer could lose a response that it has not read yet. With
    /// [`UnreadInput::Keep`] the peer is checked once per `check_interval`.
    pub async fn linger(&self, unread: UnreadInput, check_interval: Duration) {
        // Fails only if the connection has failed or its sending half is already shut down.
        let _ = SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        let is_discarding = unread == UnreadInput::Discard;
        if is_discarding {
            self.0.read_ahead.discard();
        }
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

    /// Returns whether input of the peer is unread, even if the peer has closed the connection.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        !self.0.read_ahead.is_empty() || matches!(self.peek(), Ok(1..))
    }

    /// Returns whether the peer has the connection open and has sent no bytes that are unread.
    #[must_use]
    pub fn is_open_and_idle(&self) -> bool {
        self.0.read_ahead.is_empty()
            && matches!(self.peek(), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Peeks at one byte, the end of input or an error without consuming it. Returns 1 for a byte
    /// and 0 for the end.
    fn peek(&self) -> io::Result<usize> {
        let socket = SockRef::from(&self.0.stream);
        retry_on_interrupt(|| socket.peek(&mut [MaybeUninit::uninit()]))
    }
}
