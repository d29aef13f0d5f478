//! Start times of workers, by the dispatcher's own clock.
//!
//! Starts are reported as times of day. A dispatcher's clock may have been stepped, by seconds or an hour,
//! before it started; then a worker that has just started would pass for a warm one, or stay cold for an
//! hour. What the dispatcher has seen itself bounds the start: it lies in the past, and where a worker begins
//! to stand in the list, not long before the last list that lacked it.

use crate::api::Micros;

/// By how much a list may be late, in microseconds.
const LIST_LATENESS: Micros = 4_000_000;

/// What is known of the lists so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListHistory {
    lists: u32,
    last: Micros,
}

impl ListHistory {
    /// Takes note of a list, or of an answer without changes.
    pub fn record(&mut self, now: Micros) {
        self.lists = self.lists.saturating_add(1);
        self.last = now;
    }

    /// Before which a worker can't have started that the last list lacked. `None` where nothing is known: the
    /// first list may be an old one, and what the next one adds may have been there for long.
    pub fn earliest_start(&self) -> Option<Micros> {
        (self.lists >= 2).then(|| self.last.saturating_sub(LIST_LATENESS))
    }
}

/// When a worker started that is reported to have started at `reported` (0 for long ago). `earliest` is known
/// of one that the last list lacked.
pub fn local_start(reported: Micros, now: Micros, earliest: Option<Micros>) -> Micros {
    if reported == 0 {
        return 0;
    }
    reported.max(earliest.unwrap_or(0)).min(now)
}
