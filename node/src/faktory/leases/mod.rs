//! Lease table of the Faktory frontend: workers, jobs, and the lease on a job that at most one worker holds at a time.
//!
//! The table assigns the dispatcher's attempts to waiting `FETCH`es of workers, and reports outcomes to the dispatcher.

mod assignment;
mod job;
mod submission;
mod supersession;
mod table_limits;
mod workers;

pub use assignment::{Delivery, LeaseError, OFFER_TIMEOUT};
pub use job::{JobNumber, JobState, SessionNumber, TrackedJob};
pub use submission::{Intake, PushError, PushOutcome};
pub use table_limits::TableLimits;
pub use workers::{UnknownWorker, HEARTBEAT_TIMEOUT};

use crate::dispatcher::Handle;
use crate::names::Names;
use dispatch_policy::api::{Idempotency, WorkerId};
use job::{IdempotencyKey, Job, PushedId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;
use workers::Worker;

/// Minimum time for which the state of an ended job is kept.
const STATE_RETENTION: Duration = Duration::from_secs(60);
/// Time after its deadline within which a command that a client sent before may arrive.
const LATE_COMMAND_GRACE: Duration = Duration::from_secs(1);

/// Time after a job's end within which its client asks for its state, as far as a process that is to end can wait.
const READING_TIME: Duration = Duration::from_millis(500);

/// Time limits of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassLimits {
    /// Longest time from submission to the final answer.
    pub deadline: Duration,
    /// Time after a job's end in which a push with the same key is a duplicate of it.
    pub deduplication_window: Duration,
}

impl ClassLimits {
    /// Time for which an ended job is kept. A client may push it again, or ask for its end, until its deadline has passed.
    fn retention(&self) -> Duration {
        let until_client_gives_up = self.deadline + LATE_COMMAND_GRACE;
        STATE_RETENTION.max(self.deduplication_window).max(until_client_gives_up)
    }
}

/// The workers and jobs of the frontend.
pub struct LeaseTable {
    dispatcher: Handle<JobNumber>,
    names: Names,
    /// By class number.
    limits: Vec<ClassLimits>,
    workers: BTreeMap<String, Worker>,
    worker_ids: HashMap<WorkerId, String>,
    jobs: HashMap<JobNumber, Job>,
    numbers_by_jid: HashMap<String, JobNumber>,
    numbers_by_key: HashMap<IdempotencyKey, JobNumber>,
    /// Ended jobs by the time at which they are removed.
    expiries: BTreeSet<(Instant, JobNumber)>,
    /// Ended jobs that may be removed earlier, by the time at which they are removed: their clients have read the answer,
    /// and they may run again.
    releasable: BTreeSet<(Instant, JobNumber)>,
    /// Number of ids of jobs in the table, by the session that pushed them.
    ids_by_session: HashMap<SessionNumber, usize>,
    table_limits: TableLimits,
    /// Total size of the payloads, in bytes.
    payload_bytes: usize,
    /// Number of the next job or `FETCH`.
    next_number: u64,
}

impl LeaseTable {
    /// Creates an empty table; `limits` are by class number.
    pub fn new(dispatcher: Handle<JobNumber>, names: Names, limits: Vec<ClassLimits>) -> LeaseTable {
        LeaseTable {
            dispatcher,
            names,
            limits,
            workers: BTreeMap::new(),
            worker_ids: HashMap::new(),
            jobs: HashMap::new(),
            numbers_by_jid: HashMap::new(),
            numbers_by_key: HashMap::new(),
            expiries: BTreeSet::new(),
            releasable: BTreeSet::new(),
            ids_by_session: HashMap::new(),
            table_limits: TableLimits::default(),
            payload_bytes: 0,
            next_number: 1,
        }
    }

    /// Sets the limits of the table.
    pub fn with_limits(self, table_limits: TableLimits) -> LeaseTable {
        LeaseTable { table_limits, ..self }
    }

    /// Number of jobs that have not ended.
    pub fn open_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.has_ended()).count()
    }

    /// Number of workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Number of jobs, including ended ones.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The job that was pushed last under this id; `None` if there is no such job.
    pub fn track(&mut self, jid: &str) -> Option<TrackedJob> {
        self.remove_expired();
        let number = *self.numbers_by_jid.get(jid)?;
        Some(TrackedJob { number, state: self.jobs.get(&number)?.state() })
    }

    /// State of the job that was pushed last under this id; `None` if there is no such job.
    pub fn job_state(&mut self, jid: &str) -> Option<JobState> {
        self.track(jid).map(|job| job.state)
    }

    /// Records that the client that pushed a job under this id has read its final answer.
    pub fn answer_read(&mut self, number: JobNumber, jid: &str) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.unread_by.remove(jid);
        let Some(job) = self.jobs.get(&number) else { return };
        if let Some(at) = job.expires_at.filter(|_| self.is_releasable(job)) {
            self.releasable.insert((at, number));
        }
    }

    /// Whether jobs of a class may be executed more than once.
    fn is_idempotent(&self, class: usize) -> bool {
        self.names.idempotency(class) == Idempotency::Idempotent
    }

    /// Number of ended jobs whose answer a client that still waits has not read.
    pub fn unread_count(&self) -> usize {
        let now = Instant::now();
        self.jobs.values().filter(|job| job.has_unread_answer(now)).count()
    }

    /// Whether a final answer is owed that clients may still read: until `end`, or shortly after the end of a job that ended
    /// late.
    pub fn owes_answers(&self, end: Instant) -> bool {
        let now = Instant::now();
        let may_be_read = |job: &Job| {
            let read_by = job.ended_at().map(|at| end.max(at + READING_TIME));
            job.has_unread_answer(now) && read_by.is_some_and(|by| now < by)
        };
        self.jobs.values().any(may_be_read)
    }

    fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Removes ended jobs whose retention time is over.
    fn remove_expired(&mut self) {
        while let Some(&(at, number)) = self.expiries.first() {
            if at > Instant::now() {
                return;
            }
            self.expiries.pop_first();
            self.remove_job(number);
        }
    }

    /// Removes a job. Its ids and its key that belong to a newer job stay.
    fn remove_job(&mut self, number: JobNumber) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        for id in &job.ids {
            self.forget_id(number, id);
        }
        if self.numbers_by_key.get(&job.key) == Some(&number) {
            self.numbers_by_key.remove(&job.key);
        }
        if let Some(at) = job.expires_at {
            self.expiries.remove(&(at, number));
            self.releasable.remove(&(at, number));
        }
        Some(job)
    }

    /// Frees the place of a job's id.
    fn forget_id(&mut self, number: JobNumber, id: &PushedId) {
        if self.numbers_by_jid.get(&id.jid) == Some(&number) {
            self.numbers_by_jid.remove(&id.jid);
        }
        self.release_place(id.session);
    }

    fn take_place(&mut self, session: SessionNumber) {
        *self.ids_by_session.entry(session).or_default() += 1;
    }

    fn release_place(&mut self, session: SessionNumber) {
        if let Some(count) = self.ids_by_session.get_mut(&session) {
            *count -= 1;
            if *count == 0 {
                self.ids_by_session.remove(&session);
            }
        }
    }
}
