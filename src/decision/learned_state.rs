//! What one process of a balancer leaves to the next.

use crate::decision::balancer::Balancer;
use crate::decision::state::{LatencyEstimate, RequestRate, Upstream, UpstreamStats};
use crate::decision::UpstreamId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a balancer has learned, for the one that takes its place. Nothing in it has to hold: whoever recalls it
/// takes over what still fits. Fields that have changed their name are kept under the old one: during an upgrade
/// the version before reads it too.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedState {
    pub(crate) at: f64,
    /// Of each upstream: the start that is listed, when it was put back, and what was learned of it.
    pub(crate) upstreams: BTreeMap<u64, (f64, f64, UpstreamStats)>,
    /// When each is taken to have started.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) started: BTreeMap<u64, f64>,
    pub(crate) usual: Vec<LatencyEstimate>,
    pub(crate) rates: Vec<RequestRate>,
    #[serde(rename = "paces")]
    pub(crate) kind_latency: BTreeMap<usize, f64>,
    #[serde(rename = "reach", alias = "subset")]
    pub(crate) subset: f64,
    pub(crate) pass: f64,
    #[serde(rename = "met_crowd")]
    pub(crate) congestion_seen: bool,
    pub(crate) strain: f64,
}

impl LearnedState {
    /// The same, with all moments later by so many seconds.
    fn shifted(mut self, by: f64) -> Self {
        let shift = |moment: &mut f64| *moment += if *moment > 0.0 { by } else { 0.0 };
        for (_, returned, learned) in self.upstreams.values_mut() {
            shift(returned);
            learned.moments().for_each(shift);
        }
        self.started.values_mut().for_each(shift);
        self.rates
            .iter_mut()
            .map(RequestRate::moment)
            .for_each(shift);
        self
    }
}

impl Balancer {
    /// What has been learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let learned = |(id, u): (&UpstreamId, &Upstream)| {
            (id.0, (u.entry.started_at, u.returned, u.learned.clone()))
        };
        LearnedState {
            at: self.now,
            upstreams: self.upstreams.iter().map(learned).collect(),
            started: self
                .upstreams
                .iter()
                .map(|(id, u)| (id.0, u.started))
                .collect(),
            usual: self.latency.clone(),
            rates: self.tenant_rates.clone(),
            kind_latency: self.rotation.kind_latency.clone(),
            subset: self.rotation.subset_size,
            pass: self.rotation.pass,
            congestion_seen: self.rotation.congestion_seen,
            strain: self.congestion,
        }
    }

    /// Takes over what another balancer with these settings has learned and put down `age` seconds ago, by whatever
    /// clock. What is older than the time in which an upstream warms up says nothing any more, nor does what is known
    /// of an upstream that has started again.
    pub fn restore(&mut self, now: f64, age: f64, learned_state: LearnedState) {
        self.now = self.now.max(now);
        let classes = self.settings.classes.len();
        let fits = learned_state.usual.len() == classes
            && learned_state.rates.len() == self.settings.tenants.len();
        if !fits || age >= self.settings.rules.slow_start_window {
            return;
        }
        let by = self.now - age.max(0.0) - learned_state.at;
        let learned_state = learned_state.shifted(by);
        for (id, (since, returned, learned)) in learned_state.upstreams {
            let listed = self
                .upstreams
                .get_mut(&UpstreamId(id))
                .filter(|u| u.entry.started_at == since);
            if let Some(u) = listed
                .filter(|_| learned.health.len() == classes + 1 && learned.limit_multiplier > 0.0)
            {
                (u.returned, u.learned) = (returned, learned);
                u.started = learned_state.started.get(&id).copied().unwrap_or(u.started);
            }
        }
        (self.latency, self.tenant_rates, self.congestion) = (
            learned_state.usual,
            learned_state.rates,
            learned_state.strain,
        );
        self.rotation.kind_latency = learned_state.kind_latency;
        (self.rotation.pass, self.rotation.congestion_seen) =
            (learned_state.pass, learned_state.congestion_seen);
        let most = (self.rotation.order.len() as f64).max(self.rotation.min_subset_size);
        self.rotation.subset_size = learned_state
            .subset
            .clamp(self.rotation.min_subset_size, most);
    }
}
