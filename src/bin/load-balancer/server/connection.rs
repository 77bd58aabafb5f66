//! One connection of a client, as far as others need to see it.

use crate::body::CLIENT_STALL;
use crate::server::{FIRST_REQUEST, GRACE, IDLE, LOOK};
use crate::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Nor does one last whose client takes nothing of a long answer for this time. The kernel holds megabytes for it, and
/// wants more only when a good part is gone: at 64 kB a second that takes half a minute.
const TAKES_NOTHING: Duration = Duration::from_secs(60);
/// The same while shutting down, or for one that is only to be refused.
const HURRIED: Duration = Duration::from_millis(1500);

/// A client's connection, as far as others need to see it.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    pub(super) opened: Instant,
    /// Since when it has waited for its next request to be whole; `None` while one is being served.
    pub(super) idle: Cell<Option<Instant>>,
    /// It has carried no whole request yet.
    pub(super) fresh: Cell<bool>,
    /// It has carried a request that was taken, not just asked for health.
    pub(super) asked: Cell<bool>,
    /// A request has been taken and has no answer yet.
    pub(super) waits: Cell<bool>,
    /// An answer is on its way in parts.
    pub(super) streaming: Cell<bool>,
    /// The request that is being served ends so many bytes from the connection's beginning, if that is known.
    pub(super) ends_at: Cell<Option<usize>>,
    /// What is left of the body of a request that has its answer is read to no end.
    pub(super) discards: Cell<bool>,
    pub(super) closing: Cell<bool>,
    pub(super) close: Notify,
    /// Its last answer is written, and it is open only until its client has taken that.
    pub(super) over: Cell<bool>,
    /// It has been told that its request can't be used, or that there is no room for it, before all of that had come.
    pub(super) turned_away: Cell<bool>,
    /// It is to make room.
    pub(super) evicting: Cell<bool>,
    pub(super) evicted: Notify,
    /// It has made room, or has not.
    pub(super) settled: Rc<Notify>,
}

impl ClientConnection {
    pub(super) fn new(socket: Socket) -> Rc<Self> {
        let opened = Instant::now();
        Rc::new(ClientConnection {
            socket,
            opened,
            idle: Cell::new(Some(opened)),
            fresh: Cell::new(true),
            asked: Cell::new(false),
            waits: Cell::new(false),
            streaming: Cell::new(false),
            ends_at: Cell::new(None),
            discards: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
            over: Cell::new(false),
            turned_away: Cell::new(false),
            evicting: Cell::new(false),
            evicted: Notify::new(),
            settled: Rc::default(),
        })
    }

    /// It waits for its next request.
    pub(super) fn rest(&self) {
        self.idle.set(Some(Instant::now()));
        self.socket.mark_idle();
        // Heads are looked for in what came last: the fewer bytes the better.
        if self.ends_at.get() == Some(self.socket.read()) {
            self.socket.clear_recent_bytes();
        }
    }

    /// Something has come behind the request that is being served.
    pub(super) fn has_more(&self) -> bool {
        self.ends_at
            .get()
            .is_some_and(|end| self.socket.read() > end || self.socket.has_unread())
    }

    /// Closes it once it carries no request.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }

    /// When its first request has to be whole.
    pub(super) fn first_request(&self) -> Option<Instant> {
        self.fresh.get().then(|| self.opened + FIRST_REQUEST)
    }

    /// Ends when the peer has stood still, or dawdled with its first request, for longer than any should: also
    /// when it takes no bytes of its answer, or doesn't notice that the connection closes.
    pub(super) async fn stalled(&self) {
        let most = || if self.closing.get() { HURRIED } else { IDLE };
        loop {
            let now = Instant::now();
            let until = match (self.idle.get(), self.socket.request_started_at()) {
                // The end of its answer has still to go.
                (Some(_), _) if self.socket.is_blocked() => {
                    self.socket.last_written() + TAKES_NOTHING
                }
                // Guards against taking the rest of a body, which may come for long, for a head.
                (Some(since), _) if self.discards.get() => {
                    since.max(self.socket.last_read()) + CLIENT_STALL
                }
                // It may take its time for a head, also while the process ends.
                (Some(_), Some(request_started_at)) => {
                    self.first_request()
                        .unwrap_or(request_started_at + FIRST_REQUEST)
                        + GRACE
                }
                (Some(since), None) => {
                    // A client that takes what it is given is not idle.
                    let since = since.max(self.socket.last_written());
                    self.first_request()
                        .map_or(since + IDLE, |first| first + GRACE)
                        .min(since + most())
                }
                (None, _) if self.streaming.get() => self.socket.last_written() + TAKES_NOTHING,
                (None, _) => now + HURRIED,
            };
            // What has come of the rest of a body may be unread only because the process had no turn.
            if until <= now && self.discards.get() && self.socket.has_unread() {
                sleep(LOOK).await;
            } else if until <= now {
                return;
            }
            sleep_until(until.min(now + HURRIED)).await;
        }
    }

    /// Ends when the client has left while its request waits. Guards against holding what nobody wants any more
    /// where bytes behind the request hide the end of the connection: whoever reads them would read no further.
    pub(super) async fn left(&self) {
        loop {
            self.socket.readable().await;
            if self.waits.get() && self.socket.is_disconnected() {
                return;
            }
            sleep(LOOK).await;
        }
    }
}
