//! Limits how many requests one dispatcher may have in flight at all workers together, for when it can't see
//! other dispatchers' load.
//!
//! Each worker's concurrency limit allows at least one request, so many dispatchers together could fill every
//! worker many times over; the window bounds a dispatcher's total. It grows and shrinks in proportion to its
//! size, so that dispatchers with more traffic keep larger windows. It settles where about one start in four
//! is prompt: if workers are selected without knowing their load, that uses most of them.

/// Relative increase of a full window after a prompt start.
const INCREASE_RATIO: f64 = 0.05;
/// Relative decrease after a late start or a rejection.
const DECREASE_RATIO: f64 = 0.015;
/// Initial size as a multiple of the minimum size.
const INITIAL_SIZE_RATIO: f64 = 2.0;
/// Maximum size, in slots.
const MAX_SIZE: f64 = 1e6;

/// Slots that one dispatcher's requests occupy at workers, and their limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightWindow {
    in_flight: f64,
    min_size: f64,
    size: f64,
}

impl InFlightWindow {
    /// Returns whether a request of this many slots fits. The first request always does.
    pub fn has_capacity(&self, slots: f64) -> bool {
        self.in_flight <= 0.0 || self.in_flight + slots <= self.size
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, slots: f64) {
        self.in_flight += slots;
    }

    /// Records that a request no longer occupies its slots.
    pub fn release(&mut self, slots: f64) {
        self.in_flight -= slots;
    }

    /// Records whether a request started promptly, or had to wait or was rejected.
    pub fn record_start(&mut self, prompt: bool) {
        let is_full = self.in_flight + 1.0 >= self.size;
        if prompt && is_full {
            self.size *= 1.0 + INCREASE_RATIO;
        }
        if !prompt {
            self.size *= 1.0 - DECREASE_RATIO;
        }
        self.size = self.size.clamp(self.min_size, MAX_SIZE);
    }

    /// Sets the minimum size: this dispatcher's share of one request per worker, plus a margin for random
    /// variation of that share.
    pub fn set_fleet_size(&mut self, workers: usize, dispatchers: u32) {
        let share = workers as f64 / f64::from(dispatchers.max(1));
        self.min_size = share + share.sqrt().max(1.0);
        if self.size == 0.0 {
            self.size = INITIAL_SIZE_RATIO * self.min_size;
        }
        self.size = self.size.max(self.min_size);
    }
}
