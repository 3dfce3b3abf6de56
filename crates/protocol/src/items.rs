//! The operators' configuration: named items, each with its own version. Per name the highest version holds, whether
//! set or dropped; the configuration as a whole has none.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use validator::{Validate, ValidationError};

use crate::duration::ConfigDuration;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A route.
    Route,
    /// A tenant.
    Tenant,
    /// A service.
    Service,
    /// What clients may send; there is one.
    Limits,
    /// A zone that is evacuated or not: the operators' orders are items as well.
    Zone,
}

impl ItemKind {
    /// The word for it in calls. Zones have none: they are ordered by calls of their own.
    pub fn wire_name(self) -> &'static str {
        match self {
            ItemKind::Route => "routes",
            ItemKind::Tenant => "tenants",
            ItemKind::Service => "svcs",
            ItemKind::Limits => "limits",
            ItemKind::Zone => "zones",
        }
    }

    fn read(word: &str) -> Option<ItemKind> {
        [
            ItemKind::Route,
            ItemKind::Tenant,
            ItemKind::Service,
            ItemKind::Limits,
        ]
        .into_iter()
        .find(|kind| kind.wire_name() == word)
    }
}

/// The name of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemName {
    /// What it is.
    pub kind: ItemKind,
    /// Its name among its kind; empty for the limits.
    pub name: String,
}

impl fmt::Display for ItemName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.wire_name(), self.name)
    }
}

/// An item as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// Its name.
    pub name: ItemName,
    /// Its version.
    pub ver: u64,
    /// Everything else, as the text that was sent; none where it was dropped.
    pub spec: Option<String>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Idempotency {
    /// May run more than once.
    #[serde(rename = "idem")]
    Idempotent,
    /// At most once for each try of a client.
    Mutating,
    /// A large body; as mutating.
    Upload,
}

/// A service of a split, and its weight.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct TrafficSplit {
    /// The service.
    pub svc: String,
    /// Its weight.
    #[validate(range(min = 0.0))]
    pub wt: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[validate(schema(function = "check_route"))]
pub struct Route {
    /// The host that it is of.
    pub host: String,
    /// What its paths begin with.
    #[validate(custom(function = "check_prefix"))]
    pub prefix: String,
    /// What may be repeated.
    pub kind: Idempotency,
    /// Longest time that a request is held.
    pub timeout: ConfigDuration,
    /// An answer within this earns its full worth.
    pub target_time: ConfigDuration,
    /// Its rank; 0 is highest.
    #[serde(default)]
    pub prio: u32,
    /// The service...
    #[serde(default)]
    pub svc: Option<String>,
    /// ...or several.
    #[serde(default)]
    #[validate(nested)]
    pub split: Vec<TrafficSplit>,
    /// Most servers that one try is sent to.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// It needs no key.
    #[serde(default)]
    pub public: bool,
    /// The regions where it may be served; none: everywhere.
    #[serde(default)]
    pub pins: Vec<String>,
}

fn default_tries() -> u32 {
    1
}

fn validation_error(key: &'static str, text: &'static str) -> ValidationError {
    let mut error = ValidationError::new(key);
    error.message = Some(text.into());
    error
}

fn check_prefix(prefix: &str) -> Result<(), ValidationError> {
    if prefix.starts_with('/') {
        Ok(())
    } else {
        Err(validation_error("prefix", "does not begin with a slash"))
    }
}

/// A target so far over the time-out makes no sense.
const MAX_TARGET_OVER_TIMEOUT: i64 = 60_000_000;

fn check_route(route: &Route) -> Result<(), ValidationError> {
    if route.target_time.0 - route.timeout.0 >= MAX_TARGET_OVER_TIMEOUT {
        return Err(validation_error(
            "target_time",
            "target_time: a minute or more over timeout",
        ));
    }
    if route.svc.is_none() == route.split.is_empty() {
        return Err(validation_error(
            "svc",
            "svc: either svc or split is wanted",
        ));
    }
    Ok(())
}

impl Route {
    /// The services that it goes to, with their weights.
    pub fn services(&self) -> impl Iterator<Item = (&str, f64)> {
        let one = self.svc.iter().map(|svc| (svc.as_str(), 1.0));
        one.chain(
            self.split
                .iter()
                .map(|split| (split.svc.as_str(), split.wt)),
        )
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Tenant {
    /// Its keys.
    #[serde(default)]
    pub apikeys: Vec<String>,
    /// Its rank, in place of the route's.
    #[serde(default)]
    pub prio: Option<u32>,
    /// Requests a second that it may make; 0: no limit...
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub per_s: f64,
    /// ...and how many on top.
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub burst: f64,
    /// The regions where it may be served; none: everywhere.
    #[serde(default)]
    pub pins: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Service {
    /// The path of its health check.
    #[serde(default)]
    pub hcheck: String,
    /// Most connections that one of its servers takes from all callers together.
    #[serde(default = "default_maxconn")]
    pub maxconn: u32,
    /// How long a server stays cold.
    #[serde(default)]
    pub warmup: ConfigDuration,
    /// Requests a second that a cold server bears.
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub cold_rate_s: f64,
}

fn default_maxconn() -> u32 {
    100
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct ClientLimits {
    /// Longest head, in bytes.
    #[validate(range(min = 1))]
    pub hdr_bytes: u64,
    /// Longest body, in bytes.
    pub body_bytes: u64,
    /// Time for a head.
    pub hdr: ConfigDuration,
    /// Time between two requests.
    pub idle: ConfigDuration,
}

/// Why a call is not taken. Nothing of it comes into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct Patch<'a> {
    #[serde(borrow, default)]
    upsert: Upsert<'a>,
    #[serde(default)]
    remove: BTreeMap<String, Vec<Meta>>,
}

#[derive(Default, Deserialize)]
struct Upsert<'a> {
    #[serde(borrow, default)]
    objs: Vec<Object<'a>>,
}

#[derive(Deserialize)]
struct Object<'a> {
    r#type: String,
    meta: Meta,
    #[serde(borrow)]
    spec: &'a RawValue,
}

#[derive(Deserialize)]
struct Meta {
    #[serde(default)]
    name: String,
    ver: u64,
}

/// Reads what an item says.
///
/// # Errors
/// It is dropped, or is not what its kind wants.
pub fn parse_spec<T: for<'a> Deserialize<'a> + Validate>(item: &Item) -> Result<T, ConfigError> {
    let text = item
        .spec
        .as_deref()
        .ok_or_else(|| ConfigError(format!("{}: dropped", item.name)))?;
    let read: T =
        serde_json::from_str(text).map_err(|e| ConfigError(format!("{}: {e}", item.name)))?;
    read.validate().map_err(|e| {
        ConfigError(format!(
            "{}: {}",
            item.name,
            e.to_string().replace('\n', "; ")
        ))
    })?;
    Ok(read)
}

/// Checks one item by itself.
fn check_item(item: &Item) -> Result<(), ConfigError> {
    if item.name.name.is_empty() != (item.name.kind == ItemKind::Limits) {
        return Err(ConfigError(format!(
            "{}: a name is wanted, and none for limits",
            item.name
        )));
    }
    match (item.name.kind, &item.spec) {
        (_, None) | (ItemKind::Zone, _) => Ok(()),
        (ItemKind::Route, _) => parse_spec::<Route>(item).map(|_| ()),
        (ItemKind::Tenant, _) => parse_spec::<Tenant>(item).map(|_| ()),
        (ItemKind::Service, _) => parse_spec::<Service>(item).map(|_| ()),
        (ItemKind::Limits, _) => parse_spec::<ClientLimits>(item).map(|_| ()),
    }
}

/// The items that stand, dropped ones included: they keep their version.
pub type Items = BTreeMap<ItemName, Item>;

/// Items that stand, wherever they are kept: a call is checked against the few that it has to do with.
pub trait ItemLookup {
    /// One of them.
    fn find_item(&self, name: &ItemName) -> Option<&Item>;
    /// All of them.
    fn all_items(&self) -> impl Iterator<Item = &Item>;
}

impl ItemLookup for Items {
    fn find_item(&self, name: &ItemName) -> Option<&Item> {
        self.get(name)
    }

    fn all_items(&self) -> impl Iterator<Item = &Item> {
        self.values()
    }
}

/// Reads a call of the operators and checks it whole, by itself and against what stands.
///
/// # Errors
/// The first fault, by the item and the key.
pub fn parse_patch(bytes: &[u8], standing: &impl ItemLookup) -> Result<Vec<Item>, ConfigError> {
    let patch: Patch<'_> =
        serde_json::from_slice(bytes).map_err(|e| ConfigError(format!("call: {e}")))?;
    let mut items = Vec::new();
    for object in patch.upsert.objs {
        let kind = ItemKind::read(&object.r#type)
            .ok_or_else(|| ConfigError(format!("type: {:?}", object.r#type)))?;
        let name = ItemName {
            kind,
            name: object.meta.name,
        };
        items.push(Item {
            name,
            ver: object.meta.ver,
            spec: Some(object.spec.get().to_string()),
        });
    }
    for (word, metas) in patch.remove {
        let kind = ItemKind::read(&word).ok_or_else(|| ConfigError(format!("remove: {word:?}")))?;
        let dropped = |meta: Meta| Item {
            name: ItemName {
                kind,
                name: meta.name,
            },
            ver: meta.ver,
            spec: None,
        };
        items.extend(metas.into_iter().map(dropped));
    }
    items.iter().try_for_each(check_item)?;
    let items = keep_newest_versions(items)?;
    check_references(&items, standing)?;
    Ok(items)
}

/// Of items that a call names twice the one with the higher version, as if they had come one after the other.
fn keep_newest_versions(items: Vec<Item>) -> Result<Vec<Item>, ConfigError> {
    let mut newest: Vec<Item> = Vec::with_capacity(items.len());
    let mut places: BTreeMap<ItemName, usize> = BTreeMap::new();
    for item in items {
        match places.get(&item.name).map(|at| &mut newest[*at]) {
            None => {
                places.insert(item.name.clone(), newest.len());
                newest.push(item);
            }
            Some(held) if held.ver == item.ver && !has_same_content(held, &item) => {
                return Err(ConfigError(format!("{}: twice at one version", item.name)));
            }
            Some(held) if held.ver < item.ver => *held = item,
            Some(_) => {}
        }
    }
    Ok(newest)
}

/// Whether what these say can be in order or not by what else stands: routes name services, and a service that is dropped
/// may be named.
pub fn depends_on_other_items(items: &[Item]) -> bool {
    items.iter().any(|item| match item.name.kind {
        ItemKind::Route => item.spec.is_some(),
        ItemKind::Service => item.spec.is_none(),
        ItemKind::Tenant | ItemKind::Limits | ItemKind::Zone => false,
    })
}

/// Every route that comes into force names services that stand afterwards, and no service goes that a standing route names.
///
/// An item whose version stands already, or was overtaken, has no effect: a call that was taken may be sent again after its
/// services were dropped. Dropped items keep their version, so that what such a route names must be known at least.
fn check_references(items: &[Item], standing: &impl ItemLookup) -> Result<(), ConfigError> {
    let newer = |item: &&Item| {
        standing
            .find_item(&item.name)
            .is_none_or(|old| old.ver < item.ver)
    };
    let new: BTreeMap<&ItemName, &Item> = items
        .iter()
        .filter(newer)
        .map(|item| (&item.name, item))
        .collect();
    let after = |svc: &str| {
        let name = ItemName {
            kind: ItemKind::Service,
            name: svc.to_string(),
        };
        new.get(&name)
            .copied()
            .or_else(|| standing.find_item(&name))
    };
    let stands = |svc: &str| after(svc).is_some_and(|item| item.spec.is_some());
    for item in items
        .iter()
        .filter(|item| item.name.kind == ItemKind::Route && item.spec.is_some())
    {
        let effective = new.contains_key(&item.name);
        let known = |svc: &str| {
            if effective {
                stands(svc)
            } else {
                after(svc).is_some()
            }
        };
        check_services_known(item, known)?;
    }
    let dropped = |item: &&&Item| item.name.kind == ItemKind::Service && item.spec.is_none();
    let goes: Vec<&str> = new
        .values()
        .filter(dropped)
        .map(|item| item.name.name.as_str())
        .collect();
    let others = (!goes.is_empty())
        .then(|| standing.all_items())
        .into_iter()
        .flatten();
    let others = others.filter(|item| item.name.kind == ItemKind::Route && item.spec.is_some());
    for item in others.filter(|item| !new.contains_key(&item.name)) {
        check_services_known(item, |svc| !goes.contains(&svc))?;
    }
    Ok(())
}

/// A fault for the first service that a route names and that is not known.
fn check_services_known(item: &Item, known: impl Fn(&str) -> bool) -> Result<(), ConfigError> {
    let route: Route = parse_spec(item)?;
    match route.services().find(|(svc, _)| !known(svc)) {
        Some((unknown, _)) => Err(ConfigError(format!(
            "{}: svc: no service {unknown:?}",
            item.name
        ))),
        None => Ok(()),
    }
}

/// The answer to a reading: every item that stands, as it was sent.
pub fn configuration_json<'a>(items: impl Iterator<Item = &'a Item>) -> Vec<u8> {
    let standing = items.filter(|item| item.name.kind != ItemKind::Zone);
    let objects: Vec<Value> = standing
        .filter_map(|item| {
            let spec: Value = serde_json::from_str(item.spec.as_deref()?).ok()?;
            let meta = match item.name.kind {
                ItemKind::Limits => json!({"ver": item.ver}),
                _ => json!({"name": item.name.name, "ver": item.ver}),
            };
            Some(json!({"type": item.name.kind.wire_name(), "meta": meta, "spec": spec}))
        })
        .collect();
    json!({ "objs": objects }).to_string().into_bytes()
}

/// Whether two items say the same: the same spec, however it was laid out.
pub fn has_same_content(a: &Item, b: &Item) -> bool {
    let value = |item: &Item| {
        item.spec
            .as_deref()
            .map(|text| serde_json::from_str::<Value>(text).ok())
    };
    a == b || (a.name == b.name && a.ver == b.ver && value(a) == value(b))
}

#[cfg(test)]
mod tests;
