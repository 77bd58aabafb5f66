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
    /// The decision module asked for it; the token goes back to it.
    Decision(u64),
    /// A request is answered if it has no response by then.
    DeadlineBackstop(RequestId),
    /// A watch on discovery is reopened.
    ReopenWatch,
}

/// The timers that have not fired, the earliest first. A timer can't be cancelled.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    earlier_timer: Rc<Notify>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        if self.next_at().is_none_or(|next_at| at < next_at) {
            self.earlier_timer.notify_one();
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
    pub fn earlier_timer(&self) -> Rc<Notify> {
        self.earlier_timer.clone()
    }
}

#[cfg(test)]
mod tests;
