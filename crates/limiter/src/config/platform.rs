//! The platform's file, and the settings in it. Keys that we don't know are passed over: the platform may add some.

use std::net::SocketAddr;

use config_check::Fault;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use streamarch::{
    Class, DedupScope, Idempotency, InitialConcurrency, Micros, Plan, RetryBudget, Settings,
};

use crate::config::ConfigError;
use crate::limits::Limits;

/// A call's outcome is waited for this many times as long as the platform calls one given up: the counter sets no
/// time-out, and a total that comes late is true. Guards against calls that are made and then not listened to.
const COUNTER_PATIENCE: Micros = 4;

/// A number that is 0 where the key is absent or null.
#[derive(Clone, Copy, Debug, Default)]
struct Number(f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Number, D::Error> {
        Option::<f64>::deserialize(reader).map(|number| Number(number.unwrap_or_default()))
    }
}

impl Number {
    fn micros(self) -> Micros {
        self.0 as Micros
    }
}

/// A whole number from 0, likewise; as a decimal number, too.
#[derive(Clone, Copy, Debug, Default)]
struct Count(u32);

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Count, D::Error> {
        let number = Option::<f64>::deserialize(reader)?.unwrap_or_default();
        match (0.0..=f64::from(u32::MAX)).contains(&number) {
            true => Ok(Count(number as u32)),
            false => Err(serde::de::Error::custom(format!(
                "is {number}, not a count"
            ))),
        }
    }
}

/// True or false, or a number other than 0.
#[derive(Clone, Copy, Debug, Default)]
struct Flag(bool);

impl<'de> Deserialize<'de> for Flag {
    fn deserialize<D: Deserializer<'de>>(reader: D) -> Result<Flag, D::Error> {
        match Value::deserialize(reader)? {
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
pub(super) struct File {
    pub(super) name: Option<String>,
    pub(super) listen: Option<SocketAddr>,
    pub(super) discovery: Option<SocketAddr>,
    pub(super) counter: Option<SocketAddr>,
    pub(super) ops: Option<SocketAddr>,
    pub(super) peer_listen: Option<SocketAddr>,
    pub(super) peers: Option<Vec<SocketAddr>>,
    pub(super) known: Value,
    pub(super) seed: Option<String>,
    pub(super) limits: Option<Machine>,
    pub(super) settings: Option<SettingsFile>,
}

/// What the machine allows; 0: no limit is told.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Machine {
    memory_mb: Count,
    sockets: Count,
}

/// The object that an instance is given in the simulator's first message.
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

/// The names that stand for positions in the settings.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub machine_types: Vec<String>,
}

/// Reads the module's settings from text; keys that are not known are ignored.
///
/// # Errors
/// Text that is not JSON; the first key that cannot be used.
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
            // Checked before; what could not be read is never repeated.
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
        let one = |(k, lane): (usize, &Lane)| {
            lane.repeat()
                .map(drop)
                .map_err(|e| e.under(&format!("Lanes[{k}]")))
        };
        self.lanes().iter().enumerate().try_for_each(one)
    }

    /// Checks what a limiter on sockets needs beyond the module: names, and something to serve.
    pub(super) fn check(&self) -> Result<(), Fault> {
        self.check_lanes()?;
        let lanes: Vec<bool> = self.lanes().iter().map(|l| l.name.is_some()).collect();
        let tariffs: Vec<bool> = self.tariffs().iter().map(|t| t.name.is_some()).collect();
        for (key, named) in [("Lanes", lanes), ("Tariffs", tariffs)] {
            if named.is_empty() {
                return Err(Fault::at(key, "is empty"));
            }
            if let Some(k) = named.iter().position(|named| !named) {
                return Err(Fault::at(format!("{key}[{k}].Name"), "is missing"));
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

    /// Probes bring load reports.
    pub(super) fn reports(&self) -> bool {
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

    /// The default limits, drawn in by what the settings and the machine allow.
    pub(super) fn limits(&self, machine: &Machine, operators: bool) -> Limits {
        let defaults = Limits::default();
        let (allow, facts) = (
            self.permissions.unwrap_or_default(),
            self.specifics.unwrap_or_default(),
        );
        let or = |value: Micros, default: Micros| if value > 0 { value } else { default };
        let sockets = machine.sockets.0 as usize;
        // What is neither a client's nor a server's connection: standard streams, loop, timers, listeners, counter
        // (twice while it moves), watch, datagrams, operators where they call, and some to spare. Of the rest clients have the larger share: a
        // third of all descriptors may be held for requests at once, and silent connections come on top.
        let spare = 40
            + if operators {
                defaults.max_operator_connections + 4
            } else {
                0
            };
        let share = |tenths: usize| match sockets {
            0 => usize::MAX,
            _ => (sockets.saturating_sub(spare) * tenths / 10).max(8),
        };
        let memory = machine.memory_mb.0 as usize * 1024 * 1024;
        let eighth = if memory == 0 { usize::MAX } else { memory / 8 };
        let waits = self.lanes().iter().map(|lane| lane.give_up_us.micros());
        let most_units = facts.most_units.0;
        let acquirer_connections = defaults.max_client_connections.min(share(6));
        Limits {
            max_client_connections: acquirer_connections,
            max_persistent_connections: acquirer_connections * 3 / 4,
            max_upstream_connections: defaults.max_upstream_connections.min(share(4)),
            max_pending_request_bytes: defaults.max_pending_request_bytes.min(eighth),
            // One budget over all connections, a quarter of the memory: all of them may have a transfer at once.
            relay_window_bytes: (eighth / acquirer_connections.max(1))
                .saturating_mul(2)
                .clamp(8 * 1024, defaults.relay_window_bytes),
            max_authorisations: or(
                Micros::from(allow.most_held.0),
                defaults.max_authorisations as Micros,
            ) as usize,
            max_units_thousandths: if most_units > 0.0 {
                (most_units * 1_000.0) as u64
            } else {
                defaults.max_units_thousandths
            },
            connect_timeout: or(allow.connect_timeout_us.micros(), defaults.connect_timeout),
            upstream_idle_timeout: defaults
                .upstream_idle_timeout
                .min(or(allow.conn_idle_us.micros(), 15_000_000) * 6 / 10),
            counter_timeout: or(
                facts.counter_timeout_us.micros() * COUNTER_PATIENCE,
                defaults.counter_timeout,
            ),
            // The end by force comes no sooner than the longest deadline, 3 s at least, and 0.7 s more.
            shutdown_timeout: waits.fold(3_000_000, Micros::max) + 600_000,
            ..defaults
        }
    }
}
