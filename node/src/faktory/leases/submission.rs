//! Submission of jobs: validation, duplicates, and the dispatcher's answer.

use super::job::{Attempt, IdempotencyKey, Job, JobNumber, Progress};
use super::{LeaseTable, STATE_RETENTION};
use crate::dispatcher::Answer;
use crate::faktory::command::Push;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::Request;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Most jobs in the table; a push beyond is rejected.
const JOBS_MAX: usize = 20_000;
/// Most bytes in the payloads of jobs that have not ended; a push beyond is rejected.
const PAYLOAD_BYTES_MAX: usize = 32 << 20;
/// Most ids under which one job is known. Workers need no bound of their own: each has a connection, and the number of
/// connections is bounded.
const JIDS_MAX: usize = 64;
/// Longest deadline that a client may ask for, in seconds.
const DEADLINE_MAX_S: f64 = 86_400.0;

/// Outcome of a push that was passed to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The job is accepted, now or before, and will have one final answer.
    Accepted,
    /// The job is rejected; it may be pushed again after this time.
    Rejected(Duration),
}

/// Reason for which a push is rejected before it reaches the dispatcher.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PushError {
    /// No class has the name of the queue.
    #[error("the queue names no class")]
    UnknownClass,
    /// No tenant has this name.
    #[error("custom.tenant is unknown")]
    UnknownTenant,
    /// The settings name tenants, and the job names none.
    #[error("custom.tenant is missing")]
    MissingTenant,
    /// The job is to start later.
    #[error("jobs that start later are not taken")]
    Scheduled,
    /// The deadline is not a positive number.
    #[error("custom.deadline is not a time")]
    InvalidDeadline,
    /// The estimate of the run time is not a positive number.
    #[error("custom.cost_hint is not a time")]
    InvalidCostHint,
    /// The id belongs to a job with another key.
    #[error("this jid is in use for another job")]
    JidInUse,
    /// The job has too many duplicates.
    #[error("too many repeats of one job")]
    TooManyDuplicates,
    /// The table is full.
    #[error("too many jobs: try again later")]
    TableFull,
}

/// Fields of a pushed job after validation.
struct Submission {
    jid: String,
    key: IdempotencyKey,
    /// Deadline that the client asks for, in seconds.
    deadline_s: Option<f64>,
    /// Estimate of the run time, in microseconds.
    cost_hint_us: Option<u64>,
}

impl Submission {
    fn validate(job: Push, names: &Names) -> Result<Submission, PushError> {
        let position = |list: &[String], name: &str| list.iter().position(|other| other == name);
        let class = position(&names.classes, &job.queue).ok_or(PushError::UnknownClass)?;
        let custom = job.custom.unwrap_or_default();
        let tenant = match &custom.tenant {
            Some(name) => position(&names.tenants, name).ok_or(PushError::UnknownTenant)?,
            None if names.tenants.is_empty() => 0,
            None => return Err(PushError::MissingTenant),
        };
        if job.at.is_some() {
            return Err(PushError::Scheduled);
        }
        let deadline_s = positive(custom.deadline, PushError::InvalidDeadline)?;
        let cost_hint_us = positive(custom.cost_hint, PushError::InvalidCostHint)?.map(|hint| hint as u64);
        let key = custom.key.unwrap_or_else(|| job.jid.clone());
        Ok(Submission { jid: job.jid, key: IdempotencyKey { tenant, class, key }, deadline_s, cost_hint_us })
    }
}

/// Checks that a number is positive and finite, if there is one.
fn positive(value: Option<f64>, error: PushError) -> Result<Option<f64>, PushError> {
    match value {
        Some(number) if !(number > 0.0 && number.is_finite()) => Err(error),
        _ => Ok(value),
    }
}

impl LeaseTable {
    /// Submits a job to the dispatcher, or joins it to the job that it is a duplicate of. The receiver gets the outcome
    /// once the dispatcher has admitted or rejected the job.
    ///
    /// # Errors
    ///
    /// Fails if the job is invalid, its id is in use, or the table is full.
    pub fn push(&mut self, job: Push, payload: Bytes) -> Result<oneshot::Receiver<PushOutcome>, PushError> {
        self.remove_expired();
        let submission = Submission::validate(job, &self.names)?;
        let (sender, receiver) = oneshot::channel();
        if let Some(number) = self.find_duplicate(&submission.jid, &submission.key)? {
            self.join(number, submission.jid, sender)?;
            return Ok(receiver);
        }
        if self.jobs.len() >= JOBS_MAX || self.payload_bytes + payload.len() > PAYLOAD_BYTES_MAX {
            return Err(PushError::TableFull);
        }
        self.submit(submission, payload, sender);
        Ok(receiver)
    }

    /// Adds a job to the table and passes it to the dispatcher.
    fn submit(&mut self, submission: Submission, payload: Bytes, sender: oneshot::Sender<PushOutcome>) {
        let Submission { jid, key, deadline_s, cost_hint_us } = submission;
        let number = self.draw_number();
        self.payload_bytes += payload.len();
        self.by_jid.insert(jid.clone(), number);
        self.by_key.insert(key.clone(), number);
        let (class, tenant) = (key.class, key.tenant);
        let job = Job {
            jids: vec![jid],
            key,
            payload,
            progress: Progress::Submitted(vec![sender]),
            attempt: Attempt::None,
            may_have_run: false,
            lost_by: BTreeSet::new(),
        };
        self.jobs.insert(number, job);
        let longest = self.limits[class].deadline;
        let deadline =
            deadline_s.map_or(longest, |s| longest.min(Duration::from_secs_f64(s.min(DEADLINE_MAX_S))));
        let time_left_us = deadline.as_micros() as u64;
        let request =
            Request { class, tenant, time_left_us, work_hint_us: cost_hint_us, ..Request::default() };
        self.dispatcher.submit(request, number);
    }

    /// The job that this one is a duplicate of, if any.
    ///
    /// Guards against double execution for clients that push again: within the window a push joins the first job, unless
    /// that one was rejected and surely never ran.
    fn find_duplicate(&mut self, jid: &str, key: &IdempotencyKey) -> Result<Option<JobNumber>, PushError> {
        let by_jid = self.by_jid.get(jid).copied();
        if by_jid.is_some_and(|number| self.jobs[&number].key != *key) {
            return Err(PushError::JidInUse);
        }
        let Some(number) = by_jid.or(self.by_key.get(key).copied()) else { return Ok(None) };
        let job = &self.jobs[&number];
        let may_run_anew = match &job.progress {
            Progress::Submitted(_) | Progress::Admitted => false,
            Progress::Ended(Answer::Shed(_)) => !job.may_have_run,
            Progress::Ended(_) => !self.names.requires_idempotency_key[key.class],
        };
        if may_run_anew {
            self.remove_job(number);
        }
        Ok((!may_run_anew).then_some(number))
    }

    /// Joins a push to the job that it is a duplicate of.
    fn join(
        &mut self,
        number: JobNumber,
        jid: String,
        sender: oneshot::Sender<PushOutcome>,
    ) -> Result<(), PushError> {
        let Some(job) = self.jobs.get_mut(&number) else { return Ok(()) };
        if !job.jids.contains(&jid) {
            if job.jids.len() >= JIDS_MAX {
                return Err(PushError::TooManyDuplicates);
            }
            job.jids.push(jid.clone());
            self.by_jid.insert(jid, number);
        }
        match &mut job.progress {
            Progress::Submitted(senders) => senders.push(sender),
            Progress::Admitted | Progress::Ended(_) => notify([sender], &PushOutcome::Accepted),
        }
        Ok(())
    }

    /// Records that the dispatcher has admitted a job.
    pub fn job_admitted(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if let Progress::Submitted(senders) = &mut job.progress {
            let senders = std::mem::take(senders);
            job.progress = Progress::Admitted;
            notify(senders, &PushOutcome::Accepted);
        }
    }

    /// Records the dispatcher's final answer to a job. A rejection of a job that was not admitted before is the answer to
    /// the push itself, and the job is not kept.
    pub fn job_answered(&mut self, number: JobNumber, answer: Answer) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        self.payload_bytes -= job.payload.len();
        job.payload = Bytes::new();
        if let (Progress::Submitted(senders), Answer::Shed(retry_after)) = (&mut job.progress, &answer) {
            let (senders, outcome) = (std::mem::take(senders), PushOutcome::Rejected(*retry_after));
            self.remove_job(number);
            return notify(senders, &outcome);
        }
        let before = std::mem::replace(&mut job.progress, Progress::Ended(answer));
        let window = self.limits[job.key.class].deduplication_window;
        self.expiry.insert((Instant::now() + window.max(STATE_RETENTION), number));
        if let Progress::Submitted(senders) = before {
            notify(senders, &PushOutcome::Accepted);
        }
    }
}

fn notify(senders: impl IntoIterator<Item = oneshot::Sender<PushOutcome>>, outcome: &PushOutcome) {
    for sender in senders {
        let _ = sender.send(outcome.clone()); // fails if the client has gone
    }
}
