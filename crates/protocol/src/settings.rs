//! What a process is told at its start: the settings file, read in one place. Fields that are not known are ignored,
//! as the platform may add some; those that are must make sense, and a fault names its key.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::Deserialize;
use validator::{Validate, ValidationError};

use crate::duration::ConfigDuration;

/// The variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "STREAMARCH_SETTINGS";

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, Validate)]
#[validate(schema(function = "check_consistency"))]
pub struct Settings {
    /// Name of the machine.
    #[validate(length(min = 1))]
    pub node: String,
    /// Who may call from outside: `edge`, `ctl`, `dir`.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// Its zone...
    #[validate(length(min = 1))]
    pub zone: String,
    /// ...and region.
    pub region: String,
    /// All zones and their regions. One replica of the core stands in each.
    #[validate(length(min = 1))]
    pub zones: BTreeMap<String, String>,
    /// Addresses for what is served.
    #[serde(default)]
    pub bind: Bind,
    /// First and last port free for what the programs say to each other.
    pub port_range: (u16, u16),
    /// Where some control programs were reachable when the file was written.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// The whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// What the machine has.
    #[serde(default)]
    #[validate(nested)]
    pub limits: MachineLimits,
    /// Where the disk is, if there is one.
    #[serde(default)]
    pub datadir: Option<PathBuf>,
    /// Figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's own interface.
    #[serde(default)]
    #[validate(nested)]
    pub cloud_api: Option<CloudApi>,
}

/// Addresses for what is served.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// Clients' requests.
    pub http: Option<SocketAddr>,
    /// The platform's checks.
    pub readyz: Option<SocketAddr>,
    /// Servers and operators.
    pub ctl: Option<SocketAddr>,
    /// Clients that ask where to go.
    pub dir: Option<SocketAddr>,
}

/// What the machine has.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct MachineLimits {
    /// Share of a core.
    #[validate(range(min = 0.0))]
    pub cpu_quota: f64,
    /// Memory in MB.
    #[validate(range(min = 1))]
    pub mem_mb: u64,
    /// Descriptors.
    #[validate(range(min = 1))]
    pub nofile: u64,
    /// Disk in MB.
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
        /// Figures of the rules that the programs go by.
        #[derive(Clone, Debug, Deserialize)]
        #[serde(default)]
        pub struct Bounds {
            $($(#[$doc])* pub $name: ConfigDuration,)*
            /// Most of what a service gets beyond first tries, as a share...
            pub retry_ratio: f64,
            /// ...and in all on top, within the window.
            pub retry_slack: f64,
            /// By how much a tenant's use may lie above its quota, as a share...
            pub quota_over: f64,
            /// ...and in requests on top, within the window.
            pub quota_slack: f64,
            /// Factor on a cold server's rate...
            pub warm_over: f64,
            /// ...and requests on top.
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
    /// So far the operators' list of control programs lags.
    seed_lag: 3_000,
    /// An address is not handed to another service before.
    reuse: 2_000,
    /// In touch is who was reachable for so long.
    contact: 5_000,
    /// An order is acknowledged within this.
    ack: 8_000,
    /// A returning machine counts as lost for so long.
    sync_time: 4_000,
    /// A server that leaves gets nothing after this.
    drain: 4_000,
    /// From SIGTERM to SIGKILL.
    grace: 6_000,
    /// A change is in force everywhere within this.
    apply: 4_000,
    /// Retries are counted over this.
    retry_window: 10_000,
    /// Quotas are counted over this.
    quota_window: 5_000,
    /// An evacuated zone gets nothing after this.
    evac: 5_000,
    /// Longest time that an answer to where-to-go holds.
    ttl_max: 5_000,
}

/// The platform's own interface.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct CloudApi {
    /// Its address.
    pub addr: SocketAddr,
    /// Calls a second that it takes from all together.
    #[validate(range(min = 0.0))]
    pub per_s: f64,
    /// So far its list lags.
    #[serde(default)]
    pub max_lag: ConfigDuration,
}

fn check_consistency(settings: &Settings) -> Result<(), ValidationError> {
    let fault = |key: &'static str, text: &'static str| {
        let mut error = ValidationError::new(key);
        error.message = Some(text.into());
        Err(error)
    };
    if settings.zones.get(&settings.zone) != Some(&settings.region) {
        return fault("zone", "zone: not among zones with this region");
    }
    let (first, last) = settings.port_range;
    if first == 0 || last < first || last - first < 2 {
        return fault(
            "port_range",
            "port_range: three ports or more are wanted, the first above 0",
        );
    }
    Ok(())
}

impl Settings {
    /// Reads a settings text.
    ///
    /// # Errors
    /// It is no YAML, a key is missing or of the wrong kind, or its value makes no sense.
    pub fn parse(text: &str) -> eyre::Result<Settings> {
        let settings: Settings = serde_yaml_ng::from_str(text).wrap_err("settings")?;
        settings.validate().wrap_err("settings")?;
        Ok(settings)
    }

    /// Reads the file.
    ///
    /// # Errors
    /// It can't be read, or [`Settings::read`] finds a fault.
    pub fn load(path: &Path) -> eyre::Result<Settings> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Settings::parse(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// Where the control program of a machine with this address listens for replicas and agents.
    pub fn core_address(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(ip.into(), self.port_range.0)
    }

    /// Where an agent waits for the proxy of its machine: nowhere but on loopback. A machine whose own address is one of
    /// loopback has its feed there, so that several can stand on one host.
    pub fn agent_address(&self) -> SocketAddr {
        let ip = if self.ip.is_loopback() {
            self.ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        SocketAddr::new(ip.into(), self.port_range.0 + 1)
    }

    /// Core addresses to begin with: those of the machines that the file names.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let ports = |peer: &SocketAddr| SocketAddr::new(peer.ip(), self.port_range.0);
        self.seed_peers.iter().map(ports).collect()
    }
}

#[cfg(test)]
mod tests;
