//! When upstreams started, on a balancer's own clock. Decides, as `src/balance.rs` does, by the types of
//! `src/interface.rs`.
//!
//! A list gives a start in another machine's wall-clock time, and the wall clock of either machine may be wrong by an
//! hour. What can be trusted is a span of this balancer's monotonic clock: an upstream is at least as old as the time
//! since its start was heard of.

use crate::interface::ListScope;

/// Turns the starts of lists into moments of the balancer's clock.
pub(crate) struct Starts {
    /// The least time by which a start was heard of late, by the wall clocks. A clock that is ahead by more than that
    /// would have shown no start so soon.
    least_lag: f64,
}

impl Default for Starts {
    fn default() -> Self {
        Starts { least_lag: f64::INFINITY }
    }
}

impl Starts {
    /// The moment at which an upstream is taken to have started, of which a list tells this start for the first time
    /// now; 0 means long ago. The list of old tells of starts that may well lie behind it, so there the wall clocks
    /// are all there is to go by. From discovery a start is news: it is taken for as late as it is later than the
    /// promptest one so far. None lies ahead.
    pub(crate) fn began(&mut self, since: f64, scope: ListScope, now: f64) -> f64 {
        if since <= 0.0 {
            return 0.0;
        }
        let lag = (now - since).max(0.0);
        if scope == ListScope::Cached {
            return now - lag;
        }
        self.least_lag = self.least_lag.min(lag);
        now - (lag - self.least_lag)
    }
}
