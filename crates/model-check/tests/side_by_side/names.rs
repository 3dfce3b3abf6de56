//! What stands for what: incarnations, ballots, items and addresses of the code, and those of the model.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control::core::ids as code;
use model_check::numbers::{Ballot, Incarnation, Value};
use model_check::state::{REPLICAS, Table};
use protocol::items::{Item, ItemKind, ItemName};

/// The incarnations and runs that have come up.
#[derive(Default)]
pub struct Names {
    incarnations: BTreeMap<(usize, code::Incarnation), (Incarnation, u8)>,
    runs: BTreeMap<(usize, code::Incarnation, u32), u8>,
}

impl Names {
    /// The rank of a new incarnation that a machine begins, between those of the same number that its replica
    /// has; none where there is no room left.
    pub fn begin(&mut self, replica: usize, machine: usize, real: code::Incarnation) -> Option<u8> {
        let same = self
            .incarnations
            .iter()
            .filter(|((of, known), _)| *of == replica && known.number == real.number);
        let (mut below, mut above) = (0, Incarnation::RANKS);
        for ((_, known), (_, rank)) in same {
            if known.nonce < real.nonce {
                below = below.max(*rank)
            } else {
                above = above.min(*rank)
            }
        }
        let rank = (below + above) / 2;
        let incarnation = Incarnation::new(u16::try_from(real.number).ok()?, rank, machine);
        self.incarnations
            .insert((replica, real), (incarnation, rank));
        (rank > below && rank < above).then_some(rank)
    }

    /// The rank of an incarnation that has come up.
    pub fn knows(&self, replica: usize, real: code::Incarnation) -> bool {
        self.incarnations.contains_key(&(replica, real))
    }

    /// A process runs: its number among those of its incarnation, as the model counts them.
    pub fn run(&mut self, replica: usize, real: code::Incarnation, run: u32, model: u8) {
        self.runs.insert((replica, real, run), model);
    }

    /// The model's incarnation. None yet is as good as the first: nobody has an older one.
    pub fn incarnation(&self, replica: usize, real: code::Incarnation) -> Incarnation {
        match real {
            code::Incarnation::NONE | code::Incarnation::FIRST => Incarnation::FIRST,
            _ => self.incarnations[&(replica, real)].0,
        }
    }

    /// The incarnation of the code.
    pub fn real(&self, replica: usize, incarnation: Incarnation) -> code::Incarnation {
        let mut all = self.incarnations.iter();
        let found = all.find(|((of, _), (known, _))| *of == replica && *known == incarnation);
        found.map_or(code::Incarnation::FIRST, |((_, real), _)| *real)
    }

    pub fn table(&self, real: &[code::Incarnation]) -> Table {
        let mut table = [Incarnation::FIRST; REPLICAS];
        for (replica, real) in real.iter().enumerate() {
            table[replica] = self.incarnation(replica, *real);
        }
        table
    }

    pub fn ballot(&self, real: code::Ballot) -> Ballot {
        let replica = usize::from(real.proposer.replica);
        if real.round == 0 {
            return Ballot::default();
        }
        let run = self.runs[&(replica, real.proposer.incarnation, real.proposer.run)];
        Ballot::new(
            real.round as u8,
            replica,
            self.incarnation(replica, real.proposer.incarnation),
            run,
        )
    }

    pub fn accepted(&self, real: Option<&(code::Ballot, Item)>) -> Option<(Ballot, Value)> {
        real.map(|(ballot, item)| (self.ballot(*ballot), value(item)))
    }
}

/// The item that all is about.
pub fn name() -> ItemName {
    ItemName {
        kind: ItemKind::Tenant,
        name: "a".to_string(),
    }
}

pub fn value(item: &Item) -> Value {
    let content = item
        .spec
        .as_deref()
        .map_or(0, |spec| spec[9..spec.len() - 1].parse().expect("a number"));
    Value::new(item.ver as u8, content)
}

fn spec(value: Value) -> Option<String> {
    (value.content() > 0).then(|| format!("{{\"per_s\":{}}}", value.content()))
}

pub fn item(value: Value) -> Item {
    Item {
        name: name(),
        ver: u64::from(value.version()),
        spec: spec(value),
    }
}

/// The body of an operator's call.
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

pub fn machine(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => panic!("no machine has such an address"),
    }
}
