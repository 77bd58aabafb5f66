//! Attempt results: updates the state of the balancer when an attempt ends.

use super::action::Action;
use super::balancer::Balancer;
use super::concurrency_limit::{decrease_after_error, decrease_after_loss};
use super::ended_attempt::EndedAttempt;
use super::event::{AttemptOutcome, AttemptResult, UpstreamId};
use super::request::PendingRequest;
use super::upstream::upstream_of_attempt;

impl Balancer {
    /// Handles the end of an attempt: updates the statistics, concludes or retries the request, and
    /// gives free slots to queued requests. The result of an unknown attempt is ignored, as is a
    /// second result of the same attempt.
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
        if result.is_request_concluded || outcome == AttemptOutcome::Success {
            self.conclude(id, actions);
        }
        self.release(id);
        let request = self.requests.get(&id);
        if request.is_some_and(PendingRequest::needs_attempt) {
            self.retry(id, outcome, actions);
        }
        self.detect_draining(upstream, outcome, actions);
        self.dispatch_queued(upstream, actions);
    }

    /// Frees the attempt's slot, and updates the estimates that depend on its result.
    fn record_result(&mut self, id: UpstreamId, result: &AttemptResult, actions: &mut Vec<Action>) {
        let request = &self.requests[&result.id];
        let (work, has_short_deadline) = (request.work, request.has_short_deadline);
        let upstream = upstream_of_attempt(&mut self.upstreams, id);
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
        self.adapt_to_result(id, &ended, work, is_stale_connection);
        if ended.is_response && ended.outcome != AttemptOutcome::Rejected {
            let rules = &self.settings.rules;
            self.slow_start
                .add_response(&self.rotation, &self.upstreams, rules, self.now);
        }
        if (ended.is_response || ended.is_lost) && !is_stale_connection {
            self.detect_outlier(id, &ended, actions);
        }
    }

    /// Adapts the upstream's concurrency limit and pause to the end of an attempt. A success also
    /// updates the latency estimates, the retry budget and the size of the subset.
    fn adapt_to_result(
        &mut self,
        id: UpstreamId,
        ended: &EndedAttempt,
        work: f64,
        is_stale_connection: bool,
    ) {
        let upstream = upstream_of_attempt(&mut self.upstreams, id);
        let machine_kind = upstream.entry.machine_kind;
        let stats = &mut upstream.stats;
        match ended.outcome {
            AttemptOutcome::Success => {
                let response = self.latency.add_success(ended, work, &self.settings);
                self.rotation
                    .add_relative_latency(machine_kind, stats, response.relative_latency);
                self.retry_budget.add_response();
                let congestion = self.latency.congestion();
                let load_level = self.limit.on_success(
                    stats,
                    response.is_congested,
                    congestion,
                    self.rotation.covers_all(),
                );
                self.rotation.resize_subset(load_level);
            }
            AttemptOutcome::Error => decrease_after_error(stats),
            // Rejections end attempts early, so without a pause a rejecting upstream would have
            // nothing in flight and attract every request.
            AttemptOutcome::Rejected => stats.paused_until = self.now + ended.expected_latency,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut
                if stats.outliers.all_requests().is_silent_since(ended.sent_at)
                    && !is_stale_connection =>
            {
                decrease_after_loss(stats, ended.outcome);
            }
            _ => {}
        }
        self.limit
            .apply_min_limit_and_pause(stats, ended.elapsed, self.now);
    }
}
