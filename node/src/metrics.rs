//! Metric types: a counter and a gauge, which any thread may update.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Value that only increases.
#[derive(Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Value that rises and falls, set by a single owner.
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
