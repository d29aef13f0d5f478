//! Retries: the budget of attempts beyond a request's first, and where a request may be executed again.

use crate::api::{ClassSettings, Idempotency, KeyScope, Micros, Settings};
use crate::sliding_count::SlidingCount;

/// The part of the budget for requests whose last attempt was not executed: their clients can be told to come
/// back, so that requests that were lost come first.
const NOT_EXECUTED_PART: f64 = 0.5;

/// Requests received and retries made, while they count.
#[derive(Default)]
pub struct RetryUsage {
    received: SlidingCount,
    retries: SlidingCount,
}

impl RetryUsage {
    /// Records a request that was received.
    pub fn record_received(&mut self, now: Micros) {
        self.received.add(now);
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.add(now);
    }

    /// Whether the budget allows one more retry. What lies at the window's edges counts against it.
    pub fn allows(&mut self, settings: &Settings, now: Micros) -> bool {
        self.allows_within(settings, now, 1.0)
    }

    /// Whether the budget allows to retry a request that may have been executed, or surely was not.
    pub fn allows_after(&mut self, settings: &Settings, now: Micros, may_have_executed: bool) -> bool {
        let part = if may_have_executed { 1.0 } else { NOT_EXECUTED_PART };
        self.allows_within(settings, now, part)
    }

    fn allows_within(&mut self, settings: &Settings, now: Micros, part: f64) -> bool {
        let Some(budget) = settings.rules.retry_budget else { return true };
        let from = now.saturating_sub(budget.window_us);
        let resolution = settings.clock_resolution_us;
        let received = self.received.since(from + resolution + 1) as f64;
        let allowed = budget.min_retries + budget.ratio * received;
        let made = self.retries.since(from.saturating_sub(resolution)) as f64;
        made + 1.0 <= allowed * part
    }
}

/// Zone and cell of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u32,
}

/// Whether a request may be sent to a worker though its first attempt, at another one, may have been
/// executed.
pub fn may_execute_again(
    class: &ClassSettings,
    settings: &Settings,
    now: Micros,
    deduplicated_until: Micros,
    first: Locality,
    worker: Locality,
) -> bool {
    let scope = match class.idempotency {
        Idempotency::Idempotent => return true,
        Idempotency::NotIdempotent => return false,
        Idempotency::WithKey(scope) => scope,
    };
    let arrives_by = now + settings.max_send_delay_us + 2 * settings.clock_resolution_us;
    let shares_keys = match scope {
        KeyScope::Fleet => true,
        KeyScope::Zone => first.zone == worker.zone,
        KeyScope::Cell => first.cell == worker.cell,
    };
    arrives_by < deduplicated_until && shares_keys
}

/// Whether a client may be told to retry a request of this class that may have been executed.
pub fn client_may_retry(class: &ClassSettings) -> bool {
    matches!(class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::Fleet))
}
