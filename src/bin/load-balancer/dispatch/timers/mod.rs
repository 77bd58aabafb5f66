//! The timers of the dispatcher.

use load_balancer::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a timer is for. Timers of the same moment fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// One of the decision module, which gets this token back.
    Decision(u64),
    /// A request is concluded if it has no response by then.
    DeadlineBackstop(RequestId),
    /// A watch on discovery is reopened.
    ReopenWatch,
}

/// The timers that have not fired, the earliest first. A timer can't be cancelled.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    earliest_changed: Rc<Notify>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        if self.next_at().is_none_or(|next_at| at < next_at) {
            self.earliest_changed.notify_one();
        }
        self.heap.push(Reverse((at, timer)));
    }

    /// When the next timer fires.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next timer if it is due.
    pub fn pop_due(&mut self) -> Option<Timer> {
        if self.next_at()? > Instant::now() {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Notified whenever a timer is set that fires before all others.
    pub fn earliest_changed(&self) -> Rc<Notify> {
        self.earliest_changed.clone()
    }
}

#[cfg(test)]
mod tests;
