//! The platform's list of servers, of which a page is read from columns and rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::duration::ConfigDuration;

/// A server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The id of its incarnation.
    pub id: String,
    /// The service that it belongs to.
    pub svc: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The number of requests that it works on at a time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub accepts_requests: bool,
    /// How much longer it warms up, in microseconds from when this was sent.
    pub warm_up_left_us: i64,
}

/// A page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerPage {
    /// The servers of the page.
    pub servers: Vec<Server>,
    /// The token of the next page; none on the last one.
    pub next_cursor: Option<String>,
}

#[derive(Deserialize)]
struct RawPage {
    insts: RawTable,
    #[serde(default)]
    next_cursor: Option<String>,
}

#[derive(Deserialize)]
struct RawTable {
    cols: Vec<String>,
    rows: Vec<Vec<Value>>,
}

/// Parses a page.
///
/// # Errors
/// The page does not have the platform's layout, or a server lacks a column that is needed. Nothing of the page counts then.
pub fn parse_page(bytes: &[u8]) -> eyre::Result<ServerPage> {
    let raw: RawPage = serde_json::from_slice(bytes).wrap_err("list of servers")?;
    let servers = raw
        .insts
        .rows
        .iter()
        .map(|row| parse_server(&raw.insts.cols, row))
        .collect::<eyre::Result<_>>()?;
    Ok(ServerPage {
        servers,
        next_cursor: raw.next_cursor,
    })
}

fn parse_server(cols: &[String], row: &[Value]) -> eyre::Result<Server> {
    let fields: BTreeMap<&str, &Value> = cols.iter().map(String::as_str).zip(row).collect();
    let text = |key: &str| fields.get(key).and_then(|v| v.as_str());
    let required = |key: &str| {
        text(key)
            .map(str::to_string)
            .ok_or_else(|| eyre!("list of servers: {key} is missing"))
    };
    let addr = required("addr")?;
    Ok(Server {
        id: required("id")?,
        svc: required("svc")?,
        addr: addr
            .parse()
            .wrap_err_with(|| format!("list of servers: addr {addr:?}"))?,
        zone: required("zone")?,
        slots: fields
            .get("slots")
            .and_then(|v| v.as_u64())
            .unwrap_or(1)
            .clamp(1, 100_000) as u32,
        accepts_requests: text("state").is_none_or(|state| state == "up"),
        warm_up_left_us: text("warm_left")
            .and_then(ConfigDuration::parse)
            .unwrap_or_default()
            .0,
    })
}

#[cfg(test)]
mod tests;
