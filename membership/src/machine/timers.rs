//! Timers of a machine, on a local clock that excludes the time in which the process was stalled.

use crate::member::Identity;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lateness of a timer above which the process is considered to have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Kind of a timer.
pub(super) enum Timer {
    /// A timer of `foca`.
    Foca(foca::Timer<Identity>),
    /// Contacts members and seeds that are missing from the view.
    Reconnect,
    /// Rejoins after this node was declared dead, unless another process has its name.
    Rejoin,
}

/// Pending timers, ordered by due time.
///
/// Prevents a stalled process from declaring others dead: when a timer is late by more than [`STALL_THRESHOLD`], the
/// delay is subtracted from the local time, so that answers missed during the stall don't count as failed probes.
#[derive(Default)]
pub(super) struct Timers {
    /// By due time and insertion number.
    pending: BTreeMap<(Duration, u64), Timer>,
    /// Number of timers ever scheduled.
    scheduled_total: u64,
    /// Total duration of all stalls.
    stalled_total: Duration,
}

impl Timers {
    /// Schedules a timer to expire `after` the local time `now`.
    pub fn schedule(&mut self, now: Duration, timer: Timer, after: Duration) {
        self.scheduled_total += 1;
        self.pending.insert((now + after, self.scheduled_total), timer);
    }

    /// Due time of the next timer, on the embedder's clock.
    pub fn next_due(&self) -> Duration {
        self.next_local_due().map_or(Duration::MAX, |due| due + self.stalled_total)
    }

    /// Removes and returns the next timer that is due at the local time `now`.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let entry = self.pending.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// Converts the embedder's time to local time, after detecting a stall.
    pub fn advance(&mut self, now: Duration) -> Duration {
        let local = self.local_time(now);
        match self.next_local_due() {
            Some(due) if local > due + STALL_THRESHOLD => {
                self.stalled_total += local - due;
                due
            }
            _ => local,
        }
    }

    /// Converts the embedder's time to local time.
    pub fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stalled_total)
    }

    fn next_local_due(&self) -> Option<Duration> {
        self.pending.keys().next().map(|(due, _)| *due)
    }
}
