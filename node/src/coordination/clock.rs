//! Clock of leases.

use crate::monotonic;
use rustix::time::ClockId;
use std::time::Duration;

/// Returns the time of a monotonic clock that includes the time for which the machine is suspended.
pub(super) fn boottime() -> Duration {
    monotonic::read(ClockId::Boottime)
}
