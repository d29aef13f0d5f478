//! Releases what can be released while much memory is in use: idle connections to workers, and idle or incomplete
//! connections of clients.

use super::resource_budget::ResourceBudget;
use std::sync::Weak;
use std::time::Duration;
use tokio::time::interval;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// One in this many client connections is evicted at each check under pressure.
const EVICTION_DIVISOR: usize = 16;

/// Checks the memory at an interval, as long as the frontend exists.
pub async fn relieve_pressure(budget: Weak<ResourceBudget>) {
    let mut interval = interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let Some(budget) = budget.upgrade() else { return };
        if budget.pressure.is_high() {
            budget.pool.close_idle();
            budget.client_slots.evict(budget.client_slots.in_use().div_ceil(EVICTION_DIVISOR));
        }
    }
}
