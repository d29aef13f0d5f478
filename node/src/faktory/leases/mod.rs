//! Lease table of the Faktory front: workers, jobs, and the one lease on each job that a worker may hold at a time.
//!
//! The table carries the dispatcher's attempts to workers that wait in a `FETCH`, and reports their outcomes back.

mod assignment;
mod job;
mod submission;
mod workers;

pub use assignment::{Delivery, LeaseError, OFFER_TIMEOUT};
pub use job::{JobNumber, JobState};
pub use submission::{PushError, PushOutcome};
pub use workers::{UnknownWorker, HEARTBEAT_TIMEOUT};

use crate::dispatcher::Handle;
use crate::names::Names;
use dispatch_policy::api::WorkerId;
use job::{IdempotencyKey, Job};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;
use workers::Worker;

/// Shortest time for which the state of an ended job is kept.
const STATE_RETENTION: Duration = Duration::from_secs(60);

/// Time limits of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassLimits {
    /// Time in which a job is to be answered.
    pub deadline: Duration,
    /// Time after a job's end in which a job with the same key is a duplicate of it.
    pub deduplication_window: Duration,
}

/// All workers and jobs of the front.
pub struct LeaseTable {
    dispatcher: Handle<JobNumber>,
    names: Names,
    /// By class number.
    limits: Vec<ClassLimits>,
    workers: BTreeMap<String, Worker>,
    worker_names: HashMap<WorkerId, String>,
    jobs: HashMap<JobNumber, Job>,
    by_jid: HashMap<String, JobNumber>,
    by_key: HashMap<IdempotencyKey, JobNumber>,
    /// Ended jobs, by the time at which they are forgotten.
    expiry: BTreeSet<(Instant, JobNumber)>,
    /// Size of all payloads, in bytes.
    payload_bytes: usize,
    /// Next number of a job or `FETCH`.
    next_number: u64,
}

impl LeaseTable {
    /// Creates an empty table; `limits` holds those of each class, by its number.
    pub fn new(dispatcher: Handle<JobNumber>, names: Names, limits: Vec<ClassLimits>) -> LeaseTable {
        LeaseTable {
            dispatcher,
            names,
            limits,
            workers: BTreeMap::new(),
            worker_names: HashMap::new(),
            jobs: HashMap::new(),
            by_jid: HashMap::new(),
            by_key: HashMap::new(),
            expiry: BTreeSet::new(),
            payload_bytes: 0,
            next_number: 1,
        }
    }

    /// Number of jobs that have not ended.
    pub fn open_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.has_ended()).count()
    }

    /// Number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Number of jobs, ended ones included.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// State of the job that was pushed under this id; `None` if there is none.
    pub fn job_state(&mut self, jid: &str) -> Option<JobState> {
        self.remove_expired();
        self.by_jid.get(jid).and_then(|number| self.jobs.get(number)).map(Job::state)
    }

    fn draw_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Removes the ended jobs whose retention is over.
    fn remove_expired(&mut self) {
        while let Some(&(at, number)) = self.expiry.first() {
            if at > Instant::now() {
                return;
            }
            self.expiry.pop_first();
            self.remove_job(number);
        }
    }

    fn remove_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else { return };
        for jid in &job.jids {
            self.by_jid.remove(jid);
        }
        self.by_key.remove(&job.key);
        self.expiry.retain(|(_, other)| *other != number);
    }
}
