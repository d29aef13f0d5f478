//! Timers of the dispatcher: those of the decision module and the deadlines of requests.

use dispatch_policy::api::RequestId;
use std::collections::BTreeSet;
use std::future::pending;
use tokio::time::{sleep_until, Instant};

/// What a timer is for. Of two that are due at once, the decision module's comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision module asked for it.
    Policy,
    /// The client of this request stops waiting.
    Deadline(RequestId),
}

/// Timers by the time at which they are due.
#[derive(Default)]
pub(super) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub fn schedule(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub fn cancel(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Removes and returns the first timer that is due by now.
    pub fn pop_due(&mut self) -> Option<Timer> {
        let &(at, timer) = self.0.first()?;
        if at > Instant::now() {
            return None;
        }
        self.0.pop_first();
        Some(timer)
    }

    /// Waits until a timer is due; for ever if there is none.
    pub async fn due(&self) {
        match self.0.first() {
            Some((at, _)) => sleep_until(*at).await,
            None => pending().await,
        }
    }
}
