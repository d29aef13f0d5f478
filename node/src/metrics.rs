//! Metric types: a counter and a gauge that any thread may update.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Number that only grows.
#[derive(Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Value so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Number that rises and falls, set by its one owner.
#[derive(Default)]
pub struct Gauge(AtomicUsize);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: usize) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Current value.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}
