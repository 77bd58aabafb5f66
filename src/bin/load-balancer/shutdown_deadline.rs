//! When a graceful shutdown ends, for all parts that have to be ready by then.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// When all requests have to have their responses: never, until a graceful shutdown begins. Clones
/// share the deadline, so that it also limits requests that were accepted before it was set.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Rc<Cell<Option<Instant>>>);

impl ShutdownDeadline {
    /// Sets the deadline: the shutdown has begun.
    pub fn set(&self, deadline: Instant) {
        self.0.set(Some(deadline));
    }

    /// True once the shutdown has begun.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get().is_some()
    }

    /// The earlier of `deadline` and this one.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.0.get().map_or(deadline, |limit| deadline.min(limit))
    }
}
