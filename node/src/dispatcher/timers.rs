//! Timers of the dispatcher: those requested by the decision module, and the deadlines of requests.

use dispatch_policy::api::RequestId;
use std::collections::BTreeSet;
use std::future::pending;
use tokio::time::{sleep_until, Instant};

/// Purpose of a timer. Of timers that are due at the same time, the decision module's come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Requested by the decision module.
    Policy,
    /// Deadline of this request.
    Deadline(RequestId),
}

/// Timers, ordered by due time.
#[derive(Default)]
pub(super) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub fn schedule(&mut self, due: Instant, timer: Timer) {
        self.0.insert((due, timer));
    }

    pub fn cancel(&mut self, due: Instant, timer: Timer) {
        self.0.remove(&(due, timer));
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Removes and returns the first timer that is due.
    pub fn pop_due(&mut self) -> Option<Timer> {
        let &(due, timer) = self.0.first()?;
        if due > Instant::now() {
            return None;
        }
        self.0.pop_first();
        Some(timer)
    }

    /// Waits until a timer is due; forever if there is none.
    pub async fn wait_until_due(&self) {
        match self.0.first() {
            Some((due, _)) => sleep_until(*due).await,
            None => pending().await,
        }
    }
}
