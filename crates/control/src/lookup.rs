//! The directory: selects the edges for a client. Ready edges of the client's own region come first; those of other regions
//! follow where there are fewer than two. The answer is never empty while any edge is ready.

use std::net::SocketAddr;

use protocol::messages::NodeState;
use serde_json::json;

use crate::core::peer_messages::Member;
use crate::limits;

/// Edges of other regions are added if fewer than this many are ready in the client's own.
const MIN_LOCAL_NODES: usize = 2;

/// The addresses for a client of a region, best first; empty if no edge is ready.
pub fn addresses(members: &[&Member], region: &str) -> Vec<SocketAddr> {
    let ready = || {
        members
            .iter()
            .filter(|member| member.state == NodeState::Ready)
    };
    let local = ready().filter(|member| member.node.region == region);
    let mut addresses: Vec<SocketAddr> = local.map(|member| member.node.http_address).collect();
    if addresses.len() < MIN_LOCAL_NODES {
        addresses.extend(
            ready()
                .filter(|member| member.node.region != region)
                .map(|member| member.node.http_address),
        );
    }
    addresses.truncate(limits::MAX_LOOKUP_ADDRESSES);
    addresses
}

/// The region that the query of a request names.
pub fn requested_region(target: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs
        .find(|(key, _)| key == "region")
        .map(|(_, value)| value.into_owned())
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
