//! The platform's list of servers, which is read in pages of columns and rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::duration::ConfigDuration;

/// A server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The id, which identifies one incarnation of the server.
    pub id: String,
    /// The name of its service.
    pub svc: String,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub accepts_requests: bool,
    /// The remaining time of its warm-up when this was sent, in microseconds.
    pub warm_up_left_us: i64,
}

/// A page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerPage {
    /// The servers of the page.
    pub servers: Vec<Server>,
    /// The cursor of the next page; `None` on the last one.
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
/// The page does not have the expected layout, or a server lacks a required column. No server of the page is returned then.
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
