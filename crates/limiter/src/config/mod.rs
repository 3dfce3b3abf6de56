//! The only place where configuration is read, checked and given defaults. Errors name the faulty key.
//!
//! `file` is the platform's file, which may hold keys that we don't know. `fronts`, `members` and `shared` are operators'
//! files of our own: there a key that is unknown is a fault, and the one that was meant is named.

mod introspection;
mod platform;
mod raft;
mod shared_state;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use config_check::Fault;
use serde::de::DeserializeOwned;
use serde_json::Value;
use streamarch::Settings;

use crate::limits::Limits;
use crate::net::inherited;
pub use introspection::{IntrospectionConfig, parse_callers};
pub use platform::{NameTables, parse_settings};
pub use raft::RaftConfig;

/// What is wrong with the configuration, and where.
#[derive(Debug)]
pub enum ConfigError {
    /// A file cannot be read.
    Unreadable(String, std::io::Error),
    /// Text is not JSON, or a key of it is unknown, missing, or cannot be used.
    Invalid(Fault),
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

impl From<Fault> for ConfigError {
    fn from(fault: Fault) -> ConfigError {
        ConfigError::Invalid(fault)
    }
}

/// Reads a file of our own; its faults are named under what it is.
fn parse_section<T: DeserializeOwned>(what: &str, text: &str) -> Result<T, Fault> {
    config_check::read(text).map_err(|fault| {
        if fault.key.is_empty() {
            fault
        } else {
            fault.under(what)
        }
    })
}

fn require<T>(key: &str, value: Option<T>) -> Result<T, Fault> {
    value.ok_or_else(|| Fault::at(key, "is missing"))
}

/// Everything that a limiter is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// Discovery as the file names it, whatever the environment says.
    pub file_discovery: Option<SocketAddr>,
    /// The counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where datagrams of other limiters arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The limiters of the tier by number.
    pub peers: Vec<SocketAddr>,
    /// The list of servers as last held.
    pub cached_servers: Value,
    /// Where operators call, if they do.
    pub ops_listen: Option<SocketAddr>,
    /// Number of the descriptor under which the clients' listening socket was inherited, where it was.
    pub inherited_listener: Option<u32>,
    /// Where processes of this limiter that overlap tell each other what operators asked for.
    pub handover_folder: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// The module's settings.
    pub settings: Settings,
    /// Names of classes, plans, zones and kinds of machine, by position.
    pub names: NameTables,
    /// Probes bring load reports.
    pub probes_report_load: bool,
    /// Sizes, counts and times.
    pub limits: Limits,
    /// The second front, where it is on.
    pub introspection: Option<IntrospectionConfig>,
    /// The instances that agree on a configuration, where they do.
    pub raft: Option<RaftConfig>,
}

/// Variables of the environment that stand above the file's keys.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Path of the configuration.
    pub config_path: Option<String>,
    /// The limiter's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Discovery.
    pub discovery: Option<String>,
    /// Where operators call.
    pub ops_listen: Option<String>,
    /// Number of the descriptor of an inherited listening socket.
    pub inherited_listener: Option<String>,
    /// Folder for what passes over an upgrade.
    pub handover_folder: Option<String>,
    /// Path of the second front's file; no variable names it, so that it is never on by accident.
    pub introspection_path: Option<String>,
    /// Path of the file of the instances that agree on a configuration; likewise.
    pub raft_path: Option<String>,
    /// Path of the file of what limiters do with shared state when part of the fleet hears nothing; likewise.
    pub shared_state_path: Option<String>,
}

fn read_file(path: String) -> Result<String, ConfigError> {
    std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))
}

/// An address that a variable of the environment names above a key of the file.
fn address(
    variable: &Option<String>,
    name: &str,
    value: Option<SocketAddr>,
) -> Result<Option<SocketAddr>, Fault> {
    let Some(text) = variable else {
        return Ok(value);
    };
    let parsed = text
        .parse()
        .map_err(|_| Fault::at(name, format!("'{text}' is no address with a port")));
    parsed.map(Some)
}

impl Environment {
    /// The variables as they are set.
    pub fn from_process() -> Environment {
        let get = |name: &str| std::env::var(name).ok();
        Environment {
            config_path: get("ROUTER_CONFIG"),
            name: get("ROUTER_NAME"),
            listen: get("ROUTER_LISTEN"),
            discovery: get("ROUTER_DISCOVERY"),
            ops_listen: get("ROUTER_OPS"),
            inherited_listener: get(inherited::VARIABLE),
            handover_folder: get("TMPDIR"),
            introspection_path: None,
            raft_path: None,
            shared_state_path: None,
        }
    }

    /// Reads and checks the configuration file that is named here.
    ///
    /// # Errors
    /// A file that cannot be read or is faulty, by its key.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let path = self
            .config_path
            .clone()
            .ok_or_else(|| Fault::at("ROUTER_CONFIG", "is not set"))?;
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

    /// Checks the text of a configuration and fills in what it leaves out.
    ///
    /// # Errors
    /// Text that is not JSON; the first key that is missing or cannot be used.
    pub fn parse(&self, text: &str) -> Result<Config, ConfigError> {
        let file: platform::File = config_check::read(text)?;
        let settings = require("settings", file.settings)?;
        settings.check().map_err(|fault| fault.under("settings"))?;
        let ops = address(&self.ops_listen, "ROUTER_OPS", file.ops)?;
        let passed = self
            .inherited_listener
            .as_deref()
            .map(str::parse::<u32>)
            .transpose();
        let seed = u64::from_str_radix(file.seed.as_deref().unwrap_or("1"), 16);
        Ok(Config {
            name: self.name.clone().or(file.name).unwrap_or_default(),
            listen: require(
                "listen",
                address(&self.listen, "ROUTER_LISTEN", file.listen)?,
            )?,
            discovery: require(
                "discovery",
                address(&self.discovery, "ROUTER_DISCOVERY", file.discovery)?,
            )?,
            file_discovery: file.discovery,
            counter: file.counter,
            peer_listen: file.peer_listen,
            peers: file.peers.unwrap_or_default(),
            cached_servers: file.known,
            ops_listen: ops,
            // Without an inherited socket no two processes of a limiter overlap.
            handover_folder: self
                .inherited_listener
                .as_ref()
                .and(self.handover_folder.as_ref())
                .map(PathBuf::from),
            inherited_listener: passed
                .map_err(|_| Fault::at(inherited::VARIABLE, "is no descriptor's number"))?,
            seed: seed.map_err(|_| Fault::at("seed", "is not a number in hex"))?,
            names: settings.names(),
            probes_report_load: settings.reports(),
            limits: settings.limits(&file.limits.unwrap_or_default(), ops.is_some()),
            settings: settings.module(),
            introspection: None,
            raft: None,
        })
    }
}
