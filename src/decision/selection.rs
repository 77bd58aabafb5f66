//! Endpoint selection: selects the upstream for an attempt.

use super::balancer::Balancer;
use super::event::UpstreamId;
use super::request::PendingRequest;
use super::upstream::Upstream;

/// Whether outliers are excluded for a class.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum OutlierPolicy {
    /// Outliers are excluded.
    Exclude,
    /// Outliers are included, because too many upstreams would be excluded (panic mode).
    Include,
}

impl Balancer {
    /// Returns the next upstream of the rotation that accepts this request. An upstream that has
    /// returned from maintenance takes precedence once, even outside the subset, so that operators
    /// can see it in use.
    pub(super) fn select_upstream(&self, request: &PendingRequest) -> Option<UpstreamId> {
        let policy = self.outlier_policy(request.class);
        let accepts = |upstream: &Upstream| self.accepts(upstream, request, policy);
        let returned = self.maintenance.awaiting_request();
        let mut returned = returned.filter_map(|id| self.upstreams.get(id));
        if let Some(upstream) = returned.find(|upstream| accepts(upstream)) {
            return Some(upstream.entry.id);
        }
        // The work of a large request beyond that of a mean request counts as requests ahead of
        // it. The rotation then selects the upstream at which it would end first instead of start
        // first, so that it goes to a faster upstream.
        let excess_work = self
            .latency
            .of_class(request.class)
            .excess_work(request.work);
        let requests_ahead = |upstream: &Upstream| accepts(upstream).then_some(excess_work);
        self.rotation.next(&self.upstreams, requests_ahead)
    }

    /// Returns the upstream with queue space at which the rotation would start this request first.
    pub(super) fn select_queue(&self, request: &PendingRequest) -> Option<UpstreamId> {
        let policy = self.outlier_policy(request.class);
        let has_space = |upstream: &Upstream| {
            self.limit.has_queue_space(upstream)
                && self.allows_by_policy(upstream, request.class, policy)
                && request.may_be_sent_to(upstream, &self.settings, self.now)
        };
        let requests_ahead =
            |upstream: &Upstream| has_space(upstream).then_some(upstream.queue.len() as f64);
        self.rotation.next(&self.upstreams, requests_ahead)
    }

    /// Returns whether this upstream can take an attempt of the request now.
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
        policy == OutlierPolicy::Include || self.is_eligible(upstream, class)
    }
}
