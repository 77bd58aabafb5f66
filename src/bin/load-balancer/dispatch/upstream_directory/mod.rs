//! The known upstreams: their names and addresses, and which of them may receive requests.

use crate::config::NameTables;
use crate::discovery::{Endpoint, EndpointList, EndpointStatus};
use crate::upstream::ConnectionPool;
use load_balancer::{Maintenance, UpstreamEntry, UpstreamId, UpstreamState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// The upstreams of the endpoint list, and the upstreams in maintenance. The directory keeps the
/// connection pool up to date, so that connections are pooled for available upstreams only.
pub struct UpstreamDirectory {
    upstreams: HashMap<UpstreamId, ListedUpstream>,
    /// The names of the upstreams in maintenance, whether or not the endpoint list has them.
    in_maintenance: BTreeMap<UpstreamId, String>,
    has_had_endpoints: bool,
    pool: Rc<ConnectionPool>,
}

struct ListedUpstream {
    name: String,
    address: SocketAddr,
    /// When the upstream last started, in seconds since the Unix epoch; 0 if it started long ago.
    started_at: f64,
    state: UpstreamState,
}

impl UpstreamDirectory {
    /// Creates an empty directory.
    pub fn new(pool: Rc<ConnectionPool>) -> Self {
        UpstreamDirectory {
            upstreams: HashMap::new(),
            in_maintenance: BTreeMap::new(),
            has_had_endpoints: false,
            pool,
        }
    }

    /// Returns whether a list with at least one endpoint has been applied.
    pub fn has_had_endpoints(&self) -> bool {
        self.has_had_endpoints
    }

    /// Returns the number of listed upstreams.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the name of a listed upstream.
    pub fn name(&self, upstream: UpstreamId) -> Option<&str> {
        self.upstreams
            .get(&upstream)
            .map(|listed| listed.name.as_str())
    }

    /// Returns the address of the upstream if it may receive requests.
    pub fn available_address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        let listed = self.upstreams.get(&upstream)?;
        let is_available =
            listed.state == UpstreamState::Active && !self.is_in_maintenance(upstream);
        is_available.then_some(listed.address)
    }

    /// Applies an endpoint list and returns its entries for the decision module. Removed upstreams
    /// stay in the directory until [`Self::purge_removed`] deletes them.
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

    /// Adds an endpoint, or updates the upstream of the same name. Returns the entry for the
    /// decision module.
    pub fn update(&mut self, endpoint: Endpoint, names: &NameTables) -> UpstreamEntry {
        let id = UpstreamId::from_name(&endpoint.name);
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
            self.pool.allow_pooling(id, endpoint.address);
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

    /// Deletes the removed upstreams from the directory.
    pub fn purge_removed(&mut self) {
        self.upstreams
            .retain(|_, listed| listed.state != UpstreamState::Removed);
    }

    /// Returns whether the upstream is listed or in maintenance.
    pub fn is_known(&self, upstream: UpstreamId) -> bool {
        self.upstreams.contains_key(&upstream) || self.is_in_maintenance(upstream)
    }

    /// Returns whether the upstream is in maintenance.
    pub fn is_in_maintenance(&self, upstream: UpstreamId) -> bool {
        self.in_maintenance.contains_key(&upstream)
    }

    /// Returns the names of the upstreams in maintenance.
    pub fn names_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.in_maintenance.values().map(String::as_str)
    }

    /// Begins or ends the maintenance of an upstream, whether or not it is listed.
    pub fn set_maintenance(&mut self, name: &str, change: Maintenance) {
        let id = UpstreamId::from_name(name);
        match change {
            Maintenance::Begin => {
                self.in_maintenance.insert(id, name.to_string());
                self.pool.remove(id);
            }
            Maintenance::End => {
                self.in_maintenance.remove(&id);
                if let Some(address) = self.available_address(id) {
                    self.pool.allow_pooling(id, address);
                }
            }
        }
    }
}

/// Returns the index of `name` in `names`, or 0 for an unknown name.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}

#[cfg(test)]
mod tests;
