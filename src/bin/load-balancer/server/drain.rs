//! The end of the process, and clients that are sent away.

use crate::server::connection::ClientConnection;
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Once clients are sent away, the front has noticed after this time, and what is idle is closed.
const FRONT_NOTICES: Duration = Duration::from_millis(700);
/// After SIGTERM what has come by then may still be open when the process is killed, and what comes later may not.
const LATE: Duration = Duration::from_millis(500);

impl Server {
    /// Answers with `Connection: close` from now on, and closes what is idle. A connection that is new is
    /// left alone: its first request is on its way, and is settled by `settled`.
    pub fn drain(&self, settled: Instant) {
        self.draining.set(Some(settled));
        self.late.set(Some(Instant::now() + LATE));
        self.serves_more_until.set(Some(Instant::now() + LATE));
        self.dispatcher.borrow_mut().set_drain_deadline(settled);
        self.clients
            .borrow()
            .values()
            .filter(|client| !client.fresh.get())
            .for_each(|client| client.close());
        self.dispatcher.borrow().pool().close_all();
    }

    /// Sends clients away, or welcomes them again. Guards against requests that cross the end of their connection:
    /// answers say at once that it ends, but one that is idle ends only after the front has noticed.
    pub fn drain_clients(self: &Rc<Self>, away: bool) {
        if !away {
            return self.away.set(None);
        }
        if self.away.get().is_some() {
            return;
        }
        let number = self.last_away.get() + 1;
        self.last_away.set(number);
        self.away.set(Some(number));
        self.serves_more_until
            .set(Some(Instant::now() + FRONT_NOTICES));
        let server = self.clone();
        spawn_local(async move {
            sleep(FRONT_NOTICES).await;
            if server.away.get() == Some(number) {
                server
                    .clients
                    .borrow()
                    .values()
                    .for_each(|client| client.close());
            }
        });
    }

    /// Closes also the connections that are new, as nothing has come on them.
    pub fn drain_new_connections(&self) {
        self.clients
            .borrow()
            .values()
            .for_each(|client| client.close());
    }

    /// True while connections end with the answer that they carry.
    pub(super) fn sheds(&self) -> bool {
        self.draining.get().is_some() || self.away.get().is_some()
    }

    /// True if the answer that is due now ends its connection. One that has been read is lost if its connection ends
    /// without an answer to it, so what came with it goes on for a while.
    pub(super) fn ends_with_this(&self, client: &ClientConnection) -> bool {
        let goes_on = self
            .serves_more_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.sheds() && !(goes_on && client.has_more())
    }
}
