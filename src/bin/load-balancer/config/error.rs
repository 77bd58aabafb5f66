//! Why a configuration is not accepted.

use load_balancer::settings_format::InvalidSetting;
use load_balancer::SettingsError;
use std::env::VarError;
use thiserror::Error;

/// Why the configuration can't be used, in one line that names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable is missing or not Unicode, and the file does not stand in for it.
    #[error("{name}: {source}")]
    Variable {
        /// Its name.
        name: &'static str,
        /// What is wrong.
        source: VarError,
    },
    /// The file can't be read.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Unreadable {
        /// Its path.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field has the wrong type.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Malformed {
        /// Its path.
        path: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// An address is not of the form IP:PORT.
    #[error("{name}: '{text}' is not an address")]
    Address {
        /// The variable that it stands in or could stand in.
        name: &'static str,
        /// What stands there.
        text: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed: '{0}' is not a hexadecimal number")]
    Seed(String),
    /// Too few descriptors to serve with.
    #[error("limits.sockets: {configured} are too few, {minimum} is the least")]
    TooFewDescriptors {
        /// The limit given.
        configured: usize,
        /// The least that is accepted.
        minimum: usize,
    },
    /// The memory limit, in MiB, is not positive.
    #[error("limits.memory_mb: {0} is out of range")]
    MemoryLimit(f64),
    /// The settings are not an object.
    #[error("settings: must be an object")]
    SettingsNotAnObject,
    /// A setting can't be read.
    #[error("{0}")]
    InvalidSetting(#[from] InvalidSetting),
    /// A setting is out of range.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}
