//! One connection of a client, as far as others need to see it.

use crate::body::CLIENT_STALL;
use crate::server::{
    DISCONNECT_POLL_INTERVAL, FIRST_REQUEST_TIMEOUT, IDLE_TIMEOUT, TIMEOUT_RESPONSE_GRACE,
};
use crate::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Nor does one last whose client takes nothing of a long answer for this time. The kernel holds megabytes for it, and
/// wants more only when a good part is gone: at 64 kB a second that takes half a minute.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The same while shutting down, or for one that is only to be refused.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A client's connection, as far as others need to see it.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    pub(super) opened: Instant,
    /// Since when it has waited for its next request to be whole; `None` while one is being served.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// It has carried no whole request yet.
    pub(super) carried_no_request: Cell<bool>,
    /// It has carried a request that was taken, not just asked for health.
    pub(super) carried_valid_request: Cell<bool>,
    /// A request has been taken and has no answer yet.
    pub(super) awaiting_response: Cell<bool>,
    /// An answer is on its way in parts.
    pub(super) streaming: Cell<bool>,
    /// The request that is being served ends so many bytes from the connection's beginning, if that is known.
    pub(super) request_end: Cell<Option<usize>>,
    /// What is left of the body of a request that has its answer is read to no end.
    pub(super) discarding_body: Cell<bool>,
    pub(super) close_requested: Cell<bool>,
    pub(super) close: Notify,
    /// Its last answer is written, and it is open only until its client has taken that.
    pub(super) lingering: Cell<bool>,
    /// It has been told that its request can't be used, or that there is no room for it, before all of that had come.
    pub(super) rejected_before_complete: Cell<bool>,
    /// It is to make room.
    pub(super) eviction_requested: Cell<bool>,
    pub(super) evict: Notify,
    /// It has made room, or has not.
    pub(super) settled: Rc<Notify>,
}

impl ClientConnection {
    pub(super) fn new(socket: Socket) -> Rc<Self> {
        let opened = Instant::now();
        Rc::new(ClientConnection {
            socket,
            opened,
            idle_since: Cell::new(Some(opened)),
            carried_no_request: Cell::new(true),
            carried_valid_request: Cell::new(false),
            awaiting_response: Cell::new(false),
            streaming: Cell::new(false),
            request_end: Cell::new(None),
            discarding_body: Cell::new(false),
            close_requested: Cell::new(false),
            close: Notify::new(),
            lingering: Cell::new(false),
            rejected_before_complete: Cell::new(false),
            eviction_requested: Cell::new(false),
            evict: Notify::new(),
            settled: Rc::default(),
        })
    }

    /// It waits for its next request.
    pub(super) fn mark_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
        self.socket.mark_idle();
        // Heads are looked for in what came last: the fewer bytes the better.
        if self.request_end.get() == Some(self.socket.read()) {
            self.socket.clear_recent_bytes();
        }
    }

    /// Something has come behind the request that is being served.
    pub(super) fn has_pipelined_bytes(&self) -> bool {
        self.request_end
            .get()
            .is_some_and(|end| self.socket.read() > end || self.socket.has_unread())
    }

    /// Closes it once it carries no request.
    pub(super) fn close(&self) {
        self.close_requested.set(true);
        self.close.notify_one();
    }

    /// When its first request has to be whole.
    pub(super) fn first_request_deadline(&self) -> Option<Instant> {
        self.carried_no_request
            .get()
            .then(|| self.opened + FIRST_REQUEST_TIMEOUT)
    }

    /// Ends when the peer has stood still, or dawdled with its first request, for longer than any should: also
    /// when it takes no bytes of its answer, or doesn't notice that the connection closes.
    pub(super) async fn stalled(&self) {
        let most = || {
            if self.close_requested.get() {
                CLOSING_IDLE_TIMEOUT
            } else {
                IDLE_TIMEOUT
            }
        };
        loop {
            let now = Instant::now();
            let until = match (self.idle_since.get(), self.socket.request_started_at()) {
                // The end of its answer has still to go.
                (Some(_), _) if self.socket.is_blocked() => {
                    self.socket.last_written() + WRITE_STALL_TIMEOUT
                }
                // Guards against taking the rest of a body, which may come for long, for a head.
                (Some(since), _) if self.discarding_body.get() => {
                    since.max(self.socket.last_read()) + CLIENT_STALL
                }
                // It may take its time for a head, also while the process ends.
                (Some(_), Some(request_started_at)) => {
                    self.first_request_deadline()
                        .unwrap_or(request_started_at + FIRST_REQUEST_TIMEOUT)
                        + TIMEOUT_RESPONSE_GRACE
                }
                (Some(since), None) => {
                    // A client that takes what it is given is not idle.
                    let since = since.max(self.socket.last_written());
                    self.first_request_deadline()
                        .map_or(since + IDLE_TIMEOUT, |first| first + TIMEOUT_RESPONSE_GRACE)
                        .min(since + most())
                }
                (None, _) if self.streaming.get() => {
                    self.socket.last_written() + WRITE_STALL_TIMEOUT
                }
                (None, _) => now + CLOSING_IDLE_TIMEOUT,
            };
            // What has come of the rest of a body may be unread only because the process had no turn.
            if until <= now && self.discarding_body.get() && self.socket.has_unread() {
                sleep(DISCONNECT_POLL_INTERVAL).await;
            } else if until <= now {
                return;
            }
            sleep_until(until.min(now + CLOSING_IDLE_TIMEOUT)).await;
        }
    }

    /// Ends when the client has left while its request waits. Guards against holding what nobody wants any more
    /// where bytes behind the request hide the end of the connection: whoever reads them would read no further.
    pub(super) async fn disconnected(&self) {
        loop {
            self.socket.readable().await;
            if self.awaiting_response.get() && self.socket.is_disconnected() {
                return;
            }
            sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }
}
