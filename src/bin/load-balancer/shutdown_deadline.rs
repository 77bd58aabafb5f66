//! The deadline of a graceful shutdown, shared by all parts of the process that must meet it.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The time by which all requests must have their responses. It is unset until a graceful shutdown
/// begins. Clones share the deadline, so that it also limits requests that were accepted before it
/// was set.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    deadline: Cell<Option<Instant>>,
    changed: Notify,
}

impl ShutdownDeadline {
    /// Sets the deadline when a graceful shutdown begins.
    pub fn set(&self, deadline: Instant) {
        self.0.deadline.set(Some(deadline));
        self.0.changed.notify_waiters();
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.deadline.get().is_some()
    }

    /// Returns `deadline` or the shutdown deadline, whichever is earlier.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        let limit = self.0.deadline.get();
        limit.map_or(deadline, |limit| deadline.min(limit))
    }

    /// Waits until `time`, or until the shutdown deadline is set, whichever is earlier.
    pub async fn sleep_until_or_set(&self, time: Instant) {
        tokio::select! {
            () = sleep_until(time) => {}
            () = self.0.changed.notified() => {}
        }
    }
}
