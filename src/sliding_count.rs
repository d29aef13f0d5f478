//! Sliding-window event counter of bounded size.

use crate::api::Micros;
use std::collections::VecDeque;

/// Number of entries up to which each event has its own.
const EXACT_ENTRIES_MAX: usize = 1024;
/// Number of parts of the window in which events are merged beyond that.
const WINDOW_PARTS: Micros = 1024;

/// How merged events are counted of which only a part lies within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rounding {
    /// All of them are counted.
    #[default]
    Up,
    /// None of them is counted.
    Down,
}

/// Events that are counted together.
#[derive(Clone, Copy)]
struct Entry {
    first: Micros,
    last: Micros,
    count: usize,
}

/// Counts events within a sliding window. The times of up to 1,024 events are kept exactly; of more, those
/// that are close to each other are merged, so that the size is bounded.
#[derive(Default)]
pub struct SlidingCount {
    entries: VecDeque<Entry>,
    total: usize,
    rounding: Rounding,
}

impl SlidingCount {
    /// Creates a counter with this rounding.
    pub fn new(rounding: Rounding) -> SlidingCount {
        SlidingCount { rounding, ..SlidingCount::default() }
    }

    /// Records an event, and drops those before the window, which ends now. Times must not decrease.
    pub fn add(&mut self, now: Micros, window: Micros) {
        self.since(now.saturating_sub(window));
        self.total += 1;
        let is_dense = self.entries.len() >= EXACT_ENTRIES_MAX;
        let merged =
            self.entries.back_mut().filter(|last| is_dense && now < last.first + window / WINDOW_PARTS);
        match merged {
            Some(entry) => (entry.last, entry.count) = (now, entry.count + 1),
            None => self.entries.push_back(Entry { first: now, last: now, count: 1 }),
        }
    }

    /// Returns the number of events at or after a time, and drops earlier ones.
    pub fn since(&mut self, from: Micros) -> usize {
        let rounding = self.rounding;
        let is_before = |entry: &&Entry| match rounding {
            Rounding::Up => entry.last < from,
            Rounding::Down => entry.first < from,
        };
        while let Some(entry) = self.entries.front().filter(is_before) {
            self.total -= entry.count;
            self.entries.pop_front();
        }
        self.total
    }

    /// Drops all events.
    pub fn clear(&mut self) {
        (self.entries, self.total) = (VecDeque::new(), 0);
    }
}
