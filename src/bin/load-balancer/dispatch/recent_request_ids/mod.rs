//! Detects duplicate requests by the ids that their clients gave them.

use std::collections::HashSet;
use std::mem;
use std::time::Duration;
use tokio::time::Instant;

/// The ids of recent requests. Ids are dropped a generation at a time, and a generation ends only
/// when an id is added. An id is therefore retained for at least `retention` and for less than
/// three times as long, or for at most twice as long if ids are added continuously.
pub struct RecentRequestIds {
    retention: Duration,
    generation_began_at: Instant,
    current: HashSet<String>,
    previous: HashSet<String>,
}

impl RecentRequestIds {
    /// Creates an empty set. If `retention` is the longest deadline, an id is retained at least
    /// until its request times out, unless a streamed body extends the deadline of the request.
    pub fn new(retention: Duration) -> Self {
        RecentRequestIds {
            retention,
            generation_began_at: Instant::now(),
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Adds an id. Returns false if it is a duplicate.
    #[must_use]
    pub fn insert(&mut self, request_id: String) -> bool {
        self.rotate();
        !self.previous.contains(&request_id) && self.current.insert(request_id)
    }

    /// Begins a new generation if the current one is at least `retention` old.
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
