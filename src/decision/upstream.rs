//! An upstream as this balancer sees it: its entry in the endpoint list, its attempts in flight
//! and queued requests, and its statistics.

use super::event::{AttemptOutcome, RequestId, UpstreamEntry, UpstreamId, UpstreamState};
use super::latency::OVERDUE_FACTOR;
use super::moving_average::{add_sample, weight_after};
use super::outlier_stats::OutlierStatsByScope;
use super::settings::Rules;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Consecutive rejections after which an upstream may be draining.
const MIN_DRAINING_REJECTIONS: u32 = 3;

/// The upstreams that are in service according to the endpoint list, and others that had attempts
/// in flight at the last change of the available upstreams.
pub(super) type Upstreams = BTreeMap<UpstreamId, Upstream>;

/// Returns the upstream of an attempt that has just ended.
pub(super) fn upstream_of_attempt(upstreams: &mut Upstreams, id: UpstreamId) -> &mut Upstream {
    upstreams
        .get_mut(&id)
        .expect("an upstream is removed only while no attempt is in flight there")
}

/// An attempt in flight at an upstream. Times are in seconds.
pub(super) struct InFlightAttempt {
    /// The request that the attempt belongs to.
    pub(super) request: RequestId,
    /// Class of the request, as an index into `Settings::classes`.
    pub(super) class: usize,
    /// When the attempt started.
    pub(super) sent_at: f64,
    /// When the whole request had been sent to the upstream; infinite while the client is still
    /// sending the body.
    pub(super) upload_completed_at: f64,
    /// Expected latency of the attempt.
    pub(super) expected_latency: f64,
    /// How long the connection had been idle when the attempt started; 0 for a new connection.
    pub(super) connection_idle: f64,
}

impl InFlightAttempt {
    /// Returns whether the attempt has taken far longer than expected.
    pub(super) fn is_overdue(&self, now: f64) -> bool {
        now - self.upload_completed_at > OVERDUE_FACTOR * self.expected_latency
    }
}

/// The state of an upstream.
pub(super) struct Upstream {
    /// The upstream's entry in the endpoint list.
    pub(super) entry: UpstreamEntry,
    /// Whether operators have taken the upstream out of service.
    pub(super) is_in_maintenance: bool,
    consecutive_rejections: u32,
    /// Whether the upstream is left out as possibly draining, until the endpoint list is current
    /// again.
    pub(super) is_suspected_draining: bool,
    /// Estimated start, in seconds; 0 means long ago.
    pub(super) started_at: f64,
    /// When the upstream returned from maintenance, in seconds, if it may have been restarted
    /// during the maintenance; else 0.
    pub(super) returned_at: f64,
    /// Attempts in flight at the upstream.
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Requests queued for a slot of the upstream.
    pub(super) queue: VecDeque<RequestId>,
    /// Virtual time at which the rotation would start the next request to the upstream.
    pub(super) virtual_start: f64,
    /// When each connection that is presumed idle became idle; the oldest comes first.
    idle_connections: Vec<f64>,
    /// What has been learned of the upstream.
    pub(super) stats: UpstreamStats,
}

impl Upstream {
    /// Returns the state of an upstream that has just been listed.
    pub(super) fn new(entry: UpstreamEntry, started_at: f64, stats: UpstreamStats) -> Self {
        Upstream {
            entry,
            is_in_maintenance: false,
            consecutive_rejections: 0,
            is_suspected_draining: false,
            started_at,
            returned_at: 0.0,
            in_flight: Vec::new(),
            queue: VecDeque::new(),
            virtual_start: 0.0,
            idle_connections: Vec::new(),
            stats,
        }
    }

    /// Discards what was learned of the upstream's former process. Attempts that are in flight at
    /// that process still free their slots when they end.
    pub(super) fn reset_after_restart(&mut self, started_at: f64, stats: UpstreamStats) {
        self.started_at = started_at;
        self.returned_at = 0.0;
        self.stats = stats;
    }

    /// Returns whether the upstream is in service according to the endpoint list and the
    /// operators, and is not suspected of draining.
    pub(super) fn is_available(&self) -> bool {
        self.entry.state == UpstreamState::Active
            && !self.is_in_maintenance
            && !self.is_suspected_draining
    }

    /// Counts consecutive rejections, and returns whether they suggest that the upstream is
    /// draining.
    pub(super) fn update_rejection_count(&mut self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Rejected => self.consecutive_rejections += 1,
            AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::InvalidResponse => {
                self.consecutive_rejections = 0;
            }
            _ => {}
        }
        self.consecutive_rejections >= MIN_DRAINING_REJECTIONS
    }

    /// Clears the suspicion of draining, because the endpoint list is current.
    pub(super) fn clear_draining_suspicion(&mut self) {
        self.consecutive_rejections = 0;
        self.is_suspected_draining = false;
    }

    /// Returns the least share of its full capacity that the upstream has at `now`.
    pub(super) fn slow_start_share(&self, rules: &Rules, now: f64) -> f64 {
        rules.slow_start_share(self.started_at.max(self.returned_at), now)
    }

    /// Returns the attempt of this request that is in flight at the upstream.
    pub(super) fn in_flight_attempt_of(
        &mut self,
        request: RequestId,
    ) -> Option<&mut InFlightAttempt> {
        let mut in_flight = self.in_flight.iter_mut();
        in_flight.find(|attempt| attempt.request == request)
    }

    /// Removes the attempt of this request from those in flight, and returns it.
    pub(super) fn remove_in_flight(&mut self, request: RequestId) -> Option<InFlightAttempt> {
        let is_of_request = |attempt: &InFlightAttempt| attempt.request == request;
        let index = self.in_flight.iter().position(is_of_request)?;
        Some(self.in_flight.remove(index))
    }

    /// Records that a connection became idle.
    pub(super) fn add_idle_connection(&mut self, now: f64) {
        self.idle_connections.push(now);
    }

    /// Forgets the idle connections that the connection pool has closed after `max_idle` seconds.
    pub(super) fn drop_expired_connections(&mut self, max_idle: f64, now: f64) {
        self.idle_connections.retain(|since| now - since < max_idle);
    }

    /// Forgets all idle connections if the oldest one has been idle for longer than `timeout`
    /// seconds. Returns whether they were forgotten.
    pub(super) fn drop_possibly_closed_connections(&mut self, timeout: f64, now: f64) -> bool {
        let oldest = self.idle_connections.first();
        let may_be_closed = oldest.is_some_and(|since| now - since > timeout);
        if may_be_closed {
            self.idle_connections.clear();
        }
        may_be_closed
    }

    /// Takes the connection that became idle last, and returns how long it was idle, in seconds; 0
    /// if a new connection is needed.
    pub(super) fn take_idle_connection(&mut self, now: f64) -> f64 {
        self.idle_connections.pop().map_or(0.0, |since| now - since)
    }
}

/// What a balancer has learned of an upstream. It is discarded when the upstream restarts or
/// returns from maintenance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct UpstreamStats {
    /// Multiplier of the concurrency limit.
    #[serde(rename = "width")]
    pub(super) limit_multiplier: f64,
    /// Mean ratio of the latency to the expected latency.
    #[serde(rename = "pace")]
    pub(super) relative_latency: f64,
    /// Number of successful responses that `relative_latency` is based on.
    #[serde(rename = "answers")]
    pub(super) responses: f64,
    /// Outlier statistics of the upstream.
    #[serde(rename = "health")]
    pub(super) outliers: OutlierStatsByScope,
    /// Share of the upstream's requests that were lost silently, as a slow moving average.
    #[serde(rename = "losses")]
    pub(super) silent_loss_rate: f64,
    /// Time until which the upstream gets no requests, in seconds: after a rejection, or between
    /// single requests beyond the limit.
    #[serde(rename = "full_until")]
    pub(super) paused_until: f64,
    /// Idle time of the last attempt's connection, in seconds, if the attempt was lost silently on
    /// a connection that had been idle; else 0.
    #[serde(rename = "suspect")]
    pub(super) suspect_idle_time: f64,
    /// Number of requests that slow start currently allows the upstream; at most 1.
    #[serde(rename = "credit", alias = "allowance")]
    pub(super) slow_start_tokens: f64,
}

impl UpstreamStats {
    /// Returns mutable references to all timestamps.
    pub(super) fn timestamps_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        let outliers = self.outliers.timestamps_mut();
        outliers.chain([&mut self.paused_until])
    }

    /// Adds the relative latency of a successful response.
    pub(super) fn add_relative_latency(&mut self, relative_latency: f64) {
        self.responses += 1.0;
        let weight = weight_after(self.responses);
        add_sample(&mut self.relative_latency, relative_latency, weight);
    }

    /// Adds slow-start tokens.
    pub(super) fn add_slow_start_tokens(&mut self, tokens: f64) {
        self.slow_start_tokens = (self.slow_start_tokens + tokens).min(1.0);
    }

    /// Takes the slow-start token of one attempt.
    pub(super) fn take_slow_start_token(&mut self) {
        self.slow_start_tokens = (self.slow_start_tokens - 1.0).max(0.0);
    }
}
