//! What operators ask, as calls.

use control::operator_api::Command;
use protocol::items::{ItemKind, ItemName};
use protocol::platform::Server;

use crate::edges::{BASE, HOST, LIMITS, PREFIX};
use crate::history::DROPPED;
use crate::schedule::Ask;

/// The service that [`Ask::Refer`] is about, and the one that [`Ask::Dangle`] is about.
pub const REFERRED: u64 = 3;
/// See [`REFERRED`].
pub const DROPPED_ONCE: u64 = 4;

pub(super) fn name(kind: ItemKind, name: impl ToString) -> ItemName {
    ItemName {
        kind,
        name: name.to_string(),
    }
}

pub(super) fn svc(item: u64) -> ItemName {
    name(ItemKind::Service, format!("s{item}"))
}

/// A service and a route to it.
fn pair(item: u64) -> [ItemName; 2] {
    [
        name(ItemKind::Service, format!("p{item}")),
        name(ItemKind::Route, format!("q{item}")),
    ]
}

pub(super) fn object(item: u64, ver: u64, content: u64) -> String {
    named(&format!("s{item}"), ver, content)
}

fn named(name: &str, ver: u64, content: u64) -> String {
    format!(
        r#"{{"type":"svcs","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"hcheck":"/{content}"}}}}"#
    )
}

pub(super) fn route(route: &str, prefix: &str, ver: u64, content: u64, svc: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"{route}","ver":{ver}}},"spec":{{"host":"{HOST}","prefix":"{prefix}",
        "kind":"idem","timeout":"{content}ms","target_time":"500ms","svc":"{svc}","tries":2}}}}"#
    )
}

pub(super) fn patch(objects: &[String]) -> Command {
    Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(",")).into_bytes())
}

/// The first call: what always stands; of the tenants so many.
pub(super) fn first(tenants: usize) -> Command {
    let mut objects = vec![
        format!(r#"{{"type":"svcs","meta":{{"name":"{BASE}","ver":1}},"spec":{{"hcheck":"/h"}}}}"#),
        route("load", PREFIX, 1, 3_000, BASE),
    ];
    objects.extend(LIMITS.iter().take(tenants).enumerate().map(|(at, limit)| {
        let (per_s, burst) = (limit.per_s, limit.burst);
        format!(
            r#"{{"type":"tenants","meta":{{"name":"t{at}","ver":1}},"spec":{{"apikeys":["key{at}"],"per_s":{per_s},"burst":{burst}}}}}"#
        )
    }));
    patch(&objects)
}

impl Ask {
    pub(super) fn command(self) -> Command {
        match self {
            Ask::Set(item, ver, content) => patch(&[object(item, ver, content)]),
            Ask::Drop(item, ver) => {
                let text = format!(r#"{{"remove":{{"svcs":[{{"name":"s{item}","ver":{ver}}}]}}}}"#);
                Command::ApplyPatch(text.into_bytes())
            }
            Ask::Route(item, ver, content) => patch(&[route(
                &format!("r{item}"),
                &format!("/r{item}/"),
                ver,
                content,
                BASE,
            )]),
            Ask::Two(ver, content, other) => {
                patch(&[object(0, ver, content), object(1, ver, other)])
            }
            Ask::Bad(ver, content) => patch(&[
                object(0, ver, content),
                route("r0", "/r0/", ver, content, "nowhere"),
            ]),
            Ask::Pair(item, ver, content) => patch(&[
                named(&format!("p{item}"), ver, content),
                route(
                    &format!("q{item}"),
                    &format!("/q{item}/"),
                    ver,
                    content + 1,
                    &format!("p{item}"),
                ),
            ]),
            Ask::Unpair(item, ver) => {
                let meta = |kind: &str| format!(r#"[{{"name":"{kind}{item}","ver":{ver}}}]"#);
                let text = format!(
                    r#"{{"remove":{{"svcs":{},"routes":{}}}}}"#,
                    meta("p"),
                    meta("q")
                );
                Command::ApplyPatch(text.into_bytes())
            }
            Ask::Refer(ver, content) => patch(&[route(
                "refers",
                "/refers/",
                ver,
                content,
                &format!("s{REFERRED}"),
            )]),
            Ask::Dangle(ver, content) => patch(&[route(
                "dangles",
                "/dangles/",
                ver,
                content,
                &format!("s{DROPPED_ONCE}"),
            )]),
            Ask::Read => Command::GetConfiguration,
            Ask::Drain(on) => Command::SetEvacuation {
                zone: "c".to_string(),
                evacuate: on,
            },
        }
    }

    /// The items that it writes: version and content.
    pub(super) fn writes(self) -> Vec<(ItemName, u64, u64)> {
        match self {
            Ask::Set(item, ver, content) => vec![(svc(item), ver, content)],
            Ask::Drop(item, ver) => vec![(svc(item), ver, DROPPED)],
            Ask::Route(item, ver, content) => {
                vec![(name(ItemKind::Route, format!("r{item}")), ver, content)]
            }
            Ask::Two(ver, content, other) => vec![(svc(0), ver, content), (svc(1), ver, other)],
            Ask::Pair(item, ver, content) => {
                let [svc, route] = pair(item);
                vec![(svc, ver, content), (route, ver, content + 1)]
            }
            Ask::Unpair(item, ver) => pair(item).map(|name| (name, ver, DROPPED)).to_vec(),
            Ask::Bad(..) | Ask::Refer(..) | Ask::Dangle(..) | Ask::Read | Ask::Drain(_) => {
                Vec::new()
            }
        }
    }
}

/// The items of the schedules.
pub(super) fn names() -> Vec<ItemName> {
    let routes = (0..2).map(|at| name(ItemKind::Route, format!("r{at}")));
    (0..3)
        .map(svc)
        .chain(routes)
        .chain((0..2).flat_map(pair))
        .collect()
}

/// The list of the platform: its number is in the servers' ids.
pub(super) fn servers(list: u64, zones: &[String]) -> Vec<Server> {
    let one = |at: u64| Server {
        id: format!("i{list}-{at}"),
        svc: BASE.to_string(),
        addr: std::net::SocketAddr::from(([10, 128, 0, at as u8], 8080)),
        zone: zones[at as usize % zones.len()].clone(),
        slots: 100,
        accepts_requests: true,
        warm_up_left_us: 0,
    };
    (0..6).map(one).collect()
}
