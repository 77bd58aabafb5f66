//! The timers of the dispatcher.

use load_balancer::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The purpose of a timer. Timers that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the decision module, which receives this token when it fires.
    Decision(u64),
    /// Concludes the request if it has no final response yet.
    DeadlineBackstop(RequestId),
    /// Opens a watch on discovery, unless the newest one uses the current address and is not
    /// broken.
    ReopenWatch,
}

/// The number of timers at which obsolete ones are first removed.
const MIN_TIMERS_TO_COMPACT: usize = 256;

/// The timers that have not fired, the earliest first. A timer can't be cancelled. Timers that have
/// become obsolete, because their request has ended, are removed when there are many timers.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// Notified whenever a new timer becomes the earliest one.
    earliest_changed: Rc<Notify>,
    /// The number of timers that the last [`Self::compact`] has left.
    compacted_len: usize,
}

impl TimerQueue {
    /// Sets a timer that is due at `at`.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        if self.next_at().is_none_or(|next_at| at < next_at) {
            self.earliest_changed.notify_one();
        }
        self.heap.push(Reverse((at, timer)));
    }

    /// Removes the timers that `is_obsolete` names if there may be many of them: the number of
    /// timers has doubled since the last time.
    pub fn compact(&mut self, is_obsolete: impl Fn(Timer) -> bool) {
        if self.heap.len() < MIN_TIMERS_TO_COMPACT.max(2 * self.compacted_len) {
            return;
        }
        self.heap.retain(|Reverse((_, timer))| !is_obsolete(*timer));
        self.compacted_len = self.heap.len();
        self.heap.shrink_to(2 * self.compacted_len);
    }

    /// Returns the time at which the earliest timer is due, or `None` if no timer is set.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self) -> Option<Timer> {
        if self.next_at()? > Instant::now() {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Returns the `Notify` that is notified whenever a new timer becomes the earliest one.
    pub fn earliest_changed(&self) -> Rc<Notify> {
        self.earliest_changed.clone()
    }
}

#[cfg(test)]
mod tests;
