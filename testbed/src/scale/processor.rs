//! Processor time of the calling thread.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Processor time that this thread has used since its start.
fn used() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Measures the processor time of this thread.
pub struct Stopwatch {
    started: Duration,
}

impl Stopwatch {
    /// Starts to measure.
    pub fn start() -> Stopwatch {
        Stopwatch { started: used() }
    }

    /// Returns the processor time since the start.
    pub fn elapsed(&self) -> Duration {
        used().saturating_sub(self.started)
    }
}

/// Runs `work` and returns its result and its processor time.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let stopwatch = Stopwatch::start();
    let result = work();
    (result, stopwatch.elapsed())
}
