//! The signals by which other tasks ask a connection's task to close the connection.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Asks a connection's task to close the connection once it carries no request.
#[derive(Default)]
pub(in crate::server) struct CloseSignal {
    requested: Cell<bool>,
    notify: Notify,
}

impl CloseSignal {
    /// Asks for the close, and wakes the connection's task.
    pub(in crate::server) fn request(&self) {
        self.requested.set(true);
        self.notify.notify_one();
    }

    /// Notes that the connection closes after its first request, before its task waits for a
    /// signal.
    pub(in crate::server) fn set(&self) {
        self.requested.set(true);
    }

    /// True once the close has been asked for.
    pub(super) fn is_requested(&self) -> bool {
        self.requested.get()
    }

    /// Waits until the close is asked for.
    pub(in crate::server) async fn requested(&self) {
        self.notify.notified().await;
    }
}

/// Asks a connection's task to close the connection at once if no request has arrived on it.
#[derive(Default)]
pub(in crate::server) struct EvictionSignal {
    pending: Cell<bool>,
    notify: Notify,
    decided: Rc<Notify>,
}

impl EvictionSignal {
    /// Asks for the eviction. The returned notice follows the decision of the connection's task;
    /// a connection that has been closed is no longer in the connection table then.
    pub(in crate::server) fn request(&self) -> Rc<Notify> {
        self.pending.set(true);
        self.notify.notify_one();
        self.decided.clone()
    }

    /// True until the connection's task has taken note of the request.
    pub(in crate::server) fn is_pending(&self) -> bool {
        self.pending.get()
    }

    /// Waits until the eviction is asked for.
    pub(in crate::server) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// The connection's task takes note of the request.
    pub(super) fn acknowledge(&self) {
        self.pending.set(false);
    }

    /// Wakes the task that has asked for the eviction.
    pub(in crate::server) fn notify_decided(&self) {
        self.decided.notify_one();
    }
}
