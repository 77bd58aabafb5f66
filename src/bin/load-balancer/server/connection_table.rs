//! The table of open client connections, and the eviction of idle ones.

use crate::server::connection::{ClientConnection, Phase};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Identifies a connection; ids are assigned in the order in which connections are accepted.
pub(super) type ConnectionId = u64;

/// What connections are evicted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionPurpose {
    /// A descriptor, for a connection that may carry a request.
    Descriptor,
    /// Memory. Only clients that are idle or send slowly are evicted.
    Memory,
}

/// All open client connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: RefCell<BTreeMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<ConnectionId>,
}

impl ConnectionTable {
    /// Adds a connection and returns its id.
    pub(super) fn insert(&self, connection: Rc<ClientConnection>) -> ConnectionId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.connections.borrow_mut().insert(id, connection);
        id
    }

    /// Removes a connection that has been closed.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of connections on which a response is being streamed.
    pub(super) fn streaming_count(&self) -> usize {
        let connections = self.connections.borrow();
        let phases = connections.values().map(|connection| connection.phase());
        phases
            .filter(|phase| *phase == Phase::StreamingResponse)
            .count()
    }

    /// Requests that all connections for which `condition` holds close once they carry no request.
    pub(super) fn request_close_where(&self, condition: impl Fn(&ClientConnection) -> bool) {
        for connection in self.connections.borrow().values() {
            if condition(connection) {
                connection.close.request();
            }
        }
    }

    /// Closes the first connection in eviction order on which no request has arrived in the
    /// meantime, or ends its input, so that it closes after an error response. Returns false if no
    /// connection can be evicted.
    pub(super) async fn evict_one(&self, purpose: EvictionPurpose) -> bool {
        while let Some(id) = self.eviction_candidate(purpose) {
            let decided = self.connections.borrow()[&id].eviction.request(purpose);
            // The connection's task closes the connection unless a request has arrived in the
            // meantime.
            decided.notified().await;
            let connections = self.connections.borrow();
            let remaining = connections.get(&id);
            if remaining.is_none_or(|connection| connection.socket.is_input_aborted()) {
                return true;
            }
        }
        false
    }

    /// Returns the first connection in eviction order on which no request is waiting to be read.
    /// The check takes a system call per connection, so it stops at the first match.
    fn eviction_candidate(&self, purpose: EvictionPurpose) -> Option<ConnectionId> {
        let connections = self.connections.borrow();
        let mut candidates: Vec<_> = connections
            .iter()
            .filter_map(|(id, connection)| Some((connection.eviction_priority(purpose)?, *id)))
            .collect();
        candidates.sort_unstable();
        candidates
            .into_iter()
            .map(|(_, id)| id)
            .find(|id| is_evictable(&connections[id]))
    }
}

/// Returns whether no request is waiting to be read. Input on a lingering connection doesn't count,
/// as it is no longer served.
fn is_evictable(connection: &ClientConnection) -> bool {
    matches!(connection.phase(), Phase::Lingering { .. }) || !connection.socket.has_unread()
}
