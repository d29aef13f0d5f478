//! Processor time of the calling thread.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Processor time that this thread has used since it started.
fn used() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Measures the processor time of this thread from its creation on.
pub struct Stopwatch {
    started: Duration,
}

impl Stopwatch {
    /// Starts to measure.
    pub fn start() -> Stopwatch {
        Stopwatch { started: used() }
    }

    /// Processor time since the start.
    pub fn elapsed(&self) -> Duration {
        used().saturating_sub(self.started)
    }
}

/// The result of `work`, and the processor time that it took.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let stopwatch = Stopwatch::start();
    let result = work();
    (result, stopwatch.elapsed())
}
