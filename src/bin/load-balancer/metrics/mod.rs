//! The metrics of the admin endpoint. Each request is counted under at most one outcome.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// The outcome of a request as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request ended with the response of an upstream.
    Served,
    /// The request was rejected: it never ran or is idempotent, so that a retry is safe.
    Rejected,
    /// The request failed and may have run.
    Failed,
}

/// Why a client connection was closed, other than after its last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client was idle, or made no progress, for too long.
    Stalled,
    /// The client disconnected while its request awaited a response.
    Disconnected,
    /// The descriptor or the memory was needed for another connection.
    Evicted,
    /// The head of a request was not read to its end, because the process was short of memory.
    HeadRefused,
}

/// The number of requests of one class that ended with each outcome.
#[derive(Debug)]
struct ClassMetrics {
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

/// The state of other modules that is reported with the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessState {
    /// The number of listed upstreams.
    pub known_upstreams: usize,
    /// The number of upstreams that are listed as in service but receive no requests.
    pub excluded_upstreams: usize,
    /// The memory that is reserved for reading bodies ahead, in bytes.
    pub read_ahead_bytes: usize,
    /// The number of bodies so far for which that memory was not free.
    pub read_ahead_shortages: u64,
    /// The memory that is allocated on the heap, in bytes.
    pub heap_bytes: usize,
    /// The memory that may be allocated on the heap, in bytes.
    pub heap_limit_bytes: usize,
}

/// Counters since the start of the process, and the number of requests in flight.
#[derive(Debug)]
pub struct Metrics {
    classes: RefCell<Vec<ClassMetrics>>,
    attempts: Cell<u64>,
    in_flight: Cell<u64>,
    /// The number of connections that were closed for each [`CloseReason`].
    closes: [Cell<u64>; 4],
    /// The number of requests that were rejected for lack of memory.
    memory_rejections: Cell<u64>,
}

impl Metrics {
    /// Creates metrics with all counters at zero; `classes` are the names of the request classes.
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes.iter().map(|name| ClassMetrics::new(name)).collect();
        Rc::new(Metrics {
            classes: RefCell::new(classes),
            attempts: Cell::new(0),
            in_flight: Cell::new(0),
            closes: Default::default(),
            memory_rejections: Cell::new(0),
        })
    }

    /// Counts a request of the class with index `class` as in flight until
    /// [`InFlightRequest::end`] is called on the returned guard or the guard is dropped.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest {
            metrics: self.clone(),
            class,
            is_counted: Cell::new(true),
        }
    }

    /// Counts an attempt. Called once its complete request may have been written.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Counts a client connection that is closed for this reason.
    pub fn count_close(&self, reason: CloseReason) {
        let count = &self.closes[reason as usize];
        count.set(count.get() + 1);
    }

    /// Counts a request that is rejected for lack of memory.
    pub fn count_memory_rejection(&self) {
        self.memory_rejections.set(self.memory_rejections.get() + 1);
    }

    /// Returns all metrics in the statsd format, one per line, with the current state of the other
    /// modules.
    pub fn render(&self, state: &ProcessState) -> String {
        let mut text = String::new();
        let mut write_metric = |name: &str, value: u64, kind: char| {
            // Writing to a string can't fail.
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
        write_metric("upstreams_known", state.known_upstreams as u64, 'g');
        write_metric("upstreams_excluded", state.excluded_upstreams as u64, 'g');
        write_metric("read_ahead_bytes", state.read_ahead_bytes as u64, 'g');
        write_metric("read_ahead_shortages", state.read_ahead_shortages, 'c');
        write_metric("heap_bytes", state.heap_bytes as u64, 'g');
        write_metric("heap_limit_bytes", state.heap_limit_bytes as u64, 'g');
        write_metric("refused_memory", self.memory_rejections.get(), 'c');
        let reasons = ["stalled", "disconnected", "evicted", "head_refused"];
        for (reason, count) in reasons.into_iter().zip(&self.closes) {
            write_metric(&format!("closed_{reason}"), count.get(), 'c');
        }
        text
    }
}

/// Guard of a request in flight. If it is dropped without an outcome, because the client has
/// disconnected, the request is counted under no outcome.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Rc<Metrics>,
    class: usize,
    /// Whether the request is still counted as in flight.
    is_counted: Cell<bool>,
}

impl InFlightRequest {
    /// Counts the request under `outcome`. Only the first call has an effect.
    pub fn end(&self, outcome: RequestOutcome) {
        if !self.stop_counting() {
            return;
        }
        if let Some(class) = self.metrics.classes.borrow_mut().get_mut(self.class) {
            class.count(outcome);
        }
    }

    /// Removes the request from those in flight. Returns false if it had been removed before.
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
