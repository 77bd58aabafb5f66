//! Detects duplicate requests by the ids that their clients gave them.

mod fingerprint;

pub use fingerprint::RequestFingerprint;

use std::collections::HashSet;
use std::mem;
use std::time::Duration;
use tokio::time::Instant;

/// Upper bound of the memory that one fingerprint takes in a hash set, in bytes, with its share of
/// the unused slots.
const BYTES_PER_FINGERPRINT: usize = 40;
/// Number of generations of ids that are stored at a time.
const GENERATIONS: usize = 2;

/// For how long, and in how much memory, the ids of requests are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Time for which an id is retained in any case.
    pub min: Duration,
    /// Time for which an id is retained if the memory suffices.
    pub preferred: Duration,
    /// Memory that the ids may take, in bytes.
    pub memory_bytes: usize,
}

/// Why an id can't be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertError {
    /// A recent request has the same id.
    Duplicate,
    /// The memory is used up by ids that have to be retained.
    Full,
}

/// The ids of recent requests. Ids are dropped a generation at a time, and a generation ends only
/// when an id is added: once the preferred retention has passed, or earlier if there are many ids.
/// An id is therefore retained for at least the minimum, and for less than three times the
/// preferred retention, or for at most twice as long if ids are added continuously.
pub struct RecentRequestIds {
    limits: RetentionLimits,
    generation_began_at: Instant,
    current: HashSet<RequestFingerprint>,
    previous: HashSet<RequestFingerprint>,
}

impl RecentRequestIds {
    /// Creates an empty set.
    pub fn new(limits: RetentionLimits) -> Self {
        RecentRequestIds {
            limits,
            generation_began_at: Instant::now(),
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Adds an id.
    ///
    /// # Errors
    ///
    /// Returns an [`InsertError`] if the id is a duplicate, or if no more ids can be stored.
    pub fn insert(&mut self, id: RequestFingerprint) -> Result<(), InsertError> {
        self.rotate();
        if self.previous.contains(&id) || self.current.contains(&id) {
            return Err(InsertError::Duplicate);
        }
        if self.is_generation_full() {
            return Err(InsertError::Full);
        }
        self.current.insert(id);
        Ok(())
    }

    /// Returns all ids.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        self.previous.iter().chain(&self.current).copied()
    }

    /// Removes an id whose request was never sent to an upstream, so that its client may repeat it.
    pub fn remove(&mut self, id: RequestFingerprint) {
        if !self.current.remove(&id) {
            self.previous.remove(&id);
        }
    }

    fn is_generation_full(&self) -> bool {
        let max_ids = self.limits.memory_bytes / GENERATIONS / BYTES_PER_FINGERPRINT;
        self.current.len() >= max_ids
    }

    /// Begins a new generation if the current one is old enough.
    fn rotate(&mut self) {
        let age = self.generation_began_at.elapsed();
        let is_full_and_old_enough = age >= self.limits.min && self.is_generation_full();
        if age < self.limits.preferred && !is_full_and_old_enough {
            return;
        }
        let ended = mem::take(&mut self.current);
        self.previous = if age < 2 * self.limits.preferred {
            ended
        } else {
            HashSet::new()
        };
        self.generation_began_at = Instant::now();
    }
}

#[cfg(test)]
mod tests;
