//! Compact incarnations, ballots and values with the same order as those of `control::core`.

use std::fmt;

/// Incarnation of a replica: its number, and a rank and machine in place of the nonce that distinguishes
/// incarnations of the same number.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u16);

impl Incarnation {
    /// Incarnation of every replica at the first start of the cluster.
    pub const FIRST: Incarnation = Incarnation(1 << 8);
    /// Number of ranks. With several ranks, either of two incarnations of one number can be the newer one.
    pub const RANKS: u8 = 16;

    /// Returns the incarnation that `machine` begins. Among incarnations of the same number, the higher rank
    /// is the newer.
    ///
    /// # Panics
    /// Panics if a part does not fit into its bits.
    pub fn new(number: u16, rank: u8, machine: usize) -> Incarnation {
        assert!(
            number < 16 && rank < Self::RANKS && machine < 16,
            "number, rank or machine too large for a packed incarnation"
        );
        Incarnation(number << 8 | u16::from(rank) << 4 | machine as u16)
    }

    /// Number, which increases with each incarnation of a replica.
    pub fn number(self) -> u16 {
        self.0 >> 8
    }

    /// Machine that begins the incarnation; not meaningful for [`Self::FIRST`].
    pub fn machine(self) -> usize {
        usize::from(self.0 & 15)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Incarnation::FIRST => write!(f, "i1"),
            _ => write!(
                f,
                "i{}.{}.{}",
                self.number(),
                self.0 >> 4 & 15,
                self.machine()
            ),
        }
    }
}

/// Ballot: round, replica, incarnation of the replica and run of its process, compared in this order.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot(u32);

impl Ballot {
    /// Packs the parts of a ballot.
    ///
    /// # Panics
    /// Panics if a part does not fit into its bits.
    pub fn new(round: u8, replica: usize, incarnation: Incarnation, run: u8) -> Ballot {
        assert!(replica < 16, "replica too large for a packed ballot");
        let replica = (replica as u32) << 20;
        Ballot(u32::from(round) << 24 | replica | u32::from(incarnation.0) << 8 | u32::from(run))
    }

    /// Round, the most significant part of the ballot.
    pub fn round(self) -> u8 {
        (self.0 >> 24) as u8
    }

    /// Replica that proposes.
    pub fn replica(self) -> usize {
        (self.0 >> 20 & 15) as usize
    }

    /// Incarnation of the proposing replica.
    pub fn incarnation(self) -> Incarnation {
        Incarnation((self.0 >> 8 & 0xfff) as u16)
    }

    /// Run of the proposing process within its incarnation.
    pub fn run(self) -> u8 {
        self.0 as u8
    }
}

impl fmt::Debug for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "b{}.r{}.{:?}.{}",
            self.round(),
            self.replica(),
            self.incarnation(),
            self.run()
        )
    }
}

/// Value written to the item: a version and a content. Content 0 means that the item is dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Value(u8);

impl Value {
    /// Packs a version and a content.
    ///
    /// # Panics
    /// Panics if a part does not fit into its bits.
    pub fn new(version: u8, content: u8) -> Value {
        assert!(
            version < 16 && content < 16,
            "version or content too large for a packed value"
        );
        Value(version << 4 | content)
    }

    /// Value that drops the item at this version.
    pub fn dropped(version: u8) -> Value {
        Value::new(version, 0)
    }

    /// Version, the most significant part of the value.
    pub fn version(self) -> u8 {
        self.0 >> 4
    }

    /// Content, 0 if the item is dropped.
    pub fn content(self) -> u8 {
        self.0 & 15
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.content() {
            0 => write!(f, "v{}:dropped", self.version()),
            content => write!(f, "v{}:{content}", self.version()),
        }
    }
}
