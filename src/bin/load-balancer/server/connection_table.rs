//! The table of open client connections, and the eviction of idle ones.

use crate::server::connection::{ClientConnection, Phase};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The number of a connection, in the order in which connections were accepted.
pub(super) type ConnectionId = u64;

/// All open client connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: RefCell<BTreeMap<ConnectionId, Rc<ClientConnection>>>,
    next_id: Cell<ConnectionId>,
}

impl ConnectionTable {
    /// Adds a connection.
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

    /// The number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Asks all connections for which `condition` holds to close once they carry no request.
    pub(super) fn request_close_where(&self, condition: impl Fn(&ClientConnection) -> bool) {
        for connection in self.connections.borrow().values() {
            if condition(connection) {
                connection.close.request();
            }
        }
    }

    /// Closes the connection that comes first in the order of eviction; false if there is none.
    pub(super) async fn evict_one(&self) -> bool {
        while let Some(id) = self.eviction_candidate() {
            let decided = self.connections.borrow()[&id].eviction.request();
            // The connection's task closes it, unless a request has arrived meanwhile.
            decided.notified().await;
            if !self.connections.borrow().contains_key(&id) {
                return true;
            }
        }
        false
    }

    /// The first connection in the order of eviction whose client has sent no request that is
    /// still unread. This takes a system call for each, so it is checked only for as many as
    /// necessary.
    fn eviction_candidate(&self) -> Option<ConnectionId> {
        let connections = self.connections.borrow();
        let mut candidates: Vec<_> = connections
            .iter()
            .filter_map(|(id, connection)| Some((connection.eviction_priority()?, *id)))
            .collect();
        candidates.sort_unstable();
        candidates
            .into_iter()
            .map(|(_, id)| id)
            .find(|id| is_evictable(&connections[id]))
    }
}

/// True unless a request has arrived that is still unread.
fn is_evictable(connection: &ClientConnection) -> bool {
    matches!(connection.phase(), Phase::Lingering { .. }) || !connection.socket.has_unread()
}
