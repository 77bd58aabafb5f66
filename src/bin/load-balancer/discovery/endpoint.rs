//! The endpoint list as discovery and the configuration file write it.

use serde::Deserialize;
use std::net::SocketAddr;

/// An endpoint list, or the changes since an earlier version of it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    /// The version of the list; it only rises for as long as discovery keeps its address.
    #[serde(rename = "index")]
    pub version: u64,
    /// True if `endpoints` is the complete list, false if it holds only what changed.
    pub snapshot: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// One upstream of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The name, which identifies the upstream wherever it listens.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default, rename = "type")]
    pub machine_kind: String,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: usize,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// When it last started, in milliseconds since the Unix epoch; 0: long ago.
    #[serde(default, rename = "since_ms")]
    pub started_at_ms: f64,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointStatus {
    /// It takes requests.
    InService,
    /// It takes no new requests. A status that this version doesn't know counts as this one.
    Draining,
    /// It is gone.
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
