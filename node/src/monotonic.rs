//! The machine's monotonic clock, which all its processes read alike. Points in time that one process passes to another
//! are told by it.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;
use tokio::time::Instant;

/// Time of the clock now.
pub fn now() -> Duration {
    read(ClockId::Monotonic)
}

/// Time of a clock that starts with the machine.
pub(crate) fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Time of the clock at an earlier instant of this process.
pub fn at(instant: Instant) -> Duration {
    now().saturating_sub(instant.elapsed())
}

/// Time that has passed since this time of the clock.
pub fn elapsed_since(time: Duration) -> Duration {
    now().saturating_sub(time)
}
