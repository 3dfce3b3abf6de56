//! Mapping between the incarnations, ballots, items and addresses of the implementation and those of the
//! model.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control::core::ids as core_ids;
use model_check::packed_types::{Ballot, Incarnation, Value};
use model_check::state::{IncarnationTable, MAX_REPLICAS};
use protocol::items::{Item, ItemKind, ItemName};

/// Incarnations and process runs seen so far.
#[derive(Default)]
pub struct Mapping {
    incarnations: BTreeMap<(usize, core_ids::Incarnation), (Incarnation, u8)>,
    runs: BTreeMap<(usize, core_ids::Incarnation, u32), u8>,
}

impl Mapping {
    /// Adds an incarnation that a machine begins, and returns its rank, which lies between those of the same
    /// number and replica. Returns `None` if no rank is free between its neighbours.
    pub fn insert_incarnation(
        &mut self,
        replica: usize,
        machine: usize,
        core: core_ids::Incarnation,
    ) -> Option<u8> {
        let same_number = self
            .incarnations
            .iter()
            .filter(|((owner, known), _)| *owner == replica && known.number == core.number);
        let (mut lower_rank, mut upper_rank) = (0, Incarnation::RANKS);
        for ((_, known), (_, rank)) in same_number {
            if known.nonce < core.nonce {
                lower_rank = lower_rank.max(*rank)
            } else {
                upper_rank = upper_rank.min(*rank)
            }
        }
        let rank = (lower_rank + upper_rank) / 2;
        let incarnation = Incarnation::new(u16::try_from(core.number).ok()?, rank, machine);
        self.incarnations
            .insert((replica, core), (incarnation, rank));
        (rank > lower_rank && rank < upper_rank).then_some(rank)
    }

    /// Whether an incarnation has been added.
    pub fn has_incarnation(&self, replica: usize, core: core_ids::Incarnation) -> bool {
        self.incarnations.contains_key(&(replica, core))
    }

    /// Maps the run of a process to the run number that the model assigns to it.
    pub fn insert_run(
        &mut self,
        replica: usize,
        core: core_ids::Incarnation,
        run: u32,
        model_run: u8,
    ) {
        self.runs.insert((replica, core, run), model_run);
    }

    /// Returns the model's incarnation. [`core_ids::Incarnation::NONE`] maps to the first one, as no replica
    /// has an older one.
    pub fn incarnation(&self, replica: usize, core: core_ids::Incarnation) -> Incarnation {
        match core {
            core_ids::Incarnation::NONE | core_ids::Incarnation::FIRST => Incarnation::FIRST,
            _ => self.incarnations[&(replica, core)].0,
        }
    }

    /// Returns the implementation's incarnation.
    pub fn core_incarnation(
        &self,
        replica: usize,
        incarnation: Incarnation,
    ) -> core_ids::Incarnation {
        let mut incarnations = self.incarnations.iter();
        let found = incarnations
            .find(|((owner, _), (known, _))| *owner == replica && *known == incarnation);
        found.map_or(core_ids::Incarnation::FIRST, |((_, core), _)| *core)
    }

    pub fn table(&self, core: &[core_ids::Incarnation]) -> IncarnationTable {
        let mut table = [Incarnation::FIRST; MAX_REPLICAS];
        for (replica, core) in core.iter().enumerate() {
            table[replica] = self.incarnation(replica, *core);
        }
        table
    }

    pub fn ballot(&self, core: core_ids::Ballot) -> Ballot {
        let replica = usize::from(core.proposer.replica);
        if core.round == 0 {
            return Ballot::default();
        }
        let run = self.runs[&(replica, core.proposer.incarnation, core.proposer.run)];
        Ballot::new(
            core.round as u8,
            replica,
            self.incarnation(replica, core.proposer.incarnation),
            run,
        )
    }

    pub fn accepted(&self, core: Option<&(core_ids::Ballot, Item)>) -> Option<(Ballot, Value)> {
        core.map(|(ballot, item)| (self.ballot(*ballot), value(item)))
    }
}

/// Name of the only item.
pub fn item_name() -> ItemName {
    ItemName {
        kind: ItemKind::Tenant,
        name: "a".to_string(),
    }
}

pub fn value(item: &Item) -> Value {
    let content = item.spec.as_deref().map_or(0, |spec| {
        spec[9..spec.len() - 1]
            .parse()
            .expect("content is a number")
    });
    Value::new(item.ver as u8, content)
}

fn spec(value: Value) -> Option<String> {
    (value.content() > 0).then(|| format!("{{\"per_s\":{}}}", value.content()))
}

pub fn item(value: Value) -> Item {
    Item {
        name: item_name(),
        ver: u64::from(value.version()),
        spec: spec(value),
    }
}

/// Request body of an operator's call that writes the value.
pub fn patch(value: Value) -> Vec<u8> {
    let meta = format!("{{\"name\":\"a\",\"ver\":{}}}", value.version());
    let body = match spec(value) {
        Some(spec) => {
            format!(
                "{{\"upsert\":{{\"objs\":[{{\"type\":\"tenants\",\"meta\":{meta},\"spec\":{spec}}}]}}}}"
            )
        }
        None => format!("{{\"remove\":{{\"tenants\":[{meta}]}}}}"),
    };
    body.into_bytes()
}

pub fn address(machine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine as u8], 7740))
}

pub fn machine_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => panic!("machines have IPv4 addresses"),
    }
}
