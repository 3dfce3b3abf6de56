//! Small numbers by chance, the same for the same seed, and a steady clock for each machine.

/// A row of numbers.
#[derive(Clone, Debug)]
pub struct Chance(u64);

impl Chance {
    /// The row of a seed.
    pub fn new(seed: u64) -> Chance {
        Chance(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// The next one, below `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % most.max(1)
    }

    /// One of these.
    pub fn pick<T: Copy>(&mut self, all: &[T]) -> Option<T> {
        if all.is_empty() {
            None
        } else {
            Some(all[self.below(all.len() as u64) as usize])
        }
    }
}

/// A number that depends on these alone, whatever else was drawn: a schedule that loses a step keeps the rest.
pub fn mix(parts: &[u64]) -> u64 {
    parts.iter().fold(0x243F_6A88_85A3_08D3, |all, part| {
        let mut x = (all ^ part).wrapping_add(0x9E37_79B9_7F4A_7C15);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    })
}

/// A machine's steady clock: it starts anywhere and goes a little fast or slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steady {
    /// What it shows at the start of all.
    pub offset: i64,
    /// Millionths by which it goes fast.
    pub ppm: i64,
}

impl Steady {
    /// What it shows at an instant.
    pub fn at(&self, now: i64) -> i64 {
        self.offset + now + now * self.ppm / 1_000_000
    }

    /// The first instant at which it shows this or more.
    pub fn when(&self, shown: i64) -> i64 {
        let mut now = (shown - self.offset) * 1_000_000 / (1_000_000 + self.ppm) - 2;
        while self.at(now) < shown {
            now += 1;
        }
        now
    }
}
