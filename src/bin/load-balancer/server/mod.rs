//! Callers: takes their connections and requests, and gives them their answers.

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

use crate::body::MemoryBudget;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::server::connection_table::ConnectionTable;
use crate::socket::DescriptorBudget;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A client has this long from its connection to the end of its first request, or of the head of a longer one, and from
/// the first byte of a further request to the end of that.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Then it has this much more to be told that it took too long.
pub const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// A connection whose next request takes longer to come, or whose client takes its answer no faster, is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Whether a client that has left has a request that waits is looked up this often.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The listener and the connections that came from it.
pub struct Server {
    dispatcher: Rc<RefCell<Dispatcher>>,
    budget: Rc<DescriptorBudget>,
    connections: ConnectionTable,
    /// Clients' connections are taken.
    listening: Cell<bool>,
    /// The process is to end: by then all that comes from now on has its answer.
    drain_deadline: Rc<Cell<Option<Instant>>>,
    /// What comes after this may still be open when the process is killed, and then it is lost.
    late_request_cutoff: Cell<Option<Instant>>,
    /// Clients are sent away; a number for each time that this began, none while they are welcome.
    client_drain: Cell<Option<u64>>,
    last_client_drain: Cell<u64>,
    /// Until then requests are answered that came behind others, though their connection is to end.
    pipelined_served_until: Cell<Option<Instant>>,
    /// When the log last told of a failed accept.
    accept_error_logged_at: Cell<Option<Instant>>,
    metrics: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
}

impl Server {
    pub fn new(dispatcher: Rc<RefCell<Dispatcher>>, budget: Rc<DescriptorBudget>) -> Rc<Self> {
        let (metrics, memory) = (
            dispatcher.borrow().metrics().clone(),
            dispatcher.borrow().memory(),
        );
        Rc::new(Server {
            dispatcher,
            budget,
            client_drain: Cell::new(None),
            last_client_drain: Cell::new(0),
            pipelined_served_until: Cell::new(None),
            accept_error_logged_at: Cell::new(None),
            metrics,
            memory,
            connections: ConnectionTable::default(),
            listening: Cell::new(false),
            drain_deadline: Rc::default(),
            late_request_cutoff: Cell::new(None),
        })
    }

    /// True while clients are to come here.
    pub fn is_ready(&self) -> bool {
        let listening = self.listening.get() && self.drain_deadline.get().is_none();
        listening && self.dispatcher.borrow().is_ready() && self.client_drain.get().is_none()
    }

    /// Clients' connections are taken from now on.
    pub fn open(&self) {
        self.listening.set(true);
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}
