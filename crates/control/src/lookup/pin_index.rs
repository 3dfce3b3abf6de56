//! The regions where all routes of a host may be served, by the pins of the routes in force.

use std::collections::BTreeMap;

use protocol::items::{Item, ItemKind, Route, host_without_port, parse_spec};

/// The regions whose edges a client may be led to, besides those of its own region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermittedRegions {
    /// All regions: no route of the host is pinned.
    All,
    /// These regions: each pinned route of the host may be served in each of them.
    Only(Vec<String>),
}

impl PermittedRegions {
    /// Whether edges of this region are permitted.
    pub fn includes(&self, region: &str) -> bool {
        match self {
            PermittedRegions::All => true,
            PermittedRegions::Only(regions) => regions.iter().any(|permitted| permitted == region),
        }
    }
}

/// The permitted regions of each host that has pinned routes. It is rebuilt only when the items have changed.
#[derive(Debug, Default)]
pub struct PinIndex {
    /// The digest of the items that the index was built from.
    digest: u64,
    /// The permitted regions by host in lower case.
    regions_by_host: BTreeMap<String, Vec<String>>,
}

impl PinIndex {
    /// Rebuilds the index from these items if their digest differs from that of the last time.
    pub fn update<'a>(&mut self, digest: u64, items: impl Iterator<Item = &'a Item>) {
        if digest == self.digest {
            return;
        }
        self.digest = digest;
        self.regions_by_host.clear();
        let routes = items.filter(|item| item.name.kind == ItemKind::Route && item.spec.is_some());
        // An item in force was checked when it was accepted.
        for route in routes.filter_map(|item| parse_spec::<Route>(item).ok()) {
            self.add_route(&route);
        }
    }

    /// A host may have several routes with other pins: an edge has to be permitted for each of them, as a client sends requests
    /// for all of them to the same edges.
    fn add_route(&mut self, route: &Route) {
        if route.pins.is_empty() {
            return;
        }
        self.regions_by_host
            .entry(route.host.to_ascii_lowercase())
            .and_modify(|regions| regions.retain(|region| route.pins.contains(region)))
            .or_insert_with(|| route.pins.clone());
    }

    /// The regions permitted for a host, which may be given with a port.
    pub fn permitted_regions(&self, host: &str) -> PermittedRegions {
        let host = host_without_port(host).to_ascii_lowercase();
        match self.regions_by_host.get(&host) {
            Some(regions) => PermittedRegions::Only(regions.clone()),
            None => PermittedRegions::All,
        }
    }
}
