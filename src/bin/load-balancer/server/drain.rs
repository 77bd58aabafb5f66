//! Graceful shutdown, and draining of clients at an operator's request.
//!
//! In both cases responses announce that the connection closes, and idle connections are closed.

use crate::body::Upload;
use crate::server::connection::{ClientConnection, RequestHistory};
use crate::server::Server;
use crate::shutdown_deadline::ShutdownDeadline;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Time within which load balancers in front of this one detect that it is no longer ready. A
/// client drain closes idle connections only after this time.
const DRAIN_NOTICE_PERIOD: Duration = Duration::from_millis(700);
/// Requests that arrive later than this after the start of a shutdown may be unfinished when the
/// process is killed.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// An operator's request to begin or end a client drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDrain {
    /// Close client connections, so that clients connect to other balancers.
    Begin,
    /// Keep client connections open again.
    End,
}

/// Whether the process is shutting down, and whether clients are being drained.
#[derive(Default)]
pub(super) struct DrainState {
    /// Shared with the requests in flight, whose deadlines it limits.
    shutdown_deadline: ShutdownDeadline,
    /// Set during a shutdown. Requests that arrive later than this may be unfinished when the
    /// process is killed.
    late_request_cutoff: Cell<Option<Instant>>,
    /// The sequence number of the current client drain, if any.
    client_drain: Cell<Option<u64>>,
    last_client_drain: Cell<u64>,
    /// Pipelined requests are served until this time on connections that are to close.
    pipelined_served_until: Cell<Option<Instant>>,
}

impl DrainState {
    /// Returns the deadline by which all requests must have their responses.
    pub(super) fn shutdown_deadline(&self) -> &ShutdownDeadline {
        &self.shutdown_deadline
    }

    /// Returns whether connections are to close after their current response.
    pub(super) fn is_active(&self) -> bool {
        self.shutdown_deadline.is_set() || self.client_drain.get().is_some()
    }

    /// Returns whether the request with the body `upload` arrived so late in a shutdown that a
    /// streamed response might be incomplete when the process is killed.
    pub(super) fn arrived_late(&self, upload: &Upload) -> bool {
        self.late_request_cutoff
            .get()
            .is_some_and(|cutoff| upload.sent_at() > cutoff)
    }

    /// Returns whether the next response closes its connection. Closing loses pipelined requests
    /// that have already been read, so these are served for a limited time.
    pub(super) fn closes_after_response(&self, client: &ClientConnection) -> bool {
        let serves_pipelined = self
            .pipelined_served_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.is_active() && !(serves_pipelined && client.has_pipelined_bytes())
    }

    fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(deadline);
        self.late_request_cutoff
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
        self.pipelined_served_until
            .set(Some(Instant::now() + LATE_REQUEST_DELAY));
    }

    /// Begins a client drain and returns its sequence number, or `None` if clients are already
    /// being drained.
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
    /// Begins a graceful shutdown: from now on responses close their connections, unless pipelined
    /// requests follow that are still served. Idle connections, including those to upstreams, are
    /// closed. Client connections that have not carried a request yet stay open, as their first
    /// request is expected. All requests get their responses by `deadline`.
    pub fn begin_shutdown(&self, deadline: Instant) {
        self.drain_state.begin_shutdown(deadline);
        self.dispatcher.borrow_mut().set_shutdown_deadline(deadline);
        self.connections
            .request_close_where(|client| client.history() != RequestHistory::Empty);
        self.resources.pool.close_all();
    }

    /// Closes the connections that [`Server::begin_shutdown`] leaves open because they have not
    /// carried a request yet.
    pub fn close_unused_connections(&self) {
        self.connections.request_close_where(|_| true);
    }

    /// Starts or stops draining clients. From the start of the drain responses close their
    /// connections, unless pipelined requests follow that are still served. Idle connections are
    /// closed only after [`DRAIN_NOTICE_PERIOD`]: until then load balancers in front of this one
    /// may still send requests on them, and a request sent just before the close would be lost.
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
