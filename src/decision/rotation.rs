//! The rotation: weighted round robin with virtual time over the upstreams of this balancer's
//! subset.
//!
//! Upstreams get equal shares of the time that requests take, not of the number of requests: each
//! request advances its upstream's virtual start by the upstream's relative latency, and the
//! upstream with the earliest virtual start gets the next request.

use super::concurrency_limit::LoadLevel;
use super::event::UpstreamId;
use super::moving_average::{add_sample, SMOOTHING};
use super::subset::Subset;
use super::upstream::{Upstream, UpstreamStats, Upstreams};
use std::collections::BTreeMap;

/// Upstreams by which the subset grows with a response while requests are queued, and shrinks with
/// a response under congestion.
const SUBSET_STEP: f64 = 0.5;
/// Upstreams by which the subset shrinks with each response at normal load.
const NORMAL_SUBSET_STEP: f64 = 0.1;
/// Responses after which an upstream's own relative latency has the same weight as that of its
/// machine kind.
const CONFIDENCE_RESPONSES: f64 = 10.0;

/// State of the rotation.
#[derive(Default)]
pub(super) struct Rotation {
    /// Available upstreams in this balancer's order of preference; the first ones are the subset.
    order: Vec<UpstreamId>,
    /// Smallest size of the subset, reached while no requests are queued; at most the length of
    /// `order`.
    min_subset_size: f64,
    /// Size of the subset; it has a fraction because it grows and shrinks by parts of an upstream.
    subset_size: f64,
    /// Latest virtual start of a request so far. An upstream that was idle continues from here, so
    /// that it does not catch up on the requests that it missed.
    virtual_time: f64,
    /// Relative latency of each machine kind.
    relative_latency_by_kind: BTreeMap<usize, f64>,
}

impl Rotation {
    /// Replaces the order after a change of the endpoint list.
    pub(super) fn set_subset(&mut self, subset: Subset) {
        self.order = subset.order;
        self.min_subset_size = subset.min_size;
        self.set_subset_size(self.subset_size);
    }

    /// Returns whether no upstream is available.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of available upstreams.
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the upstreams that get this balancer's requests.
    pub(super) fn subset(&self) -> &[UpstreamId] {
        &self.order[..self.subset_size as usize]
    }

    /// Returns the available upstreams outside the subset.
    pub(super) fn outside_subset(&self) -> &[UpstreamId] {
        &self.order[self.subset_size as usize..]
    }

    /// Returns the upstreams of the subset other than `upstream`.
    pub(super) fn peers_of<'a>(
        &'a self,
        upstream: UpstreamId,
        upstreams: &'a Upstreams,
    ) -> impl Iterator<Item = &'a Upstream> {
        let peers = self.subset().iter().filter(move |id| **id != upstream);
        peers.map(|id| &upstreams[id])
    }

    /// Returns the size of the subset, with its fraction.
    pub(super) fn subset_size(&self) -> f64 {
        self.subset_size
    }

    /// Restores the size of the subset as far as the endpoint list allows.
    pub(super) fn restore_subset_size(&mut self, size: f64) {
        self.set_subset_size(size);
    }

    fn set_subset_size(&mut self, size: f64) {
        self.subset_size = size.clamp(self.min_subset_size, self.order.len() as f64);
    }

    /// Returns whether the subset contains all available upstreams.
    pub(super) fn covers_all(&self) -> bool {
        self.subset_size == self.order.len() as f64
    }

    /// Returns whether the subset can be smaller than the list of available upstreams.
    pub(super) fn may_be_partial(&self) -> bool {
        self.min_subset_size < self.order.len() as f64
    }

    /// Adapts the size of the subset to the load level.
    pub(super) fn resize_subset(&mut self, load_level: LoadLevel) {
        let step = match load_level {
            LoadLevel::Congested => -SUBSET_STEP,
            LoadLevel::Queueing => SUBSET_STEP,
            LoadLevel::Normal => -NORMAL_SUBSET_STEP,
        };
        self.set_subset_size(self.subset_size + step);
    }

    /// Returns the upstream of the subset at which a request would have the earliest virtual
    /// start. `requests_ahead` returns how many requests of mean work precede it at an upstream,
    /// or `None` if the upstream can't take it.
    pub(super) fn next(
        &self,
        upstreams: &Upstreams,
        requests_ahead: impl Fn(&Upstream) -> Option<f64>,
    ) -> Option<UpstreamId> {
        let virtual_start = |upstream: &Upstream| {
            let next_start = upstream.virtual_start.max(self.virtual_time);
            Some(next_start + self.relative_latency(upstream) * requests_ahead(upstream)?)
        };
        let subset = self.subset().iter().map(|id| &upstreams[id]);
        let starts =
            subset.filter_map(|upstream| Some((virtual_start(upstream)?, upstream.entry.id)));
        let (_, id) = starts.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(id)
    }

    /// Advances the virtual time for an attempt that starts at this upstream.
    pub(super) fn advance(&mut self, upstream: &mut Upstream) {
        let relative_latency = self.relative_latency(upstream);
        self.virtual_time = self.virtual_time.max(upstream.virtual_start);
        upstream.virtual_start = self.virtual_time + relative_latency;
    }

    /// Returns the ratio of the upstream's latency to the expected latency. Until enough responses
    /// have been received, it is mainly the ratio of the upstream's machine kind.
    fn relative_latency(&self, upstream: &Upstream) -> f64 {
        let kind = &upstream.entry.machine_kind;
        let by_kind = self
            .relative_latency_by_kind
            .get(kind)
            .copied()
            .unwrap_or(1.0);
        let stats = &upstream.stats;
        let confidence = stats.responses / (stats.responses + CONFIDENCE_RESPONSES);
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
        add_sample(by_kind, relative_latency, SMOOTHING);
        stats.add_relative_latency(relative_latency);
    }

    /// Returns the relative latency of each machine kind.
    pub(super) fn relative_latency_by_kind(&self) -> &BTreeMap<usize, f64> {
        &self.relative_latency_by_kind
    }

    /// Restores the relative latency of each machine kind.
    pub(super) fn restore_relative_latency(&mut self, by_kind: BTreeMap<usize, f64>) {
        self.relative_latency_by_kind = by_kind;
    }
}
