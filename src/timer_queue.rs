//! Queue of what is due at which time, and the one timer that the embedder holds for it.

use crate::api::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Entries by the time at which they are due, and the earliest timer that is set.
pub struct TimerQueue<T> {
    entries: BinaryHeap<Reverse<(Micros, T)>>,
    /// When the timer that counts expires; `Micros::MAX` where none is set.
    timer_at: Micros,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { entries: BinaryHeap::new(), timer_at: Micros::MAX }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Adds an entry that is due at this time.
    pub fn add(&mut self, at: Micros, entry: T) {
        self.entries.push(Reverse((at, entry)));
    }

    /// Whether the timer that counts has expired. A timer that was replaced by an earlier one does not count.
    pub fn expired(&mut self, now: Micros) -> bool {
        let expired = now >= self.timer_at;
        if expired {
            self.timer_at = Micros::MAX;
        }
        expired
    }

    /// Removes the next entry that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.entries.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.entries.pop().map(|Reverse((_, entry))| entry)
    }

    /// The time until the next entry, where no timer is set that expires as early. It then counts as set.
    pub fn timer_to_set(&mut self, now: Micros) -> Option<Micros> {
        let next = self.entries.peek().map(|Reverse((at, _))| *at);
        let at = next.filter(|at| *at < self.timer_at)?;
        self.timer_at = at;
        Some(at.saturating_sub(now))
    }
}
