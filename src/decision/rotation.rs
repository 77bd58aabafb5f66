//! The rotation: weighted round robin with virtual time over the upstreams of this balancer's
//! subset.
//!
//! Turns are even in the time that requests take, not in their number: after a turn, an
//! upstream's next one comes later by its relative latency.

use super::concurrency_limit::Demand;
use super::event::UpstreamId;
use super::latency::SMOOTHING;
use super::subset::Subset;
use super::upstream::{Upstream, UpstreamStats, Upstreams};
use std::collections::BTreeMap;

/// Upstreams by which the subset grows for a request that had to wait, and shrinks under
/// congestion.
const SUBSET_STEP: f64 = 0.5;

/// State of the rotation.
#[derive(Default)]
pub(super) struct Rotation {
    /// Available upstreams in this balancer's order of preference; the subset comes first.
    order: Vec<UpstreamId>,
    min_subset_size: f64,
    /// Size of the subset; it grows and shrinks by parts of an upstream.
    subset_size: f64,
    virtual_time: f64,
    /// Relative latency by machine kind.
    relative_latency_by_kind: BTreeMap<usize, f64>,
}

impl Rotation {
    /// Replaces the order after a change of the endpoint list.
    pub(super) fn set_subset(&mut self, subset: Subset) {
        self.order = subset.order;
        self.min_subset_size = subset.min_size;
        self.subset_size = self
            .subset_size
            .clamp(self.min_subset_size, self.order.len() as f64);
    }

    /// No upstream is available.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// How many upstreams are available.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Upstreams that get this balancer's requests.
    pub(super) fn subset(&self) -> &[UpstreamId] {
        &self.order[..self.subset_size as usize]
    }

    /// Available upstreams outside the subset.
    pub(super) fn outside_subset(&self) -> &[UpstreamId] {
        &self.order[self.subset_size as usize..]
    }

    /// The other upstreams of the subset.
    pub(super) fn peers_of<'a>(
        &'a self,
        upstream: UpstreamId,
        upstreams: &'a Upstreams,
    ) -> impl Iterator<Item = &'a Upstream> {
        let peers = self.subset().iter().filter(move |id| **id != upstream);
        peers.map(|id| &upstreams[id])
    }

    /// Size of the subset, with its fraction.
    pub(super) fn subset_size(&self) -> f64 {
        self.subset_size
    }

    /// Restores the size of the subset as far as the endpoint list allows it.
    pub(super) fn restore_subset_size(&mut self, size: f64) {
        let max = (self.order.len() as f64).max(self.min_subset_size);
        self.subset_size = size.clamp(self.min_subset_size, max);
    }

    /// All available upstreams are in the subset.
    pub(super) fn covers_all(&self) -> bool {
        self.subset_size == self.order.len() as f64
    }

    /// The subset need never cover all available upstreams.
    pub(super) fn may_be_partial(&self) -> bool {
        self.min_subset_size < self.order.len() as f64
    }

    /// Adapts the size of the subset to the demand.
    pub(super) fn resize_subset(&mut self, demand: Demand) {
        let step = match demand {
            Demand::Congested => -SUBSET_STEP,
            Demand::RequestsWaited => SUBSET_STEP,
            Demand::Satisfied => -SMOOTHING,
        };
        let max = (self.order.len() as f64).max(self.min_subset_size);
        self.subset_size = (self.subset_size + step).clamp(self.min_subset_size, max);
    }

    /// The upstream of the subset whose turn comes first. `turns_ahead` gives the turns that have
    /// to pass at an upstream before this request's, or `None` if it can't take the request.
    pub(super) fn next(
        &self,
        upstreams: &Upstreams,
        turns_ahead: impl Fn(&Upstream) -> Option<f64>,
    ) -> Option<UpstreamId> {
        let turn = |upstream: &Upstream| {
            let next_turn = upstream.next_turn.max(self.virtual_time);
            Some(next_turn + self.relative_latency(upstream) * turns_ahead(upstream)?)
        };
        let subset = self.subset().iter().map(|id| &upstreams[id]);
        let turns = subset.filter_map(|upstream| Some((turn(upstream)?, upstream.entry.id)));
        let (_, id) = turns.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(id)
    }

    /// Counts a turn of this upstream.
    pub(super) fn take_turn(&mut self, upstream: &mut Upstream) {
        let relative_latency = self.relative_latency(upstream);
        self.virtual_time = self.virtual_time.max(upstream.next_turn);
        upstream.next_turn = self.virtual_time + relative_latency;
    }

    /// The upstream's latency over the one to expect. Its machine kind stands in for it until
    /// enough responses have come.
    fn relative_latency(&self, upstream: &Upstream) -> f64 {
        let kind = &upstream.entry.machine_kind;
        let by_kind = self
            .relative_latency_by_kind
            .get(kind)
            .copied()
            .unwrap_or(1.0);
        let stats = &upstream.stats;
        let confidence = stats.responses / (stats.responses + 1.0 / SMOOTHING);
        by_kind + confidence * (stats.relative_latency - by_kind)
    }

    /// Adds the relative latency of a successful response to the upstream and its machine kind.
    pub(super) fn add_relative_latency(
        &mut self,
        machine_kind: usize,
        stats: &mut UpstreamStats,
        relative_latency: f64,
    ) {
        let by_kind = self
            .relative_latency_by_kind
            .entry(machine_kind)
            .or_insert(1.0);
        *by_kind += SMOOTHING * (relative_latency - *by_kind);
        stats.add_relative_latency(relative_latency);
    }

    /// Relative latency by machine kind.
    pub(super) fn relative_latency_by_kind(&self) -> &BTreeMap<usize, f64> {
        &self.relative_latency_by_kind
    }

    /// Restores the relative latency by machine kind.
    pub(super) fn restore_relative_latency(&mut self, by_kind: BTreeMap<usize, f64>) {
        self.relative_latency_by_kind = by_kind;
    }
}
