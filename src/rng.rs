//! Seeded pseudo-random numbers and hashes (splitmix64).

/// Seeded sequence of numbers.
#[derive(Clone, Debug, Default)]
pub struct Rng(u64);

impl Rng {
    /// A sequence that starts from this seed.
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    /// The next number below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % n.max(1)
    }

    /// The present state, as a seed for draws that must not advance the sequence.
    pub fn state(&self) -> u64 {
        self.0
    }
}

/// Hash of a number that spreads over all 64 bits.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a number, within 0 and 1.
pub fn unit_hash(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}
