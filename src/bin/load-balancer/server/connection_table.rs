//! The open connections, and how room is made among them.

use crate::server::connection::ClientConnection;
use crate::server::Server;

impl Server {
    /// Closes what can be spared until the process holds no more than so many descriptors.
    pub async fn evict_down_to(&self, descriptors: usize) {
        let pool = self.dispatcher.borrow().pool().clone();
        while self.budget.in_use() > descriptors
            && (pool.evict_oldest() || self.evict_idle_connection().await)
        {}
    }

    /// Closes the client's connection that can best be spared; false if there is none.
    pub(super) async fn evict_idle_connection(&self) -> bool {
        loop {
            let (number, settled) = {
                let clients = self.clients.borrow();
                let spare = clients
                    .iter()
                    .filter_map(|(number, client)| Some((client.eviction_priority()?, number)));
                let mut spare: Vec<_> = spare.collect();
                spare.sort_unstable();
                // Guards against closing on a request that has come and is still unread. Asking the kernel is dear,
                // so it is asked of few.
                let mut spare = spare
                    .into_iter()
                    .map(|(_, number)| (*number, &clients[number]));
                let free = |client: &ClientConnection| {
                    client.lingering.get() || !client.socket.has_unread()
                };
                let Some((number, client)) = spare.find(|(_, client)| free(client)) else {
                    return false;
                };
                client.eviction_requested.set(true);
                client.evict.notify_one();
                (number, client.settled.clone())
            };
            // Its task closes it, unless something has come meanwhile.
            settled.notified().await;
            if !self.clients.borrow().contains_key(&number) {
                return true;
            }
        }
    }

    /// True if there is room after all for a client that found none when it came. Guards against turning away whoever
    /// asks for the sake of those that don't.
    pub(super) async fn wait_for_capacity(&self, client: &ClientConnection) -> bool {
        // It is not to make that room itself.
        client.idle_since.set(None);
        while self.budget.is_exceeded() {
            if !self.evict_idle_connection().await {
                return false;
            }
        }
        true
    }
}
