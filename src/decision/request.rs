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
    /// How it ended; `None` while it is in flight.
    pub(super) outcome: Option<AttemptOutcome>,
}

/// A request from its arrival until it is concluded and its last attempt has ended. Moments are
/// seconds on the balancer's clock.
#[derive(Default)]
pub(super) struct PendingRequest {
    /// Index into `Settings::classes`.
    pub(super) class: usize,
    /// When its client stops waiting.
    pub(super) deadline: f64,
    /// Expected work; 1 where the request carries no hint.
    pub(super) work: f64,
    /// Share of its tenant's traffic that exceeded the quota when it arrived.
    pub(super) over_quota_share: f64,
    /// Its attempts, in the order sent.
    pub(super) attempts: Vec<Attempt>,
    /// Its client waits for less than the latency objective.
    pub(super) has_short_deadline: bool,
    /// Its body is still being received.
    pub(super) is_uploading: bool,
    /// The upstream in whose queue it waits.
    pub(super) queued_upstream: Option<UpstreamId>,
    /// When it is given up if it still waits.
    pub(super) queue_deadline: f64,
    /// It has its final response, or its client has disconnected.
    pub(super) is_concluded: bool,
}

impl PendingRequest {
    /// How many of its attempts are in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        let in_flight = |attempt: &&Attempt| attempt.outcome.is_none();
        self.attempts.iter().filter(in_flight).count()
    }

    /// It waits for an attempt: none is in flight, and it has no final response.
    pub(super) fn needs_attempt(&self) -> bool {
        !self.is_concluded && self.attempts_in_flight() == 0
    }

    /// The balancer has nothing left to do for it.
    pub(super) fn is_done(&self) -> bool {
        self.is_concluded && self.attempts_in_flight() == 0
    }

    /// The first attempt that may have run.
    pub(super) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.outcome.is_some_and(AttemptOutcome::never_started))
    }

    /// How long upstreams still drop repeats, in seconds; `None` where no repeat can occur or the
    /// class has no idempotency key.
    pub(super) fn deduplication_time_left(&self, class: &Class, now: f64) -> Option<f64> {
        let first = self
            .first_possible_run()
            .filter(|_| matches!(class.idempotency, Idempotency::IdempotencyKey { .. }))?;
        Some(first.sent_at + class.idempotency_window - now)
    }

    /// Whether the endpoint list, the limits and the class's idempotency allow an attempt at this
    /// upstream.
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

    /// Whether a run at this upstream does no harm, given the attempts that may have run already.
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

    /// Whether a repeat does no harm wherever it runs.
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
