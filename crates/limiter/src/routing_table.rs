//! The routing table: discovery's list as it stands here, what its lines say, and the operators' bans over it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde_json::Value;
use streamarch::{ListKind, Micros, ServerEntry, ServerId, ServerState};

use crate::bans::Bans;

/// What a line of discovery changes.
#[derive(Debug, PartialEq)]
pub struct News {
    /// How the entries are to be read.
    pub kind: ListKind,
    /// The entries for the module.
    pub entries: Vec<ServerEntry>,
    /// Where the servers are that may be used.
    pub addresses: Vec<(ServerId, SocketAddr)>,
    /// Of those, the ones that operators have taken out: no connection to them is kept for later.
    pub taken_out: Vec<ServerId>,
    /// Servers that are gone.
    pub gone: Vec<ServerId>,
}

impl News {
    /// Nothing yet, to be read like this.
    pub fn new(kind: ListKind) -> News {
        News {
            kind,
            entries: Vec::new(),
            addresses: Vec::new(),
            taken_out: Vec::new(),
            gone: Vec::new(),
        }
    }
}

/// Names of servers that are gone and still known to have been listed.
const PAST: usize = 4_096;

/// A server as discovery has it.
#[derive(Debug)]
struct Listed {
    entry: ServerEntry,
    address: Option<SocketAddr>,
}

/// Names and numbers of servers, and the version of the list.
#[derive(Debug, Default)]
pub struct RoutingTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Version of the list as held.
    pub index: u64,
    listed: BTreeMap<String, Listed>,
    past: VecDeque<String>,
    bans: Bans,
    next: u32,
}

/// A call that names a server which no list has ever named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeverListed;

impl std::fmt::Display for NeverListed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no server of this id was ever listed")
    }
}

impl std::error::Error for NeverListed {}

/// Why a line of discovery is not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct BadLine(pub &'static str);

impl std::fmt::Display for BadLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "bad list: {}", self.0)
    }
}

impl std::error::Error for BadLine {}

fn position(names: &[String], name: &Value) -> u32 {
    let found = name
        .as_str()
        .and_then(|name| names.iter().position(|n| n == name));
    found.map_or(0, |n| n as u32)
}

impl RoutingTable {
    /// An empty table; `zones` and `kinds` give the names their numbers.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> RoutingTable {
        RoutingTable {
            zones,
            kinds,
            ..RoutingTable::default()
        }
    }

    /// Some server may be used.
    pub fn serving(&self) -> bool {
        let ready = |(name, known): (&String, &Listed)| {
            known.entry.state == ServerState::Ready && !self.bans.out(name)
        };
        self.listed.iter().any(ready)
    }

    /// Some server is listed as ready, taken out or not.
    pub fn listing(&self) -> bool {
        self.listed
            .values()
            .any(|known| known.entry.state == ServerState::Ready)
    }

    /// Reads the list as last held.
    pub fn known(&mut self, list: &Value) -> Result<News, BadLine> {
        let mut news = self.read(list)?;
        news.kind = ListKind::Cached;
        Ok(news)
    }

    /// Reads one line of a watch; an empty one brings nothing.
    pub fn line(&mut self, line: &[u8]) -> Result<Option<News>, BadLine> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let value: Value = serde_json::from_slice(line).map_err(|_| BadLine("not JSON"))?;
        self.read(&value).map(Some)
    }

    fn read(&mut self, list: &Value) -> Result<News, BadLine> {
        let index = list["index"].as_u64().ok_or(BadLine("index"))?;
        let full = list["snapshot"].as_bool().ok_or(BadLine("snapshot"))?;
        let lines = list["endpoints"].as_array().ok_or(BadLine("endpoints"))?;
        let kind = if full {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        let mut news = News::new(kind);
        // All is read before any of it is taken: half a list must not replace a whole one.
        let read = lines
            .iter()
            .map(|line| self.entry(line))
            .collect::<Result<Vec<_>, _>>()?;
        if full {
            let named = |name: &str| read.iter().any(|(n, _, _)| n == name);
            let lost: Vec<String> = self.listed.keys().filter(|n| !named(n)).cloned().collect();
            lost.iter()
                .for_each(|name| self.drop_listed(name, &mut news));
        }
        for (name, address, mut entry) in read {
            let known = self.listed.get(&name).map(|known| known.entry.server);
            if entry.state == ServerState::Gone {
                // An end that nobody knew the start of says nothing.
                if let Some(server) = known {
                    entry.server = server;
                    self.drop_listed(&name, &mut news);
                    news.entries.push(entry);
                }
                continue;
            }
            entry.server = known.unwrap_or_else(|| {
                self.next += 1;
                ServerId(self.next)
            });
            self.listed.insert(name.clone(), Listed { entry, address });
            self.tell(&name, &mut news);
        }
        self.index = index;
        Ok(news)
    }

    fn drop_listed(&mut self, name: &str, news: &mut News) {
        let Some(known) = self.listed.remove(name) else {
            return;
        };
        news.gone.push(known.entry.server);
        self.past.push_back(name.to_string());
        if self.past.len() > PAST {
            self.past.pop_front();
        }
    }

    /// What holds of a listed server now, with the bans over the list.
    fn tell(&self, name: &str, news: &mut News) {
        let Some(known) = self.listed.get(name) else {
            return;
        };
        let server = known.entry.server;
        news.entries.push(self.bans.over(name, &known.entry));
        news.addresses
            .extend(known.address.map(|address| (server, address)));
        news.taken_out.extend(self.bans.out(name).then_some(server));
    }

    /// Takes a server out. Whether that changes anything, and what there is to tell.
    ///
    /// # Errors
    /// No list has ever named it.
    pub fn disable(&mut self, name: &str, now: Micros) -> Result<(bool, News), NeverListed> {
        self.ban(name, |bans| bans.disable(name, now))
    }

    /// Uses a server again, however often it was taken out; likewise.
    ///
    /// # Errors
    /// No list has ever named it.
    pub fn enable(&mut self, name: &str, now: Micros) -> Result<(bool, News), NeverListed> {
        self.ban(name, |bans| bans.enable(name, now))
    }

    /// The servers that are taken out.
    pub fn bans(&self) -> &Bans {
        &self.bans
    }

    /// Takes over the bans that another process of this limiter knows later.
    pub fn merge(&mut self, bans: &Bans) -> News {
        let mut news = News::new(ListKind::Changes);
        self.bans
            .merge(bans)
            .iter()
            .for_each(|name| self.tell(name, &mut news));
        news
    }

    fn ban(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut Bans) -> bool,
    ) -> Result<(bool, News), NeverListed> {
        // A ban of the process before holds here, also where its server has not been listed since.
        if !self.listed.contains_key(name)
            && !self.past.iter().any(|past| past == name)
            && !self.bans.out(name)
        {
            return Err(NeverListed);
        }
        let changed = change(&mut self.bans);
        let mut news = News::new(ListKind::Changes);
        self.tell(name, &mut news);
        Ok((changed, news))
    }

    fn entry(&self, line: &Value) -> Result<(String, Option<SocketAddr>, ServerEntry), BadLine> {
        let name = line["name"].as_str().ok_or(BadLine("name"))?;
        let state = match line["status"].as_str() {
            Some("Ready") => ServerState::Ready,
            Some("Terminating") => ServerState::Draining,
            Some("Gone") => ServerState::Gone,
            _ => return Err(BadLine("status")),
        };
        let address = line["address"].as_str().and_then(|a| a.parse().ok());
        if address.is_none() && state != ServerState::Gone {
            return Err(BadLine("address"));
        }
        let entry = ServerEntry {
            server: ServerId(0),
            zone: position(&self.zones, &line["zone"]),
            kind: position(&self.kinds, &line["type"]),
            cell: line["group"]
                .as_u64()
                .and_then(|g| u32::try_from(g).ok())
                .unwrap_or(0),
            state,
            weight: line["weight"].as_f64().unwrap_or(1.0),
            started: line["since_ms"].as_i64().unwrap_or(0).saturating_mul(1_000),
        };
        Ok((name.to_string(), address, entry))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(index: u64, full: bool, entries: &[(&str, &str)]) -> Vec<u8> {
        let entry = |(name, status): &(&str, &str)| {
            format!(
                "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:80\",\"zone\":\"b\",\"type\":\"m2\",\"group\":3,\
                 \"status\":\"{status}\",\"weight\":1.5,\"since_ms\":7}}"
            )
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        format!(
            "{{\"index\":{index},\"snapshot\":{full},\"endpoints\":[{}]}}\n",
            entries.join(",")
        )
        .into_bytes()
    }

    fn table() -> RoutingTable {
        RoutingTable::new(vec!["a".into(), "b".into()], vec!["m1".into(), "m2".into()])
    }

    #[test]
    fn entries_are_read_and_a_name_keeps_its_number() {
        let mut table = table();
        let news = table
            .line(&line(4, true, &[("s-1", "Ready"), ("s-2", "Ready")]))
            .unwrap()
            .unwrap();
        let first = &news.entries[0];
        assert_eq!(
            (
                first.zone,
                first.kind,
                first.cell,
                first.weight,
                first.started
            ),
            (1, 1, 3, 1.5, 7_000)
        );
        let again = table
            .line(&line(5, false, &[("s-1", "Terminating")]))
            .unwrap()
            .unwrap();
        assert_eq!(
            (again.kind, again.entries[0].server),
            (ListKind::Changes, first.server)
        );
        assert_eq!(
            (again.entries[0].state, table.index),
            (ServerState::Draining, 5)
        );
        assert!(table.serving(), "the other is ready");
    }

    #[test]
    fn what_is_gone_or_missing_from_a_whole_list_is_told_as_gone_once() {
        let mut table = table();
        table
            .line(&line(
                1,
                true,
                &[("s-1", "Ready"), ("s-2", "Ready"), ("s-3", "Ready")],
            ))
            .unwrap();
        let news = table
            .line(&line(2, false, &[("s-1", "Gone"), ("s-9", "Gone")]))
            .unwrap()
            .unwrap();
        assert_eq!(
            (news.entries.len(), news.gone.len()),
            (1, 1),
            "of s-9 nobody had heard"
        );
        let news = table
            .line(&line(3, true, &[("s-3", "Ready")]))
            .unwrap()
            .unwrap();
        assert_eq!((news.entries.len(), news.gone.len()), (1, 1));
        let back = table
            .line(&line(4, false, &[("s-1", "Ready")]))
            .unwrap()
            .unwrap();
        assert!(back.entries[0].server.0 > 3, "a number is not used twice");
    }

    #[test]
    fn a_bad_line_changes_nothing_and_an_empty_one_says_nothing() {
        let mut table = table();
        table.line(&line(1, true, &[("s-1", "Ready")])).unwrap();
        let good = String::from_utf8(line(2, true, &[("s-2", "Ready"), ("s-3", "Ready")])).unwrap();
        for (from, to) in [
            ("\"index\":2", "\"index\":\"2\""),
            ("true", "1"),
            ("\"s-3\"", "3"),
            ("Ready", "Up"),
            ("127.0.0.1:80", "nowhere"),
            ("endpoints", "hosts"),
            ("{", ""),
        ] {
            assert!(
                table.line(good.replacen(from, to, 1).as_bytes()).is_err(),
                "{from}"
            );
        }
        assert_eq!((table.index, table.listed.len()), (1, 1));
        assert_eq!(table.line(b"\r\n"), Ok(None));
    }

    #[test]
    fn lists_of_a_large_fleet_change_all_at_once_to_none_and_back() {
        let mut table = table();
        let names: Vec<String> = (0..60).map(|n| format!("s-{n}")).collect();
        let all = |status: &'static str| {
            names
                .iter()
                .map(|n| (n.as_str(), status))
                .collect::<Vec<_>>()
        };
        let first = table.line(&line(1, true, &all("Ready"))).unwrap().unwrap();
        assert_eq!((first.entries.len(), first.gone.len()), (60, 0));
        // Sixty changes in one line, each of a server known before.
        let drained = table
            .line(&line(2, false, &all("Terminating")))
            .unwrap()
            .unwrap();
        assert!(
            drained
                .entries
                .iter()
                .zip(&first.entries)
                .all(|(a, b)| a.server == b.server)
        );
        assert!(!table.serving());
        let gone = table.line(&line(3, false, &all("Gone"))).unwrap().unwrap();
        assert_eq!((gone.entries.len(), gone.gone.len()), (60, 60));
        // The same once more, and a whole list that is empty, say nothing new.
        for again in [line(3, false, &all("Gone")), line(4, true, &[])] {
            let news = table.line(&again).unwrap().unwrap();
            assert_eq!((news.entries.len(), news.gone.len()), (0, 0));
        }
        let back = table.line(&line(5, true, &all("Ready"))).unwrap().unwrap();
        assert!(back.entries.iter().all(|e| e.server.0 > 60) && table.serving());
    }

    /// Random lists, calls out and back, and records of another process, against a model that knows each server's state
    /// by the list and whether it is out: what was told of it last is that of the model.
    #[test]
    fn bans_hold_over_any_list_and_end_with_one_call_back() {
        fn property(steps: Vec<(u8, u8)>) -> bool {
            let names = ["s-0", "s-1", "s-2"];
            let states = ["Ready", "Terminating", "Gone"];
            let (mut table, mut other) = (table(), table());
            let mut told = std::collections::BTreeMap::<ServerId, ServerState>::new();
            let mut listed = [None::<&str>; 3];
            let (mut ever, mut out) = ([false; 3], [false; 3]);
            for (now, (step, which)) in steps.into_iter().enumerate() {
                let (now, at) = (now as Micros + 1, usize::from(which % 3));
                let state = states[usize::from(which / 3 % 3)];
                let news = match step % 6 {
                    0 | 1 => {
                        listed[at] = Some(state).filter(|s| *s != "Gone");
                        ever[at] |= state != "Gone";
                        table
                            .line(&line(now as u64, false, &[(names[at], state)]))
                            .unwrap()
                            .unwrap()
                    }
                    2 => {
                        listed = [None; 3];
                        listed[at] = Some("Ready");
                        ever[at] = true;
                        table
                            .line(&line(now as u64, true, &[(names[at], "Ready")]))
                            .unwrap()
                            .unwrap()
                    }
                    call => {
                        let disables = call < 5;
                        let done = match call {
                            3 | 4 => table.disable(names[at], now),
                            _ => table.enable(names[at], now),
                        };
                        if done.is_ok() != ever[at] {
                            return false;
                        }
                        let Ok((changed, news)) = done else { continue };
                        if changed != (out[at] != disables) {
                            return false;
                        }
                        out[at] = disables;
                        news
                    }
                };
                told.extend(news.entries.iter().map(|entry| (entry.server, entry.state)));
                news.gone.iter().for_each(|server| _ = told.remove(server));
                // The other process hears of it, and has nothing to add.
                other.merge(table.bans());
                if other.bans() != table.bans() || !table.merge(other.bans()).entries.is_empty() {
                    return false;
                }
                let known = |at: usize| {
                    table
                        .listed
                        .get(names[at])
                        .map(|known| told.get(&known.entry.server))
                };
                for at in 0..3 {
                    let state = match (listed[at], out[at]) {
                        (None, _) => None,
                        (Some("Ready"), false) => Some(Some(&ServerState::Ready)),
                        _ => Some(Some(&ServerState::Draining)),
                    };
                    if known(at) != state {
                        return false;
                    }
                }
                let ready = (0..3).any(|at| listed[at] == Some("Ready") && !out[at]);
                if table.serving() != ready {
                    return false;
                }
            }
            true
        }
        let seeded = quickcheck::Gen::from_size_and_seed(60, 5);
        let mut check = quickcheck::QuickCheck::new().rng(seeded).tests(2_000);
        check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
    }

    #[test]
    fn one_called_back_has_just_started_unless_the_list_tells_of_a_later_start() {
        let mut table = table();
        // The list has it started at 7 ms.
        table.line(&line(1, true, &[("s-1", "Ready")])).unwrap();
        table.disable("s-1", 5_000).unwrap();
        let (_, news) = table.enable("s-1", 9_000).unwrap();
        assert_eq!(news.entries[0].started, 7_000, "restarted while it was out");
        table.disable("s-1", 20_000).unwrap();
        table.disable("s-1", 25_000).unwrap();
        let (_, news) = table.enable("s-1", 30_000).unwrap();
        assert_eq!(
            (news.entries[0].started, news.entries[0].state),
            (30_000, ServerState::Ready)
        );
        let again = table
            .line(&line(2, false, &[("s-1", "Ready")]))
            .unwrap()
            .unwrap();
        assert_eq!(
            again.entries[0].started, 30_000,
            "the list says the same as before"
        );
    }
}
