//! The settings file of a process. Unknown fields are ignored, as the platform may add some; known ones must be valid, and an
//! error names its key. The names of the fields are the keys of the file.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::duration::ConfigDuration;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "STREAMARCH_SETTINGS";

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, Validate)]
#[validate(schema(function = "check_consistency"))]
pub struct Settings {
    /// The name of the machine.
    #[validate(length(min = 1))]
    pub node: String,
    /// What the process serves to callers from outside: `edge`, `ctl`, `dir`.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The address of the machine.
    pub ip: Ipv4Addr,
    /// Its zone.
    #[validate(length(min = 1))]
    pub zone: String,
    /// Its region.
    pub region: String,
    /// All zones and their regions. There is one replica of the core in each zone.
    #[validate(length(min = 1))]
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen at.
    #[serde(default)]
    pub bind: Bind,
    /// The first and the last of the ports for messages between the programs.
    pub port_range: (u16, u16),
    /// Addresses of some control programs, as of when the file was written.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// The resources of the machine.
    #[serde(default)]
    #[validate(nested)]
    pub limits: MachineLimits,
    /// The folder for stored data, on machines with a disk.
    #[serde(default)]
    pub datadir: Option<PathBuf>,
    /// The bounds that the programs keep.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's own interface.
    #[serde(default)]
    #[validate(nested)]
    pub cloud_api: Option<CloudApi>,
}

/// The addresses to listen at.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// For clients' requests.
    pub http: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub readyz: Option<SocketAddr>,
    /// For servers and operators.
    pub ctl: Option<SocketAddr>,
    /// For clients that look up where to go.
    pub dir: Option<SocketAddr>,
}

/// The resources of the machine.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct MachineLimits {
    /// The share of a processor.
    #[validate(range(min = 0.0))]
    pub cpu_quota: f64,
    /// The memory in MB.
    #[validate(range(min = 1))]
    pub mem_mb: u64,
    /// The number of file descriptors.
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
        /// The bounds that the programs keep.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(default)]
        pub struct Bounds {
            $($(#[$doc])* pub $name: ConfigDuration,)*
            /// The retries to a service in a window, as a share of the first attempts.
            pub retry_ratio: f64,
            /// The retries to a service in a window on top of that share.
            pub retry_slack: f64,
            /// By how much a tenant's use may exceed its quota in a window, as a share.
            pub quota_over: f64,
            /// The requests on top of that share.
            pub quota_slack: f64,
            /// The factor on the rate of a server that warms up.
            pub warm_over: f64,
            /// The requests on top of that rate.
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
    /// How much the operators' list of control programs may lag.
    seed_lag: 3_000,
    /// An address is not given to another service earlier than this.
    reuse: 2_000,
    /// A machine is in touch if it was reachable for this long.
    contact: 5_000,
    /// An operator's call is acknowledged within this.
    ack: 8_000,
    /// A machine that returns counts as lost for this long.
    sync_time: 4_000,
    /// A server that drains is sent nothing after this.
    drain: 4_000,
    /// The time from SIGTERM to SIGKILL.
    grace: 6_000,
    /// A change is in force everywhere within this.
    apply: 4_000,
    /// The window over which retries are counted.
    retry_window: 10_000,
    /// The window over which quotas are counted.
    quota_window: 5_000,
    /// An evacuated zone is sent nothing after this.
    evac: 5_000,
    /// The longest time for which an answer to a lookup is valid.
    ttl_max: 5_000,
}

/// The platform's own interface.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct CloudApi {
    /// Its address.
    pub addr: SocketAddr,
    /// The rate of calls that it accepts from all callers together, per second.
    #[validate(range(min = 0.0))]
    pub per_s: f64,
    /// How much its list may lag.
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
        return validation_error("zone", "zone: not among zones with this region");
    }
    let (first, last) = settings.port_range;
    if first == 0 || last < first || last - first < 2 {
        return validation_error(
            "port_range",
            "port_range: three ports or more are wanted, the first above 0",
        );
    }
    Ok(())
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// The text is no YAML, a key is missing or of the wrong type, or a value is invalid.
    pub fn parse(text: &str) -> eyre::Result<Settings> {
        let settings: Settings = serde_yaml_ng::from_str(text).wrap_err("settings")?;
        settings.validate().wrap_err("settings")?;
        Ok(settings)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// The file can't be read, or [`Settings::parse`] finds an error.
    pub fn load(path: &Path) -> eyre::Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Settings::parse(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// The address at which the control program of a machine listens for replicas and agents.
    pub fn core_address(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(ip.into(), self.port_range.0)
    }

    /// The address at which an agent listens for the proxy of its machine, always on loopback. If the machine's own address is
    /// on loopback it is used, so that several machines can be on one host.
    pub fn agent_address(&self) -> SocketAddr {
        let ip = if self.ip.is_loopback() {
            self.ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        SocketAddr::new(ip.into(), self.port_range.0 + 1)
    }

    /// The core addresses of the seed peers.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let core_address = |peer: &SocketAddr| SocketAddr::new(peer.ip(), self.port_range.0);
        self.seed_peers.iter().map(core_address).collect()
    }
}

#[cfg(test)]
mod tests;
