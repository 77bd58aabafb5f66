//! The client side of the proxy: accepts connections, reads and validates requests, has them
//! dispatched and sends the responses.
//!
//! [`accept`] admits connections within the descriptor budget ([`capacity`], [`eviction`]); each
//! is served by a task of its own ([`serve`]) that handles one request after another
//! ([`request`], [`handler`], [`response`]). [`drain`] ends all of that.

mod accept;
mod capacity;
mod connection;
mod connection_table;
mod drain;
mod eviction;
mod handler;
pub mod listener;
mod raw_head;
mod request;
mod request_error;
mod response;
mod serve;

pub use drain::ClientDrain;

use crate::body::MemoryBudget;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::server::connection_table::ConnectionTable;
use crate::server::drain::DrainState;
use crate::socket::DescriptorBudget;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The time for a request to arrive: for the first one since the connection was opened, for a
/// further one since its first byte. Of a body that takes longer only the beginning counts.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time after [`FIRST_REQUEST_TIMEOUT`] in which the client can be sent an error response
/// before its connection is closed.
pub const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// A connection is closed if its next request doesn't begin within this time, or if its client
/// takes longer than this for the end of the last response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection is checked for a client that has disconnected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves clients. Owns their connections and the state of the drain.
pub struct Server {
    dispatcher: Rc<RefCell<Dispatcher>>,
    budget: Rc<DescriptorBudget>,
    metrics: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
    connections: ConnectionTable,
    drain_state: DrainState,
    listening: Cell<bool>,
    /// When a failed accept was last logged.
    accept_error_logged_at: Cell<Option<Instant>>,
}

impl Server {
    /// A server that doesn't listen yet, with the dispatcher's metrics and memory budget.
    pub fn new(dispatcher: Rc<RefCell<Dispatcher>>, budget: Rc<DescriptorBudget>) -> Rc<Self> {
        let metrics = dispatcher.borrow().metrics().clone();
        let memory = dispatcher.borrow().memory();
        Rc::new(Server {
            dispatcher,
            budget,
            metrics,
            memory,
            connections: ConnectionTable::default(),
            drain_state: DrainState::default(),
            listening: Cell::new(false),
            accept_error_logged_at: Cell::new(None),
        })
    }

    /// True while new clients can be served: the server listens, has an endpoint list and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        self.listening.get() && !self.drain_state.is_active() && self.dispatcher.borrow().is_ready()
    }

    /// The listener is open, so that the server can become ready.
    pub fn open(&self) {
        self.listening.set(true);
    }

    /// The number of open client connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}
