//! Incarnations, ballots and values in few bits, ordered as those of `control::core::peer_messages` are.

use std::fmt;

/// An incarnation of a replica: its number, and the mark that tells apart two that begin the same number.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u16);

impl Incarnation {
    /// That of every replica at the first start.
    pub const FIRST: Incarnation = Incarnation(1 << 8);
    /// Marks have this many ranks, so that of two that begin one number either can be the newer one.
    pub const RANKS: u8 = 16;

    /// The incarnation of this number that a machine begins; of those of one number the higher rank is newer.
    ///
    /// # Panics
    /// A number exceeds the bits that it is packed into.
    pub fn new(number: u16, rank: u8, machine: usize) -> Incarnation {
        assert!(
            number < 16 && rank < Self::RANKS && machine < 16,
            "beyond the bits of an incarnation"
        );
        Incarnation(number << 8 | u16::from(rank) << 4 | machine as u16)
    }

    /// Its number.
    pub fn number(self) -> u16 {
        self.0 >> 8
    }

    /// The machine that begins it; of [`Self::FIRST`] that is not told.
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

/// The number of a proposal: round, replica, incarnation and run of its process, compared in this order.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot(u32);

impl Ballot {
    /// The proposal of this number.
    ///
    /// # Panics
    /// A number exceeds the bits that it is packed into.
    pub fn new(round: u8, replica: usize, incarnation: Incarnation, run: u8) -> Ballot {
        assert!(replica < 16, "beyond the bits of a ballot");
        let replica = (replica as u32) << 20;
        Ballot(u32::from(round) << 24 | replica | u32::from(incarnation.0) << 8 | u32::from(run))
    }

    /// Its round.
    pub fn round(self) -> u8 {
        (self.0 >> 24) as u8
    }

    /// The replica that proposes.
    pub fn replica(self) -> usize {
        (self.0 >> 20 & 15) as usize
    }

    /// The incarnation of that replica.
    pub fn incarnation(self) -> Incarnation {
        Incarnation((self.0 >> 8 & 0xfff) as u16)
    }

    /// The run of its process.
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

/// What a write puts into the item: a version and a content, 0 where the item is dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Value(u8);

impl Value {
    /// This content at this version.
    ///
    /// # Panics
    /// A number exceeds the bits that it is packed into.
    pub fn new(version: u8, content: u8) -> Value {
        assert!(version < 16 && content < 16, "beyond the bits of a value");
        Value(version << 4 | content)
    }

    /// The item is dropped at this version.
    pub fn dropped(version: u8) -> Value {
        Value::new(version, 0)
    }

    /// Its version.
    pub fn version(self) -> u8 {
        self.0 >> 4
    }

    /// Its content.
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
