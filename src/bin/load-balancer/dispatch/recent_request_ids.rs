//! Detects duplicate requests by the ids that clients give them.

use std::collections::HashSet;
use std::mem;
use std::time::Duration;
use tokio::time::Instant;

/// The ids of recent requests. An id is kept for `retention` at the least and twice that at the
/// most: ids are dropped a generation at a time.
pub struct RecentRequestIds {
    retention: Duration,
    generation_began_at: Instant,
    current: HashSet<String>,
    previous: HashSet<String>,
}

impl RecentRequestIds {
    /// No ids yet. With a `retention` of the longest deadline, a request is known for as long as
    /// an attempt of it may run.
    pub fn new(retention: Duration) -> Self {
        RecentRequestIds {
            retention,
            generation_began_at: Instant::now(),
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Adds an id; false if it is a duplicate.
    #[must_use]
    pub fn insert(&mut self, request_id: String) -> bool {
        self.rotate();
        !self.previous.contains(&request_id) && self.current.insert(request_id)
    }

    /// Begins a new generation if the current one is old enough.
    fn rotate(&mut self) {
        let age = self.generation_began_at.elapsed();
        if age < self.retention {
            return;
        }
        let ended = mem::take(&mut self.current);
        self.previous = if age < 2 * self.retention {
            ended
        } else {
            HashSet::new()
        };
        self.generation_began_at = Instant::now();
    }
}

#[cfg(test)]
mod tests;
