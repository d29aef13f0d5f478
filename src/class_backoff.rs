//! Backoff of a class or tenant at a single worker that rejects its requests, or leaves them unanswered,
//! while it serves others.

use crate::api::{Micros, SECOND};
use crate::concurrency_limit::REJECTION_GAIN;
use crate::poison::Attribute;
use crate::requests::RequestState;
use crate::table::{ClassId, WorkerIndex};
use std::collections::BTreeMap;

/// Backoff of a class at a worker that left its request unanswered.
const UNANSWERED_BACKOFF: Micros = 10 * SECOND;
/// Minimum excess of a class's or tenant's rejection ratio at a worker, over that of all requests there, at
/// which the rejections are attributed to it alone.
const MIN_EXCESS_RATIO: f64 = 0.3;
/// Number of times that the backoff doubles at a worker that rejects every attempt.
const BACKOFF_DOUBLINGS: f64 = 5.0;
/// Initial backoff after a rejection, as a fraction of a typical run time.
const FIRST_BACKOFF_RATIO: f64 = 1.0 / 8.0;

/// State of one attribute at one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: Micros,
    /// Fraction of attempts rejected for lack of capacity.
    rejection_ratio: f64,
}

/// Backoffs by worker and attribute.
#[derive(Default)]
pub struct ClassBackoff {
    backoffs: BTreeMap<(WorkerIndex, Attribute), Backoff>,
}

impl ClassBackoff {
    /// Returns whether a request must not be sent to a worker at present.
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

    /// Records that a worker rejected a request. If its class or tenant is rejected there much more often
    /// than all requests are, only that class or tenant backs off, and the rejection is not attributed to the
    /// worker. Returns whether that is the case.
    pub fn record_rejection(
        &mut self,
        worker: WorkerIndex,
        request: &RequestState,
        worker_rejection_ratio: f64,
        backoff_until: impl Fn(f64) -> Micros,
    ) -> bool {
        let mut is_attributed = false;
        for attribute in Attribute::class_and_tenant(request) {
            let backoff = self.backoffs.entry((worker, attribute)).or_default();
            backoff.rejection_ratio += REJECTION_GAIN * (1.0 - backoff.rejection_ratio);
            if backoff.rejection_ratio >= worker_rejection_ratio + MIN_EXCESS_RATIO {
                is_attributed = true;
                backoff.until = backoff_until(backoff.rejection_ratio);
            }
        }
        is_attributed
    }
}

/// Returns the backoff after a rejection, which grows with the rejection ratio.
pub fn backoff_us(median_run_us: f64, rejection_ratio: f64) -> Micros {
    (median_run_us * FIRST_BACKOFF_RATIO * (rejection_ratio * BACKOFF_DOUBLINGS).exp2()) as Micros
}

/// Returns the upper bound of the random component of a backoff.
pub fn backoff_jitter(median_run_us: f64) -> Micros {
    (median_run_us * FIRST_BACKOFF_RATIO) as Micros
}
