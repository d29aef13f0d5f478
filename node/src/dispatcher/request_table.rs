//! Table of the requests that were submitted and are not finished.

use super::{AttemptId, AttemptStart, Frontend};
use dispatch_policy::api::{Idempotency, RequestId, Settings};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Retry rules of a request's class, as they were when the request arrived.
#[derive(Clone, Copy)]
pub(super) struct RetryRules {
    idempotency: Idempotency,
    window: Duration,
}

impl RetryRules {
    pub fn for_class(settings: &Settings, class: usize) -> RetryRules {
        let class = &settings.classes[class.min(settings.classes.len() - 1)];
        RetryRules {
            idempotency: class.idempotency,
            window: Duration::from_micros(class.deduplication_window_us),
        }
    }

    /// Whether a request may be sent now. The argument is the time of the first attempt that may have been executed.
    pub fn allows(&self, first_possible_execution: Option<Instant>) -> bool {
        let Some(first) = first_possible_execution else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey(_) => first.elapsed() < self.window,
            Idempotency::NotIdempotent => false,
        }
    }
}

/// State of the attempt of a request, which has at most one in flight.
pub(super) enum AttemptState<A> {
    /// No attempt is in flight.
    Idle,
    /// One is in flight; the frontend's handle on it.
    Running(A),
    /// One is in flight and was told to stop; its outcome is pending.
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

/// Request in the table, kept until it is answered and no attempt is in flight.
pub(super) struct RequestEntry<F: Frontend> {
    /// The job, until the request is answered or its client leaves.
    pub job: Option<F::Job>,
    pub class: usize,
    /// Time by which it is answered.
    pub deadline: Instant,
    /// Whether that is earlier than the deadline that the decision module knows.
    pub is_deadline_limited: bool,
    pub attempts: u32,
    /// Maximum number of attempts, by the settings at the request's arrival.
    pub max_attempts: u32,
    pub last_attempt: Option<AttemptStart>,
    pub retry_rules: RetryRules,
    /// Time at which the first attempt was sent that may have been executed.
    pub first_possible_execution: Option<Instant>,
    pub attempt: AttemptState<F::Attempt>,
}

impl<F: Frontend> RequestEntry<F> {
    fn is_finished(&self) -> bool {
        self.job.is_none() && !self.attempt.is_in_flight()
    }
}

/// The requests by id.
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

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&RequestId, &mut RequestEntry<F>)> {
        self.0.iter_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &RequestEntry<F>)> {
        self.0.iter()
    }

    pub fn is_finished(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(RequestEntry::is_finished)
    }

    /// Whether this attempt is in flight.
    pub fn is_in_flight(&self, attempt_id: AttemptId) -> bool {
        self.get(attempt_id.request)
            .is_some_and(|e| e.attempt.is_in_flight() && e.attempts == attempt_id.attempt + 1)
    }
}
