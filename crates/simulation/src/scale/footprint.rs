//! Memory and message bytes of what each program holds, by the number of items and servers: measured as the growth of
//! this process's resident memory while the programs' own tables are filled.

use std::collections::BTreeMap;
use std::fmt;

use agent::config_cache::ConfigCache;
use eyre::{WrapErr, eyre};
use protocol::items::Item;
use protocol::messages::ControlMessage;
use protocol::platform::Server;
use proxy::config_store::ConfigStore;
use proxy::server_table::ServerTable;

use super::world::{self, Size, World};

/// Bytes of a page of memory on the machines that this runs on.
const PAGE: u64 = 4_096;
/// The zone that the proxy's table is of.
const ZONE: &str = "zone-00";

/// What one table holds of one kind, and what it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Cost {
    /// The program and its table.
    pub table: &'static str,
    /// How many entries were put in.
    pub entries: usize,
    /// Resident bytes for each entry.
    pub resident: f64,
    /// Bytes for each entry in the message that brings it.
    pub message: f64,
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Cost {
            table,
            entries,
            resident,
            message,
        } = self;
        write!(
            f,
            "{table}: {entries} entries, {resident:.0} resident bytes and {message:.0} message bytes each"
        )
    }
}

/// Bytes of memory that this process holds resident.
fn resident() -> eyre::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").wrap_err("resident memory")?;
    let pages = text
        .split(' ')
        .nth(1)
        .ok_or_else(|| eyre!("resident memory: no second field in {text:?}"))?;
    Ok(pages.parse::<u64>().wrap_err("resident memory")? * PAGE)
}

fn encoded(message: &ControlMessage) -> u64 {
    let size = postcard::serialize_with_flavor(message, postcard::ser_flavors::Size::default());
    size.unwrap_or_default() as u64
}

/// Fills one table and keeps it, so that the next one does not reuse its memory.
fn cost<T>(
    table: &'static str,
    entries: usize,
    message: u64,
    kept: &mut Vec<T>,
    fill: impl FnOnce() -> T,
) -> eyre::Result<Cost> {
    let before = resident()?;
    kept.push(fill());
    let grown = resident()?.saturating_sub(before);
    let each = |bytes: u64| bytes as f64 / entries.max(1) as f64;
    Ok(Cost {
        table,
        entries,
        resident: each(grown),
        message: each(message),
    })
}

fn servers(count: usize) -> Vec<Server> {
    let server = |at: usize| Server {
        id: format!("i-{at:012x}"),
        svc: format!("service-{:04}", at / 40),
        addr: (
            [10, 128 + (at >> 16) as u8, (at >> 8) as u8, at as u8],
            8_080,
        )
            .into(),
        zone: format!("zone-{:02}", at % 74),
        slots: 6,
        accepts_requests: true,
        warm_up_left_us: 0,
    };
    (0..count).map(server).collect()
}

/// Measures each table with this many items (half routes, half tenants) and servers.
///
/// # Errors
/// The process's own memory can't be read.
pub fn measure(items: usize, count: usize) -> eyre::Result<Vec<Cost>> {
    let all: Vec<Item> = world::items(items);
    let news = encoded(&ControlMessage::Items(all.clone()));
    let list = ControlMessage::Servers {
        version: (1, 1),
        servers: servers(count),
    };
    let (mut replicas, mut agents, mut stores, mut tables) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let zones: BTreeMap<String, String> = (0..74)
        .map(|at| (format!("zone-{at:02}"), format!("region-{:02}", at / 3)))
        .collect();
    let mut costs = vec![
        cost(
            "proxy: configuration store",
            items,
            news,
            &mut stores,
            || {
                let mut store = ConfigStore::default();
                store.apply(all.clone());
                store
            },
        )?,
        cost(
            "proxy: server table",
            count,
            encoded(&list),
            &mut tables,
            || {
                let mut table = ServerTable::new(ZONE, zones);
                table.update(0, (1, 1), servers(count));
                table
            },
        )?,
        cost("agent: items", items, news, &mut agents, || {
            let mut known = ConfigCache::default();
            known.apply(0, ControlMessage::Items(all.clone()));
            known
        })?,
        cost("agent: servers", count, encoded(&list), &mut agents, || {
            let mut known = ConfigCache::default();
            known.apply(0, list.clone());
            known
        })?,
    ];
    let size = Size {
        cores: 1,
        limiters: 0,
        items,
    };
    costs.push(cost(
        "control: registers and chosen items",
        items,
        news,
        &mut replicas,
        || World::new(size),
    )?);
    Ok(costs)
}
