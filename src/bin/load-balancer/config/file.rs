//! The configuration file as serde types.

use crate::discovery::EndpointList;
use serde::Deserialize;
use serde_json::Value;

/// Contents of the configuration file. Unknown fields are ignored.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The balancer's name.
    #[serde(default)]
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: Option<String>,
    /// The address of discovery.
    pub discovery: Option<String>,
    /// The address of the admin endpoint. There is no admin endpoint if neither this field nor
    /// `PROXY_CONSOLE` is set.
    #[serde(rename = "console")]
    pub admin: Option<String>,
    /// The seed of the random choices, in hexadecimal; an empty text stands for 0.
    #[serde(default)]
    pub seed: String,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The endpoint list to use until discovery sends one.
    #[serde(default, rename = "known")]
    pub known_endpoints: EndpointList,
    /// The settings of the decision module, in the format of `load_balancer::settings_format`.
    pub settings: Value,
}

/// Resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// File descriptors that the process may have open.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
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
    /// Returns the strings of the list named `list` in the settings, or none if there is no such
    /// list.
    pub fn settings_names(&self, list: &str) -> Vec<String> {
        let elements = self.settings[list].as_array().into_iter().flatten();
        elements
            .filter_map(|element| element.as_str().map(str::to_string))
            .collect()
    }
}
