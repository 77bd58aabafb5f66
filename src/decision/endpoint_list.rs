//! Merges endpoint lists from discovery.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{ListScope, UpstreamEntry, UpstreamState};
use super::outlier_stats::OutlierStatsByScope;
use super::subset;
use super::upstream::{Upstream, UpstreamStats};
use rand::Rng;
use std::collections::btree_map::Entry;

impl Balancer {
    /// Merges an endpoint list or a change of it, or handles a failure of discovery.
    pub(super) fn on_endpoint_list(
        &mut self,
        scope: ListScope,
        entries: Vec<UpstreamEntry>,
        actions: &mut Vec<Action>,
    ) {
        self.poll_schedule
            .on_list(scope, &self.settings, self.now, &mut self.rng, actions);
        if !self.poll_schedule.is_stale() {
            for upstream in self.upstreams.values_mut() {
                upstream.clear_draining_suspicion();
            }
        }
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            for upstream in self.upstreams.values_mut() {
                upstream.entry.state = UpstreamState::Removed;
            }
        }
        for entry in entries {
            self.merge_entry(entry);
        }
        self.start_times.on_list(scope, self.now);
        self.on_endpoints_changed(actions);
    }

    fn merge_entry(&mut self, entry: UpstreamEntry) {
        // The statistics are created for every entry, so that the sequence of random numbers does
        // not depend on which upstreams are already known.
        let initial_stats = self.initial_stats();
        let id = entry.id;
        let upstream = match self.upstreams.entry(id) {
            Entry::Vacant(vacant) => {
                let started_at = self.start_times.estimate(entry.started_at, self.now);
                vacant.insert(Upstream::new(entry, started_at, initial_stats))
            }
            Entry::Occupied(occupied) => {
                let upstream = occupied.into_mut();
                if upstream.entry.started_at != entry.started_at {
                    let started_at = self.start_times.estimate(entry.started_at, self.now);
                    upstream.reset_after_restart(started_at, initial_stats);
                }
                upstream.entry = entry;
                upstream
            }
        };
        upstream.is_in_maintenance = self.maintenance.is_out_of_service(id);
    }

    /// Returns the statistics of an upstream without history. Draws a random number.
    pub(super) fn initial_stats(&mut self) -> UpstreamStats {
        UpstreamStats {
            limit_multiplier: 1.0,
            // The tokens are random, so that the balancers of a fleet do not all send their first
            // request at the same time.
            slow_start_tokens: self.rng.random(),
            outliers: OutlierStatsByScope::new(self.settings.classes.len(), self.now),
            ..UpstreamStats::default()
        }
    }

    /// Selects the subset again after an upstream has become available or unavailable. Reassigns
    /// the requests that wait for an unavailable upstream or for any upstream. Then removes the
    /// upstreams that are not in service according to the list and have no attempt in flight.
    pub(super) fn on_endpoints_changed(&mut self, actions: &mut Vec<Action>) {
        let subset = subset::choose(&self.settings, &self.upstreams);
        self.limit.set_even_slots(subset.even_slots);
        self.rotation.set_subset(subset);
        let mut waiting = std::mem::take(&mut self.unassigned);
        for upstream in self.upstreams.values_mut() {
            if !upstream.is_available() {
                waiting.append(&mut upstream.queue);
            }
        }
        for id in waiting {
            self.assign(id, actions);
        }
        self.upstreams.retain(|_, upstream| {
            upstream.entry.state == UpstreamState::Active || !upstream.in_flight.is_empty()
        });
    }
}
