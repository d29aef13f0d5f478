//! Time at which the platform may kill a stopping process. It follows from the settings in force alone, unlike the time for
//! which work in this process may last: requests keep the deadline of settings that are no longer in force.

use crate::phase::Phases;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM within which an arriving request may be interrupted by SIGKILL; later ones must be answered
/// before.
const INTERRUPTIBLE_PERIOD: Duration = Duration::from_millis(700);
/// Cap on the deadline that counts towards the time of SIGKILL. SIGKILL comes no sooner after SIGTERM than 0.7 s plus
/// the longest deadline of a class, of which at most this much is counted.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Reserve before SIGKILL: time for an answer to reach its client, and for a SIGTERM that is noticed late because the
/// process was blocked or a wake-up was lost (see [`crate::signals`]).
const KILL_RESERVE: Duration = Duration::from_millis(180);

/// Time at which a stopping process may be killed, by the settings of one frontend. All clones share it.
#[derive(Clone)]
pub struct KillTime {
    phases: Phases,
    longest_deadline: Arc<Mutex<Duration>>,
}

impl KillTime {
    /// Creates the state for settings whose longest deadline of an offered class is this one.
    pub fn new(phases: Phases, longest_offered_deadline: Duration) -> KillTime {
        KillTime { phases, longest_deadline: Arc::new(Mutex::new(longest_offered_deadline)) }
    }

    /// Records the longest deadline of newer settings. In a process that was told to stop only a shorter one counts, as the
    /// platform may go by either.
    pub fn settings_changed(&self, longest_offered_deadline: Duration) {
        let mut current = self.lock();
        *current = match self.phases.stopped_at() {
            Some(_) => longest_offered_deadline.min(*current),
            None => longest_offered_deadline,
        };
    }

    /// Time by which a request that arrives now must be answered because SIGKILL may come before its own deadline;
    /// `None` if the process is not stopping, or the request may be interrupted.
    pub fn answer_deadline(&self) -> Option<Instant> {
        self.phases.stopped_at().filter(|at| at.elapsed() > INTERRUPTIBLE_PERIOD)?;
        self.end_deadline()
    }

    /// Time by which this process should have ended because SIGKILL may come then; `None` if it was not told to stop.
    pub fn end_deadline(&self) -> Option<Instant> {
        let killed_after = self.counted_deadline() + INTERRUPTIBLE_PERIOD;
        self.phases.stopped_at().map(|at| at + killed_after - KILL_RESERVE)
    }

    /// Whether requests with this deadline may outlast the process although they were open when it was told to stop: they
    /// have it from settings that are no longer in force.
    pub fn is_outlasted_by(&self, deadline: Duration) -> bool {
        deadline.min(MAX_COUNTED_DEADLINE) > self.counted_deadline()
    }

    fn counted_deadline(&self) -> Duration {
        self.lock().min(MAX_COUNTED_DEADLINE)
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.longest_deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
