//! The figures that operators read. Each request that ends is counted here, once.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
}

/// The requests of one class that have ended, by their endings.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptEnd {
    served: u64,
    refused: u64,
    failed: u64,
}

/// Counts from the start of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Names of the classes, and what has ended of each.
    classes: RefCell<Vec<(String, AttemptEnd)>>,
    attempts: Cell<u64>,
    in_flight: Cell<u64>,
}

impl Metrics {
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes
            .iter()
            .map(|name| (name.clone(), AttemptEnd::default()))
            .collect();
        Rc::new(Metrics {
            classes: RefCell::new(classes),
            attempts: Cell::new(0),
            in_flight: Cell::new(0),
        })
    }

    /// A request of this class has been taken.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest {
            metrics: self.clone(),
            class,
            open: Cell::new(true),
        }
    }

    /// The last byte of an attempt has been written.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// All figures, a line each, in the form that statsd reads.
    pub fn render(&self, known: usize, excluded: usize) -> String {
        let mut text = String::new();
        let mut figure = |name: &str, value: u64, kind: char| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "balancer.{name}:{value}|{kind}");
        };
        for (class, ended) in self.classes.borrow().iter() {
            figure(&format!("served.{class}"), ended.served, 'c');
            figure(&format!("refused.{class}"), ended.refused, 'c');
            figure(&format!("failed.{class}"), ended.failed, 'c');
        }
        figure("attempts", self.attempts.get(), 'c');
        figure("in_flight", self.in_flight.get(), 'g');
        figure("upstreams_known", known as u64, 'g');
        figure("upstreams_excluded", excluded as u64, 'g');
        text
    }
}

/// A request that has been taken and has not ended. If it is dropped before it ended, its client has left, and it
/// is counted under no ending.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: usize,
    open: Cell<bool>,
}

impl InFlightRequest {
    /// It has ended; only the first ending counts.
    pub fn end(&self, ending: RequestOutcome) {
        if !self.open.replace(false) {
            return;
        }
        self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
        if let Some((_, ended)) = self.metrics.classes.borrow_mut().get_mut(self.class) {
            match ending {
                RequestOutcome::Served => ended.served += 1,
                RequestOutcome::Rejected => ended.refused += 1,
                RequestOutcome::Failed => ended.failed += 1,
            }
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.open.get() {
            self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests;
