//! Graceful shutdown, and draining of clients on an operator's request.
//!
//! In either case each response says that its connection closes, and idle connections are closed.

use crate::body::Upload;
use crate::server::connection::{ClientConnection, RequestHistory};
use crate::server::Server;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Load balancers in front of this one notice within this time that it is no longer ready. Idle
/// connections are closed only then.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(700);
/// Requests that arrive later than this after the start of a shutdown may be unfinished when the
/// process is killed.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// What an operator wants to be done with the clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDrain {
    /// Close their connections, so that they go to other balancers.
    Begin,
    /// Serve them again.
    End,
}

/// Whether the process shuts down, and whether clients are drained.
#[derive(Default)]
pub(super) struct DrainState {
    /// When all requests have to have their responses; `None` until the shutdown begins. Shared
    /// with the requests in flight, whose deadlines it limits.
    shutdown_deadline: Rc<Cell<Option<Instant>>>,
    /// Requests that arrive after this may be unfinished when the process is killed.
    late_request_cutoff: Cell<Option<Instant>>,
    /// The number of the client drain that is going on, if there is one.
    client_drain: Cell<Option<u64>>,
    last_client_drain: Cell<u64>,
    /// Until then pipelined requests are served on connections that are to close.
    pipelined_served_until: Cell<Option<Instant>>,
}

impl DrainState {
    /// When all requests have to have their responses; `None` unless the process shuts down.
    pub(super) fn shutdown_deadline(&self) -> &Rc<Cell<Option<Instant>>> {
        &self.shutdown_deadline
    }

    /// True if connections close after the response that they carry.
    pub(super) fn is_active(&self) -> bool {
        self.shutdown_deadline.get().is_some() || self.client_drain.get().is_some()
    }

    /// True if this request arrived so late during a shutdown that a streamed response might not
    /// be complete when the process is killed.
    pub(super) fn is_late(&self, upload: &Upload) -> bool {
        self.late_request_cutoff
            .get()
            .is_some_and(|cutoff| upload.last_progress() > cutoff)
    }

    /// True if the response that is due closes its connection. A client loses a request that has
    /// been read when the connection closes, so pipelined requests are served for a while.
    pub(super) fn closes_after_response(&self, client: &ClientConnection) -> bool {
        let serves_pipelined = self
            .pipelined_served_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.is_active() && !(serves_pipelined && client.has_pipelined_bytes())
    }

    fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.late_request_cutoff
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
        self.pipelined_served_until
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
    }

    /// Begins a client drain and returns its number; `None` if one is going on already.
    fn begin_client_drain(&self) -> Option<u64> {
        if self.client_drain.get().is_some() {
            return None;
        }
        let number = self.last_client_drain.get() + 1;
        self.last_client_drain.set(number);
        self.client_drain.set(Some(number));
        self.pipelined_served_until
            .set(Some(Instant::now() + DRAIN_NOTICE_PERIOD));
        Some(number)
    }
}

impl Server {
    /// Begins a graceful shutdown: responses close their connections from now on, and idle
    /// connections are closed, those to upstreams too. Connections that have carried no request
    /// yet stay open, as their first one is on its way. All requests get their responses by
    /// `deadline`.
    pub fn drain(&self, deadline: Instant) {
        self.drain_state.begin_shutdown(deadline);
        self.dispatcher.borrow_mut().set_drain_deadline(deadline);
        self.connections
            .request_close_where(|client| client.history() != RequestHistory::Empty);
        self.dispatcher.borrow().pool().close_all();
    }

    /// Closes also the connections that have carried no request yet.
    pub fn drain_new_connections(&self) {
        self.connections.request_close_where(|_| true);
    }

    /// Starts or stops draining clients. Responses close their connections at once; idle
    /// connections are closed only after [`DRAIN_NOTICE_PERIOD`], so that no request crosses the
    /// close.
    pub fn drain_clients(self: &Rc<Self>, client_drain: ClientDrain) {
        match client_drain {
            ClientDrain::Begin => self.start_client_drain(),
            ClientDrain::End => self.drain_state.client_drain.set(None),
        }
    }

    fn start_client_drain(self: &Rc<Self>) {
        let Some(number) = self.drain_state.begin_client_drain() else {
            return;
        };
        let server = self.clone();
        spawn_local(async move {
            sleep(DRAIN_NOTICE_PERIOD).await;
            if server.drain_state.client_drain.get() == Some(number) {
                server.connections.request_close_where(|_| true);
            }
        });
    }
}
