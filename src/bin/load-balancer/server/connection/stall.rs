//! Detects clients that have stalled or disconnected, so that their connections are closed.

use super::{ClientConnection, Phase};
use crate::body::CLIENT_STALL_TIMEOUT;
use crate::server::timeouts::{
    DISCONNECT_CHECK_INTERVAL, IDLE_TIMEOUT, REQUEST_ARRIVAL_TIMEOUT, TIMEOUT_RESPONSE_GRACE,
};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// A connection is closed if its client accepts no byte of a response for this time. The kernel
/// buffers megabytes for the client, and reports the socket as writable only once a large part of
/// them has been sent, which takes half a minute at 64 kB/s. A much shorter timeout would therefore
/// close connections whose clients are still receiving.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Replaces [`IDLE_TIMEOUT`] on a connection that is to close after its current request.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the stall deadline is recomputed, as it depends on state that changes during
/// the wait.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

impl ClientConnection {
    /// Waits until the client has made no progress for too long: it is idle, its request is not
    /// received in time, or it accepts no bytes of its response.
    pub(in crate::server) async fn stalled(&self) {
        loop {
            let now = Instant::now();
            let deadline = self.stall_deadline(now);
            if deadline <= now && self.awaits_input() && self.socket.has_unread() {
                // The input is unread only because this process has had no time to read it.
                sleep(DISCONNECT_CHECK_INTERVAL).await;
            } else if deadline <= now {
                return;
            }
            sleep_until(deadline.min(now + STALL_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether the client has stalled only if its input doesn't arrive: the rest of a body
    /// that is discarded, or the first byte of a request.
    fn awaits_input(&self) -> bool {
        let awaits_first_byte = matches!(self.phase(), Phase::AwaitingRequest { .. })
            && self.socket.request_started_at().is_none();
        self.request.is_discarding_body.get() || awaits_first_byte
    }

    /// Returns the time at which the client counts as stalled if nothing changes until then.
    fn stall_deadline(&self, now: Instant) -> Instant {
        match self.phase() {
            Phase::AwaitingRequest { since } => self.idle_deadline(since),
            Phase::StreamingResponse => self.socket.last_written() + WRITE_STALL_TIMEOUT,
            // Other time limits apply in these phases.
            Phase::AwaitingCapacity
            | Phase::ReceivingBody
            | Phase::AwaitingResponse
            | Phase::Lingering { .. } => now + STALL_CHECK_INTERVAL,
        }
    }

    /// Returns the time at which the client counts as stalled on a connection that has awaited a
    /// request since `since`.
    fn idle_deadline(&self, since: Instant) -> Instant {
        // The end of the last response has not been written yet.
        if self.socket.is_write_blocked() {
            return self.socket.last_written() + WRITE_STALL_TIMEOUT;
        }
        // The rest of a body may take longer than a head, to which the stricter limit below
        // applies.
        if self.request.is_discarding_body.get() {
            return since.max(self.socket.last_read()) + CLIENT_STALL_TIMEOUT;
        }
        // A head that has begun to arrive gets its full time limit, even during a shutdown.
        if let Some(request_started_at) = self.socket.request_started_at() {
            return self
                .first_request_deadline()
                .unwrap_or(request_started_at + REQUEST_ARRIVAL_TIMEOUT)
                + TIMEOUT_RESPONSE_GRACE;
        }
        // A client that is receiving bytes of its response is not idle.
        let since = since.max(self.socket.last_written());
        let idle_timeout = if self.close.is_requested() {
            CLOSING_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let idle_deadline = since + idle_timeout;
        match self.first_request_deadline() {
            Some(first) => idle_deadline.min(first + TIMEOUT_RESPONSE_GRACE),
            None => idle_deadline,
        }
    }

    /// Waits until the client has disconnected while its request awaits a response. Hyper doesn't
    /// detect the disconnect if there are unread bytes before the end of the stream.
    pub(in crate::server) async fn disconnected(&self) {
        loop {
            self.socket.readable().await;
            if self.phase() == Phase::AwaitingResponse && self.socket.is_disconnected() {
                return;
            }
            sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }
}
