//! Limits on one measurement: memory and wall-clock time.

use crate::allocation::Memory;
use std::time::{Duration, Instant};

/// Reason why a measurement was not made, or not made to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRun {
    /// More memory than the plan allows.
    #[error("memory: {used_mb} MB were allocated, {limit_mb} MB are allowed")]
    Memory {
        /// Allocated when the limit was seen to be exceeded, in 10^6 bytes.
        used_mb: usize,
        /// The plan's limit, in 10^6 bytes.
        limit_mb: usize,
    },
    /// More wall-clock time than the plan allows.
    #[error("time: {limit_s} s of wall-clock time were over")]
    Time {
        /// The plan's limit, in seconds.
        limit_s: u64,
    },
    /// The nodes did not reach equal views.
    #[error("the views of the nodes were not equal after {after_s} s of emulated time")]
    NotConverged {
        /// Emulated time waited, in seconds.
        after_s: u64,
    },
    /// Some nodes never learned of a change.
    #[error("a change was in force at {reached} of {expected} nodes after {after_s} s of emulated time")]
    NotInForce {
        /// Reports of the change, over all nodes.
        reached: usize,
        /// Reports expected.
        expected: usize,
        /// Emulated time waited, in seconds.
        after_s: u64,
    },
}

/// Limits on one measurement, from the moment of [`Limits::start`] on.
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

    /// The memory that is measured.
    pub fn memory(&self) -> Memory {
        self.memory
    }

    /// Compares memory and time with the limits.
    ///
    /// # Errors
    /// Where a limit is exceeded.
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
