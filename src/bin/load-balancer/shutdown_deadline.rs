//! The deadline of a graceful shutdown, shared by all parts of the process that must meet it.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// The time by which all requests must have their responses. It is unset until a graceful shutdown
/// begins. Clones share the deadline, so that it also limits requests that were accepted before it
/// was set.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Rc<Cell<Option<Instant>>>);

impl ShutdownDeadline {
    /// Sets the deadline when a graceful shutdown begins.
    pub fn set(&self, deadline: Instant) {
        self.0.set(Some(deadline));
    }

    /// Returns whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// Returns `deadline` or the shutdown deadline, whichever is earlier.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.0.get().map_or(deadline, |limit| deadline.min(limit))
    }
}
