//! Start times of workers by the dispatcher's own clock.
//!
//! Start times are reported in wall-clock time, but a dispatcher's clock may be off by seconds or an hour. A
//! worker that has just started would then be taken for a warm one, or count as warming up for an hour.
//! Therefore the dispatcher bounds start times by its own observations: a start is in the past, and the start
//! of a worker that is new in the list is not long before the previous list.

use crate::api::Micros;

/// Maximum delay of an endpoint list.
const MAX_LIST_DELAY_US: Micros = 4_000_000;

/// Endpoint lists received so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListHistory {
    list_count: u32,
    last_list_at: Micros,
}

impl ListHistory {
    /// Records a list, or a response without changes.
    pub fn record(&mut self, now: Micros) {
        self.list_count = self.list_count.saturating_add(1);
        self.last_list_at = now;
    }

    /// Earliest possible start time of a worker that was not in the previous list. `None` before the second
    /// list: the first one may be outdated, so workers added by the next one may have been there for long.
    pub fn earliest_start(&self) -> Option<Micros> {
        (self.list_count >= 2).then(|| self.last_list_at.saturating_sub(MAX_LIST_DELAY_US))
    }
}

/// Converts a worker's reported start time to the dispatcher's clock; 0 for long ago. `earliest` is the lower
/// bound for a worker that was not in the previous list.
pub fn local_start(reported: Micros, now: Micros, earliest_start: Option<Micros>) -> Micros {
    if reported == 0 {
        return 0;
    }
    reported.max(earliest_start.unwrap_or(0)).min(now)
}
