//! Detection of upstreams that drain while the endpoint list is stale, by their rejections.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{AttemptOutcome, UpstreamId};
use super::log_event::LogEvent;

/// Another upstream is suspected of draining only while fewer than this share of the upstreams in
/// service are suspected.
const MAX_SUSPECTED_SHARE: f64 = 0.5;

impl Balancer {
    /// Leaves out an upstream after several consecutive rejections if the endpoint list is stale,
    /// because the upstream may be draining. If many upstreams reject requests, they are probably
    /// overloaded instead, and no further one is left out.
    pub(super) fn detect_draining(
        &mut self,
        id: UpstreamId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let seems_draining = upstream.update_rejection_count(outcome);
        if !seems_draining || !upstream.is_available() || !self.poll_schedule.is_stale() {
            return;
        }
        if !self.may_suspect_another() {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_suspected_draining = true;
        }
        let suspected = LogEvent::SuspectedDraining { upstream: id };
        actions.push(Action::Log(suspected));
        self.on_endpoints_changed(actions);
    }

    fn may_suspect_another(&self) -> bool {
        let upstreams = self.upstreams.values();
        let suspected = upstreams.filter(|upstream| upstream.is_suspected_draining);
        let suspected = suspected.count() as f64;
        suspected < MAX_SUSPECTED_SHARE * (self.rotation.len() as f64 + suspected)
    }
}
