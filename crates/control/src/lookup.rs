//! The directory: selects the edges for a client. Ready edges of the client's own region come first; those of other regions
//! follow where there are fewer than two, as far as the routes of the host may be served there.

mod pin_index;

use std::net::SocketAddr;

use protocol::messages::NodeState;
use serde_json::json;

pub use self::pin_index::{PermittedRegions, PinIndex};
use crate::core::peer_messages::Member;
use crate::limits;

/// Edges of other regions are added if fewer than this many are ready in the client's own.
const MIN_LOCAL_NODES: usize = 2;

/// What a client looks up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host that the client has requests for.
    pub host: String,
    /// The client's region.
    pub region: String,
}

impl LookupQuery {
    /// Parses the query of a request. What it doesn't name is empty.
    pub fn parse(target: &str) -> LookupQuery {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let value_of = |key: &str| {
            form_urlencoded::parse(query.as_bytes())
                .find(|(name, _)| name == key)
                .map(|(_, value)| value.into_owned())
                .unwrap_or_default()
        };
        LookupQuery {
            host: value_of("name"),
            region: value_of("region"),
        }
    }
}

/// The addresses for a client of a region, best first. Edges of the client's own region are always permitted, as the client has
/// its requests there; those of other regions only in `permitted_regions`, which is evaluated only where they are needed. Empty
/// if no such edge is ready.
pub fn addresses(
    members: &[&Member],
    region: &str,
    permitted_regions: impl FnOnce() -> PermittedRegions,
) -> Vec<SocketAddr> {
    let ready = || {
        members
            .iter()
            .filter(|member| member.state == NodeState::Ready)
    };
    let local = ready().filter(|member| member.node.region == region);
    let mut addresses: Vec<SocketAddr> = local.map(|member| member.node.http_address).collect();
    if addresses.len() < MIN_LOCAL_NODES {
        let permitted_regions = permitted_regions();
        let others = ready().filter(|member| member.node.region != region);
        let permitted = others.filter(|member| permitted_regions.includes(&member.node.region));
        addresses.extend(permitted.map(|member| member.node.http_address));
    }
    addresses.truncate(limits::MAX_LOOKUP_ADDRESSES);
    addresses
}

/// The body of the response, which is valid for `ttl_us` microseconds.
pub fn answer_body(addresses: &[SocketAddr], ttl_us: i64) -> Vec<u8> {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    json!({"addrs": addresses, "ttl": format!("{}ms", ttl_us / 1_000)})
        .to_string()
        .into_bytes()
}

#[cfg(test)]
mod tests;
