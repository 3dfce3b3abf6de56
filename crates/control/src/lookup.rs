//! Where clients go. An edge that is ready in the client's own region is best; those of the others step in where there
//! are fewer than two. The answer is never empty while any edge is ready.

use std::net::SocketAddr;

use protocol::messages::NodeState;
use serde_json::json;

use crate::core::peer_messages::Member;
use crate::limits;

/// Fewer than this in the region asked for, and the others are named too.
const MIN_LOCAL_NODES: usize = 2;

/// The addresses for a client of a region, best first; none where no edge is ready.
pub fn addresses(members: &[&Member], region: &str) -> Vec<SocketAddr> {
    let ready = || members.iter().filter(|told| told.state == NodeState::Ready);
    let near = ready().filter(|told| told.node.region == region);
    let mut found: Vec<SocketAddr> = near.map(|told| told.node.http).collect();
    if found.len() < MIN_LOCAL_NODES {
        found.extend(
            ready()
                .filter(|told| told.node.region != region)
                .map(|told| told.node.http),
        );
    }
    found.truncate(limits::MAX_LOOKUP_ADDRESSES);
    found
}

/// The region that a query asks for.
pub fn requested_region(target: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs
        .find(|(key, _)| key == "region")
        .map(|(_, value)| value.into_owned())
}

/// The body of an answer that holds for `ttl` microseconds.
pub fn answer_body(addresses: &[SocketAddr], ttl: i64) -> Vec<u8> {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    json!({"addrs": addresses, "ttl": format!("{}ms", ttl / 1_000)})
        .to_string()
        .into_bytes()
}

#[cfg(test)]
mod tests;
