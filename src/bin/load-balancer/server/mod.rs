//! The client side of the balancer: accepts connections, reads and validates requests, dispatches
//! them and sends the responses.
//!
//! [`accept`] admits connections within the descriptor budget ([`capacity`], [`eviction`]). Each
//! connection is served by its own task ([`serve`]), which handles one request after another
//! ([`request`], [`handler`], [`response`]). [`drain`] closes the connections in a graceful
//! shutdown or a client drain.

mod accept;
mod capacity;
mod connection;
mod connection_table;
mod drain;
mod eviction;
mod handler;
pub mod listener;
mod memory;
mod raw_head;
mod request;
mod request_error;
mod response;
mod serve;
pub mod timeouts;

pub use drain::ClientDrain;

use crate::dispatch::Dispatcher;
use crate::resources::Resources;
use crate::server::connection_table::ConnectionTable;
use crate::server::drain::DrainState;
use crate::socket::ReceiveClock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// Serves clients. Owns their connections and the drain state.
pub struct Server {
    dispatcher: Rc<RefCell<Dispatcher>>,
    resources: Resources,
    connections: ConnectionTable,
    drain_state: DrainState,
    receive_clock: Rc<ReceiveClock>,
    is_listening: Cell<bool>,
    /// When a failed accept was last logged; `None` before the first one.
    accept_error_logged_at: Cell<Option<Instant>>,
}

impl Server {
    /// Creates a server that doesn't listen yet.
    pub fn new(dispatcher: Rc<RefCell<Dispatcher>>, resources: Resources) -> Rc<Self> {
        Rc::new(Server {
            dispatcher,
            resources,
            connections: ConnectionTable::default(),
            drain_state: DrainState::default(),
            receive_clock: Rc::default(),
            is_listening: Cell::new(false),
            accept_error_logged_at: Cell::new(None),
        })
    }

    /// Returns whether new clients can be served: the server is listening, has an endpoint list and
    /// is not draining.
    pub fn is_ready(&self) -> bool {
        self.is_listening.get()
            && !self.drain_state.is_active()
            && self.dispatcher.borrow().is_ready()
    }

    /// Records that the listener is open, so that the server can become ready.
    pub fn mark_listening(&self) {
        self.is_listening.set(true);
    }

    /// Returns the number of client connections on which a response is being streamed.
    pub fn streaming_connection_count(&self) -> usize {
        self.connections.streaming_count()
    }

    /// Returns the number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }
}
