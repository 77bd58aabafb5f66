//! Limits how much of a streamed body waits for its receiver.

use super::memory_budget::StreamShare;
use crate::socket::{NextFlush, Socket};
use bytes::Bytes;
use std::task::{Context, Poll};

/// Maximum memory of the parts that hyper buffers without a limit from outside, in bytes: 16 parts,
/// each of which keeps a read buffer of 16 KiB allocated.
const MAX_BUFFERED_BY_HYPER_BYTES: usize = 16 * (16 << 10);

/// The parts of a streamed body that have been handed to hyper and not yet to the kernel. They may
/// take up the stream's share of the memory, or one part if that is more.
///
/// Without this limit, hyper buffers several parts for each receiver that is slower than the
/// sender, however many there are.
pub struct StreamWindow {
    socket: Socket,
    share: StreamShare,
    /// Size of the parts since the last flush, in bytes.
    buffered_bytes: usize,
    /// The next flush after the first of these parts; `None` if there are none.
    flush: Option<NextFlush>,
}

impl StreamWindow {
    /// Creates the window of a body that is sent to `socket`.
    #[must_use]
    pub fn new(socket: Socket, share: StreamShare) -> Self {
        StreamWindow {
            socket,
            share,
            buffered_bytes: 0,
            flush: None,
        }
    }

    /// Waits until a further part may be handed to hyper.
    pub(super) fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(flush) = &self.flush else {
            return Poll::Ready(());
        };
        if flush.has_happened() {
            self.flush = None;
            self.buffered_bytes = 0;
            return Poll::Ready(());
        }
        if self.buffered_bytes < self.share.max_bytes() {
            return Poll::Ready(());
        }
        flush.poll(cx)
    }

    /// Records that a part is handed to hyper, and returns the part. It is copied if the share is
    /// small, because each part keeps the whole read buffer allocated that it was received in.
    pub(super) fn admit(&mut self, part: Bytes) -> Bytes {
        self.buffered_bytes += part.len();
        if self.flush.is_none() {
            self.flush = Some(self.socket.next_flush());
        }
        if self.share.max_bytes() < MAX_BUFFERED_BY_HYPER_BYTES {
            Bytes::copy_from_slice(&part)
        } else {
            part
        }
    }

    /// Returns the next flush after the parts that have been handed to hyper so far.
    pub(super) fn next_flush(&self) -> NextFlush {
        self.socket.next_flush()
    }
}
