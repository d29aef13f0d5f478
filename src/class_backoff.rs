//! Backoff of a class or a tenant at one worker that rejects it, or leaves it unanswered, while it serves
//! others.

use crate::api::{Micros, SECOND};
use crate::concurrency_limit::REJECTION_GAIN;
use crate::poison::Attribute;
use crate::requests::RequestState;
use crate::table::{ClassId, WorkerIndex};
use std::collections::BTreeMap;

/// Time for which a class stays away from a worker that left it unanswered.
const UNANSWERED_BACKOFF: Micros = 10 * SECOND;
/// The part of attempts without room that a class or tenant has more of at a worker than all requests there,
/// from which on the worker's rejections are its alone.
const CLEARLY_MORE: f64 = 0.3;
/// Doublings of the backoff at a worker that rejects each attempt.
const BACKOFF_DOUBLINGS: f64 = 5.0;
/// The first backoff after a rejection, as a part of a typical run time.
const FIRST_BACKOFF: f64 = 1.0 / 8.0;

/// State of an attribute's requests at one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: Micros,
    /// The part of attempts that found no room.
    rejection_ratio: f64,
}

/// Backoffs by worker and attribute.
#[derive(Default)]
pub struct ClassBackoff {
    backoffs: BTreeMap<(WorkerIndex, Attribute), Backoff>,
}

impl ClassBackoff {
    /// Whether a request stays away from a worker.
    pub fn excludes(&self, request: &RequestState, worker: WorkerIndex, now: Micros) -> bool {
        if self.backoffs.is_empty() {
            return false;
        }
        let excludes = |attribute| self.backoffs.get(&(worker, attribute)).is_some_and(|b| now < b.until);
        Attribute::of(request).any(excludes)
    }

    /// Records that a worker left a request of this class unanswered.
    pub fn record_unanswered(&mut self, worker: WorkerIndex, class: ClassId, now: Micros) {
        let backoff = Backoff { until: now + UNANSWERED_BACKOFF, rejection_ratio: 0.0 };
        self.backoffs.insert((worker, Attribute::Class(class)), backoff);
    }

    /// Records that a worker started a request of this class.
    pub fn record_started(&mut self, worker: WorkerIndex, class: ClassId) {
        self.backoffs.remove(&(worker, Attribute::Class(class)));
    }

    /// Records that a worker served a request.
    pub fn record_success(&mut self, worker: WorkerIndex, request: &RequestState) {
        for attribute in Attribute::of(request) {
            if let Some(backoff) = self.backoffs.get_mut(&(worker, attribute)) {
                backoff.until = 0;
                backoff.rejection_ratio *= 1.0 - REJECTION_GAIN;
            }
        }
    }

    /// Records that a worker rejected a request. Where its class or tenant is rejected there much more often
    /// than all requests are, that one backs off, and the worker's rejection is none of others. Returns
    /// whether that is so.
    pub fn record_rejection(
        &mut self,
        worker: WorkerIndex,
        request: &RequestState,
        worker_rejection_ratio: f64,
        backoff_until: impl Fn(f64) -> Micros,
    ) -> bool {
        let mut is_own = false;
        for attribute in Attribute::shared_by_many(request) {
            let backoff = self.backoffs.entry((worker, attribute)).or_default();
            backoff.rejection_ratio += REJECTION_GAIN * (1.0 - backoff.rejection_ratio);
            if backoff.rejection_ratio >= worker_rejection_ratio + CLEARLY_MORE {
                is_own = true;
                backoff.until = backoff_until(backoff.rejection_ratio);
            }
        }
        is_own
    }
}

/// How long to stay away after a rejection: the longer, the more attempts are rejected.
pub fn backoff_us(typical_run_us: f64, rejection_ratio: f64) -> Micros {
    (typical_run_us * FIRST_BACKOFF * (rejection_ratio * BACKOFF_DOUBLINGS).exp2()) as Micros
}

/// Bound of the random part of a backoff.
pub fn backoff_jitter(typical_run_us: f64) -> Micros {
    (typical_run_us * FIRST_BACKOFF) as Micros
}
