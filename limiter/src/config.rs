//! The only place where configuration is read, checked and given defaults. Errors name the faulty key.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use streamarch::{Class, Group, Micros, Plan, Repeat, Settings};

use crate::front::introspection::{Asking, Caller};
use crate::front::platform;
use crate::limits::Limits;

/// What is wrong with the configuration, and where.
#[derive(Debug)]
pub enum ConfigError {
    /// A file cannot be read.
    Unreadable(String, std::io::Error),
    /// Text is not JSON.
    NotJson(serde_json::Error),
    /// A key is missing, or its value cannot be used.
    Key {
        /// The key, with those it lies under.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable(path, error) => write!(f, "cannot read '{path}': {error}"),
            ConfigError::NotJson(error) => write!(f, "not JSON: {error}"),
            ConfigError::Key { key, fault } => write!(f, "key '{key}': {fault}"),
        }
    }
}

impl std::error::Error for ConfigError {}

/// A value of the configuration and the path of keys that leads to it.
#[derive(Clone)]
pub(crate) struct Node<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Node<'a> {
    pub(crate) fn root(value: &'a Value) -> Node<'a> {
        Node { value, path: String::new() }
    }

    pub(crate) fn at(&self, key: &str) -> Node<'a> {
        let dot = if self.path.is_empty() { "" } else { "." };
        Node { value: &self.value[key], path: format!("{}{dot}{key}", self.path) }
    }

    pub(crate) fn fault(&self, fault: &str) -> ConfigError {
        ConfigError::Key { key: self.path.clone(), fault: fault.to_string() }
    }

    pub(crate) fn absent(&self) -> bool {
        self.value.is_null()
    }

    fn optional<T>(
        &self,
        what: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        if self.absent() {
            return Ok(None);
        }
        read(self.value).map(Some).ok_or_else(|| self.fault(&format!("is {}, not {what}", self.value)))
    }

    pub(crate) fn number(&self) -> Result<f64, ConfigError> {
        Ok(self.optional("a number", Value::as_f64)?.unwrap_or(0.0))
    }

    pub(crate) fn micros(&self) -> Result<Micros, ConfigError> {
        Ok(self.number()? as Micros)
    }

    pub(crate) fn count(&self) -> Result<u32, ConfigError> {
        let whole =
            |v: &Value| v.as_f64().filter(|n| *n >= 0.0 && *n <= f64::from(u32::MAX)).map(|n| n as u32);
        Ok(self.optional("a count", whole)?.unwrap_or(0))
    }

    /// A flag: true or false, or a number other than 0.
    pub(crate) fn flag(&self) -> Result<bool, ConfigError> {
        let read = |v: &Value| v.as_bool().or_else(|| v.as_f64().map(|n| n != 0.0));
        Ok(self.optional("true or false", read)?.unwrap_or(false))
    }

    pub(crate) fn text(&self) -> Result<Option<&'a str>, ConfigError> {
        self.optional("a text", Value::as_str)
    }

    pub(crate) fn need_text(&self) -> Result<&'a str, ConfigError> {
        self.text()?.ok_or_else(|| self.fault("is missing"))
    }

    pub(crate) fn list(&self) -> Result<Vec<Node<'a>>, ConfigError> {
        let items = self.optional("a list", Value::as_array)?.map_or(&[][..], Vec::as_slice);
        let one = |(n, value)| Node { value, path: format!("{}[{n}]", self.path) };
        Ok(items.iter().enumerate().map(one).collect())
    }

    pub(crate) fn address(&self) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.text()? else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.fault(&format!("'{text}' is no address with a port")))
    }

    pub(crate) fn need_address(&self) -> Result<SocketAddr, ConfigError> {
        self.address()?.ok_or_else(|| self.fault("is missing"))
    }
}

fn class(node: &Node) -> Result<Class, ConfigError> {
    let (group, semantics) = (node.at("Group"), node.at("Semantics"));
    let group = match group.text()? {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some("all") | None => Group::All,
        Some(other) => return Err(group.fault(&format!("unknown group '{other}'"))),
    };
    let repeat = match semantics.need_text()? {
        "retryable" => Repeat::Safe,
        "dedup" => Repeat::Keyed { group, window: node.at("RepeatWindowUs").micros()? },
        "fragile" => Repeat::Unsafe,
        other => return Err(semantics.fault(&format!("unknown semantics '{other}'"))),
    };
    Ok(Class {
        aim: node.at("ObjectiveUs").micros()?,
        deadline: node.at("GiveUpUs").micros()?,
        late_worth: node.at("LateValue").number()?,
        worth: node.at("Value").number()?,
        repeat,
        stream: node.at("Stream").flag()?,
    })
}

fn plan(node: &Node) -> Result<Plan, ConfigError> {
    Ok(Plan {
        rate: node.at("UnitsPerS").number()?,
        burst: node.at("StoreSize").number()?,
        most_open: node.at("Open").count()?,
        price: node.at("WorthFactor").number()?,
        over_cost: node.at("OverCost").number()?,
        over_worth: node.at("BeyondEarns").number()?,
        ceiling_rate: node.at("CeilingRate").number()?,
        ceiling_burst: node.at("CapDepth").number()?,
        ceiling_slack: node.at("HardSlack").number()?,
    })
}

/// Reads the module's settings; keys that are not known are ignored.
pub fn settings(value: &Value) -> Result<Settings, ConfigError> {
    settings_at(&Node::root(value))
}

/// The same from text.
pub fn settings_text(text: &str) -> Result<Settings, ConfigError> {
    settings(&serde_json::from_str(text).map_err(ConfigError::NotJson)?)
}

fn settings_at(node: &Node) -> Result<Settings, ConfigError> {
    let (allow, rules, facts) = (node.at("Permissions"), node.at("Rules"), node.at("Specifics"));
    Ok(Settings {
        gateways: node.at("Instances").count()?,
        own_number: node.at("SlotNo").count()?,
        zone: node.at("Zone").count()?,
        classes: node.at("Lanes").list()?.iter().map(class).collect::<Result<_, _>>()?,
        plans: node.at("Tariffs").list()?.iter().map(plan).collect::<Result<_, _>>()?,
        period: node.at("PeriodUs").micros()?,
        ask_for_list: node.at("Discovery").text()? == Some("ask"),
        counter: facts.at("Counter").flag()?,
        counter_timeout: facts.at("CounterTimeoutUs").micros()?,
        settles: facts.at("Settles").flag()?,
        may_cancel: allow.at("Cancelling").flag()?,
        may_probe: allow.at("Probes").flag()?,
        second_copies: allow.at("SecondCopies").flag()?,
        max_attempts: allow.at("MaxAttempts").count()?,
        retry_after: allow.at("RetryAfter").flag()?,
        may_tell: allow.at("PeerMessages").flag()?,
        max_retry_after: allow.at("MaxRetryAfterUs").micros()?,
        cold_from: rules.at("ColdFrom").number()?,
        cold_for: rules.at("ColdUs").micros()?,
        fall_multiple: rules.at("FallMultiple").number()?,
        fall_window: rules.at("FallUs").micros()?,
    })
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
    pub discovery_in_file: Option<SocketAddr>,
    /// The counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where datagrams of other limiters arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The limiters of the tier by number.
    pub peers: Vec<SocketAddr>,
    /// The list of servers as last held.
    pub known: Value,
    /// For random numbers.
    pub seed: u64,
    /// The module's settings.
    pub settings: Settings,
    /// Names of classes, plans, zones and kinds of machine, by position.
    pub names: Names,
    /// Probes bring load reports.
    pub reports: bool,
    /// Sizes, counts and times.
    pub limits: Limits,
    /// The second front, where it is on.
    pub introspection: Option<Introspection>,
    /// The instances that agree on a configuration, where they do.
    pub cluster: Option<Cluster>,
}

fn read(path: String) -> Result<String, ConfigError> {
    std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))
}

/// The second front: OAuth 2 token introspection, as client and as server.
#[derive(Debug)]
pub struct Introspection {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Who may ask us.
    pub callers: Vec<Caller>,
    /// The introspection servers that we ask.
    pub upstreams: Vec<SocketAddr>,
    /// How we ask them.
    pub asking: Asking,
    /// Most tokens that are remembered.
    pub cache_entries: usize,
    /// How long one is remembered at the most.
    pub cache_for: Micros,
    /// Settings of the module where it decides on asking: a class safe to repeat, the callers' plans, and last a
    /// plan without quota for what we ask on our own account.
    pub settings: Settings,
}

impl Config {
    /// Takes in the second front's file. Without a listen address it stays off.
    pub fn introspect(&mut self, text: &str) -> Result<(), ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let node = Node { value: &value, path: "introspection".to_string() };
        let Some(listen) = node.at("listen").address()? else { return Ok(()) };
        let callers = node.at("callers").list()?;
        let upstreams = node.at("upstreams");
        let addresses = upstreams.list()?.iter().map(Node::need_address).collect::<Result<Vec<_>, _>>()?;
        if addresses.is_empty() {
            return Err(upstreams.fault("is missing or empty"));
        }
        let path = node.at("path");
        let path_text = path.text()?.unwrap_or("/introspect");
        if !path_text.starts_with('/') || !path_text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(path.fault("is no path"));
        }
        let entries = node.at("cache_entries");
        let seconds = node.at("cache_s");
        let cache_s = if seconds.absent() { 30.0 } else { seconds.number()? };
        if !(0.0..=86_400.0).contains(&cache_s) {
            return Err(seconds.fault("is not between 0 and 86400"));
        }
        let mut settings = self.settings.clone();
        let wait = self.limits.introspection_wait;
        settings.classes = vec![Class {
            aim: wait / 4,
            deadline: wait,
            late_worth: 0.0,
            worth: 1.0,
            repeat: Repeat::Safe,
            stream: false,
        }];
        settings.plans.push(Plan { price: 1.0, ..Plan::default() });
        (settings.may_probe, settings.may_tell) = (false, false);
        self.introspection = Some(Introspection {
            listen,
            callers: callers.iter().map(|c| caller(c, &self.names)).collect::<Result<_, _>>()?,
            upstreams: addresses,
            asking: Asking {
                path: path_text.to_string(),
                id: node.at("id").need_text()?.to_string(),
                secret: node.at("secret").need_text()?.to_string(),
            },
            cache_entries: if entries.absent() { 1_024 } else { entries.count()? as usize },
            cache_for: (cache_s * 1e6) as Micros,
            settings,
        });
        Ok(())
    }
}

/// The instances that agree on a configuration by Raft.
#[derive(Debug)]
pub struct Cluster {
    /// Where this one listens for the others.
    pub listen: SocketAddr,
    /// Its number.
    pub id: u64,
    /// All of them, this one included.
    pub members: Vec<(u64, SocketAddr)>,
    /// Where its log and vote are kept.
    pub folder: PathBuf,
    /// What they show each other.
    pub secret: String,
}

impl Config {
    /// Takes in the file of the instances that agree. Without a listen address this one takes no part.
    pub fn agree(&mut self, text: &str) -> Result<(), ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let node = Node { value: &value, path: "raft".to_string() };
        let Some(listen) = node.at("listen").address()? else { return Ok(()) };
        let member = |n: &Node| -> Result<(u64, SocketAddr), ConfigError> {
            let id = u64::from(n.at("id").count()?);
            let id = Some(id).filter(|id| *id > 0).ok_or_else(|| n.at("id").fault("is not above 0"))?;
            Ok((id, n.at("address").need_address()?))
        };
        let members: Vec<_> = node.at("members").list()?.iter().map(member).collect::<Result<_, _>>()?;
        let id = u64::from(node.at("id").count()?);
        if members.iter().filter(|(member, _)| *member == id).count() != 1 {
            return Err(node.at("id").fault("is not that of exactly one of the members"));
        }
        let distinct: BTreeSet<u64> = members.iter().map(|(id, _)| *id).collect();
        if distinct.len() != members.len() {
            return Err(node.at("members").fault("has an id twice"));
        }
        let secret = node.at("secret").need_text()?;
        if secret.len() < 16 || !secret.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(node.at("secret").fault("is not 16 or more visible characters"));
        }
        let folder = PathBuf::from(node.at("folder").need_text()?);
        self.cluster = Some(Cluster { listen, id, members, folder, secret: secret.to_string() });
        Ok(())
    }
}

/// The callers in a document that instances agreed on; `None` if it names none.
pub fn callers_text(text: &[u8], names: &Names) -> Result<Option<Vec<Caller>>, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::NotJson)?;
    let callers = Node::root(&value).at("callers");
    if callers.absent() {
        return Ok(None);
    }
    callers.list()?.iter().map(|c| caller(c, names)).collect::<Result<_, _>>().map(Some)
}

fn caller(node: &Node, names: &Names) -> Result<Caller, ConfigError> {
    let (account, plan) = (node.at("account"), node.at("plan"));
    let customer = platform::customer(account.need_text()?).ok_or(account.fault("is not 16 hex digits"))?;
    let position = names.plans.iter().position(|name| Some(name.as_str()) == plan.text().ok().flatten());
    Ok(Caller {
        id: node.at("id").need_text()?.to_string(),
        secret: node.at("secret").need_text()?.to_string(),
        customer,
        plan: position.ok_or_else(|| plan.fault("is not the name of a plan"))?,
    })
}

/// The names that stand for positions in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

fn names(node: &Node) -> Result<Names, ConfigError> {
    let named = |key: &str| -> Result<Vec<String>, ConfigError> {
        node.at(key).list()?.iter().map(|n| n.at("Name").need_text().map(str::to_string)).collect()
    };
    let plain = |key: &str| -> Result<Vec<String>, ConfigError> {
        node.at(key).list()?.iter().map(|n| n.need_text().map(str::to_string)).collect()
    };
    Ok(Names {
        classes: named("Lanes")?,
        plans: named("Tariffs")?,
        zones: plain("FailureDomains")?,
        kinds: plain("Skus")?,
    })
}

/// Variables of the environment that stand above the file's keys.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Path of the configuration.
    pub config: Option<String>,
    /// The limiter's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Discovery.
    pub discovery: Option<String>,
    /// Path of the second front's file; no variable names it, so that it is never on by accident.
    pub introspection: Option<String>,
    /// Path of the file of the instances that agree on a configuration; likewise.
    pub raft: Option<String>,
}

impl Environment {
    /// The variables as they are set.
    pub fn read() -> Environment {
        let get = |name: &str| std::env::var(name).ok();
        Environment {
            config: get("ROUTER_CONFIG"),
            name: get("ROUTER_NAME"),
            listen: get("ROUTER_LISTEN"),
            discovery: get("ROUTER_DISCOVERY"),
            introspection: None,
            raft: None,
        }
    }

    /// Reads and checks the configuration file that is named here.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let missing = || ConfigError::Key { key: "ROUTER_CONFIG".into(), fault: "is not set".into() };
        let path = self.config.clone().ok_or_else(missing)?;
        let mut config = self.parse(&read(path)?)?;
        if let Some(path) = self.introspection.clone() {
            config.introspect(&read(path)?)?;
        }
        if let Some(path) = self.raft.clone() {
            config.agree(&read(path)?)?;
        }
        Ok(config)
    }

    /// Checks the text of a configuration and fills in what it leaves out.
    pub fn parse(&self, text: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let node = Node::root(&value);
        let over = |variable: &Option<String>, name: &str, key: Node| match variable {
            Some(text) => text.parse().map_err(|_| ConfigError::Key {
                key: name.to_string(),
                fault: format!("'{text}' is no address with a port"),
            }),
            None => key.need_address(),
        };
        let settings_node = node.at("settings");
        if settings_node.absent() {
            return Err(settings_node.fault("is missing"));
        }
        let settings = settings_at(&settings_node)?;
        for key in ["Lanes", "Tariffs"] {
            if settings_node.at(key).list()?.is_empty() {
                return Err(settings_node.at(key).fault("is empty"));
            }
        }
        let seed_node = node.at("seed");
        let seed = seed_node.text()?.unwrap_or("1");
        let seed = u64::from_str_radix(seed, 16).map_err(|_| seed_node.fault("is not a number in hex"))?;
        let peers: Result<Vec<_>, _> = node.at("peers").list()?.iter().map(Node::need_address).collect();
        Ok(Config {
            name: self.name.clone().or(node.at("name").text()?.map(str::to_string)).unwrap_or_default(),
            listen: over(&self.listen, "ROUTER_LISTEN", node.at("listen"))?,
            discovery: over(&self.discovery, "ROUTER_DISCOVERY", node.at("discovery"))?,
            discovery_in_file: node.at("discovery").address()?,
            counter: node.at("counter").address()?,
            peer_listen: node.at("peer_listen").address()?,
            peers: peers?,
            known: value["known"].clone(),
            seed,
            names: names(&settings_node)?,
            reports: settings_node.at("Report").at("How").text()?.is_some_and(|how| how != "none"),
            limits: limits(&node, &settings_node)?,
            settings,
            introspection: None,
            cluster: None,
        })
    }
}

/// The defaults, drawn in by what the settings and the machine allow.
fn limits(node: &Node, settings: &Node) -> Result<Limits, ConfigError> {
    let defaults = Limits::default();
    let (allow, facts) = (settings.at("Permissions"), settings.at("Specifics"));
    let or = |value: Micros, default: Micros| if value > 0 { value } else { default };
    let sockets = node.at("limits").at("sockets").count()? as usize;
    // What is neither a client's nor a server's connection: standard streams, loop, timers, listeners, counter
    // (twice while it moves), watch, datagrams, and some to spare. Of the rest clients have the larger share: a
    // third of all descriptors may be held for requests at once, and silent connections come on top.
    let spare = 40;
    let share = |tenths: usize| match sockets {
        0 => usize::MAX,
        _ => (sockets.saturating_sub(spare) * tenths / 10).max(8),
    };
    let memory = node.at("limits").at("memory_mb").count()? as usize * 1024 * 1024;
    let eighth = if memory == 0 { usize::MAX } else { memory / 8 };
    let classes = settings.at("Lanes").list()?;
    let waits = classes.iter().map(|c| c.at("GiveUpUs").micros()).collect::<Result<Vec<_>, _>>()?;
    let most_units = facts.at("MostUnits").number()?;
    let acquirer_connections = defaults.acquirer_connections.min(share(6));
    Ok(Limits {
        acquirer_connections,
        acquirer_kept: acquirer_connections * 3 / 4,
        leg_connections: defaults.leg_connections.min(share(4)),
        partial_bytes: defaults.partial_bytes.min(eighth),
        held: or(Micros::from(allow.at("MostHeld").count()?), defaults.held as Micros) as usize,
        most_units: if most_units > 0.0 { (most_units * 1_000.0) as u64 } else { defaults.most_units },
        connect: or(allow.at("ConnectTimeoutUs").micros()?, defaults.connect),
        leg_idle: defaults.leg_idle.min(or(allow.at("ConnIdleUs").micros()?, 15_000_000) * 6 / 10),
        counter_wait: or(facts.at("CounterTimeoutUs").micros()?, defaults.counter_wait),
        // The end by force comes no sooner than the longest deadline, 3 s at least, and 0.7 s more.
        drain: waits.into_iter().fold(3_000_000, Micros::max) + 600_000,
        ..defaults
    })
}
