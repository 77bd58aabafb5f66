//! When a client counts as stalled or disconnected, so that its connection is closed.

use super::{ClientConnection, Phase};
use crate::body::CLIENT_STALL;
use crate::server::{
    DISCONNECT_POLL_INTERVAL, FIRST_REQUEST_TIMEOUT, IDLE_TIMEOUT, TIMEOUT_RESPONSE_GRACE,
};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// A connection is closed if its client takes no byte of a response for this time. The kernel
/// buffers megabytes for the client and asks for more only when a good part of them is gone: at
/// 64 kB/s that takes half a minute.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Replaces [`IDLE_TIMEOUT`] on a connection that is to close after its current request.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The stall deadline depends on state that changes meanwhile, so it is computed again this
/// often.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

impl ClientConnection {
    /// Returns when the client has made no progress for too long: it is idle, its request doesn't
    /// arrive, or it takes no bytes of its response.
    pub(in crate::server) async fn stalled(&self) {
        loop {
            let now = Instant::now();
            let deadline = self.stall_deadline(now);
            if deadline <= now && self.request.discarding_body.get() && self.socket.has_unread() {
                // The rest of the body has arrived, and is unread only because this process had
                // no time for it.
                sleep(DISCONNECT_POLL_INTERVAL).await;
            } else if deadline <= now {
                return;
            }
            sleep_until(deadline.min(now + STALL_CHECK_INTERVAL)).await;
        }
    }

    /// When the client counts as stalled if nothing changes until then.
    fn stall_deadline(&self, now: Instant) -> Instant {
        match self.phase() {
            Phase::AwaitingRequest { since } => self.idle_deadline(since),
            Phase::StreamingResponse => self.socket.last_written() + WRITE_STALL_TIMEOUT,
            // These have time limits of their own.
            Phase::AwaitingCapacity
            | Phase::ReceivingBody
            | Phase::AwaitingResponse
            | Phase::Lingering { .. } => now + STALL_CHECK_INTERVAL,
        }
    }

    /// When the client counts as stalled on a connection that awaits a request since then.
    fn idle_deadline(&self, since: Instant) -> Instant {
        // The end of the last response is still to be sent.
        if self.socket.is_blocked() {
            return self.socket.last_written() + WRITE_STALL_TIMEOUT;
        }
        // The rest of a body may take long and is no head, to which a stricter limit applies.
        if self.request.discarding_body.get() {
            return since.max(self.socket.last_read()) + CLIENT_STALL;
        }
        // A head that has begun to arrive has its full time, also during a shutdown.
        if let Some(request_started_at) = self.socket.request_started_at() {
            return self
                .first_request_deadline()
                .unwrap_or(request_started_at + FIRST_REQUEST_TIMEOUT)
                + TIMEOUT_RESPONSE_GRACE;
        }
        // A client that takes the bytes of its response is not idle.
        let since = since.max(self.socket.last_written());
        let idle_timeout = if self.close.is_requested() {
            CLOSING_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        self.first_request_deadline()
            .map_or(since + IDLE_TIMEOUT, |first| first + TIMEOUT_RESPONSE_GRACE)
            .min(since + idle_timeout)
    }

    /// Returns when the client has disconnected while its request awaits a response. The HTTP
    /// implementation doesn't notice that if there are unread bytes before the end of the stream.
    pub(in crate::server) async fn disconnected(&self) {
        loop {
            self.socket.readable().await;
            if self.phase() == Phase::AwaitingResponse && self.socket.is_disconnected() {
                return;
            }
            sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }
}
