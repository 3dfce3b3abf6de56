//! The platform's configuration file and the settings in it. Unknown keys are ignored, since the platform may add some.

use std::net::SocketAddr;

use config_check::Fault;
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
    pub(super) ops: Option<SocketAddr>,
    pub(super) peer_listen: Option<SocketAddr>,
    pub(super) peers: Option<Vec<SocketAddr>>,
    pub(super) known: Value,
    pub(super) seed: Option<String>,
    pub(super) limits: Option<MachineLimits>,
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
    instances: Count,
    slot_no: Count,
    zone: Count,
    period_us: Number,
    discovery: Option<String>,
    lanes: Option<Vec<Lane>>,
    tariffs: Option<Vec<Tariff>>,
    failure_domains: Option<Vec<String>>,
    skus: Option<Vec<String>>,
    report: Option<Report>,
    permissions: Option<Permissions>,
    specifics: Option<Specifics>,
    rules: Option<Rules>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Lane {
    name: Option<String>,
    semantics: Option<String>,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    objective_us: Number,
    #[serde(default)]
    give_up_us: Number,
    #[serde(default)]
    repeat_window_us: Number,
    #[serde(default)]
    late_value: Number,
    #[serde(default)]
    value: Number,
    #[serde(default)]
    stream: Flag,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Tariff {
    name: Option<String>,
    units_per_s: Number,
    store_size: Number,
    open: Count,
    worth_factor: Number,
    over_cost: Number,
    beyond_earns: Number,
    ceiling_rate: Number,
    cap_depth: Number,
    hard_slack: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Report {
    how: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Permissions {
    cancelling: Flag,
    probes: Flag,
    second_copies: Flag,
    max_attempts: Count,
    retry_after: Flag,
    peer_messages: Flag,
    max_retry_after_us: Number,
    most_held: Count,
    connect_timeout_us: Number,
    conn_idle_us: Number,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Specifics {
    counter: Flag,
    counter_timeout_us: Number,
    settles: Flag,
    most_units: Number,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Rules {
    cold_from: Number,
    cold_us: Number,
    fall_multiple: Number,
    fall_us: Number,
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
    let file: SettingsFile = config_check::read(text)?;
    file.check_lanes()?;
    Ok(file.module())
}

impl Lane {
    fn repeat(&self) -> Result<Idempotency, Fault> {
        let group = match self.group.as_deref() {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            Some("all") | None => DedupScope::All,
            Some(other) => return Err(Fault::at("Group", format!("unknown group '{other}'"))),
        };
        match self.semantics.as_deref() {
            Some("retryable") => Ok(Idempotency::Idempotent),
            Some("dedup") => Ok(Idempotency::Keyed {
                scope: group,
                dedup_window: self.repeat_window_us.micros(),
            }),
            Some("fragile") => Ok(Idempotency::NotIdempotent),
            Some(other) => Err(Fault::at(
                "Semantics",
                format!("unknown semantics '{other}'"),
            )),
            None => Err(Fault::at("Semantics", "is missing")),
        }
    }

    fn class(&self) -> Class {
        Class {
            latency_target: self.objective_us.micros(),
            client_timeout: self.give_up_us.micros(),
            late_value_share: self.late_value.0,
            value: self.value.0,
            // Checked before. A class without valid semantics would never be retried.
            idempotency: self.repeat().unwrap_or(Idempotency::NotIdempotent),
            streaming: self.stream.0,
        }
    }
}

impl Tariff {
    fn plan(&self) -> Plan {
        Plan {
            rate_per_s: self.units_per_s.0,
            burst: self.store_size.0,
            max_concurrent: self.open.0,
            value_factor: self.worth_factor.0,
            over_quota_cost_share: self.over_cost.0,
            over_quota_value_share: self.beyond_earns.0,
            hard_limit_rate_per_s: self.ceiling_rate.0,
            hard_limit_burst: self.cap_depth.0,
            hard_limit_slack: self.hard_slack.0,
            ..Plan::default()
        }
    }
}

impl SettingsFile {
    fn lanes(&self) -> &[Lane] {
        self.lanes.as_deref().unwrap_or_default()
    }

    fn tariffs(&self) -> &[Tariff] {
        self.tariffs.as_deref().unwrap_or_default()
    }

    fn check_lanes(&self) -> Result<(), Fault> {
        let check_lane = |(index, lane): (usize, &Lane)| {
            lane.repeat()
                .map(drop)
                .map_err(|e| e.under(&format!("Lanes[{index}]")))
        };
        self.lanes().iter().enumerate().try_for_each(check_lane)
    }

    /// Checks what the daemon needs in addition to the decision module: at least one class and plan, and their names.
    pub(super) fn check(&self) -> Result<(), Fault> {
        self.check_lanes()?;
        let named_lanes: Vec<bool> = self.lanes().iter().map(|l| l.name.is_some()).collect();
        let named_tariffs: Vec<bool> = self.tariffs().iter().map(|t| t.name.is_some()).collect();
        for (key, is_named) in [("Lanes", named_lanes), ("Tariffs", named_tariffs)] {
            if is_named.is_empty() {
                return Err(Fault::at(key, "is empty"));
            }
            if let Some(index) = is_named.iter().position(|named| !named) {
                return Err(Fault::at(format!("{key}[{index}].Name"), "is missing"));
            }
        }
        Ok(())
    }

    pub(super) fn names(&self) -> NameTables {
        NameTables {
            classes: self.lanes().iter().filter_map(|l| l.name.clone()).collect(),
            plans: self
                .tariffs()
                .iter()
                .filter_map(|t| t.name.clone())
                .collect(),
            zones: self.failure_domains.clone().unwrap_or_default(),
            machine_types: self.skus.clone().unwrap_or_default(),
        }
    }

    /// Whether responses to probes carry load reports.
    pub(super) fn probes_report_load(&self) -> bool {
        self.report
            .as_ref()
            .and_then(|r| r.how.as_deref())
            .is_some_and(|how| how != "none")
    }

    pub(super) fn module(&self) -> Settings {
        let allow = self.permissions.unwrap_or_default();
        let (rules, facts) = (
            self.rules.unwrap_or_default(),
            self.specifics.unwrap_or_default(),
        );
        Settings {
            gateway_count: self.instances.0,
            gateway_index: self.slot_no.0,
            zone: self.zone.0,
            classes: self.lanes().iter().map(Lane::class).collect(),
            plans: self.tariffs().iter().map(Tariff::plan).collect(),
            min_handle_interval: self.period_us.micros(),
            watch_server_list: self.discovery.as_deref() == Some("ask"),
            counter_available: facts.counter.0,
            counter_timeout: facts.counter_timeout_us.micros(),
            units_are_estimates: facts.settles.0,
            can_cancel: allow.cancelling.0,
            can_probe: allow.probes.0,
            can_hedge: allow.second_copies.0,
            max_attempts: allow.max_attempts.0,
            retry_budget: RetryBudget::default(),
            initial_concurrency: InitialConcurrency::default(),
            sends_retry_after: allow.retry_after.0,
            can_notify_gateways: allow.peer_messages.0,
            max_retry_after: allow.max_retry_after_us.micros(),
            min_retry_after_counter_lost: 0,
            min_silence_timeout: 0,
            cold_capacity_share: rules.cold_from.0,
            warm_up_duration: rules.cold_us.micros(),
            overload_multiple: rules.fall_multiple.0,
            overload_window: rules.fall_us.micros(),
            even_shares_counter_lost: false,
            even_share_first: false,
            min_counted_share: 0.0,
        }
    }

    /// The default limits, lowered to what the settings and the machine allow.
    pub(super) fn limits(&self, machine: &MachineLimits, has_operators_socket: bool) -> Limits {
        let defaults = Limits::default();
        let (allow, facts) = (
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
        let class_deadlines = self.lanes().iter().map(|lane| lane.give_up_us.micros());
        let most_units = facts.most_units.0;
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
                Micros::from(allow.most_held.0),
                defaults.max_authorisations as Micros,
            ) as usize,
            max_units_thousandths: if most_units > 0.0 {
                (most_units * 1_000.0) as u64
            } else {
                defaults.max_units_thousandths
            },
            connect_timeout: or_default(
                allow.connect_timeout_us.micros(),
                defaults.connect_timeout,
            ),
            upstream_idle_timeout: defaults
                .upstream_idle_timeout
                .min(or_default(allow.conn_idle_us.micros(), 15_000_000) * 6 / 10),
            counter_timeout: or_default(
                facts.counter_timeout_us.micros() * COUNTER_TIMEOUT_FACTOR,
                defaults.counter_timeout,
            ),
            // The process is not ended by force before the longest deadline of a class, at least 3 s, and 0.6 s more.
            shutdown_timeout: class_deadlines.fold(3_000_000, Micros::max) + 600_000,
            ..defaults
        }
    }
}
