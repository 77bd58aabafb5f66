//! A request that has no final response yet or still has attempts in flight.

use super::event::{AttemptOutcome, UpstreamEntry, UpstreamId};
use super::settings::{Class, DeduplicationScope, Idempotency, Settings};
use super::upstream::Upstream;

/// One attempt of a request.
pub(super) struct Attempt {
    /// The upstream as it was listed when the attempt started.
    pub(super) upstream: UpstreamEntry,
    /// When the attempt started.
    pub(super) sent_at: f64,
    /// How the attempt ended; `None` while it is in flight.
    pub(super) outcome: Option<AttemptOutcome>,
}

/// A request from its arrival until it is concluded and its last attempt has ended. Times are in
/// seconds on the balancer's clock.
#[derive(Default)]
pub(super) struct PendingRequest {
    /// Index into `Settings::classes`.
    pub(super) class: usize,
    /// When the client stops waiting.
    pub(super) deadline: f64,
    /// Expected work; 1 if the request carries no hint.
    pub(super) work: f64,
    /// Share of the tenant's traffic that exceeded the quota when the request arrived.
    pub(super) over_quota_share: f64,
    /// Attempts of the request, in the order sent.
    pub(super) attempts: Vec<Attempt>,
    /// Whether the client waits for less time than the latency objective.
    pub(super) has_short_deadline: bool,
    /// Whether the body is still being received.
    pub(super) is_uploading: bool,
    /// The upstream in whose queue the request is.
    pub(super) queued_upstream: Option<UpstreamId>,
    /// When the request is given up if it still waits.
    pub(super) queue_deadline: f64,
    /// Whether the request has its final response or its client has disconnected.
    pub(super) is_concluded: bool,
}

impl PendingRequest {
    /// Returns the number of attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        let in_flight = |attempt: &&Attempt| attempt.outcome.is_none();
        self.attempts.iter().filter(in_flight).count()
    }

    /// Returns whether the request has neither a final response nor an attempt in flight.
    pub(super) fn needs_attempt(&self) -> bool {
        !self.is_concluded && self.attempts_in_flight() == 0
    }

    /// Returns whether the request is concluded and has no attempt in flight.
    pub(super) fn is_done(&self) -> bool {
        self.is_concluded && self.attempts_in_flight() == 0
    }

    /// Returns the first attempt that may have run.
    pub(super) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.outcome.is_some_and(AttemptOutcome::never_started))
    }

    /// Returns for how long upstreams will still drop repeats, in seconds; `None` if the request
    /// has no attempt that may have run or its class has no idempotency key.
    pub(super) fn deduplication_time_left(&self, class: &Class, now: f64) -> Option<f64> {
        let first = self
            .first_possible_run()
            .filter(|_| matches!(class.idempotency, Idempotency::IdempotencyKey { .. }))?;
        Some(first.sent_at + class.idempotency_window - now)
    }

    /// Returns whether the request may have an attempt at this upstream: the upstream is available
    /// and was not tried before, and the deadline, the limits and the class's idempotency allow the
    /// attempt.
    pub(super) fn may_be_sent_to(
        &self,
        upstream: &Upstream,
        settings: &Settings,
        now: f64,
    ) -> bool {
        let limits = &settings.limits;
        let was_tried = self
            .attempts
            .iter()
            .any(|attempt| attempt.upstream.id == upstream.entry.id);
        let attempts_exhausted = self.attempts.len() >= limits.max_attempts as usize
            || (self.attempts_in_flight() > 0 && !limits.hedging_allowed);
        upstream.is_available()
            && !self.is_concluded
            && !was_tried
            && !attempts_exhausted
            && now < self.deadline
            && self.may_be_repeated_at(upstream, settings, now)
    }

    /// Returns whether a run at this upstream does no harm, given the attempts that may have run
    /// already.
    fn may_be_repeated_at(&self, upstream: &Upstream, settings: &Settings, now: f64) -> bool {
        let class = &settings.classes[self.class];
        let Some(first) = self.first_possible_run() else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope } => {
                let is_in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.upstream.zone == upstream.entry.zone,
                    DeduplicationScope::Cell => first.upstream.cell == upstream.entry.cell,
                };
                is_in_scope
                    && self
                        .deduplication_time_left(class, now)
                        .is_some_and(|left| left > settings.event_interval)
            }
        }
    }

    /// Returns whether a repeat does no harm, whichever upstream runs it.
    pub(super) fn is_safe_to_repeat(&self, class: &Class) -> bool {
        match class.idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
            } => true,
            _ => self.first_possible_run().is_none(),
        }
    }
}
