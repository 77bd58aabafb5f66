//! Admission: how long a request may be queued, and which requests go first when capacity is
//! short.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{Request, RequestId};
use super::request::PendingRequest;
use super::settings::Class;
use serde::{Deserialize, Serialize};

/// Longest queue time of a request in the first tier, as a share of its slack. The slack is the
/// time that the latency objective leaves beyond the expected latency, or the expected latency if
/// that is longer.
const QUEUE_TIME_SHARE: f64 = 0.4;
/// Longest queue time, as a share of the slack, in classes whose late responses have a weight.
const QUEUE_TIME_SHARE_LATE_WEIGHT: f64 = 2.0 * QUEUE_TIME_SHARE;

/// The request rate of one tenant, as an exponentially decaying average.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct RequestRate {
    #[serde(rename = "mean")]
    per_second: f64,
    /// When the last request was counted, in seconds.
    #[serde(rename = "at")]
    updated_at: f64,
}

impl RequestRate {
    /// Returns a mutable reference to the time of the last counted request.
    pub(super) fn timestamp_mut(&mut self) -> &mut f64 {
        &mut self.updated_at
    }

    /// Counts a request, and returns the share of the rate that exceeds `quota` (requests per
    /// second; 0: no quota). `window` is the time constant of the average, in seconds.
    fn add_request(&mut self, quota: f64, now: f64, window: f64) -> f64 {
        let decay = (-(now - self.updated_at) / window).exp();
        self.per_second = self.per_second * decay + 1.0 / window;
        self.updated_at = now;
        if quota > 0.0 {
            (1.0 - quota / self.per_second).max(0.0)
        } else {
            0.0
        }
    }
}

impl Balancer {
    /// Handles an arriving request: sends it, queues it, or gives it up. A request with an unknown
    /// class or with an id that is in use is ignored.
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let class = self.settings.classes.get(request.class);
        let Some(class) = class.filter(|_| !self.requests.contains_key(&id)) else {
            return;
        };
        let (objective, rate_window) = (class.latency_objective, class.deadline);
        let work = request.cost_hint.filter(|hint| *hint > 0.0).unwrap_or(1.0);
        let expected = self.latency.of_class(request.class).expected(work);
        let queue_time = self.queue_time(class, expected, request.remaining);
        let pending = PendingRequest {
            class: request.class,
            deadline: self.now + request.remaining,
            work,
            over_quota_share: self.over_quota_share(request.tenant, rate_window),
            queue_deadline: self.now + queue_time,
            has_short_deadline: request.remaining < objective,
            is_uploading: request.is_streamed,
            ..PendingRequest::default()
        };
        self.add_slow_start_tokens();
        self.requests.insert(id, pending);
        self.assign(id, actions);
    }

    /// Returns how long a request may be queued, in seconds. The first tier drops a request early
    /// enough that others can still meet the latency objective. In deeper tiers work has already
    /// been spent on the request, so it may wait as long as a response can still be received in
    /// time.
    fn queue_time(&self, class: &Class, expected_latency: f64, remaining: f64) -> f64 {
        if self.settings.tier > 0 {
            return remaining - (expected_latency / 2.0).min(remaining / 2.0);
        }
        let share = if class.late_response_weight > 0.0 {
            QUEUE_TIME_SHARE_LATE_WEIGHT
        } else {
            QUEUE_TIME_SHARE
        };
        let slack = (class.latency_objective - expected_latency).max(expected_latency);
        remaining.min(share * slack)
    }

    /// Counts a request of this tenant, and returns the share of the tenant's traffic that exceeds
    /// this balancer's part of the quota.
    fn over_quota_share(&mut self, tenant: usize, window: f64) -> f64 {
        let settings = self.settings.tenants.get(tenant);
        let quota = settings.map_or(0.0, |tenant| tenant.quota_per_second);
        let quota = quota / self.settings.peer_count as f64;
        let rate = self.tenant_rates.get_mut(tenant);
        rate.map_or(0.0, |rate| rate.add_request(quota, self.now, window))
    }

    /// Returns the priority weight that a request earns per second of its expected latency. The
    /// weight is reduced if the tenant exceeded its quota when the request arrived, so that one
    /// tenant can't take the capacity of the others.
    pub(super) fn weight_per_second(&self, id: RequestId) -> f64 {
        let request = &self.requests[&id];
        let work = if self.settings.weight_by_work {
            request.work
        } else {
            1.0
        };
        let weight = self.settings.classes[request.class].priority_weight * work;
        let over_quota = request.over_quota_share * (1.0 - self.settings.over_quota_weight);
        weight * (1.0 - over_quota) / self.expected_latency(request)
    }

    /// Returns the expected latency of this request, in seconds.
    pub(super) fn expected_latency(&self, request: &PendingRequest) -> f64 {
        self.latency.of_class(request.class).expected(request.work)
    }
}
