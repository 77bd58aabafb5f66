//! Maintenance: upstreams that operators take out of service and return to service.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{Maintenance, UpstreamId};
use std::collections::BTreeMap;

/// The return of an upstream to service after maintenance.
struct ReturnToService {
    returned_at: f64,
    awaits_request: bool,
}

/// The operators' orders to take upstreams out of service and to return them. An order holds
/// whether or not its upstream is listed. Times are in seconds.
#[derive(Default)]
pub(super) struct MaintenanceRegister {
    /// Upstreams out of service, with the time at which each was taken out.
    out_since: BTreeMap<UpstreamId, f64>,
    returned: BTreeMap<UpstreamId, ReturnToService>,
}

impl MaintenanceRegister {
    /// Returns whether operators have taken this upstream out of service.
    pub(super) fn is_out_of_service(&self, upstream: UpstreamId) -> bool {
        self.out_since.contains_key(&upstream)
    }

    /// Returns the upstreams that were returned to service and have had no request since.
    pub(super) fn awaiting_request(&self) -> impl Iterator<Item = &UpstreamId> {
        let returned = self.returned.iter();
        let awaiting = returned.filter(|(_, returned)| returned.awaits_request);
        awaiting.map(|(id, _)| id)
    }

    /// Returns whether this upstream was returned to service and has had no request since.
    pub(super) fn awaits_request(&self, upstream: UpstreamId) -> bool {
        let returned = self.returned.get(&upstream);
        returned.is_some_and(|returned| returned.awaits_request)
    }

    /// Returns whether this upstream was returned to service less than `window` seconds ago.
    pub(super) fn returned_within(&self, upstream: UpstreamId, window: f64, now: f64) -> bool {
        let returned = self.returned.get(&upstream);
        returned.is_some_and(|returned| now - returned.returned_at < window)
    }

    /// Records that a request was sent to this upstream.
    pub(super) fn record_request(&mut self, upstream: UpstreamId) {
        if let Some(returned) = self.returned.get_mut(&upstream) {
            returned.awaits_request = false;
        }
    }

    fn begin(&mut self, upstream: UpstreamId, now: f64) {
        self.out_since.entry(upstream).or_insert(now);
        self.returned.remove(&upstream);
    }

    /// Ends the maintenance of an upstream. Returns the time at which the upstream was taken out of
    /// service, or `None` if it was in service.
    fn end(&mut self, upstream: UpstreamId, now: f64) -> Option<f64> {
        let out_since = self.out_since.remove(&upstream)?;
        let returned = ReturnToService {
            returned_at: now,
            awaits_request: true,
        };
        self.returned.insert(upstream, returned);
        Some(out_since)
    }
}

impl Balancer {
    /// Takes an upstream out of service or returns it to service. The operators' orders take
    /// precedence over the endpoint list.
    pub(super) fn on_maintenance(
        &mut self,
        id: UpstreamId,
        change: Maintenance,
        actions: &mut Vec<Action>,
    ) {
        let initial_stats = self.initial_stats();
        match change {
            Maintenance::Begin => {
                self.maintenance.begin(id, self.now);
                let upstream = self.upstreams.get_mut(&id);
                let Some(upstream) = upstream.filter(|upstream| !upstream.is_in_maintenance) else {
                    return;
                };
                upstream.is_in_maintenance = true;
            }
            Maintenance::End => {
                let Some(out_since) = self.maintenance.end(id, self.now) else {
                    return;
                };
                let upstream = self.upstreams.get_mut(&id);
                let Some(upstream) = upstream.filter(|upstream| upstream.is_in_maintenance) else {
                    return;
                };
                upstream.is_in_maintenance = false;
                // Discovery may report a restart late or never, so the upstream counts as warming
                // up from now on unless it is known to have restarted during the maintenance.
                upstream.returned_at = if upstream.started_at < out_since {
                    self.now
                } else {
                    0.0
                };
                upstream.stats = initial_stats;
            }
        }
        self.on_endpoints_changed(actions);
    }
}
