//! Errors of the configuration.

use load_balancer::settings_format::InvalidSetting;
use load_balancer::SettingsError;
use std::env::VarError;
use thiserror::Error;

/// An invalid or unreadable configuration. The text is one line and names the variable or field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set or not Unicode, or a required address is set neither by its
    /// variable nor in the file.
    #[error("{name}: {source}")]
    Variable {
        /// Name of the variable.
        name: &'static str,
        /// Whether the variable is missing or not Unicode.
        source: VarError,
    },
    /// The file can't be read.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The file is not JSON, or a field has the wrong type.
    #[error("PROXY_CONFIG: {path}: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// An address is not of the form IP:PORT.
    #[error("{name}: '{text}' is not an address of the form IP:PORT")]
    InvalidAddress {
        /// The variable that sets this address, or that overrides it if the file sets it.
        name: &'static str,
        /// The text that was found.
        text: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed: '{0}' is not a hexadecimal number of up to 64 bits")]
    InvalidSeed(String),
    /// The descriptor limit is too low to serve requests.
    #[error("limits.sockets: {configured} is below the minimum of {minimum}")]
    TooFewDescriptors {
        /// The limit in the file.
        configured: usize,
        /// The lowest limit that is accepted.
        minimum: usize,
    },
    /// The memory limit, in MiB, is not positive.
    #[error("limits.memory_mb: expected a positive number of MiB, got {0}")]
    InvalidMemoryLimit(f64),
    /// The settings are not a JSON object.
    #[error("settings: expected a JSON object")]
    SettingsNotAnObject,
    /// A setting can't be read.
    #[error("{0}")]
    InvalidSetting(#[from] InvalidSetting),
    /// A setting is out of range.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}
