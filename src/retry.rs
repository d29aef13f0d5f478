//! Retry budget, and the conditions under which a request may be executed again.

use crate::api::{ClassSettings, Idempotency, KeyScope, Micros, Settings, UNKNOWN_ZONE};
use crate::sliding_count::{Rounding, SlidingCount};

/// Fraction of the budget available to requests whose last attempt was not executed. Their clients can be
/// told to retry, so requests that may have been lost take precedence.
const NOT_EXECUTED_BUDGET_RATIO: f64 = 0.5;

/// Requests received and retries made within the budget's window. Nothing is counted without a budget.
pub struct RetryUsage {
    received: SlidingCount,
    retries: SlidingCount,
}

impl Default for RetryUsage {
    fn default() -> Self {
        // Both are rounded against the budget.
        RetryUsage { received: SlidingCount::new(Rounding::Down), retries: SlidingCount::new(Rounding::Up) }
    }
}

impl RetryUsage {
    /// Records a received request.
    pub fn record_received(&mut self, settings: &Settings, now: Micros) {
        record(&mut self.received, settings, now);
    }

    /// Records a retry.
    pub fn record_retry(&mut self, settings: &Settings, now: Micros) {
        record(&mut self.retries, settings, now);
    }

    /// Returns whether the budget allows another retry. Events at the edges of the window are counted against
    /// it.
    pub fn allows(&mut self, settings: &Settings, now: Micros) -> bool {
        self.allows_within(settings, now, 1.0)
    }

    /// Returns whether the budget allows another retry after a failed attempt. If `may_have_executed`, the
    /// whole budget is available; if not, only `NOT_EXECUTED_BUDGET_RATIO` of it.
    pub fn allows_after(&mut self, settings: &Settings, now: Micros, may_have_executed: bool) -> bool {
        let budget_ratio = if may_have_executed { 1.0 } else { NOT_EXECUTED_BUDGET_RATIO };
        self.allows_within(settings, now, budget_ratio)
    }

    fn allows_within(&mut self, settings: &Settings, now: Micros, budget_ratio: f64) -> bool {
        let Some(budget) = settings.rules.retry_budget else { return true };
        let window_start = now.saturating_sub(budget.window_us);
        let resolution = settings.clock_resolution_us;
        let received = self.received.since(window_start + resolution + 1) as f64;
        let allowed = budget.min_retries + budget.ratio * received;
        let retried = self.retries.since(window_start.saturating_sub(resolution)) as f64;
        retried + 1.0 <= allowed * budget_ratio
    }
}

/// Counts an event if there is a budget.
fn record(count: &mut SlidingCount, settings: &Settings, now: Micros) {
    match settings.rules.retry_budget {
        Some(budget) => count.add(now, budget.window_us + settings.clock_resolution_us),
        None => count.clear(),
    }
}

/// Location of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Zone; [`UNKNOWN_ZONE`] if the settings do not name it.
    pub zone: u8,
    /// Cell.
    pub cell: u32,
}

impl Locality {
    /// Whether both are certain to be in the same zone. Unknown zones may be different ones.
    fn shares_zone_with(self, other: Locality) -> bool {
        self.zone == other.zone && self.zone != UNKNOWN_ZONE
    }
}

/// Returns whether a request may be sent to this worker even though its first attempt, at another worker, may
/// have been executed. Workers whose location is unknown share their keys only with the whole fleet.
pub fn may_execute_again(
    class: &ClassSettings,
    settings: &Settings,
    now: Micros,
    deduplicated_until: Micros,
    first: Option<Locality>,
    worker: Option<Locality>,
) -> bool {
    let scope = match class.idempotency {
        Idempotency::Idempotent => return true,
        Idempotency::NotIdempotent => return false,
        Idempotency::WithKey(scope) => scope,
    };
    let latest_arrival = now + settings.max_send_delay_us + 2 * settings.clock_resolution_us;
    let shares_keys = match (scope, first, worker) {
        (KeyScope::Fleet, _, _) => true,
        (KeyScope::Zone, Some(first), Some(worker)) => first.shares_zone_with(worker),
        (KeyScope::Cell, Some(first), Some(worker)) => first.cell == worker.cell,
        (KeyScope::Zone | KeyScope::Cell, _, _) => false,
    };
    latest_arrival < deduplicated_until && shares_keys
}

/// Returns whether clients may be told to retry requests of this class that may have been executed.
pub fn client_may_retry(class: &ClassSettings) -> bool {
    matches!(class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::Fleet))
}
