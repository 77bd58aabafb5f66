//! The figures of the admin endpoint. Each request that ends is counted here, once.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With the response of an upstream.
    Served,
    /// Rejected: it never ran or is idempotent, so that a retry is safe.
    Rejected,
    /// Failed: it may have run.
    Failed,
}

/// The ended requests of one class, by their outcomes.
#[derive(Debug)]
struct ClassMetrics {
    /// The name of the class.
    class: String,
    served: u64,
    rejected: u64,
    failed: u64,
}

impl ClassMetrics {
    fn new(class: &str) -> Self {
        ClassMetrics {
            class: class.to_string(),
            served: 0,
            rejected: 0,
            failed: 0,
        }
    }

    fn count(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Served => self.served += 1,
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::Failed => self.failed += 1,
        }
    }
}

/// Counters since the start of the process.
#[derive(Debug)]
pub struct Metrics {
    classes: RefCell<Vec<ClassMetrics>>,
    attempts: Cell<u64>,
    in_flight: Cell<u64>,
}

impl Metrics {
    /// Counters at zero for the request classes of these names.
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes.iter().map(|name| ClassMetrics::new(name)).collect();
        Rc::new(Metrics {
            classes: RefCell::new(classes),
            attempts: Cell::new(0),
            in_flight: Cell::new(0),
        })
    }

    /// Counts an accepted request of the class of this index as in flight until the returned guard
    /// ends or is dropped.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest {
            metrics: self.clone(),
            class,
            is_counted: Cell::new(true),
        }
    }

    /// Counts an attempt, to be called once its last byte has been written.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// All figures, one a line, in the format of statsd; `known` and `excluded` are the upstreams
    /// listed, and those of them that are listed as in service but get no requests.
    pub fn render(&self, known_upstreams: usize, excluded_upstreams: usize) -> String {
        let mut text = String::new();
        let mut write_metric = |name: &str, value: u64, kind: char| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "balancer.{name}:{value}|{kind}");
        };
        for metrics in self.classes.borrow().iter() {
            let class = &metrics.class;
            write_metric(&format!("served.{class}"), metrics.served, 'c');
            write_metric(&format!("refused.{class}"), metrics.rejected, 'c');
            write_metric(&format!("failed.{class}"), metrics.failed, 'c');
        }
        write_metric("attempts", self.attempts.get(), 'c');
        write_metric("in_flight", self.in_flight.get(), 'g');
        write_metric("upstreams_known", known_upstreams as u64, 'g');
        write_metric("upstreams_excluded", excluded_upstreams as u64, 'g');
        text
    }
}

/// A request in flight. Dropped without an outcome, it counts under none: its client has
/// disconnected.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: usize,
    is_counted: Cell<bool>,
}

impl InFlightRequest {
    /// Counts how the request ended; only the first outcome counts.
    pub fn end(&self, outcome: RequestOutcome) {
        if !self.stop_counting() {
            return;
        }
        if let Some(class) = self.metrics.classes.borrow_mut().get_mut(self.class) {
            class.count(outcome);
        }
    }

    /// Takes the request out of those in flight; false if that was done before.
    fn stop_counting(&self) -> bool {
        let was_counted = self.is_counted.replace(false);
        if was_counted {
            self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
        }
        was_counted
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.stop_counting();
    }
}

#[cfg(test)]
mod tests;
