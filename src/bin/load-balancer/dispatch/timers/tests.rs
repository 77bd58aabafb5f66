//! Unit tests of the timer queue, and an accessor for other unit tests.

use super::*;
use std::time::Duration;
use tokio::time::advance;

impl TimerQueue {
    /// Drops the timers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse((_, timer))| keep(*timer));
    }
}

#[tokio::test(start_paused = true)]
async fn timers_fire_by_time_then_by_variant() {
    let mut timers = TimerQueue::default();
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let backstop = Timer::DeadlineBackstop(RequestId(1));
    let in_order = [
        (now + second, Timer::Decision(2)),
        (now + second, backstop),
        (now + second, Timer::ReopenWatch),
        (now + 2 * second, Timer::Decision(1)),
    ];
    for (at, timer) in in_order.iter().rev() {
        timers.set(*at, *timer);
    }
    assert_eq!(timers.next_at(), Some(now + second));
    assert_eq!(timers.pop_due(), None);
    advance(2 * second).await;
    for (_, timer) in in_order {
        assert_eq!(timers.pop_due(), Some(timer));
    }
    assert_eq!((timers.pop_due(), timers.next_at()), (None, None));
}

/// Requests that end long before their deadlines must not leave their timers until then.
#[tokio::test(start_paused = true)]
async fn obsolete_timers_are_removed_when_there_are_many() {
    let mut timers = TimerQueue::default();
    let at = Instant::now() + Duration::from_secs(1);
    timers.set(at, Timer::ReopenWatch);
    for number in 0..100_000 {
        timers.set(at, Timer::DeadlineBackstop(RequestId(number)));
        timers.compact(|timer| timer != Timer::ReopenWatch);
        assert!(timers.heap.len() <= MIN_TIMERS_TO_COMPACT);
    }
    advance(Duration::from_secs(1)).await;
    timers.compact(|_| true);
    timers.retain(|timer| timer == Timer::ReopenWatch);
    assert_eq!(timers.pop_due(), Some(Timer::ReopenWatch));
}
