//! Count of events within a sliding window.

use crate::api::Micros;
use std::collections::VecDeque;

/// Times of the events that may still count.
#[derive(Default)]
pub struct SlidingCount(VecDeque<Micros>);

impl SlidingCount {
    /// Adds an event. Times never run backwards.
    pub fn add(&mut self, now: Micros) {
        self.0.push_back(now);
    }

    /// Number of events at or after this time; earlier ones are dropped.
    pub fn since(&mut self, from: Micros) -> usize {
        while self.0.front().is_some_and(|&at| at < from) {
            self.0.pop_front();
        }
        self.0.len()
    }
}
