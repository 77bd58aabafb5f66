//! An upstream of the simulation, and its budget of arrivals during slow start. All times are
//! seconds.

use load_balancer::Rules;
use std::collections::VecDeque;

/// Length of a window with a budget of arrivals.
const BUDGET_WINDOW: f64 = 3.0;
/// Requests of mean work that a warm upstream can process per second. The number is small so that
/// a single request from each balancer matters.
pub const CAPACITY: f64 = 4.0;

/// Arrival of an attempt at an upstream.
pub struct Arrival {
    pub time: f64,
    /// Whether the balancer had been notified of the upstream's start.
    pub was_notified: bool,
}

/// An attempt that is queued until a core is free.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct QueuedAttempt {
    pub request: u64,
    /// Index into the attempts of the request.
    pub attempt: u32,
}

/// A simulated upstream.
#[derive(Default)]
pub struct Server {
    pub started_at: f64,
    pub down_until: f64,
    pub busy_cores: usize,
    pub queue: VecDeque<QueuedAttempt>,
    pub arrivals: Vec<Arrival>,
}

impl Server {
    /// Returns the largest ratio of arrivals to budget of all windows of slow start. Arrivals count
    /// only while more than two thirds of those in the window so far came from balancers that had
    /// been notified of the upstream's start.
    pub fn worst_ratio(&self, rules: &Rules) -> f64 {
        let slow_start = self.started_at..self.started_at + rules.slow_start_window;
        let arrivals = self.arrivals.iter();
        let arrivals: Vec<_> = arrivals
            .filter(|arrival| slow_start.contains(&arrival.time))
            .collect();
        let mut worst: f64 = 0.0;
        for (first, begin) in arrivals.iter().enumerate() {
            let share = rules.slow_start_share(self.started_at, begin.time);
            let allowed = rules.overload_multiple * CAPACITY * share * BUDGET_WINDOW;
            let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
            let (mut count, mut notified) = (0.0, 0.0);
            let end = begin.time + BUDGET_WINDOW;
            for arrival in arrivals[first..]
                .iter()
                .take_while(|arrival| arrival.time < end)
            {
                count += 1.0;
                notified += f64::from(u8::from(arrival.was_notified));
                if notified > count * 2.0 / 3.0 {
                    worst = worst.max(count / budget);
                }
            }
        }
        worst
    }
}
