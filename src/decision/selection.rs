//! Endpoint selection: the upstream for an attempt.

use super::balancer::Balancer;
use super::event::UpstreamId;
use super::request::PendingRequest;
use super::upstream::Upstream;

/// Whether outliers are left out for a class.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum OutlierPolicy {
    /// They are left out.
    Exclude,
    /// Too many would be left out, so none is (panic mode).
    Ignore,
}

impl Balancer {
    /// The upstream whose turn it is, of those of the subset that accept this request. One that
    /// operators have put back goes first once, even outside of the subset, so that they see it
    /// in use.
    pub(super) fn select_upstream(&self, request: &PendingRequest) -> Option<UpstreamId> {
        let policy = self.outlier_policy(request.class);
        let accepts = |upstream: &Upstream| self.accepts(upstream, request, policy);
        let returned = self.maintenance.awaiting_request();
        let mut returned = returned.filter_map(|id| self.upstreams.get(id));
        if let Some(upstream) = returned.find(|upstream| accepts(upstream)) {
            return Some(upstream.entry.id);
        }
        // A large request is counted to its end, which takes it to faster upstreams.
        let excess_work = self.latency[request.class].excess_work(request.work);
        let turns_ahead = |upstream: &Upstream| accepts(upstream).then_some(excess_work);
        self.rotation.next(&self.upstreams, turns_ahead)
    }

    /// The upstream with queue space at which this request's turn comes first.
    pub(super) fn select_queue(&self, request: &PendingRequest) -> Option<UpstreamId> {
        let policy = self.outlier_policy(request.class);
        let has_space = |upstream: &Upstream| {
            self.limit.has_queue_space(upstream)
                && self.allows_by_policy(upstream, request.class, policy)
                && request.may_be_sent_to(upstream, &self.settings, self.now)
        };
        let turns_ahead =
            |upstream: &Upstream| has_space(upstream).then_some(upstream.queue.len() as f64);
        self.rotation.next(&self.upstreams, turns_ahead)
    }

    /// This upstream can take an attempt of the request now.
    pub(super) fn accepts(
        &self,
        upstream: &Upstream,
        request: &PendingRequest,
        policy: OutlierPolicy,
    ) -> bool {
        self.limit.has_free_slot(upstream)
            && self.now >= upstream.stats.paused_until
            && self.slow_start_allows(upstream)
            && self.allows_by_policy(upstream, request.class, policy)
            && request.may_be_sent_to(upstream, &self.settings, self.now)
    }

    fn slow_start_allows(&self, upstream: &Upstream) -> bool {
        upstream.stats.slow_start_tokens >= 1.0
            || upstream.slow_start_share(&self.settings.rules, self.now) == 1.0
    }

    fn allows_by_policy(&self, upstream: &Upstream, class: usize, policy: OutlierPolicy) -> bool {
        policy == OutlierPolicy::Ignore || self.is_eligible(upstream, class)
    }
}
