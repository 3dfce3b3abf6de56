//! The operators' configuration as the proxy applies it: routes, services, tenants and keys,
//! evacuated zones. Without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use protocol::items::{
    ClientLimits, ConfigError, Item, ItemKind, Items, Route, Service, Tenant, parse_spec,
};

/// A tenant with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedTenant {
    /// The name.
    pub name: String,
    /// The configured limits and rules.
    pub tenant: Tenant,
}

/// The configuration: the highest version of each item received since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigStore {
    items: Items,
    routes: BTreeMap<String, Rc<Route>>,
    /// Routes by host, longest prefix first.
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
    /// At least one item is new.
    pub has_new_items: bool,
    /// Zones were evacuated, or their evacuation ended.
    pub zones_changed: bool,
    /// Zones whose evacuation ended, also where this proxy had not received that it had begun.
    pub restored_zones: Vec<String>,
}

impl ConfigStore {
    /// Applies items; one whose version is not higher than the stored one has no effect. Items that
    /// can't be decoded are left out and returned in the update.
    pub fn apply(&mut self, items: Vec<Item>) -> (ConfigChange, Vec<ConfigError>) {
        let (mut touched, mut faults) = (ConfigChange::default(), Vec::new());
        for item in items {
            // Updates can arrive late, twice, and from two replicas: never go back to an older
            // version.
            if self
                .items
                .get(&item.name)
                .is_some_and(|held| held.ver >= item.ver)
            {
                continue;
            }
            match self.store_item(&item) {
                Ok(()) => {
                    touched.has_new_items = true;
                    let zone = item.name.kind == ItemKind::Zone;
                    touched.zones_changed |= zone;
                    let back = zone && !self.evacuated_zones.contains(&item.name.name);
                    touched
                        .restored_zones
                        .extend(back.then(|| item.name.name.clone()));
                    self.items.insert(item.name.clone(), item);
                }
                Err(fault) => faults.push(fault),
            }
        }
        if touched.has_new_items {
            self.rebuild_indexes();
        }
        (touched, faults)
    }

    fn store_item(&mut self, item: &Item) -> Result<(), ConfigError> {
        let name = item.name.name.clone();
        let dropped = item.spec.is_none();
        match item.name.kind {
            ItemKind::Route if dropped => _ = self.routes.remove(&name),
            ItemKind::Route => _ = self.routes.insert(name, Rc::new(parse_spec(item)?)),
            ItemKind::Tenant if dropped => _ = self.tenants.remove(&name),
            ItemKind::Tenant => {
                let tenant = parse_spec(item)?;
                self.tenants
                    .insert(name.clone(), Rc::new(NamedTenant { name, tenant }));
            }
            ItemKind::Service if dropped => _ = self.services.remove(&name),
            ItemKind::Service => _ = self.services.insert(name, parse_spec(item)?),
            ItemKind::Limits if dropped => self.client_limits = None,
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
            .for_each(|routes| routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len())));
        let keys = |named: &Rc<NamedTenant>| {
            let named = named.clone();
            named
                .tenant
                .apikeys
                .clone()
                .into_iter()
                .map(move |key| (key, named.clone()))
        };
        self.tenants_by_api_key = self.tenants.values().flat_map(keys).collect();
    }

    /// The route of a request: the longest matching path prefix of its host.
    pub fn find_route(&self, host: &str, target: &str) -> Option<&Rc<Route>> {
        let host = host
            .rsplit_once(':')
            .filter(|(_, port)| port.parse::<u16>().is_ok())
            .map_or(host, |h| h.0);
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant of an API key.
    pub fn tenant_by_api_key(&self, key: &str) -> Option<&Rc<NamedTenant>> {
        self.tenants_by_api_key.get(key)
    }

    /// Whether requests must carry a key.
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

    /// Whether there is anything to serve.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }
}

#[cfg(test)]
mod tests;
