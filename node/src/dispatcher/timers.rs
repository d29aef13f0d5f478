//! Timers of the dispatcher: those requested by the decision module, and the deadlines of requests.

use dispatch_policy::api::RequestId;
use std::collections::BTreeSet;
use std::future::pending;
use tokio::time::{sleep_until, Instant};

/// Purpose of a timer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Timer {
    /// Requested by the decision module.
    Policy,
    /// Deadline of this request.
    Deadline(RequestId),
}

/// Timers, ordered by due time.
#[derive(Default)]
pub(super) struct Timers {
    policy: BTreeSet<Instant>,
    deadlines: BTreeSet<(Instant, RequestId)>,
}

impl Timers {
    /// Schedules a timer of the decision module.
    pub fn schedule_policy(&mut self, due: Instant) {
        self.policy.insert(due);
    }

    /// Schedules the deadline of a request.
    pub fn schedule_deadline(&mut self, due: Instant, id: RequestId) {
        self.deadlines.insert((due, id));
    }

    /// Cancels the deadline of a request.
    pub fn cancel_deadline(&mut self, due: Instant, id: RequestId) {
        self.deadlines.remove(&(due, id));
    }

    /// Number of timers.
    pub fn len(&self) -> usize {
        self.policy.len() + self.deadlines.len()
    }

    /// Removes and returns a timer that is due. Those of the decision module come first, however late: it answers
    /// requests before their deadlines.
    pub fn pop_due(&mut self) -> Option<Timer> {
        let now = Instant::now();
        if self.policy.first().is_some_and(|due| *due <= now) {
            self.policy.pop_first();
            return Some(Timer::Policy);
        }
        if self.deadlines.first().is_some_and(|(due, _)| *due <= now) {
            return self.deadlines.pop_first().map(|(_, id)| Timer::Deadline(id));
        }
        None
    }

    /// Waits until a timer is due; forever if there is none.
    pub async fn wait_until_due(&self) {
        let policy = self.policy.first().copied();
        let deadline = self.deadlines.first().map(|(due, _)| *due);
        match policy.into_iter().chain(deadline).min() {
            Some(due) => sleep_until(due).await,
            None => pending().await,
        }
    }
}
