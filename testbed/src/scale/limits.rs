//! Limits on one measurement: memory and wall-clock time.

use crate::allocation::Memory;
use std::time::{Duration, Instant};

/// Reason why a measurement was not started or not completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRun {
    /// The plan allows less memory.
    #[error("memory: {used_mb} MB were allocated, {limit_mb} MB are allowed")]
    Memory {
        /// Memory allocated when the check failed, in 10^6 bytes.
        used_mb: usize,
        /// The plan's limit, in 10^6 bytes.
        limit_mb: usize,
    },
    /// The plan allows less wall-clock time.
    #[error("time: {limit_s} s of wall-clock time were over")]
    Time {
        /// The plan's limit, in seconds.
        limit_s: u64,
    },
    /// The views of the nodes did not converge.
    #[error("the views of the nodes were not equal after {after_s} s of emulated time")]
    NotConverged {
        /// Emulated time waited, in seconds.
        after_s: u64,
    },
    /// A change did not reach all nodes.
    #[error("a change was in force at {reached} of {expected} nodes after {after_s} s of emulated time")]
    NotInForce {
        /// Number of reports of the change, over all nodes.
        reached: usize,
        /// Number of reports expected.
        expected: usize,
        /// Emulated time waited, in seconds.
        after_s: u64,
    },
}

/// Limits on one measurement, counted from [`Limits::start`] on.
pub struct Limits {
    memory: Memory,
    memory_limit: usize,
    time_limit: Duration,
    started: Instant,
}

/// Bytes in a megabyte.
const MEGABYTE: usize = 1_000_000;

impl Limits {
    /// Starts the clock of one measurement.
    pub fn start(memory: Memory, memory_mb: usize, time_limit: Duration) -> Limits {
        Limits { memory, memory_limit: memory_mb * MEGABYTE, time_limit, started: Instant::now() }
    }

    /// Returns the memory that is measured.
    pub fn memory(&self) -> Memory {
        self.memory
    }

    /// Compares memory and time with the limits.
    ///
    /// # Errors
    /// [`NotRun`] if a limit is exceeded.
    pub fn check(&self) -> Result<(), NotRun> {
        let used = self.memory.allocated();
        if used > self.memory_limit {
            return Err(NotRun::Memory { used_mb: used / MEGABYTE, limit_mb: self.memory_limit / MEGABYTE });
        }
        if self.started.elapsed() > self.time_limit {
            return Err(NotRun::Time { limit_s: self.time_limit.as_secs() });
        }
        Ok(())
    }
}
