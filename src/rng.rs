//! Seeded pseudo-random numbers and hashes (SplitMix64).

/// Seeded pseudo-random number generator.
#[derive(Clone, Debug, Default)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    /// Returns the next number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % n.max(1)
    }

    /// The current state, as a seed for draws that must not advance the generator.
    pub fn state(&self) -> u64 {
        self.0
    }
}

/// Mixes a number into a 64-bit hash (the SplitMix64 finalizer).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a number, scaled to between 0 and 1.
pub fn unit_hash(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}
