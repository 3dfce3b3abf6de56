//! The platform's configuration file and the settings in it. Unknown keys are ignored, since the platform may add some.

use std::net::SocketAddr;

use config_check::KeyError;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use streamarch::{
    Class, DedupScope, Idempotency, InitialConcurrency, Micros, Plan, RetryBudget, Settings,
};

use crate::config::ConfigError;
use crate::limits::Limits;

/// The time-out of a counter call as a multiple of the platform's setting. The counter itself sets no time-out, and a late
/// total is still correct: a longer wait keeps calls from being made whose results are then not used.
const COUNTER_TIMEOUT_FACTOR: Micros = 4;

/// A number; 0 if the key is absent or null.
#[derive(Clone, Copy, Debug, Default)]
struct Number(f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        Option::<f64>::deserialize(deserializer).map(|number| Number(number.unwrap_or_default()))
    }
}

impl Number {
    fn micros(self) -> Micros {
        self.0 as Micros
    }
}

/// A whole number from 0, which may be written as a decimal fraction; 0 if the key is absent or null.
#[derive(Clone, Copy, Debug, Default)]
struct Count(u32);

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Count, D::Error> {
        let number = Option::<f64>::deserialize(deserializer)?.unwrap_or_default();
        match (0.0..=f64::from(u32::MAX)).contains(&number) {
            true => Ok(Count(number as u32)),
            false => Err(serde::de::Error::custom(format!(
                "is {number}, not a whole number from 0 to {}",
                u32::MAX
            ))),
        }
    }
}

/// A boolean, or a number that is true unless it is 0; false if the key is null.
#[derive(Clone, Copy, Debug, Default)]
struct Flag(bool);

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Flag, D::Error> {
        match Value::deserialize(deserializer)? {
            Value::Null => Ok(Flag(false)),
            Value::Bool(flag) => Ok(Flag(flag)),
            Value::Number(number) => Ok(Flag(number.as_f64() != Some(0.0))),
            other => Err(serde::de::Error::custom(format!(
                "is {other}, not true or false"
            ))),
        }
    }
}

/// The platform's file.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PlatformFile {
    pub(super) name: Option<String>,
    pub(super) listen: Option<SocketAddr>,
    pub(super) discovery: Option<SocketAddr>,
    pub(super) counter: Option<SocketAddr>,
    #[serde(rename = "ops")]
    pub(super) ops_listen: Option<SocketAddr>,
    pub(super) peer_listen: Option<SocketAddr>,
    pub(super) peers: Option<Vec<SocketAddr>>,
    #[serde(rename = "known")]
    pub(super) cached_servers: Value,
    pub(super) seed: Option<String>,
    #[serde(rename = "limits")]
    pub(super) machine_limits: Option<MachineLimits>,
    pub(super) settings: Option<SettingsFile>,
}

/// The limits of the machine; 0 if unknown.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct MachineLimits {
    memory_mb: Count,
    sockets: Count,
}

/// The settings object, in the form that the simulator sends to an instance in its first message.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
pub(super) struct SettingsFile {
    #[serde(rename = "Instances")]
    limiter_count: Count,
    #[serde(rename = "SlotNo")]
    limiter_number: Count,
    zone: Count,
    period_us: Number,
    #[serde(rename = "Discovery")]
    discovery_mode: Option<String>,
    #[serde(rename = "Lanes")]
    classes: Option<Vec<ClassSettings>>,
    #[serde(rename = "Tariffs")]
    plans: Option<Vec<PlanSettings>>,
    #[serde(rename = "FailureDomains")]
    zones: Option<Vec<String>>,
    #[serde(rename = "Skus")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "Report")]
    load_reports: Option<LoadReportSettings>,
    permissions: Option<Permissions>,
    specifics: Option<Specifics>,
    rules: Option<Rules>,
}

/// A class of requests (`Lanes`).
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassSettings {
    name: Option<String>,
    #[serde(rename = "Semantics")]
    idempotency: Option<String>,
    #[serde(rename = "Group", default)]
    dedup_scope: Option<String>,
    #[serde(rename = "ObjectiveUs", default)]
    latency_target_us: Number,
    #[serde(rename = "GiveUpUs", default)]
    client_timeout_us: Number,
    #[serde(rename = "RepeatWindowUs", default)]
    dedup_window_us: Number,
    #[serde(rename = "LateValue", default)]
    late_value_share: Number,
    #[serde(default)]
    value: Number,
    #[serde(rename = "Stream", default)]
    streaming: Flag,
}

/// A plan (`Tariffs`).
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct PlanSettings {
    name: Option<String>,
    units_per_s: Number,
    #[serde(rename = "StoreSize")]
    burst: Number,
    #[serde(rename = "Open")]
    max_concurrent: Count,
    #[serde(rename = "WorthFactor")]
    value_factor: Number,
    #[serde(rename = "OverCost")]
    over_quota_cost_share: Number,
    #[serde(rename = "BeyondEarns")]
    over_quota_value_share: Number,
    #[serde(rename = "CeilingRate")]
    hard_limit_rate_per_s: Number,
    #[serde(rename = "CapDepth")]
    hard_limit_burst: Number,
    #[serde(rename = "HardSlack")]
    hard_limit_slack: Number,
}

/// How servers report their load; the transport "none" means that they do not.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct LoadReportSettings {
    #[serde(rename = "How")]
    transport: Option<String>,
}

/// What the limiter may do, and the bounds on it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Permissions {
    cancelling: Flag,
    probes: Flag,
    #[serde(rename = "SecondCopies")]
    hedging: Flag,
    max_attempts: Count,
    retry_after: Flag,
    peer_messages: Flag,
    max_retry_after_us: Number,
    #[serde(rename = "MostHeld")]
    max_open_requests: Count,
    connect_timeout_us: Number,
    #[serde(rename = "ConnIdleUs")]
    server_idle_timeout_us: Number,
}

/// The counter, and the units of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Specifics {
    counter: Flag,
    counter_timeout_us: Number,
    #[serde(rename = "Settles")]
    units_are_estimates: Flag,
    #[serde(rename = "MostUnits")]
    max_units: Number,
}

/// How servers behave after a cold start.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Rules {
    #[serde(rename = "ColdFrom")]
    cold_capacity_share: Number,
    #[serde(rename = "ColdUs")]
    warm_up_duration_us: Number,
    #[serde(rename = "FallMultiple")]
    overload_multiple: Number,
    #[serde(rename = "FallUs")]
    overload_window_us: Number,
}

/// The names of what the settings refer to by position.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub machine_types: Vec<String>,
}

/// Parses the decision module's settings. Unknown keys are ignored.
///
/// # Errors
/// The text is not JSON, or a key is invalid; the error names the first one.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    let file: SettingsFile = config_check::parse_json(text)?;
    file.check_classes()?;
    Ok(file.module_settings())
}

impl ClassSettings {
    fn parse_idempotency(&self) -> Result<Idempotency, KeyError> {
        let scope = match self.dedup_scope.as_deref() {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            Some("all") | None => DedupScope::All,
            Some(other) => return Err(KeyError::new("Group", format!("unknown group '{other}'"))),
        };
        match self.idempotency.as_deref() {
            Some("retryable") => Ok(Idempotency::Idempotent),
            Some("dedup") => Ok(Idempotency::Keyed {
                scope,
                dedup_window: self.dedup_window_us.micros(),
            }),
            Some("fragile") => Ok(Idempotency::NotIdempotent),
            Some(other) => Err(KeyError::new(
                "Semantics",
                format!("unknown semantics '{other}'"),
            )),
            None => Err(KeyError::new("Semantics", "is missing")),
        }
    }

    fn to_class(&self) -> Class {
        Class {
            latency_target: self.latency_target_us.micros(),
            client_timeout: self.client_timeout_us.micros(),
            late_value_share: self.late_value_share.0,
            value: self.value.0,
            // Checked before. A class without valid semantics would never be retried.
            idempotency: self
                .parse_idempotency()
                .unwrap_or(Idempotency::NotIdempotent),
            streaming: self.streaming.0,
        }
    }
}

impl PlanSettings {
    fn to_plan(&self) -> Plan {
        Plan {
            rate_per_s: self.units_per_s.0,
            burst: self.burst.0,
            max_concurrent: self.max_concurrent.0,
            value_factor: self.value_factor.0,
            over_quota_cost_share: self.over_quota_cost_share.0,
            over_quota_value_share: self.over_quota_value_share.0,
            hard_limit_rate_per_s: self.hard_limit_rate_per_s.0,
            hard_limit_burst: self.hard_limit_burst.0,
            hard_limit_slack: self.hard_limit_slack.0,
            ..Plan::default()
        }
    }
}

impl SettingsFile {
    fn classes(&self) -> &[ClassSettings] {
        self.classes.as_deref().unwrap_or_default()
    }

    fn plans(&self) -> &[PlanSettings] {
        self.plans.as_deref().unwrap_or_default()
    }

    fn check_classes(&self) -> Result<(), KeyError> {
        let check_class = |(index, class): (usize, &ClassSettings)| {
            class
                .parse_idempotency()
                .map(drop)
                .map_err(|e| e.under_parent(&format!("Lanes[{index}]")))
        };
        self.classes().iter().enumerate().try_for_each(check_class)
    }

    /// Checks what the daemon needs in addition to the decision module: at least one class and plan, and their names.
    pub(super) fn check(&self) -> Result<(), KeyError> {
        self.check_classes()?;
        let named_classes: Vec<bool> = self
            .classes()
            .iter()
            .map(|class| class.name.is_some())
            .collect();
        let named_plans: Vec<bool> = self
            .plans()
            .iter()
            .map(|plan| plan.name.is_some())
            .collect();
        for (key, is_named) in [("Lanes", named_classes), ("Tariffs", named_plans)] {
            if is_named.is_empty() {
                return Err(KeyError::new(key, "is empty"));
            }
            if let Some(index) = is_named.iter().position(|named| !named) {
                return Err(KeyError::new(format!("{key}[{index}].Name"), "is missing"));
            }
        }
        Ok(())
    }

    pub(super) fn names(&self) -> NameTables {
        NameTables {
            classes: self
                .classes()
                .iter()
                .filter_map(|class| class.name.clone())
                .collect(),
            plans: self
                .plans()
                .iter()
                .filter_map(|plan| plan.name.clone())
                .collect(),
            zones: self.zones.clone().unwrap_or_default(),
            machine_types: self.machine_types.clone().unwrap_or_default(),
        }
    }

    /// Whether responses to probes carry load reports.
    pub(super) fn probes_report_load(&self) -> bool {
        self.load_reports
            .as_ref()
            .and_then(|r| r.transport.as_deref())
            .is_some_and(|transport| transport != "none")
    }

    pub(super) fn module_settings(&self) -> Settings {
        let permissions = self.permissions.unwrap_or_default();
        let (rules, specifics) = (
            self.rules.unwrap_or_default(),
            self.specifics.unwrap_or_default(),
        );
        Settings {
            gateway_count: self.limiter_count.0,
            gateway_index: self.limiter_number.0,
            zone: self.zone.0,
            classes: self.classes().iter().map(ClassSettings::to_class).collect(),
            plans: self.plans().iter().map(PlanSettings::to_plan).collect(),
            min_handle_interval: self.period_us.micros(),
            watch_server_list: self.discovery_mode.as_deref() == Some("ask"),
            counter_available: specifics.counter.0,
            counter_timeout: specifics.counter_timeout_us.micros(),
            units_are_estimates: specifics.units_are_estimates.0,
            can_cancel: permissions.cancelling.0,
            can_probe: permissions.probes.0,
            can_hedge: permissions.hedging.0,
            // A connection of the limiter is found by its authorisation: one attempt at a time.
            hedges_silent_servers: false,
            max_attempts: permissions.max_attempts.0,
            retry_budget: RetryBudget::default(),
            initial_concurrency: InitialConcurrency::default(),
            sends_retry_after: permissions.retry_after.0,
            can_notify_gateways: permissions.peer_messages.0,
            max_retry_after: permissions.max_retry_after_us.micros(),
            min_retry_after_counter_lost: 0,
            min_silence_timeout: 0,
            cold_capacity_share: rules.cold_capacity_share.0,
            warm_up_duration: rules.warm_up_duration_us.micros(),
            overload_multiple: rules.overload_multiple.0,
            overload_window: rules.overload_window_us.micros(),
            even_shares_counter_lost: false,
            even_share_first: false,
            min_counted_share: 0.0,
        }
    }

    /// The default limits, lowered to what the settings and the machine permit.
    pub(super) fn limits(&self, machine: &MachineLimits, has_operators_socket: bool) -> Limits {
        let defaults = Limits::default();
        let (permissions, specifics) = (
            self.permissions.unwrap_or_default(),
            self.specifics.unwrap_or_default(),
        );
        let or_default = |value: Micros, default: Micros| if value > 0 { value } else { default };
        let sockets = machine.sockets.0 as usize;
        // Descriptors for all but clients' and servers' connections: standard streams, event loop, timers, listeners,
        // counter (twice while it moves), watch, datagrams, operators if enabled, and some to spare. Clients get the larger
        // share of the rest: requests may hold a third of all descriptors at once, and idle connections come on top.
        let reserved_sockets = 40
            + if has_operators_socket {
                defaults.max_operator_connections + 4
            } else {
                0
            };
        let socket_share = |tenths: usize| match sockets {
            0 => usize::MAX,
            _ => (sockets.saturating_sub(reserved_sockets) * tenths / 10).max(8),
        };
        let memory = machine.memory_mb.0 as usize * 1024 * 1024;
        let memory_eighth = if memory == 0 { usize::MAX } else { memory / 8 };
        let client_timeouts = self
            .classes()
            .iter()
            .map(|class| class.client_timeout_us.micros());
        let max_units = specifics.max_units.0;
        let client_connections = defaults.max_client_connections.min(socket_share(6));
        Limits {
            max_client_connections: client_connections,
            max_persistent_connections: client_connections * 3 / 4,
            max_upstream_connections: defaults.max_upstream_connections.min(socket_share(4)),
            max_pending_request_bytes: defaults.max_pending_request_bytes.min(memory_eighth),
            // A quarter of the memory divided among all connections, since each of them may relay a transfer at once.
            relay_window_bytes: (memory_eighth / client_connections.max(1))
                .saturating_mul(2)
                .clamp(8 * 1024, defaults.relay_window_bytes),
            max_authorisations: or_default(
                Micros::from(permissions.max_open_requests.0),
                defaults.max_authorisations as Micros,
            ) as usize,
            max_units_thousandths: if max_units > 0.0 {
                (max_units * 1_000.0) as u64
            } else {
                defaults.max_units_thousandths
            },
            connect_timeout: or_default(
                permissions.connect_timeout_us.micros(),
                defaults.connect_timeout,
            ),
            upstream_idle_timeout: defaults
                .upstream_idle_timeout
                .min(or_default(permissions.server_idle_timeout_us.micros(), 15_000_000) * 6 / 10),
            counter_timeout: or_default(
                specifics.counter_timeout_us.micros() * COUNTER_TIMEOUT_FACTOR,
                defaults.counter_timeout,
            ),
            // The process is not ended by force before the longest client time-out of a class, at least 3 s, and 0.6 s more.
            shutdown_timeout: client_timeouts.fold(3_000_000, Micros::max) + 600_000,
            ..defaults
        }
    }
}
