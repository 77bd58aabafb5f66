//! The configuration: a file, whose path is in the variable `PROXY_CONFIG`, and environment
//! variables that override some of its fields.

mod error;
mod file;

pub use crate::config::error::ConfigError;

use crate::config::file::ConfigFile;
use crate::discovery::EndpointList;
use crate::log;
use crate::socket::system_errors::retry_transient_errors;
use load_balancer::settings_format::settings_from_json;
use load_balancer::Settings;
use std::env::{self, VarError};
use std::net::SocketAddr;

/// The balancer has to act on a change of the endpoint list within this time after discovery
/// received the change.
const NOTIFICATION_DEADLINE_SECONDS: f64 = 6.0;
// Variables that override fields of the file. Errors in these fields name the variable.
const NAME_VARIABLE: &str = "PROXY_NAME";
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";
const ADMIN_VARIABLE: &str = "PROXY_CONSOLE";
/// The variable with the path of the configuration file.
const FILE_VARIABLE: &str = "PROXY_CONFIG";

/// The lowest descriptor limit with which a process can serve requests.
const MIN_DESCRIPTORS: usize = 64;

/// Names that the decision module refers to by number: the number is the index into the list.
#[derive(Debug, Default)]
pub struct NameTables {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// The configuration of a process.
pub struct Config {
    /// The name of the balancer.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the admin endpoint, if there is one.
    pub admin: Option<SocketAddr>,
    /// The seed of the random choices.
    pub seed: u64,
    /// File descriptors that the process may have open: the configured limit, or the limit of the
    /// system if that is lower.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list to use until discovery sends one.
    pub known_endpoints: EndpointList,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names for the numbers that the settings and the decision module use.
    pub names: NameTables,
}

/// Whether the configuration is read at the start of the process or again while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadMode {
    Start,
    Reload,
}

impl Config {
    /// Reads the configuration at the start of the process. If reading the file fails with a
    /// transient error, blocks the thread and retries for a limited time.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`].
    pub fn load() -> Result<Self, ConfigError> {
        Self::read(LoadMode::Start)
    }

    /// Reads the whole configuration again. The environment variables date from the start of the
    /// process, while the file may have changed since: a discovery address in the file therefore
    /// takes precedence over `PROXY_DISCOVERY`.
    ///
    /// # Errors
    ///
    /// See [`ConfigError`]. An unreadable file is not retried here; that is left to the caller.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::read(LoadMode::Reload)
    }

    fn read(mode: LoadMode) -> Result<Self, ConfigError> {
        let name = FILE_VARIABLE;
        let path = env::var(name).map_err(|source| ConfigError::Variable { name, source })?;
        let read = || std::fs::read(&path);
        let text = match mode {
            LoadMode::Start => retry_transient_errors(read),
            // No retries here: they would block the thread that serves clients.
            LoadMode::Reload => read(),
        };
        let text = text.map_err(|source| ConfigError::Unreadable {
            path: path.clone(),
            source,
        })?;
        let file = serde_json::from_slice(&text)
            .map_err(|source| ConfigError::Malformed { path, source })?;
        Self::from_file(file, mode, |name| env::var(name).ok())
    }

    fn from_file(
        file: ConfigFile,
        mode: LoadMode,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let seed = parse_seed(&file.seed)?;
        let max_descriptors = file.limits.max_descriptors;
        if max_descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors {
                configured: max_descriptors,
                minimum: MIN_DESCRIPTORS,
            });
        }
        if file.limits.memory_mib <= 0.0 {
            return Err(ConfigError::InvalidMemoryLimit(file.limits.memory_mib));
        }
        let settings = parse_settings(&file)?;
        let names = name_tables(&file, &settings);
        let max_descriptors = cap_descriptors(max_descriptors);
        // The discovery address is the only field that a reload changes.
        let discovery = match mode {
            LoadMode::Start => variable(DISCOVERY_VARIABLE).or(file.discovery),
            LoadMode::Reload => file.discovery.or_else(|| variable(DISCOVERY_VARIABLE)),
        };
        let listen = variable(LISTEN_VARIABLE).or(file.listen);
        let admin = variable(ADMIN_VARIABLE).or(file.admin);
        Ok(Config {
            name: variable(NAME_VARIABLE).unwrap_or(file.name),
            listen: required_address(LISTEN_VARIABLE, listen)?,
            discovery: required_address(DISCOVERY_VARIABLE, discovery)?,
            admin: optional_address(ADMIN_VARIABLE, admin)?,
            seed,
            max_descriptors,
            memory_bytes: (file.limits.memory_mib * f64::from(1 << 20)) as usize,
            known_endpoints: file.known_endpoints,
            settings,
            names,
        })
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    if text.is_empty() {
        return Ok(0);
    }
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidSeed(text.to_string()))
}

fn parse_settings(file: &ConfigFile) -> Result<Settings, ConfigError> {
    if !file.settings.is_object() {
        return Err(ConfigError::SettingsNotAnObject);
    }
    let mut settings = settings_from_json(&file.settings)?;
    settings.rules.notification_deadline = NOTIFICATION_DEADLINE_SECONDS;
    settings.validate()?;
    Ok(settings)
}

fn name_tables(file: &ConfigFile, settings: &Settings) -> NameTables {
    let classes = settings.classes.iter().map(|class| class.name.clone());
    let tenants = settings.tenants.iter().map(|tenant| tenant.name.clone());
    NameTables {
        zones: file.settings_names("localities"),
        kinds: file.settings_names("kinds"),
        classes: classes.collect(),
        tenants: tenants.collect(),
    }
}

/// Parses an address from the variable `name` or the file; returns `None` if neither sets one.
fn optional_address(
    name: &'static str,
    text: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let parse = |text: String| {
        text.parse()
            .map_err(|_| ConfigError::InvalidAddress { name, text })
    };
    text.map(parse).transpose()
}

fn required_address(name: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    optional_address(name, text)?.ok_or(ConfigError::Variable {
        name,
        source: VarError::NotPresent,
    })
}

/// Returns the configured descriptor limit, or the limit of the system if that is lower (at least
/// [`MIN_DESCRIPTORS`]). With a limit above the system's, clients could take descriptors that are
/// reserved for other uses.
fn cap_descriptors(configured: usize) -> usize {
    let allowed = descriptor_limit().map_or(configured, |limit| limit.max(MIN_DESCRIPTORS));
    if allowed < configured {
        let cause = format!("RLIMIT_NOFILE allows {allowed}");
        log::line(format!(
            "descriptor limit lowered: {cause} (limits.sockets: {configured})"
        ));
    }
    configured.min(allowed)
}

/// Returns the system's soft limit on the descriptors of this process, if it can be read.
fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
