//! The operators' configuration: named items, each with its own version. The highest version of an item is in force, whether
//! it sets or removes the item; the configuration as a whole has no version. The field names of the specifications are keys of
//! the operators' JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;
use validator::{Validate, ValidationError};

use crate::duration::ConfigDuration;
use crate::json_text::{compact, is_same_json};

/// The kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A route.
    Route,
    /// A tenant.
    Tenant,
    /// A service.
    Service,
    /// The limits for clients; there is a single item of this kind.
    Limits,
    /// Whether a zone is evacuated. Evacuations are stored and replicated as items too.
    Zone,
}

impl ItemKind {
    /// The name of the kind in operators' calls. Zones do not occur there, as evacuations have calls of their own.
    pub fn wire_name(self) -> &'static str {
        match self {
            ItemKind::Route => "routes",
            ItemKind::Tenant => "tenants",
            ItemKind::Service => "svcs",
            ItemKind::Limits => "limits",
            ItemKind::Zone => "zones",
        }
    }

    fn from_wire_name(wire_name: &str) -> Option<ItemKind> {
        [
            ItemKind::Route,
            ItemKind::Tenant,
            ItemKind::Service,
            ItemKind::Limits,
        ]
        .into_iter()
        .find(|kind| kind.wire_name() == wire_name)
    }
}

/// The name of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemName {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name, unique within the kind; empty for the limits.
    pub name: String,
}

impl fmt::Display for ItemName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.wire_name(), self.name)
    }
}

/// One version of an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The name and kind of the item.
    pub name: ItemName,
    /// The version.
    pub ver: u64,
    /// The specification in JSON, byte for byte as the operators sent it; `None` if this version removes the item.
    pub spec: Option<String>,
}

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Idempotency {
    /// A request may run more than once.
    #[serde(rename = "idem")]
    Idempotent,
    /// A request may run at most once for each attempt of a client.
    Mutating,
    /// Like `Mutating`, with a large body.
    Upload,
}

/// One of the services between which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct TrafficSplit {
    /// The name of the service.
    pub svc: String,
    /// The weight of the service, relative to the other ones of the route.
    #[validate(range(min = 0.0))]
    pub wt: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[validate(schema(function = "check_route"))]
pub struct Route {
    /// The host that the route applies to.
    pub host: String,
    /// The path prefix that the route applies to.
    #[validate(custom(function = "check_prefix"))]
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: Idempotency,
    /// The maximum duration of a request.
    pub timeout: ConfigDuration,
    /// The latency target: a response within this time has its full value to the client.
    pub target_time: ConfigDuration,
    /// The priority tier of its requests; 0 is the highest.
    #[serde(default)]
    pub prio: u32,
    /// The name of the service, if the route has only one.
    #[serde(default)]
    pub svc: Option<String>,
    /// The services and their weights, if the route has several.
    #[serde(default)]
    #[validate(nested)]
    pub split: Vec<TrafficSplit>,
    /// The maximum number of servers that one attempt of a client is sent to.
    #[serde(default = "default_tries")]
    pub tries: u32,
    /// Whether its requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// The regions where its requests may be served; if empty, any region.
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

/// The latency target must exceed the timeout by less than this, in microseconds.
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
    /// The services that requests are sent to, with their weights.
    pub fn services(&self) -> impl Iterator<Item = (&str, f64)> {
        let single = self.svc.iter().map(|svc| (svc.as_str(), 1.0));
        single.chain(
            self.split
                .iter()
                .map(|split| (split.svc.as_str(), split.wt)),
        )
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Tenant {
    /// The API keys that identify the tenant.
    #[serde(default)]
    pub apikeys: Vec<String>,
    /// The priority tier of its requests; overrides that of the route.
    #[serde(default)]
    pub prio: Option<u32>,
    /// The rate limit in requests per second; 0 means no limit.
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub per_s: f64,
    /// The number of requests that may exceed the rate in a burst.
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub burst: f64,
    /// The regions where the tenant may be served; if empty, any region.
    #[serde(default)]
    pub pins: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct Service {
    /// The path that health checks request.
    #[serde(default)]
    pub hcheck: String,
    /// The maximum number of connections that one server accepts from all limiters together.
    #[serde(default = "default_maxconn")]
    pub maxconn: u32,
    /// The duration of the warm-up of a server.
    #[serde(default)]
    pub warmup: ConfigDuration,
    /// The rate that a server can handle while it warms up, in requests per second.
    #[serde(default)]
    #[validate(range(min = 0.0))]
    pub cold_rate_s: f64,
}

fn default_maxconn() -> u32 {
    100
}

/// The limits that clients' requests and connections must keep.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    #[validate(range(min = 1))]
    pub hdr_bytes: u64,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The timeout for receiving a complete request head.
    pub hdr: ConfigDuration,
    /// The idle timeout of a connection between two requests.
    pub idle: ConfigDuration,
}

/// The reason why a call is rejected, naming the item and the key. No part of a rejected call comes into force.
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

/// The host of a `Host` header field or of a lookup, without the port.
pub fn host_without_port(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.parse::<u16>().is_ok())
        .map_or(host, |(name, _)| name)
}

/// Parses the specification of an item.
///
/// # Errors
/// The item is removed, or its specification is not valid for its kind.
pub fn parse_spec<T: for<'a> Deserialize<'a> + Validate>(item: &Item) -> Result<T, ConfigError> {
    let text = item
        .spec
        .as_deref()
        .ok_or_else(|| ConfigError(format!("{}: dropped", item.name)))?;
    let spec: T =
        serde_json::from_str(text).map_err(|e| ConfigError(format!("{}: {e}", item.name)))?;
    spec.validate().map_err(|e| {
        ConfigError(format!(
            "{}: {}",
            item.name,
            e.to_string().replace('\n', "; ")
        ))
    })?;
    Ok(spec)
}

/// Checks an item by itself, without its references to other ones.
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

/// The items in force. Removed items are included with their version, so that an older version can't set them again.
pub type Items = BTreeMap<ItemName, Item>;

/// Access to the items in force. Checking a call looks up the few items that it depends on, and lists all of them only if the
/// call removes a service.
pub trait ItemLookup {
    /// Looks up an item.
    fn find_item(&self, name: &ItemName) -> Option<&Item>;
    /// Lists all items.
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

/// Parses an operators' call that changes the configuration and checks its items, by themselves and against those in force.
///
/// # Errors
/// The first error that is found, naming the item and the key.
pub fn parse_patch(bytes: &[u8], in_force: &impl ItemLookup) -> Result<Vec<Item>, ConfigError> {
    let patch: Patch<'_> =
        serde_json::from_slice(bytes).map_err(|e| ConfigError(format!("call: {e}")))?;
    let mut items = Vec::new();
    for object in patch.upsert.objs {
        let kind = ItemKind::from_wire_name(&object.r#type)
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
    for (wire_name, metas) in patch.remove {
        let kind = ItemKind::from_wire_name(&wire_name)
            .ok_or_else(|| ConfigError(format!("remove: {wire_name:?}")))?;
        let removed_item = |meta: Meta| Item {
            name: ItemName {
                kind,
                name: meta.name,
            },
            ver: meta.ver,
            spec: None,
        };
        items.extend(metas.into_iter().map(removed_item));
    }
    items.iter().try_for_each(check_item)?;
    let items = keep_newest_versions(items)?;
    check_references(&items, in_force)?;
    Ok(items)
}

/// Keeps the highest version of each item that a call names several times, as if the versions had been sent one after the
/// other.
fn keep_newest_versions(items: Vec<Item>) -> Result<Vec<Item>, ConfigError> {
    let mut newest: Vec<Item> = Vec::with_capacity(items.len());
    let mut index_by_name: BTreeMap<ItemName, usize> = BTreeMap::new();
    for item in items {
        match index_by_name
            .get(&item.name)
            .map(|index| &mut newest[*index])
        {
            None => {
                index_by_name.insert(item.name.clone(), newest.len());
                newest.push(item);
            }
            Some(kept) if kept.ver == item.ver && !has_same_content(kept, &item) => {
                return Err(ConfigError(format!("{}: twice at one version", item.name)));
            }
            Some(kept) if kept.ver < item.ver => *kept = item,
            Some(_) => {}
        }
    }
    Ok(newest)
}

/// Whether the validity of these items depends on other ones: routes refer to services, and a service that is removed may be
/// referred to.
pub fn depends_on_other_items(items: &[Item]) -> bool {
    items.iter().any(|item| match item.name.kind {
        ItemKind::Route => item.spec.is_some(),
        ItemKind::Service => item.spec.is_none(),
        ItemKind::Tenant | ItemKind::Limits | ItemKind::Zone => false,
    })
}

/// Checks that every route that comes into force refers to services that exist afterwards, and that no service is removed
/// that a route in force refers to.
///
/// An item whose version is not higher than the one in force has no effect: an accepted call may be sent again after its
/// services were removed. As removed items keep their version, the services of such a route must at least be known.
fn check_references(items: &[Item], in_force: &impl ItemLookup) -> Result<(), ConfigError> {
    let is_newer = |item: &&Item| {
        in_force
            .find_item(&item.name)
            .is_none_or(|old| old.ver < item.ver)
    };
    let effective: BTreeMap<&ItemName, &Item> = items
        .iter()
        .filter(is_newer)
        .map(|item| (&item.name, item))
        .collect();
    let service_afterwards = |svc: &str| {
        let name = ItemName {
            kind: ItemKind::Service,
            name: svc.to_string(),
        };
        effective
            .get(&name)
            .copied()
            .or_else(|| in_force.find_item(&name))
    };
    let exists = |svc: &str| service_afterwards(svc).is_some_and(|item| item.spec.is_some());
    for item in items
        .iter()
        .filter(|item| item.name.kind == ItemKind::Route && item.spec.is_some())
    {
        let is_effective = effective.contains_key(&item.name);
        let is_known = |svc: &str| {
            if is_effective {
                exists(svc)
            } else {
                service_afterwards(svc).is_some()
            }
        };
        check_services_known(item, is_known)?;
    }
    let is_removed_service =
        |item: &&&Item| item.name.kind == ItemKind::Service && item.spec.is_none();
    let removed_services: Vec<&str> = effective
        .values()
        .filter(is_removed_service)
        .map(|item| item.name.name.as_str())
        .collect();
    let items_in_force = (!removed_services.is_empty())
        .then(|| in_force.all_items())
        .into_iter()
        .flatten();
    let routes =
        items_in_force.filter(|item| item.name.kind == ItemKind::Route && item.spec.is_some());
    for item in routes.filter(|item| !effective.contains_key(&item.name)) {
        check_services_known(item, |svc| !removed_services.contains(&svc))?;
    }
    Ok(())
}

/// Checks that every service that a route refers to is known.
fn check_services_known(item: &Item, is_known: impl Fn(&str) -> bool) -> Result<(), ConfigError> {
    let route: Route = parse_spec(item)?;
    match route.services().find(|(svc, _)| !is_known(svc)) {
        Some((unknown, _)) => Err(ConfigError(format!(
            "{}: svc: no service {unknown:?}",
            item.name
        ))),
        None => Ok(()),
    }
}

/// Encodes the configuration as operators read it: every item that is not removed, with its specification as it was sent.
pub fn configuration_json<'a>(items: impl Iterator<Item = &'a Item>) -> Vec<u8> {
    let configured = items.filter(|item| item.name.kind != ItemKind::Zone);
    let objects: Vec<String> = configured
        .filter_map(|item| Some(object_json(&item.name, item.ver, item.spec.as_deref()?)))
        .collect();
    format!("{{\"objs\":[{}]}}", objects.join(",")).into_bytes()
}

/// Encodes an item as operators send and read it. `spec` is JSON and is copied but for its white space: parsed and printed
/// again, its numbers could change.
pub fn object_json(name: &ItemName, ver: u64, spec: &str) -> String {
    let meta = match name.kind {
        ItemKind::Limits => json!({"ver": ver}),
        _ => json!({"name": name.name, "ver": ver}),
    };
    let kind = name.kind.wire_name();
    let spec = compact(spec);
    format!("{{\"type\":\"{kind}\",\"meta\":{meta},\"spec\":{spec}}}")
}

/// Whether two items have the same name, version and specification, ignoring the layout of the JSON.
pub fn has_same_content(a: &Item, b: &Item) -> bool {
    let has_same_spec = match (&a.spec, &b.spec) {
        (Some(a), Some(b)) => is_same_json(a, b),
        (None, None) => true,
        _ => false,
    };
    a.name == b.name && a.ver == b.ver && has_same_spec
}

#[cfg(test)]
mod tests;
