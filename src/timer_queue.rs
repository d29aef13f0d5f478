//! Priority queue of timed entries, driven by a single timer of the embedder.

use crate::api::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of entries from which on those that are not needed any more are removed.
const PRUNE_LEN_MIN: usize = 1024;

/// Entries ordered by due time, and the expiry time of the timer that is set.
pub struct TimerQueue<T> {
    entries: BinaryHeap<Reverse<(Micros, T)>>,
    /// Number of entries at which [`TimerQueue::needs_pruning`].
    prune_len: usize,
    /// Expiry time of the effective timer; `Micros::MAX` if none is set.
    timer_expires_at: Micros,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { entries: BinaryHeap::new(), prune_len: PRUNE_LEN_MIN, timer_expires_at: Micros::MAX }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Adds an entry with its due time.
    pub fn add(&mut self, at: Micros, entry: T) {
        self.entries.push(Reverse((at, entry)));
    }

    /// Whether the number of entries has doubled since the last pruning.
    pub fn needs_pruning(&self) -> bool {
        self.entries.len() >= self.prune_len
    }

    /// Removes the entries that are not needed any more.
    pub fn prune(&mut self, is_needed: impl Fn(&T) -> bool) {
        self.entries.retain(|Reverse((_, entry))| is_needed(entry));
        self.entries.shrink_to(2 * self.entries.len());
        self.prune_len = PRUNE_LEN_MIN.max(2 * self.entries.len());
    }

    /// Whether the effective timer has expired, and clears it if so. Timers that were replaced by an earlier
    /// one are ignored.
    pub fn expired(&mut self, now: Micros) -> bool {
        let expired = now >= self.timer_expires_at;
        if expired {
            self.timer_expires_at = Micros::MAX;
        }
        expired
    }

    /// Removes and returns the next entry that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.entries.peek().is_none_or(|Reverse((at, _))| *at > now) {
            return None;
        }
        self.entries.pop().map(|Reverse((_, entry))| entry)
    }

    /// The delay until the next entry, for which the caller must set a timer. `None` if the effective timer
    /// expires early enough, or the queue is empty.
    pub fn timer_to_set(&mut self, now: Micros) -> Option<Micros> {
        let next = self.entries.peek().map(|Reverse((at, _))| *at);
        let at = next.filter(|at| *at < self.timer_expires_at)?;
        self.timer_expires_at = at;
        Some(at.saturating_sub(now))
    }
}
