//! The endpoint list in the format of discovery and of the configuration file.

use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list, or the changes since an earlier version of it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    /// The version of the list. It only increases as long as discovery keeps its address.
    #[serde(rename = "index")]
    pub version: u64,
    /// True if `endpoints` is the complete list, false if it contains only the changed endpoints.
    pub snapshot: bool,
    /// The listed or changed endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// One upstream of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The name, which identifies the upstream whatever its address is.
    pub name: String,
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    /// The name of the upstream's zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the upstream's machine kind.
    #[serde(default, rename = "type")]
    pub machine_kind: String,
    /// The upstream's cell.
    #[serde(default, rename = "group")]
    pub cell: usize,
    /// Whether the upstream accepts requests.
    pub status: EndpointStatus,
    /// When the upstream last started, in milliseconds since the Unix epoch; 0 if it started long
    /// ago.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: f64,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointStatus {
    /// The endpoint accepts requests.
    InService,
    /// The endpoint accepts no new requests. An unknown status is read as `Draining`.
    Draining,
    /// The endpoint no longer exists.
    Terminated,
}

impl From<String> for EndpointStatus {
    fn from(status: String) -> Self {
        match status.as_str() {
            "in_service" => EndpointStatus::InService,
            "terminated" => EndpointStatus::Terminated,
            _ => EndpointStatus::Draining,
        }
    }
}
