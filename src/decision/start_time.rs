//! When upstreams started, on a balancer's own clock. Decides, as `src/balance.rs` does, by the types of
//! the types beside it.
//!
//! A list gives a start in another machine's wall-clock time, and the wall clock of either machine may be wrong by an
//! hour. What can be trusted is a span of this balancer's monotonic clock: an upstream is at least as old as the time
//! since its start was heard of.

use crate::decision::ListScope;

/// Discovery that has something to tell a new balancer has told it by then, in seconds.
const FIRST_NEWS: f64 = 2.0;

/// Rotation the starts of lists into moments of the balancer's clock.
pub(crate) struct StartTimeEstimator {
    /// What is told before this moment may lie far behind.
    news_from: f64,
    /// The least time by which a start was heard of late, by the wall clocks. A clock that is ahead by more than that
    /// would have shown no start so soon.
    least_lag: f64,
}

impl StartTimeEstimator {
    /// Those of a balancer that starts now.
    pub(crate) fn new(now: f64) -> Self {
        StartTimeEstimator {
            news_from: now + FIRST_NEWS,
            least_lag: f64::INFINITY,
        }
    }

    /// The moment at which an upstream is taken to have started, of which a list tells this start for the first time
    /// now; 0 means long ago. What a balancer is told as it starts itself may lie far behind it, so there the wall
    /// clocks are all there is to go by. After that a start is news: it is taken for as late as it is later than the
    /// promptest one so far. None lies ahead.
    pub(crate) fn began(&mut self, since: f64, now: f64) -> f64 {
        if since <= 0.0 {
            return 0.0;
        }
        let lag = (now - since).max(0.0);
        if now < self.news_from {
            return now - lag;
        }
        self.least_lag = self.least_lag.min(lag);
        now - (lag - self.least_lag)
    }

    /// A list of this scope has been taken in at this moment.
    pub(crate) fn note(&mut self, scope: ListScope, now: f64) {
        if matches!(scope, ListScope::Full | ListScope::Delta) {
            self.news_from = self.news_from.min(now);
        }
    }
}
