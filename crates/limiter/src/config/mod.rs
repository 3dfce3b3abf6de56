//! Reads and checks all configuration and fills in defaults. Errors name the invalid key.
//!
//! `platform` is the platform's file, where unknown keys are ignored. `introspection`, `raft` and `shared_state` are files
//! that operators write for the limiter: there an unknown key is an error, which suggests the key that was meant.

mod introspection;
mod platform;
mod raft;
mod shared_state;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use config_check::KeyError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use streamarch::Settings;

use crate::limits::Limits;
use crate::net::inherited_listener;
pub use introspection::{IntrospectionConfig, parse_callers};
pub use platform::{NameTables, parse_settings};
pub use raft::RaftConfig;

/// Why a configuration is rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// A file cannot be read.
    Unreadable(String, std::io::Error),
    /// The text is not JSON, or a key in it is unknown, missing or invalid.
    Invalid(KeyError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable(path, error) => write!(f, "cannot read '{path}': {error}"),
            ConfigError::Invalid(fault) => write!(f, "{fault}"),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<KeyError> for ConfigError {
    fn from(fault: KeyError) -> ConfigError {
        ConfigError::Invalid(fault)
    }
}

/// Parses an operators' file. The keys in its errors are given below `section`.
fn parse_section<T: DeserializeOwned>(section: &str, text: &str) -> Result<T, KeyError> {
    config_check::parse_json(text).map_err(|fault| {
        if fault.key.is_empty() {
            fault
        } else {
            fault.under_parent(section)
        }
    })
}

/// The value of a key, or an error that it is missing.
fn require<T>(key: &str, value: Option<T>) -> Result<T, KeyError> {
    value.ok_or_else(|| KeyError::new(key, "is missing"))
}

/// The configuration of a limiter process.
#[derive(Debug)]
pub struct Config {
    /// The limiter's name, for the log.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of discovery in the file, which the environment may override.
    pub file_discovery: Option<SocketAddr>,
    /// Address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where notices of other limiters arrive as datagrams.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the tier's limiters, by number.
    pub peers: Vec<SocketAddr>,
    /// The server list as last known, for use until discovery answers.
    pub cached_servers: Value,
    /// Where operators connect; `None` disables their socket.
    pub ops_listen: Option<SocketAddr>,
    /// File descriptor of the clients' listening socket, if it was inherited.
    pub inherited_listener: Option<u32>,
    /// Folder in which overlapping processes of this limiter exchange the operators' commands.
    pub handover_folder: Option<PathBuf>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes, plans, zones and machine types, by position.
    pub names: NameTables,
    /// Whether responses to probes carry load reports.
    pub probes_report_load: bool,
    /// Limits on sizes, counts and times.
    pub limits: Limits,
    /// The token introspection front end, if it is enabled.
    pub introspection: Option<IntrospectionConfig>,
    /// The Raft cluster that replicates the configuration, if it is enabled.
    pub raft: Option<RaftConfig>,
}

/// The environment variables, which override the file's keys, and the paths given on the command line.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Path of the configuration file.
    pub config_path: Option<String>,
    /// The limiter's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Address of discovery.
    pub discovery: Option<String>,
    /// Where operators connect.
    pub ops_listen: Option<String>,
    /// File descriptor of an inherited listening socket.
    pub inherited_listener: Option<String>,
    /// Folder through which processes exchange state in an upgrade.
    pub handover_folder: Option<String>,
    /// Path of the token introspection file. Given on the command line only, so that a variable that happens to be set does
    /// not enable it.
    pub introspection_path: Option<String>,
    /// Path of the Raft cluster's file; on the command line only, likewise.
    pub raft_path: Option<String>,
    /// Path of the shared state file; on the command line only, likewise.
    pub shared_state_path: Option<String>,
}

fn read_file(path: String) -> Result<String, ConfigError> {
    std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))
}

/// The address in an environment variable if it is set, else that of the file. `variable_name` names the variable in errors.
fn override_address(
    variable: &Option<String>,
    variable_name: &str,
    file_value: Option<SocketAddr>,
) -> Result<Option<SocketAddr>, KeyError> {
    let Some(text) = variable else {
        return Ok(file_value);
    };
    let parsed = text.parse().map_err(|_| {
        KeyError::new(
            variable_name,
            format!("'{text}' is not an address with a port"),
        )
    });
    parsed.map(Some)
}

impl Environment {
    /// Reads the environment variables of the process.
    pub fn from_process() -> Environment {
        let get = |name: &str| std::env::var(name).ok();
        Environment {
            config_path: get("ROUTER_CONFIG"),
            name: get("ROUTER_NAME"),
            listen: get("ROUTER_LISTEN"),
            discovery: get("ROUTER_DISCOVERY"),
            ops_listen: get("ROUTER_OPS"),
            inherited_listener: get(inherited_listener::ENV_VARIABLE),
            handover_folder: get("TMPDIR"),
            introspection_path: None,
            raft_path: None,
            shared_state_path: None,
        }
    }

    /// Reads and checks the files whose paths are set.
    ///
    /// # Errors
    /// A file cannot be read, or a key in it is invalid.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let path = self
            .config_path
            .clone()
            .ok_or_else(|| KeyError::new("ROUTER_CONFIG", "is not set"))?;
        let mut config = self.parse(&read_file(path)?)?;
        if let Some(path) = self.introspection_path.clone() {
            config.apply_introspection(&read_file(path)?)?;
        }
        if let Some(path) = self.raft_path.clone() {
            config.apply_raft(&read_file(path)?)?;
        }
        if let Some(path) = self.shared_state_path.clone() {
            config.apply_shared_state(&read_file(path)?)?;
        }
        Ok(config)
    }

    /// Checks the text of a configuration and fills in the defaults.
    ///
    /// # Errors
    /// The text is not JSON, or a key is missing or invalid; the error names the first one.
    pub fn parse(&self, text: &str) -> Result<Config, ConfigError> {
        let file: platform::PlatformFile = config_check::parse_json(text)?;
        let settings = require("settings", file.settings)?;
        settings
            .check()
            .map_err(|fault| fault.under_parent("settings"))?;
        let ops_listen = override_address(&self.ops_listen, "ROUTER_OPS", file.ops_listen)?;
        let inherited_listener = self
            .inherited_listener
            .as_deref()
            .map(str::parse::<u32>)
            .transpose();
        let seed = u64::from_str_radix(file.seed.as_deref().unwrap_or("1"), 16);
        Ok(Config {
            name: self.name.clone().or(file.name).unwrap_or_default(),
            listen: require(
                "listen",
                override_address(&self.listen, "ROUTER_LISTEN", file.listen)?,
            )?,
            discovery: require(
                "discovery",
                override_address(&self.discovery, "ROUTER_DISCOVERY", file.discovery)?,
            )?,
            file_discovery: file.discovery,
            counter: file.counter,
            peer_listen: file.peer_listen,
            peers: file.peers.unwrap_or_default(),
            cached_servers: file.cached_servers,
            ops_listen,
            // Processes of a limiter overlap only if the listening socket is inherited.
            handover_folder: self
                .inherited_listener
                .as_ref()
                .and(self.handover_folder.as_ref())
                .map(PathBuf::from),
            inherited_listener: inherited_listener.map_err(|_| {
                KeyError::new(
                    inherited_listener::ENV_VARIABLE,
                    "is not the number of a file descriptor",
                )
            })?,
            seed: seed.map_err(|_| KeyError::new("seed", "is not a number in hex"))?,
            names: settings.names(),
            probes_report_load: settings.probes_report_load(),
            limits: settings.limits(
                &file.machine_limits.unwrap_or_default(),
                ops_listen.is_some(),
            ),
            settings: settings.module_settings(),
            introspection: None,
            raft: None,
        })
    }
}
