//! Timers of a machine, on a clock that excludes the time in which the process did not run.

use crate::member::Identity;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay of a timer from which on the process is taken to have been stalled.
const STALL_MIN: Duration = Duration::from_millis(500);

/// A timer.
pub(super) enum Timer {
    /// A timer of `foca`.
    Foca(foca::Timer<Identity>),
    /// Contact members and seeds that are missing from the view.
    Contact,
    /// Rejoin after having been held dead, unless another process has the name.
    Rejoin,
}

/// Pending timers, in order of their time.
///
/// Guards against deaths declared by a process that was itself stalled: when a timer is late by more than
/// [`STALL_MIN`], the delay is taken out of the local time, so that answers missed meanwhile are held against nobody.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<(Duration, u64), Timer>,
    scheduled: u64,
    stalled: Duration,
}

impl Timers {
    /// Adds a timer that fires `after` the local time `now`.
    pub fn schedule(&mut self, now: Duration, timer: Timer, after: Duration) {
        self.scheduled += 1;
        self.pending.insert((now + after, self.scheduled), timer);
    }

    /// The embedder's time at which the next timer fires.
    pub fn due(&self) -> Duration {
        self.next().map_or(Duration::MAX, |at| at + self.stalled)
    }

    /// Removes and returns the next timer that fires at or before the local time `now`.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let entry = self.pending.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// Converts the embedder's time to local time, and detects a stall.
    pub fn advance(&mut self, now: Duration) -> Duration {
        let local = self.local_time(now);
        match self.next() {
            Some(due) if local > due + STALL_MIN => {
                self.stalled += local - due;
                due
            }
            _ => local,
        }
    }

    /// Converts the embedder's time to local time.
    pub fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stalled)
    }

    fn next(&self) -> Option<Duration> {
        self.pending.keys().next().map(|(at, _)| *at)
    }
}
