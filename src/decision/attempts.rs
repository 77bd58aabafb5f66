//! Attempts: starts them and selects their connections.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{RequestId, UpstreamId};
use super::idle_timeout::IdleTimeoutEstimator;
use super::latency::OVERDUE_FACTOR;
use super::queue::request_timer;
use super::request::Attempt;
use super::settings::{Idempotency, Limits};
use super::upstream::{InFlightAttempt, Upstream};

impl Balancer {
    /// Starts an attempt of the request at this upstream.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        upstream_id: UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(&id).expect("the request is pending");
        let upstream = self.upstreams.get_mut(&upstream_id);
        let upstream = upstream.expect("a selected upstream is listed");
        let expected_latency = self
            .latency
            .of_class(request.class)
            .expected_at_least_mean(request.work);
        let limits = &self.settings.limits;
        let connection_idle =
            take_connection(upstream, &mut self.idle_timeout, limits, self.now, actions);
        self.maintenance.record_request(upstream_id);
        upstream.stats.take_slow_start_token();
        request.queued_upstream = None;
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
        self.rotation.advance(upstream);
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

    /// Handles the end of an upload: the whole request has been sent to the upstream, so from now
    /// on the attempt can become overdue.
    pub(super) fn on_upload_completed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_uploading = false;
        let Some(attempt) = request.attempts.last() else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream.id) else {
            return;
        };
        if let Some(attempt) = upstream.in_flight_attempt_of(id) {
            attempt.upload_completed_at = self.now;
        }
    }
}

/// Selects the connection of an attempt, and returns for how long it has been idle, in seconds (0:
/// it is new). If the oldest idle connection has been idle for longer than the estimated timeout,
/// all idle connections are closed first.
fn take_connection(
    upstream: &mut Upstream,
    idle_timeout: &mut IdleTimeoutEstimator,
    limits: &Limits,
    now: f64,
    actions: &mut Vec<Action>,
) -> f64 {
    let timeout = idle_timeout.raise(now, limits.connection_idle_timeout);
    upstream.drop_expired_connections(limits.connection_idle_timeout, now);
    if upstream.drop_possibly_closed_connections(timeout, now) {
        actions.push(Action::CloseIdleConnections {
            upstream: upstream.entry.id,
        });
    }
    upstream.take_idle_connection(now)
}
