//! The settings file of a process. Unknown keys are ignored, as the platform may add some. Known keys must have valid values,
//! and an error names the key. The field names are the keys of the file.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::duration::ConfigDuration;

/// The environment variable that contains the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "STREAMARCH_SETTINGS";

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, Validate)]
#[validate(schema(function = "check_consistency"))]
pub struct Settings {
    /// The name of the machine.
    #[validate(length(min = 1))]
    pub node: String,
    /// The interfaces that the process serves to external clients: `edge`, `ctl`, `dir`.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The IP address of the machine.
    pub ip: Ipv4Addr,
    /// The zone of the machine.
    #[validate(length(min = 1))]
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// All zones and their regions. Each zone has one replica of the core.
    #[validate(length(min = 1))]
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen on.
    #[serde(default)]
    pub bind: Bind,
    /// The first and the last port for messages between the programs.
    pub port_range: (u16, u16),
    /// The addresses of some control programs at the time when the file was written.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Whether the system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// The resources of the machine.
    #[serde(default)]
    #[validate(nested)]
    pub limits: MachineLimits,
    /// The directory for stored data, on machines with a disk.
    #[serde(default)]
    pub datadir: Option<PathBuf>,
    /// The time limits and tolerances that the programs keep.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's API.
    #[serde(default)]
    #[validate(nested)]
    pub cloud_api: Option<CloudApi>,
}

/// The addresses to listen on.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// For clients' requests.
    pub http: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub readyz: Option<SocketAddr>,
    /// For calls of servers and operators.
    pub ctl: Option<SocketAddr>,
    /// For clients that look up the addresses of edges.
    pub dir: Option<SocketAddr>,
}

/// The resources of the machine.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct MachineLimits {
    /// The CPU quota in processors.
    #[validate(range(min = 0.0))]
    pub cpu_quota: f64,
    /// The memory limit in MB.
    #[validate(range(min = 1))]
    pub mem_mb: u64,
    /// The maximum number of open file descriptors.
    #[validate(range(min = 1))]
    pub nofile: u64,
    /// The disk space in MB.
    pub disk_mb: u64,
}

impl Default for MachineLimits {
    fn default() -> MachineLimits {
        MachineLimits {
            cpu_quota: 1.0,
            mem_mb: 256,
            nofile: 4096,
            disk_mb: 0,
        }
    }
}

macro_rules! bounds {
    ($($(#[$doc:meta])* $name:ident: $default:expr,)*) => {
        /// The time limits and tolerances that the programs keep.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(default)]
        pub struct Bounds {
            $($(#[$doc])* pub $name: ConfigDuration,)*
            /// The retries to a service that a window allows, as a ratio of the first attempts.
            pub retry_ratio: f64,
            /// The number of retries to a service that a window allows in addition to the ratio.
            pub retry_slack: f64,
            /// The ratio by which a tenant's use may exceed its quota in a window.
            pub quota_over: f64,
            /// The number of requests that are tolerated in addition to that ratio.
            pub quota_slack: f64,
            /// The factor by which the request rate of a server may exceed its rate during the warm-up.
            pub warm_over: f64,
            /// The number of requests that are tolerated in addition to that factor.
            pub warm_slack: f64,
        }

        impl Default for Bounds {
            fn default() -> Bounds {
                Bounds {
                    $($name: ConfigDuration($default * 1000),)*
                    retry_ratio: 0.2,
                    retry_slack: 60.0,
                    quota_over: 0.1,
                    quota_slack: 20.0,
                    warm_over: 1.5,
                    warm_slack: 5.0,
                }
            }
        }
    };
}

bounds! {
    /// The maximum lag of the list of control programs in the settings.
    seed_lag: 3_000,
    /// The minimum time before the address of a server is assigned to another service.
    reuse: 2_000,
    /// A machine counts as in contact after it has been reachable for this long.
    contact: 5_000,
    /// An operator's call is acknowledged within this time.
    ack: 8_000,
    /// A machine that returns still counts as lost for this long.
    sync_time: 4_000,
    /// A draining server is sent no requests after this time.
    drain: 4_000,
    /// The grace period from SIGTERM to SIGKILL.
    grace: 6_000,
    /// A change of the configuration is in force everywhere within this time.
    apply: 4_000,
    /// The window over which retries are counted.
    retry_window: 10_000,
    /// The window over which quotas are counted.
    quota_window: 5_000,
    /// An evacuated zone is sent no requests after this time.
    evac: 5_000,
    /// The maximum time for which the response to a lookup is valid.
    ttl_max: 5_000,
}

/// The platform's API.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct CloudApi {
    /// The address of the API.
    pub addr: SocketAddr,
    /// The rate limit for calls of all clients together, per second.
    #[validate(range(min = 0.0))]
    pub per_s: f64,
    /// The maximum lag of its list of servers.
    #[serde(default)]
    pub max_lag: ConfigDuration,
}

fn check_consistency(settings: &Settings) -> Result<(), ValidationError> {
    let validation_error = |key: &'static str, text: &'static str| {
        let mut error = ValidationError::new(key);
        error.message = Some(text.into());
        Err(error)
    };
    if settings.zones.get(&settings.zone) != Some(&settings.region) {
        return validation_error("zone", "zone: zones does not list it with this region");
    }
    let (first, last) = settings.port_range;
    if first == 0 || last < first || last - first < 2 {
        return validation_error(
            "port_range",
            "port_range: at least three ports are required, the first above 0",
        );
    }
    Ok(())
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// The text is not valid YAML, a key is missing or has the wrong type, or a value is invalid.
    pub fn parse(text: &str) -> eyre::Result<Settings> {
        let settings: Settings = serde_yaml_ng::from_str(text).wrap_err("settings")?;
        settings.validate().wrap_err("settings")?;
        Ok(settings)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file can't be read, or [`Settings::parse`] fails.
    pub fn load(path: &Path) -> eyre::Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Settings::parse(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// The address on which the control program of the machine with this IP address listens for replicas and agents.
    pub fn core_address(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(ip.into(), self.port_range.0)
    }

    /// The loopback address on which the agent of this machine listens for its proxy. If the address of the machine is a
    /// loopback address, as with several machines on one host, that one is used.
    pub fn agent_address(&self) -> SocketAddr {
        let ip = if self.ip.is_loopback() {
            self.ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        SocketAddr::new(ip.into(), self.port_range.0 + 1)
    }

    /// The core addresses (see [`Settings::core_address`]) of the seed peers.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let core_address = |peer: &SocketAddr| SocketAddr::new(peer.ip(), self.port_range.0);
        self.seed_peers.iter().map(core_address).collect()
    }
}

#[cfg(test)]
mod tests;
