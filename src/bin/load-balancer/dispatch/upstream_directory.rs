//! The upstreams that are known by name: where they are, and which of them may get requests.

use crate::config::NameTables;
use crate::discovery::{Endpoint, EndpointList, EndpointStatus};
use crate::upstream::ConnectionPool;
use load_balancer::{Maintenance, UpstreamEntry, UpstreamId, UpstreamState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// The listed upstreams, and those that operators have taken out of service. Keeps the connection
/// pool in step: connections are pooled for available upstreams only.
pub struct UpstreamDirectory {
    upstreams: HashMap<UpstreamId, ListedUpstream>,
    /// The names of the upstreams in maintenance; they need not be listed.
    in_maintenance: BTreeMap<UpstreamId, String>,
    has_had_endpoints: bool,
    pool: Rc<ConnectionPool>,
}

struct ListedUpstream {
    name: String,
    address: SocketAddr,
    /// In seconds since the Unix epoch; 0: long ago.
    started_at: f64,
    state: UpstreamState,
}

impl UpstreamDirectory {
    /// An empty directory.
    pub fn new(pool: Rc<ConnectionPool>) -> Self {
        UpstreamDirectory {
            upstreams: HashMap::new(),
            in_maintenance: BTreeMap::new(),
            has_had_endpoints: false,
            pool,
        }
    }

    /// True once a list with endpoints has been applied.
    pub fn has_had_endpoints(&self) -> bool {
        self.has_had_endpoints
    }

    /// How many upstreams are listed.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// The name of a listed upstream.
    pub fn name(&self, upstream: UpstreamId) -> Option<&str> {
        self.upstreams
            .get(&upstream)
            .map(|listed| listed.name.as_str())
    }

    /// Where the upstream is, if it may get requests.
    pub fn available_address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        let listed = self.upstreams.get(&upstream)?;
        let is_available =
            listed.state == UpstreamState::Active && !self.is_in_maintenance(upstream);
        is_available.then_some(listed.address)
    }

    /// Applies an endpoint list. Upstreams that are gone stay in the directory until
    /// `purge_removed`.
    pub fn apply(&mut self, list: EndpointList, names: &NameTables) -> Vec<UpstreamEntry> {
        self.has_had_endpoints |= !list.endpoints.is_empty();
        if list.snapshot {
            for listed in self.upstreams.values_mut() {
                listed.state = UpstreamState::Removed;
            }
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for endpoint in list.endpoints {
            entries.push(self.update(endpoint, names));
        }
        for id in self.upstreams.keys() {
            if self.available_address(*id).is_none() {
                self.pool.remove(*id);
            }
        }
        entries
    }

    /// Adds an endpoint or replaces what is known of it.
    pub fn update(&mut self, endpoint: Endpoint, names: &NameTables) -> UpstreamEntry {
        let id = UpstreamId::of(&endpoint.name);
        let state = match endpoint.status {
            EndpointStatus::InService => UpstreamState::Active,
            EndpointStatus::Draining => UpstreamState::Draining,
            EndpointStatus::Terminated => UpstreamState::Removed,
        };
        let started_at = endpoint.started_at_ms / 1000.0;
        let known = self.upstreams.get(&id);
        if known.is_some_and(|known| known.started_at != started_at) {
            self.pool.remove(id);
        }
        if state == UpstreamState::Active && !self.is_in_maintenance(id) {
            self.pool.allow(id, endpoint.address);
        }
        let listed = ListedUpstream {
            name: endpoint.name,
            address: endpoint.address,
            started_at,
            state,
        };
        self.upstreams.insert(id, listed);
        UpstreamEntry {
            id,
            zone: index_of(&names.zones, &endpoint.zone),
            machine_kind: index_of(&names.kinds, &endpoint.machine_kind),
            cell: endpoint.cell,
            state,
            started_at,
        }
    }

    /// Forgets the upstreams that are gone.
    pub fn purge_removed(&mut self) {
        self.upstreams
            .retain(|_, listed| listed.state != UpstreamState::Removed);
    }

    /// True if the upstream is listed or in maintenance.
    pub fn is_known(&self, upstream: UpstreamId) -> bool {
        self.upstreams.contains_key(&upstream) || self.is_in_maintenance(upstream)
    }

    /// True if operators have taken the upstream out of service.
    pub fn is_in_maintenance(&self, upstream: UpstreamId) -> bool {
        self.in_maintenance.contains_key(&upstream)
    }

    /// The names of the upstreams in maintenance.
    pub fn names_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.in_maintenance.values().map(String::as_str)
    }

    /// Takes an upstream out of service or puts it back, whether it is listed or not.
    pub fn set_maintenance(&mut self, name: &str, change: Maintenance) {
        let id = UpstreamId::of(name);
        match change {
            Maintenance::Begin => {
                self.in_maintenance.insert(id, name.to_string());
                self.pool.remove(id);
            }
            Maintenance::End => {
                self.in_maintenance.remove(&id);
                if let Some(address) = self.available_address(id) {
                    self.pool.allow(id, address);
                }
            }
        }
    }
}

/// The index of `name`; 0 for an unknown name.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}

#[cfg(test)]
mod tests;
