//! Assignment of jobs to workers: offers, leases, and how both end.

use super::job::{Attempt, Job, JobNumber};
use super::LeaseTable;
use crate::dispatcher::AttemptId;
use bytes::Bytes;
use dispatch_policy::api::{Outcome, WorkerId};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an attempt waits for a `FETCH` of its worker. Then it ends as rejected by the worker.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// A job that is passed to the session that fetched it.
#[derive(Debug)]
pub struct Delivery {
    /// The job's bytes, as pushed.
    pub payload: Bytes,
    /// The attempt that is delivered.
    pub attempt: AttemptId,
    job: JobNumber,
    /// Whether an earlier attempt may have been executed.
    may_have_executed_before: bool,
}

/// Why an `ACK` or `FAIL` of a worker is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// There is no job with this id.
    #[error("this job is unknown")]
    UnknownJob,
    /// The worker does not hold the lease on the job.
    #[error("this job is not reserved by this worker")]
    NotHeld,
}

impl LeaseTable {
    /// Offers a job to a worker, which gets it with a waiting `FETCH` or one that follows within [`OFFER_TIMEOUT`]. Returns
    /// whether the offer waits.
    pub fn offer(&mut self, attempt: AttemptId, number: JobNumber, worker: WorkerId) -> bool {
        let worker_id = self.worker_ids.get(&worker).cloned().unwrap_or_default();
        let job = self.jobs.get_mut(&number).filter(|job| !job.lost_by.contains(&worker_id));
        let worker = self.workers.get_mut(&worker_id).filter(|worker| !worker.draining);
        let (Some(job), Some(worker)) = (job, worker) else {
            // The worker drains or is gone, or has lost the lease on this job before: its late ACK could not be
            // distinguished from that of the new attempt.
            self.dispatcher.ended(attempt, Outcome::Rejected, None, Bytes::new());
            return false;
        };
        job.attempt = Attempt::Offered(worker_id.clone(), attempt);
        worker.offers.push_back(number);
        self.assign_offers(&worker_id);
        self.jobs.get(&number).is_some_and(|job| matches!(job.attempt, Attempt::Offered(..)))
    }

    /// Assigns the offers of a worker to its waiting `FETCH`es of the same class, oldest first.
    pub(super) fn assign_offers(&mut self, worker_id: &str) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut unassigned = VecDeque::new();
        while let Some(number) = worker.offers.pop_front() {
            let Some(job) = self.jobs.get_mut(&number) else { continue };
            let Attempt::Offered(_, attempt) = job.attempt else { continue };
            let Some(fetch) = worker.take_fetch(job.key.class) else {
                unassigned.push_back(number);
                continue;
            };
            let delivery = Delivery {
                payload: job.payload.clone(),
                attempt,
                job: number,
                may_have_executed_before: job.may_have_executed,
            };
            if fetch.sender.send(delivery).is_err() {
                worker.offers.push_front(number);
                continue;
            }
            job.attempt = Attempt::Leased(worker_id.to_string(), attempt);
            job.may_have_executed = true;
            self.dispatcher.started(attempt);
        }
        worker.offers = unassigned;
    }

    /// Ends an attempt before its worker reports: an offer as rejected, a lease with `outcome`. A later `ACK` or `FAIL` of
    /// the worker is rejected.
    pub fn cancel(&mut self, number: JobNumber, attempt: AttemptId, outcome: Outcome) {
        let Some(job) = self.jobs.get(&number) else { return };
        if job.is_offered(attempt) {
            self.end_attempt(number, Outcome::Rejected);
        } else if job.is_leased(attempt) {
            self.end_attempt(number, outcome);
        }
    }

    /// Ends an offer that was not fetched within [`OFFER_TIMEOUT`].
    pub fn expire_offer(&mut self, number: JobNumber, attempt: AttemptId) {
        if self.jobs.get(&number).is_some_and(|job| job.is_offered(attempt)) {
            self.end_attempt(number, Outcome::Rejected);
        }
    }

    /// Ends a lease whose job was not delivered. If it is not `unsent`, part of it was sent and the worker may execute it.
    pub fn delivery_failed(&mut self, delivery: &Delivery, unsent: bool) {
        let Some(job) = self.jobs.get_mut(&delivery.job) else { return };
        if job.is_leased(delivery.attempt) {
            job.may_have_executed = !unsent || delivery.may_have_executed_before;
            self.end_attempt(delivery.job, if unsent { Outcome::Rejected } else { Outcome::ConnectionLost });
        }
    }

    /// Ends the lease on a job whose worker reports its `outcome`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such job or the worker does not hold the lease on it.
    pub fn finish(&mut self, worker_id: &str, jid: &str, outcome: Outcome) -> Result<(), LeaseError> {
        self.record_activity(worker_id);
        let number = self.numbers_by_jid.get(jid).copied().ok_or(LeaseError::UnknownJob)?;
        let job = &self.jobs[&number];
        if !job.is_leased_to(worker_id) || job.ids[0].jid != jid {
            return Err(LeaseError::NotHeld);
        }
        self.end_attempt(number, outcome);
        Ok(())
    }

    /// Ends the offers to a worker and, if it is gone, its leases.
    pub(super) fn end_attempts(&mut self, worker_id: &str, gone: bool) {
        let outcome = |job: &Job| match &job.attempt {
            Attempt::Offered(worker, _) if worker == worker_id => Some(Outcome::Rejected),
            Attempt::Leased(worker, _) if worker == worker_id && gone => Some(Outcome::ConnectionLost),
            _ => None,
        };
        let ends = self.jobs.iter().filter_map(|(number, job)| Some((*number, outcome(job)?)));
        let mut ends: Vec<(JobNumber, Outcome)> = ends.collect();
        // The dispatcher's decisions must not depend on the order of a hash table.
        ends.sort_by_key(|(number, _)| *number);
        ends.into_iter().for_each(|(number, outcome)| self.end_attempt(number, outcome));
    }

    /// Ends the attempt in flight, if any, and reports its outcome to the dispatcher.
    fn end_attempt(&mut self, number: JobNumber, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let (worker_id, attempt) = match std::mem::replace(&mut job.attempt, Attempt::None) {
            Attempt::None => return,
            Attempt::Offered(worker_id, attempt) | Attempt::Leased(worker_id, attempt) => {
                (worker_id, attempt)
            }
        };
        if outcome == Outcome::ConnectionLost {
            job.lost_by.insert(worker_id.clone());
        }
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.offers.retain(|other| *other != number);
        }
        self.dispatcher.ended(attempt, outcome, None, Bytes::new());
    }
}
