//! The operators' configuration as the proxy applies it: routes, services, tenants and their API
//! keys, limits, evacuated zones. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use protocol::items::{
    ClientLimits, ConfigError, Item, ItemKind, ItemName, Items, Route, Service, Tenant,
    host_without_port, parse_spec,
};

/// A tenant and its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedTenant {
    /// The name.
    pub name: String,
    /// The configuration.
    pub tenant: Tenant,
}

/// Why a request is not allowed by its API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// No tenant has the key, or there is none although the route requires one.
    UnknownKey,
    /// There is a key, but there has never been a tenant: the first ones have yet to arrive.
    NoTenants,
}

/// The configuration: the highest version of each item received since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigStore {
    items: Items,
    routes: BTreeMap<String, Rc<Route>>,
    /// Routes by host in lower case, longest prefix first.
    routes_by_host: BTreeMap<String, Vec<Rc<Route>>>,
    tenants: BTreeMap<String, Rc<NamedTenant>>,
    tenants_by_api_key: BTreeMap<String, Rc<NamedTenant>>,
    services: BTreeMap<String, Service>,
    client_limits: Option<ClientLimits>,
    evacuated_zones: BTreeSet<String>,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigChange {
    /// At least one item is new or has a new version.
    pub has_new_items: bool,
    /// The evacuation of a zone began or ended.
    pub zones_changed: bool,
    /// Zones whose evacuation ended, even if this proxy was not informed of its beginning.
    pub restored_zones: Vec<String>,
}

impl ConfigStore {
    /// Applies items, and returns what changed. An item whose version is not higher than the stored
    /// one has no effect. An item that can't be decoded is skipped; its error is returned.
    pub fn apply(&mut self, items: Vec<Item>) -> (ConfigChange, Vec<ConfigError>) {
        let (mut change, mut errors) = (ConfigChange::default(), Vec::new());
        for item in items {
            // Updates can arrive late, repeatedly, and from two replicas: a version must never be
            // replaced by an older one.
            if self
                .items
                .get(&item.name)
                .is_some_and(|stored| stored.ver >= item.ver)
            {
                continue;
            }
            match self.store_item(&item) {
                Ok(()) => {
                    change.has_new_items = true;
                    let is_zone = item.name.kind == ItemKind::Zone;
                    change.zones_changed |= is_zone;
                    let is_restored = is_zone && !self.evacuated_zones.contains(&item.name.name);
                    change
                        .restored_zones
                        .extend(is_restored.then(|| item.name.name.clone()));
                    self.items.insert(item.name.clone(), item);
                }
                Err(error) => errors.push(error),
            }
        }
        if change.has_new_items {
            self.rebuild_indexes();
        }
        (change, errors)
    }

    fn store_item(&mut self, item: &Item) -> Result<(), ConfigError> {
        let name = item.name.name.clone();
        let is_removed = item.spec.is_none();
        match item.name.kind {
            ItemKind::Route if is_removed => _ = self.routes.remove(&name),
            ItemKind::Route => _ = self.routes.insert(name, Rc::new(parse_spec(item)?)),
            ItemKind::Tenant if is_removed => _ = self.tenants.remove(&name),
            ItemKind::Tenant => {
                let tenant = parse_spec(item)?;
                self.tenants
                    .insert(name.clone(), Rc::new(NamedTenant { name, tenant }));
            }
            ItemKind::Service if is_removed => _ = self.services.remove(&name),
            ItemKind::Service => _ = self.services.insert(name, parse_spec(item)?),
            ItemKind::Limits if is_removed => self.client_limits = None,
            ItemKind::Limits => self.client_limits = Some(parse_spec(item)?),
            ItemKind::Zone if item.spec.as_deref() == Some("true") => {
                _ = self.evacuated_zones.insert(name)
            }
            ItemKind::Zone => _ = self.evacuated_zones.remove(&name),
        }
        Ok(())
    }

    fn rebuild_indexes(&mut self) {
        self.routes_by_host.clear();
        for route in self.routes.values() {
            self.routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(route.clone());
        }
        self.routes_by_host
            .values_mut()
            .for_each(|routes| routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len())));
        let api_keys_of = |tenant: &Rc<NamedTenant>| {
            let tenant = tenant.clone();
            tenant
                .tenant
                .apikeys
                .clone()
                .into_iter()
                .map(move |api_key| (api_key, tenant.clone()))
        };
        self.tenants_by_api_key = self.tenants.values().flat_map(api_keys_of).collect();
    }

    /// The route of a request: the one of its host with the longest matching path prefix.
    pub fn find_route(&self, host: &str, target: &str) -> Option<&Rc<Route>> {
        let host = host_without_port(host);
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant of a request to this route with this API key; `None` if it needs none and has no key.
    ///
    /// # Errors
    /// The key is missing or unknown. A request with an unknown key is not allowed on a public route either: its tenant, and thus its
    /// regions and quota, are unknown.
    pub fn authenticate(
        &self,
        api_key: Option<&str>,
        route: &Route,
    ) -> Result<Option<&Rc<NamedTenant>>, AuthenticationError> {
        match api_key {
            Some(api_key) => match self.tenant_by_api_key(api_key) {
                Some(tenant) => Ok(Some(tenant)),
                None if self.has_had_tenants() => Err(AuthenticationError::UnknownKey),
                None => Err(AuthenticationError::NoTenants),
            },
            None if route.public || !self.requires_api_keys() => Ok(None),
            None => Err(AuthenticationError::UnknownKey),
        }
    }

    /// Whether there is or was any tenant: removed items are kept with their version.
    fn has_had_tenants(&self) -> bool {
        let first = ItemName {
            kind: ItemKind::Tenant,
            name: String::new(),
        };
        let mut names = self.items.range(first..).map(|(name, _)| name);
        names
            .next()
            .is_some_and(|name| name.kind == ItemKind::Tenant)
    }

    /// The tenant to which an API key belongs.
    pub fn tenant_by_api_key(&self, api_key: &str) -> Option<&Rc<NamedTenant>> {
        self.tenants_by_api_key.get(api_key)
    }

    /// Whether requests must carry an API key: as soon as there is a tenant.
    pub fn requires_api_keys(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// A service's configuration.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The limits on what clients may send.
    pub fn client_limits(&self) -> Option<&ClientLimits> {
        self.client_limits.as_ref()
    }

    /// Zones whose servers receive no new requests.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated_zones
    }

    /// The number of items, removed ones included.
    pub fn item_count(&self) -> usize {
        self.items.len()
    }

    /// The number of tenants in force.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there is any route.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }
}

#[cfg(test)]
mod tests;
