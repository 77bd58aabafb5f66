//! Signals by which other tasks request that a connection's task close the connection.

use crate::server::connection_table::EvictionPurpose;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Requests that a connection's task close the connection once it carries no request.
#[derive(Default)]
pub(in crate::server) struct CloseSignal {
    is_requested: Cell<bool>,
    notify: Notify,
}

impl CloseSignal {
    /// Requests the close and wakes the connection's task.
    pub(in crate::server) fn request(&self) {
        self.is_requested.set(true);
        self.notify.notify_one();
    }

    /// Requests the close before serving begins. The task is not woken, so the connection closes
    /// only after its first request.
    pub(in crate::server) fn request_initially(&self) {
        self.is_requested.set(true);
    }

    /// Returns whether the close has been requested.
    pub(super) fn is_requested(&self) -> bool {
        self.is_requested.get()
    }

    /// Waits until the close is requested.
    pub(in crate::server) async fn requested(&self) {
        self.notify.notified().await;
    }
}

/// Requests that a connection's task close the connection immediately unless a request has been
/// received.
#[derive(Default)]
pub(in crate::server) struct EvictionSignal {
    /// The purpose of the requested eviction; `None` if none is pending.
    pending: Cell<Option<EvictionPurpose>>,
    notify: Notify,
    decided: Rc<Notify>,
}

impl EvictionSignal {
    /// Requests the eviction. The returned `Notify` is notified once the connection's task has
    /// decided; if the connection was closed, it has been removed from the connection table by
    /// then.
    pub(in crate::server) fn request(&self, purpose: EvictionPurpose) -> Rc<Notify> {
        self.pending.set(Some(purpose));
        self.notify.notify_one();
        self.decided.clone()
    }

    /// Returns whether an eviction is requested that the connection's task has yet to acknowledge.
    pub(in crate::server) fn is_pending(&self) -> bool {
        self.pending.get().is_some()
    }

    /// Waits until the eviction is requested.
    pub(in crate::server) async fn requested(&self) {
        self.notify.notified().await;
    }

    /// Acknowledges the requested eviction, and returns its purpose; called by the connection's
    /// task.
    pub(super) fn acknowledge(&self) -> Option<EvictionPurpose> {
        self.pending.take()
    }

    /// Wakes the task that requested the eviction.
    pub(in crate::server) fn notify_decided(&self) {
        self.decided.notify_one();
    }
}
