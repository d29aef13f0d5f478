//! Sliding-window event counter.

use crate::api::Micros;
use std::collections::VecDeque;

/// Counts events within a sliding window, of which it keeps the times.
#[derive(Default)]
pub struct SlidingCount(VecDeque<Micros>);

impl SlidingCount {
    /// Records an event. Times must not decrease.
    pub fn add(&mut self, now: Micros) {
        self.0.push_back(now);
    }

    /// Returns the number of events at or after a time, and drops earlier ones.
    pub fn since(&mut self, from: Micros) -> usize {
        while self.0.front().is_some_and(|&at| at < from) {
            self.0.pop_front();
        }
        self.0.len()
    }
}
