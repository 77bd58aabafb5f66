//! The learned state: what one process of a balancer hands over to the next.
//!
//! Processes of different versions exchange it during an upgrade, so the stored names of fields
//! never change.

use super::admission::RequestRate;
use super::balancer::Balancer;
use super::congestion::Congestion;
use super::event::UpstreamId;
use super::latency::{LatencyEstimate, LatencyModel};
use super::upstream::UpstreamStats;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;

/// What a balancer has learned, for the process that replaces it. The state may be outdated:
/// [`Balancer::restore`] takes over what still applies. Timestamps are in seconds on the clock of
/// the balancer that saved it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedState {
    #[serde(rename = "at")]
    saved_at: f64,
    upstreams: BTreeMap<u64, StoredUpstream>,
    /// Estimated start of each upstream.
    #[serde(
        rename = "started",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    started_at: BTreeMap<u64, f64>,
    /// Latency estimate of each class.
    #[serde(rename = "usual")]
    latency: Vec<LatencyEstimate>,
    /// Request rate of each tenant.
    #[serde(rename = "rates")]
    tenant_rates: Vec<RequestRate>,
    #[serde(rename = "paces")]
    relative_latency_by_kind: BTreeMap<usize, f64>,
    #[serde(rename = "reach", alias = "subset")]
    subset_size: f64,
    #[serde(rename = "pass")]
    single_request_allowance: f64,
    #[serde(rename = "met_crowd")]
    congestion_has_occurred: bool,
    #[serde(rename = "strain")]
    congestion_level: f64,
}

/// What was learned of one upstream; stored as an array.
#[derive(Clone, Debug, Deserialize)]
#[serde(from = "(f64, f64, UpstreamStats)")]
struct StoredUpstream {
    /// Start of the upstream according to the endpoint list.
    listed_start: f64,
    /// When the upstream returned from maintenance, if it may have been restarted during the
    /// maintenance; else 0.
    returned_at: f64,
    stats: UpstreamStats,
}

impl From<(f64, f64, UpstreamStats)> for StoredUpstream {
    fn from((listed_start, returned_at, stats): (f64, f64, UpstreamStats)) -> Self {
        StoredUpstream {
            listed_start,
            returned_at,
            stats,
        }
    }
}

impl Serialize for StoredUpstream {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.listed_start, self.returned_at, &self.stats).serialize(serializer)
    }
}

impl LearnedState {
    /// Returns the state with all timestamps shifted by `seconds`. A timestamp of 0 means never
    /// and is not shifted.
    fn shifted(mut self, seconds: f64) -> Self {
        let shift =
            |timestamp: &mut f64| *timestamp += if *timestamp > 0.0 { seconds } else { 0.0 };
        for upstream in self.upstreams.values_mut() {
            shift(&mut upstream.returned_at);
            upstream.stats.timestamps_mut().for_each(shift);
        }
        self.started_at.values_mut().for_each(shift);
        self.tenant_rates
            .iter_mut()
            .map(RequestRate::timestamp_mut)
            .for_each(shift);
        self
    }
}

impl Balancer {
    /// Returns what has been learned so far.
    #[must_use]
    pub fn learned_state(&self) -> LearnedState {
        let mut upstreams = BTreeMap::new();
        let mut started_at = BTreeMap::new();
        for (id, upstream) in &self.upstreams {
            let stored = StoredUpstream {
                listed_start: upstream.entry.started_at,
                returned_at: upstream.returned_at,
                stats: upstream.stats.clone(),
            };
            upstreams.insert(id.0, stored);
            started_at.insert(id.0, upstream.started_at);
        }
        LearnedState {
            saved_at: self.now,
            upstreams,
            started_at,
            latency: self.latency.estimates().to_vec(),
            tenant_rates: self.tenant_rates.clone(),
            relative_latency_by_kind: self.rotation.relative_latency_by_kind().clone(),
            subset_size: self.rotation.subset_size(),
            single_request_allowance: self.limit.single_request_allowance(),
            congestion_has_occurred: self.latency.congestion().has_occurred,
            congestion_level: self.latency.congestion().level,
        }
    }

    /// Restores what another balancer with these settings learned and saved `age` seconds ago. A
    /// state that is at least as old as the slow-start window, or has a different number of classes
    /// or tenants, is ignored. What was learned of an upstream that has been restarted since then
    /// is ignored too.
    pub fn restore(&mut self, now: f64, age: f64, state: LearnedState) {
        self.now = self.now.max(now);
        let has_same_shape = state.latency.len() == self.settings.classes.len()
            && state.tenant_rates.len() == self.settings.tenants.len();
        if !has_same_shape || age >= self.settings.rules.slow_start_window {
            return;
        }
        let shift = self.now - age.max(0.0) - state.saved_at;
        let state = state.shifted(shift);
        for (id, stored) in state.upstreams {
            let started_at = state.started_at.get(&id).copied();
            self.restore_upstream(UpstreamId(id), stored, started_at);
        }
        let congestion = Congestion {
            level: state.congestion_level,
            has_occurred: state.congestion_has_occurred,
        };
        self.latency = LatencyModel::restore(state.latency, congestion);
        self.tenant_rates = state.tenant_rates;
        self.rotation
            .restore_relative_latency(state.relative_latency_by_kind);
        self.limit
            .restore_single_request_allowance(state.single_request_allowance);
        self.rotation.restore_subset_size(state.subset_size);
    }

    fn restore_upstream(
        &mut self,
        id: UpstreamId,
        stored: StoredUpstream,
        started_at: Option<f64>,
    ) {
        let stats = &stored.stats;
        let has_all_classes = stats.outliers.has_class_count(self.settings.classes.len());
        if !has_all_classes || stats.limit_multiplier <= 0.0 {
            return;
        }
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        if upstream.entry.started_at == stored.listed_start {
            upstream.returned_at = stored.returned_at;
            upstream.stats = stored.stats;
            upstream.started_at = started_at.unwrap_or(upstream.started_at);
        }
    }
}
