//! Table of the requests that were submitted and are not done.

use super::{AttemptId, AttemptStart, Frontend};
use dispatch_policy::api::{Idempotency, RequestId, Settings};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Rules by which a request's class may be retried, as they were when the request came in.
#[derive(Clone, Copy)]
pub(super) struct RetryRules {
    idempotency: Idempotency,
    window: Duration,
}

impl RetryRules {
    pub fn of(settings: &Settings, class: usize) -> RetryRules {
        let class = &settings.classes[class.min(settings.classes.len() - 1)];
        RetryRules {
            idempotency: class.idempotency,
            window: Duration::from_micros(class.deduplication_window_us),
        }
    }

    /// Whether a request may be sent now whose first attempt that may have run was sent at this time.
    pub fn allow(&self, may_have_run: Option<Instant>) -> bool {
        let Some(first) = may_have_run else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey(_) => first.elapsed() < self.window,
            Idempotency::NotIdempotent => false,
        }
    }
}

/// State of a request's attempt; there is one at most.
pub(super) enum AttemptState<A> {
    /// No attempt is in flight.
    Idle,
    /// One is in flight, with the front end's handle on it.
    Running(A),
    /// One is in flight that was told to stop; its outcome is still to come.
    Stopping,
}

impl<A> AttemptState<A> {
    pub fn is_in_flight(&self) -> bool {
        !matches!(self, AttemptState::Idle)
    }

    pub fn running(&self) -> Option<&A> {
        match self {
            AttemptState::Running(attempt) => Some(attempt),
            AttemptState::Idle | AttemptState::Stopping => None,
        }
    }

    /// Marks a running attempt as stopping and returns its handle.
    pub fn begin_stop(&mut self) -> Option<A> {
        match std::mem::replace(self, AttemptState::Stopping) {
            AttemptState::Running(attempt) => Some(attempt),
            other => {
                *self = other;
                None
            }
        }
    }
}

/// A request in the table, until it is answered and no attempt is in flight.
pub(super) struct RequestEntry<F: Frontend> {
    /// The job, until its answer.
    pub job: Option<F::Job>,
    pub deadline: Instant,
    pub attempts: u32,
    /// Most attempts, by the settings under which the request came in.
    pub max_attempts: u32,
    pub last_attempt: Option<AttemptStart>,
    pub retry_rules: RetryRules,
    /// Micros at which the first attempt was sent that may have run.
    pub may_have_run: Option<Instant>,
    pub attempt: AttemptState<F::Attempt>,
}

impl<F: Frontend> RequestEntry<F> {
    fn is_done(&self) -> bool {
        self.job.is_none() && !self.attempt.is_in_flight()
    }
}

/// The requests, by their ids.
pub(super) struct RequestTable<F: Frontend>(HashMap<RequestId, RequestEntry<F>>);

impl<F: Frontend> Default for RequestTable<F> {
    fn default() -> Self {
        RequestTable(HashMap::new())
    }
}

impl<F: Frontend> RequestTable<F> {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn insert(&mut self, id: RequestId, entry: RequestEntry<F>) {
        self.0.insert(id, entry);
    }

    pub fn remove(&mut self, id: RequestId) -> Option<RequestEntry<F>> {
        self.0.remove(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&RequestEntry<F>> {
        self.0.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry<F>> {
        self.0.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &RequestEntry<F>)> {
        self.0.iter()
    }

    pub fn is_done(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(RequestEntry::is_done)
    }

    /// Whether this attempt is in flight.
    pub fn is_in_flight(&self, tag: AttemptId) -> bool {
        self.get(tag.request).is_some_and(|e| e.attempt.is_in_flight() && e.attempts == tag.attempt + 1)
    }
}
