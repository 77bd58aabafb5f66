//! Attempts: starts them, and learns from how they end.

use super::action::Action;
use super::balancer::Balancer;
use super::concurrency_limit::{decrease_after_error, decrease_after_loss};
use super::ended_attempt::EndedAttempt;
use super::event::{AttemptOutcome, AttemptResult, RequestId, UpstreamId};
use super::idle_timeout::IdleTimeoutEstimator;
use super::latency::OVERDUE_FACTOR;
use super::queue::request_timer;
use super::request::Attempt;
use super::settings::{Idempotency, Limits};
use super::upstream::{InFlightAttempt, Upstream};

/// An upstream is suspected of draining only while fewer than this share of the available ones
/// are.
const MAX_SUSPECTED_SHARE: f64 = 0.5;

impl Balancer {
    /// Sends the request to this upstream.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        upstream_id: UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(&id).expect("the request is pending");
        let upstream = self.upstreams.get_mut(&upstream_id);
        let upstream = upstream.expect("a selected upstream is listed");
        let expected_latency = self.latency[request.class].expected_at_least_mean(request.work);
        let limits = &self.settings.limits;
        let connection_idle =
            take_connection(upstream, &mut self.idle_timeout, limits, self.now, actions);
        self.maintenance.note_request(upstream_id);
        upstream.stats.take_slow_start_token();
        request.queued_at = None;
        let class = &self.settings.classes[request.class];
        let write_within = request.deduplication_time_left(class, self.now);
        request.attempts.push(Attempt {
            upstream: upstream.entry.clone(),
            sent_at: self.now,
            outcome: None,
        });
        upstream.in_flight.push(InFlightAttempt {
            request: id,
            class: request.class,
            sent_at: self.now,
            upload_completed_at: if request.is_uploading {
                f64::INFINITY
            } else {
                self.now
            },
            expected_latency,
            connection_idle,
        });
        self.rotation.take_turn(upstream);
        actions.push(Action::StartAttempt {
            id,
            upstream: upstream_id,
            write_within,
        });
        let overdue_after = OVERDUE_FACTOR * expected_latency;
        let may_be_hedged = class.idempotency != Idempotency::NonIdempotent;
        if may_be_hedged && self.now + overdue_after < request.deadline {
            actions.push(request_timer(id, overdue_after));
        }
    }

    /// The upstream has received the whole request. Until then it can't be overdue.
    pub(super) fn on_upload_completed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_uploading = false;
        let attempt = request.attempts.last();
        let upstream = attempt.and_then(|attempt| self.upstreams.get_mut(&attempt.upstream.id));
        let mut in_flight = upstream
            .into_iter()
            .flat_map(|upstream| upstream.in_flight.iter_mut());
        if let Some(attempt) = in_flight.find(|attempt| attempt.request == id) {
            attempt.upload_completed_at = self.now;
        }
    }

    /// An attempt has ended: learns from it, concludes or retries its request, and uses the free
    /// slot. A result that has been reported before is ignored.
    pub(super) fn on_attempt_ended(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let (id, outcome) = (result.id, result.outcome);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.attempts.get_mut(result.attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let upstream = attempt.upstream.id;
        self.record_result(upstream, result, actions);
        if result.request_concluded || outcome == AttemptOutcome::Success {
            self.conclude(id, actions);
        }
        self.release(id);
        let needs_retry = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.is_concluded && request.attempts_in_flight() == 0);
        if needs_retry {
            self.retry(id, outcome, actions);
        }
        self.detect_draining(upstream, outcome, actions);
        self.dispatch_queued(upstream, actions);
    }

    /// Frees the attempt's slot, and updates the estimates that its result bears on.
    fn record_result(&mut self, id: UpstreamId, result: &AttemptResult, actions: &mut Vec<Action>) {
        let request = &self.requests[&result.id];
        let (work, has_short_deadline) = (request.work, request.has_short_deadline);
        let upstream = self
            .upstreams
            .get_mut(&id)
            .expect("an upstream is kept while attempts are in flight");
        let Some(attempt) = upstream.remove_in_flight(result.id) else {
            return;
        };
        let ended = EndedAttempt::new(&attempt, result, has_short_deadline);
        let limits = &self.settings.limits;
        let connection_is_idle =
            limits.streams_per_connection == 1 || upstream.in_flight.is_empty();
        if ended.connection_is_reusable() && connection_is_idle {
            upstream.add_idle_connection(self.now);
        }
        let is_stale_connection = self.idle_timeout.observe(
            &ended,
            &mut upstream.stats.suspect_idle_time,
            limits.connection_idle_timeout,
        );
        self.adapt_limit(id, &ended, work, is_stale_connection);
        if ended.is_response && ended.outcome != AttemptOutcome::Rejected {
            let rules = &self.settings.rules;
            self.slow_start
                .add_response(&self.rotation, &self.upstreams, rules, self.now);
        }
        if (ended.is_response || ended.is_lost) && !is_stale_connection {
            self.detect_outlier(id, &ended, actions);
        }
    }

    /// Adapts the concurrency limit, and with a success also the latency estimates, to the end of
    /// an attempt.
    fn adapt_limit(
        &mut self,
        id: UpstreamId,
        ended: &EndedAttempt,
        work: f64,
        is_stale_connection: bool,
    ) {
        let upstream = self
            .upstreams
            .get_mut(&id)
            .expect("an upstream is kept while attempts are in flight");
        let machine_kind = upstream.entry.machine_kind;
        let stats = &mut upstream.stats;
        match ended.outcome {
            AttemptOutcome::Success => {
                let latency = &mut self.latency[ended.class];
                let relative_latency = latency.relative(ended.elapsed, work);
                self.rotation
                    .add_relative_latency(machine_kind, stats, relative_latency);
                self.retry_budget.add_response();
                latency.add(ended.elapsed, work);
                let objective = self.settings.classes[ended.class].latency_objective
                    * self.settings.remaining_tier_share();
                self.congestion.add(ended.elapsed, work, latency, objective);
                let is_congested = self.congestion.update(self.settings.tier);
                let covers_all = self.rotation.covers_all();
                let demand =
                    self.limit
                        .on_success(stats, is_congested, &self.congestion, covers_all);
                self.rotation.resize_subset(demand);
            }
            AttemptOutcome::Error => decrease_after_error(stats),
            // An upstream that rejects has nothing in flight, and would draw every request.
            AttemptOutcome::Rejected => stats.paused_until = self.now + ended.expected_latency,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut
                if stats.outliers[0].is_silent_since(ended.sent_at) && !is_stale_connection =>
            {
                decrease_after_loss(stats, ended.outcome);
            }
            _ => {}
        }
        self.limit.finish_result(stats, ended.elapsed, self.now);
    }

    /// Leaves out an upstream that rejects all requests while the endpoint list is stale: it may
    /// be draining. If many reject, they are overloaded instead.
    fn detect_draining(
        &mut self,
        id: UpstreamId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let seems_draining = upstream.seems_draining_after(outcome);
        if !seems_draining || !upstream.is_available() || !self.poll_schedule.is_stale() {
            return;
        }
        let suspected = self.upstreams.values();
        let suspected = suspected.filter(|upstream| upstream.is_suspected_draining);
        let suspected = suspected.count() as f64;
        if suspected >= MAX_SUSPECTED_SHARE * (self.rotation.len() as f64 + suspected) {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_suspected_draining = true;
        }
        actions.push(Action::Log {
            upstream: Some(id),
            text: "left out until the endpoint list is current: rejects all requests".into(),
        });
        self.on_endpoints_changed(actions);
    }
}

/// Chooses the connection of an attempt; returns for how long it has been idle, in seconds (0: it
/// is new). If the oldest idle connection has been idle for longer than the estimated timeout,
/// all are closed first.
fn take_connection(
    upstream: &mut Upstream,
    idle_timeout: &mut IdleTimeoutEstimator,
    limits: &Limits,
    now: f64,
    actions: &mut Vec<Action>,
) -> f64 {
    let timeout = idle_timeout.raise(now, limits.connection_idle_timeout);
    upstream.drop_expired_connections(limits.connection_idle_timeout, now);
    if upstream.drop_untrusted_connections(timeout, now) {
        actions.push(Action::CloseIdleConnections {
            upstream: upstream.entry.id,
        });
    }
    upstream.take_idle_connection(now)
}
