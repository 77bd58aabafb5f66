//! The configuration file, as it is written.

use crate::discovery::EndpointList;
use serde::Deserialize;
use serde_json::Value;

/// The whole file; unknown fields are ignored.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The balancer's name.
    #[serde(default)]
    pub name: String,
    /// The address for clients.
    pub listen: Option<String>,
    /// The address of discovery.
    pub discovery: Option<String>,
    /// The address of the admin endpoint.
    #[serde(rename = "console")]
    pub admin: Option<String>,
    /// The seed of random choices, hexadecimal; may be empty.
    #[serde(default)]
    pub seed: String,
    /// Limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The endpoint list to start with.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    /// The settings of the decision module, see `load_balancer::settings_format`.
    pub settings: Value,
}

/// Limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// File descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Memory, in MiB.
    #[serde(rename = "memory_mb")]
    pub memory_mib: f64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            max_descriptors: 1024,
            memory_mib: 32.0,
        }
    }
}

impl ConfigFile {
    /// The strings of a list in the settings; empty if there is no such list.
    pub fn settings_names(&self, list: &str) -> Vec<String> {
        let elements = self.settings[list].as_array().into_iter().flatten();
        elements
            .filter_map(|element| element.as_str().map(str::to_string))
            .collect()
    }
}
