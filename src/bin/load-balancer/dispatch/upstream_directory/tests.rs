//! Unit tests of the upstream directory.

use super::*;
use crate::body::MemoryBudget;
use crate::memory::MemoryLimit;
use crate::metrics::Metrics;
use crate::socket::{AdminEndpoint, DescriptorBudget};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn directory() -> UpstreamDirectory {
    let (budget, memory) = (
        DescriptorBudget::new(1024, AdminEndpoint::Absent),
        MemoryBudget::new(1 << 20, MemoryLimit::new(1 << 40)),
    );
    let pool = ConnectionPool::new(budget, Metrics::new(&[]), memory, 0.1, 1.0);
    UpstreamDirectory::new(Rc::new(pool))
}

fn list(snapshot: bool, endpoints: &[(&str, EndpointStatus)]) -> EndpointList {
    let endpoint = |(name, status): &(&str, EndpointStatus)| Endpoint {
        name: (*name).into(),
        address: address(1),
        zone: "b".into(),
        machine_kind: "unknown".into(),
        cell: 3,
        status: *status,
        started_at_ms: 1500.0,
    };
    EndpointList {
        version: 1,
        snapshot,
        endpoints: endpoints.iter().map(endpoint).collect(),
    }
}

#[test]
fn entry_has_name_indexes_and_start_time_in_seconds() {
    let names = NameTables {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["std".into()],
        ..NameTables::default()
    };
    let entries = directory().apply(list(true, &[("s", EndpointStatus::InService)]), &names);
    let expected = UpstreamEntry {
        id: UpstreamId::from_name("s"),
        zone: 1,
        machine_kind: 0,
        cell: 3,
        state: UpstreamState::Active,
        started_at: 1.5,
    };
    assert_eq!(entries, [expected]);
}

#[test]
fn only_upstreams_in_service_are_available() {
    let (mut directory, names) = (directory(), NameTables::default());
    assert!(!directory.has_had_endpoints());
    let all = [
        ("s", EndpointStatus::InService),
        ("t", EndpointStatus::Draining),
        ("u", EndpointStatus::Terminated),
    ];
    directory.apply(list(true, &all), &names);
    assert!(directory.has_had_endpoints());
    let available = |directory: &UpstreamDirectory| {
        ["s", "t", "u"].map(|name| directory.available_address(UpstreamId::from_name(name)))
    };
    assert_eq!(available(&directory), [Some(address(1)), None, None]);
    directory.purge_removed();
    assert_eq!(directory.count(), 2);
    // A delta keeps the upstreams that it does not contain; a full list removes them.
    directory.apply(list(false, &[("t", EndpointStatus::InService)]), &names);
    assert_eq!(
        available(&directory),
        [Some(address(1)), Some(address(1)), None]
    );
    directory.apply(list(true, &[("t", EndpointStatus::InService)]), &names);
    assert_eq!(available(&directory), [None, Some(address(1)), None]);
    directory.purge_removed();
    assert_eq!(
        (directory.count(), directory.has_had_endpoints()),
        (1, true)
    );
}

#[test]
fn maintenance_is_independent_of_the_endpoint_list() {
    let (mut directory, names) = (directory(), NameTables::default());
    let (id, in_service) = (
        UpstreamId::from_name("s"),
        [("s", EndpointStatus::InService)],
    );
    assert!(!directory.is_known(id));
    directory.set_maintenance("s", Maintenance::Begin);
    assert!(directory.is_known(id) && directory.is_in_maintenance(id));
    directory.apply(list(true, &in_service), &names);
    assert_eq!(directory.available_address(id), None);
    assert!(directory.names_in_maintenance().eq(["s"]));
    directory.set_maintenance("s", Maintenance::End);
    assert_eq!(directory.available_address(id), Some(address(1)));
    assert_eq!(directory.names_in_maintenance().count(), 0);
}
