//! What one process of a balancer leaves to the next.

use crate::decision::balancer::Balancer;
use crate::decision::state::{Learned, Rate, Upstream, Usual};
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
    pub(crate) upstreams: BTreeMap<u64, (f64, f64, Learned)>,
    /// When each is taken to have started.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) started: BTreeMap<u64, f64>,
    pub(crate) usual: Vec<Usual>,
    pub(crate) rates: Vec<Rate>,
    pub(crate) paces: BTreeMap<usize, f64>,
    #[serde(rename = "reach", alias = "subset")]
    pub(crate) subset: f64,
    pub(crate) pass: f64,
    pub(crate) met_crowd: bool,
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
        self.rates.iter_mut().map(Rate::moment).for_each(shift);
        self
    }
}

impl Balancer {
    /// What has been learned so far.
    pub fn knowledge(&self) -> LearnedState {
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
            usual: self.usual.clone(),
            rates: self.rates.clone(),
            paces: self.turns.paces.clone(),
            subset: self.turns.subset,
            pass: self.turns.pass,
            met_crowd: self.turns.met_crowd,
            strain: self.strain,
        }
    }

    /// Takes over what another balancer with these settings has learned and put down `age` seconds ago, by whatever
    /// clock. What is older than the time in which an upstream warms up says nothing any more, nor does what is known
    /// of an upstream that has started again.
    pub fn recall(&mut self, now: f64, age: f64, knowledge: LearnedState) {
        self.now = self.now.max(now);
        let classes = self.cfg.classes.len();
        let fits =
            knowledge.usual.len() == classes && knowledge.rates.len() == self.cfg.tenants.len();
        if !fits || age >= self.cfg.rules.slow_start_window {
            return;
        }
        let by = self.now - age.max(0.0) - knowledge.at;
        let knowledge = knowledge.shifted(by);
        for (id, (since, returned, learned)) in knowledge.upstreams {
            let listed = self
                .upstreams
                .get_mut(&UpstreamId(id))
                .filter(|u| u.entry.started_at == since);
            if let Some(u) =
                listed.filter(|_| learned.health.len() == classes + 1 && learned.width > 0.0)
            {
                (u.returned, u.learned) = (returned, learned);
                u.started = knowledge.started.get(&id).copied().unwrap_or(u.started);
            }
        }
        (self.usual, self.rates, self.strain) =
            (knowledge.usual, knowledge.rates, knowledge.strain);
        self.turns.paces = knowledge.paces;
        (self.turns.pass, self.turns.met_crowd) = (knowledge.pass, knowledge.met_crowd);
        let most = (self.turns.order.len() as f64).max(self.turns.least_subset);
        self.turns.subset = knowledge.subset.clamp(self.turns.least_subset, most);
    }
}
