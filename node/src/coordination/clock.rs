//! Clock of leases.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the time of a monotonic clock that includes the time for which the machine is suspended.
pub(super) fn boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
