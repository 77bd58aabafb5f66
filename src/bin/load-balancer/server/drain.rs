//! The end of the process, and clients that are sent away.

use crate::body::Upload;
use crate::server::connection::{ClientConnection, RequestHistory};
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Once clients are sent away, the front has noticed after this time, and what is idle is closed.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(700);
/// After SIGTERM what has come by then may still be open when the process is killed, and what comes later may not.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(500);

impl Server {
    /// Answers with `Connection: close` from now on, and closes what is idle. A connection that is new is
    /// left alone: its first request is on its way, and is settled by `settled`.
    pub fn drain(&self, settled: Instant) {
        self.drain_deadline.set(Some(settled));
        self.late_request_cutoff
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
        self.pipelined_served_until
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
        self.dispatcher.borrow_mut().set_drain_deadline(settled);
        self.connections
            .request_close_where(|client| client.history() != RequestHistory::Empty);
        self.dispatcher.borrow().pool().close_all();
    }

    /// Sends clients away, or welcomes them again. Guards against requests that cross the end of their connection:
    /// answers say at once that it ends, but one that is idle ends only after the front has noticed.
    pub fn drain_clients(self: &Rc<Self>, client_drain: bool) {
        if !client_drain {
            return self.client_drain.set(None);
        }
        if self.client_drain.get().is_some() {
            return;
        }
        let number = self.last_client_drain.get() + 1;
        self.last_client_drain.set(number);
        self.client_drain.set(Some(number));
        self.pipelined_served_until
            .set(Some(Instant::now() + DRAIN_NOTICE_PERIOD));
        let server = self.clone();
        spawn_local(async move {
            sleep(DRAIN_NOTICE_PERIOD).await;
            if server.client_drain.get() == Some(number) {
                server.connections.request_close_where(|_| true);
            }
        });
    }

    /// Closes also the connections that are new, as nothing has come on them.
    pub fn drain_new_connections(&self) {
        self.connections.request_close_where(|_| true);
    }

    /// True if this request arrived so late during a shutdown that a streamed response might not be
    /// complete when the process is killed.
    pub(super) fn arrived_late(&self, upload: &Upload) -> bool {
        self.late_request_cutoff
            .get()
            .is_some_and(|cutoff| upload.last_progress() > cutoff)
    }

    /// True while connections end with the answer that they carry.
    pub(super) fn is_draining(&self) -> bool {
        self.drain_deadline.get().is_some() || self.client_drain.get().is_some()
    }

    /// True if the answer that is due now ends its connection. One that has been read is lost if its connection ends
    /// without an answer to it, so what came with it goes on for a while.
    pub(super) fn closes_after_response(&self, client: &ClientConnection) -> bool {
        let serves_pipelined = self
            .pipelined_served_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.is_draining() && !(serves_pipelined && client.has_pipelined_bytes())
    }
}
