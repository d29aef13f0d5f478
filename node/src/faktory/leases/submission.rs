//! Submission of jobs: validation, deduplication, and the dispatcher's answer.

use super::job::{Attempt, IdempotencyKey, Job, JobNumber, Progress, PushedId, SessionNumber};
use super::{LeaseTable, LATE_COMMAND_GRACE};
use crate::dispatcher::Answer;
use crate::faktory::command::Push;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::Request;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum number of ids of one job. The number of workers needs no limit: each has a connection, and connections are
/// limited.
const JIDS_MAX: usize = 64;
/// Longest deadline that a client may request, in seconds.
const DEADLINE_MAX_S: f64 = 86_400.0;

/// Outcome of a push that was passed to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The push is accepted: the job, or the one that it duplicates, gets exactly one final answer.
    Accepted,
    /// The job was rejected and may be pushed again after this time.
    Rejected(Duration),
}

/// Why a push is rejected before it reaches the dispatcher.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum PushError {
    /// There is no class with the queue's name.
    #[error("the queue names no class")]
    UnknownClass,
    /// There is no tenant with this name.
    #[error("custom.tenant is unknown")]
    UnknownTenant,
    /// The settings have tenants, and the job names none.
    #[error("custom.tenant is missing")]
    MissingTenant,
    /// The job has a scheduled start.
    #[error("jobs that start later are not taken")]
    Scheduled,
    /// The deadline is not a positive number.
    #[error("custom.deadline is not a time")]
    InvalidDeadline,
    /// The cost hint is not a positive number.
    #[error("custom.cost_hint is not a time")]
    InvalidCostHint,
    /// A job with another idempotency key has this id.
    #[error("this jid is in use for another job")]
    JidInUse,
    /// The job has too many duplicates.
    #[error("too many repeats of one job")]
    TooManyDuplicates,
    /// The table is full, or the session holds its part of it.
    #[error("too many jobs: try again later")]
    TableFull,
    /// The server takes no new jobs, and the push duplicates none that it has.
    #[error("the server takes no new jobs")]
    ShuttingDown,
}

/// Whether the server takes new jobs. Duplicates of jobs that it has are accepted in either case: an error would tell the
/// client that the job was not executed and may be pushed elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// New jobs are taken.
    Open,
    /// New jobs are rejected.
    Closed,
}

/// Fields of a pushed job after validation.
struct Submission {
    jid: String,
    key: IdempotencyKey,
    /// Deadline that the client requests, in seconds.
    deadline_s: Option<f64>,
    /// Estimated execution time, in microseconds.
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
        let deadline_s = check_positive(custom.deadline, PushError::InvalidDeadline)?;
        let cost_hint_us =
            check_positive(custom.cost_hint, PushError::InvalidCostHint)?.map(|hint| hint as u64);
        let key = custom.key.unwrap_or_else(|| job.jid.clone());
        Ok(Submission { jid: job.jid, key: IdempotencyKey { tenant, class, key }, deadline_s, cost_hint_us })
    }
}

/// Checks that a number, if present, is positive and finite.
fn check_positive(value: Option<f64>, error: PushError) -> Result<Option<f64>, PushError> {
    match value {
        Some(number) if !(number > 0.0 && number.is_finite()) => Err(error),
        _ => Ok(value),
    }
}

impl LeaseTable {
    /// Submits a job to the dispatcher, or attaches it to the job that it duplicates. The receiver gets the outcome once
    /// the dispatcher has admitted or rejected the job.
    ///
    /// # Errors
    ///
    /// Fails if the job is invalid, its id is in use, the table is full, or the job is new and the intake is closed.
    pub fn push(
        &mut self,
        session: SessionNumber,
        job: Push,
        payload: Bytes,
        intake: Intake,
    ) -> Result<oneshot::Receiver<PushOutcome>, PushError> {
        self.remove_expired();
        let submission = Submission::validate(job, &self.names)?;
        let (sender, receiver) = oneshot::channel();
        let previous = self.find_previous(&submission.jid, &submission.key)?;
        if let Some(number) = previous.filter(|number| !self.may_execute_again(*number)) {
            let id = PushedId { jid: submission.jid, session, older_job: None };
            self.attach_duplicate(number, id, sender)?;
            return Ok(receiver);
        }
        if intake == Intake::Closed {
            return Err(PushError::ShuttingDown);
        }
        if self.payload_bytes + payload.len() > self.table_limits.payload_bytes {
            return Err(PushError::TableFull);
        }
        self.check_share(session)?;
        if let Some(number) = previous {
            self.drop_read_ids(number);
        }
        self.find_place(&submission.jid)?;
        self.submit(session, submission, payload, sender);
        Ok(receiver)
    }

    /// Checks that a session leaves places for others.
    fn check_share(&self, session: SessionNumber) -> Result<(), PushError> {
        let held = self.ids_by_session.get(&session).copied().unwrap_or_default();
        if self.table_limits.exceeds_share(held, self.numbers_by_jid.len()) {
            return Err(PushError::TableFull);
        }
        Ok(())
    }

    /// Checks that there is a place for an id, unless it has one. A full table gives up the record of an ended job that nobody
    /// needs any more.
    fn find_place(&mut self, jid: &str) -> Result<(), PushError> {
        if self.numbers_by_jid.contains_key(jid) {
            return Ok(());
        }
        while self.numbers_by_jid.len() >= self.table_limits.ids {
            let (_, number) = self.releasable.pop_first().ok_or(PushError::TableFull)?;
            self.remove_job(number);
        }
        Ok(())
    }

    /// Adds a job to the table and passes it to the dispatcher.
    fn submit(
        &mut self,
        session: SessionNumber,
        submission: Submission,
        payload: Bytes,
        sender: oneshot::Sender<PushOutcome>,
    ) {
        let Submission { jid, key, deadline_s, cost_hint_us } = submission;
        let number = self.allocate_number();
        self.payload_bytes += payload.len();
        let older_job = self.numbers_by_jid.insert(jid.clone(), number);
        let supersedes = self.numbers_by_key.insert(key.clone(), number);
        let (class, tenant) = (key.class, key.tenant);
        let class_deadline = self.limits[class].deadline;
        let job = Job {
            unread_by: BTreeSet::from([jid.clone()]),
            client_deadline: Instant::now() + class_deadline + LATE_COMMAND_GRACE,
            ids: vec![PushedId { jid, session, older_job }],
            key,
            payload,
            progress: Progress::Submitted(vec![sender]),
            attempt: Attempt::None,
            may_have_executed: false,
            lost_by: BTreeSet::new(),
            supersedes,
            is_superseded: false,
            expires_at: None,
        };
        self.take_place(session);
        self.jobs.insert(number, job);
        let deadline = deadline_s
            .map_or(class_deadline, |s| class_deadline.min(Duration::from_secs_f64(s.min(DEADLINE_MAX_S))));
        let time_left_us = deadline.as_micros() as u64;
        let request =
            Request { class, tenant, time_left_us, work_hint_us: cost_hint_us, ..Request::default() };
        self.dispatcher.submit(request, number);
    }

    /// Finds the job that was pushed with this id or key before, if any.
    fn find_previous(&self, jid: &str, key: &IdempotencyKey) -> Result<Option<JobNumber>, PushError> {
        let by_jid = self.numbers_by_jid.get(jid).copied();
        if by_jid.is_some_and(|number| self.jobs[&number].key != *key) {
            return Err(PushError::JidInUse);
        }
        // The job that was pushed under the id may have been superseded by one with its key.
        Ok(self.numbers_by_key.get(key).copied().or(by_jid))
    }

    /// Whether a push of a job that is in the table already is submitted as a new one. Otherwise it is a duplicate, which
    /// prevents a second execution for clients that push again.
    fn may_execute_again(&self, number: JobNumber) -> bool {
        let job = &self.jobs[&number];
        let Progress::Ended(answer, _) = &job.progress else { return false };
        let was_never_executed = matches!(answer, Answer::Shed(_)) && !job.may_have_executed;
        self.is_idempotent(job.key.class) || was_never_executed
    }

    /// Attaches a push to the job that it duplicates.
    fn attach_duplicate(
        &mut self,
        number: JobNumber,
        id: PushedId,
        sender: oneshot::Sender<PushOutcome>,
    ) -> Result<(), PushError> {
        let Some(job) = self.jobs.get(&number) else { return Ok(()) };
        let jid = id.jid.clone();
        if !job.has_id(&jid) {
            if job.ids.len() >= JIDS_MAX {
                return Err(PushError::TooManyDuplicates);
            }
            self.add_id(number, id)?;
        }
        let Some(job) = self.jobs.get_mut(&number) else { return Ok(()) };
        job.unread_by.insert(jid);
        let waits_until = Instant::now() + self.limits[job.key.class].deadline + LATE_COMMAND_GRACE;
        job.client_deadline = job.client_deadline.max(waits_until);
        if let Some(at) = job.expires_at {
            self.releasable.remove(&(at, number));
        }
        match &mut job.progress {
            Progress::Submitted(senders) => senders.push(sender),
            Progress::Admitted | Progress::Ended(..) => {
                notify([sender], &PushOutcome::Accepted);
                self.drop_older_answers(number);
            }
        }
        Ok(())
    }

    /// Adds an id of a duplicate to a job.
    fn add_id(&mut self, number: JobNumber, id: PushedId) -> Result<(), PushError> {
        self.check_share(id.session)?;
        self.find_place(&id.jid)?;
        self.take_place(id.session);
        let older_job = self.numbers_by_jid.insert(id.jid.clone(), number);
        let id = PushedId { older_job, ..id };
        if let Some(job) = self.jobs.get_mut(&number) {
            job.ids.push(id);
        }
        Ok(())
    }

    /// Handles the dispatcher's admission of a job.
    pub fn job_admitted(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if let Progress::Submitted(senders) = &mut job.progress {
            let senders = std::mem::take(senders);
            job.progress = Progress::Admitted;
            notify(senders, &PushOutcome::Accepted);
            self.drop_older_answers(number);
        }
    }

    /// Handles the dispatcher's final answer to a job. A job that is shed before its admission is removed, its push is
    /// rejected, and an older job that it would have run again keeps its answer.
    pub fn job_answered(&mut self, number: JobNumber, answer: Answer) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        self.payload_bytes -= job.payload.len();
        job.payload = Bytes::new();
        if let (Progress::Submitted(senders), Answer::Shed(retry_after)) = (&mut job.progress, &answer) {
            let (senders, outcome) = (std::mem::take(senders), PushOutcome::Rejected(*retry_after));
            if let Some(removed) = self.remove_job(number) {
                self.restore_older_job(&removed);
            }
            return notify(senders, &outcome);
        }
        let previous = std::mem::replace(&mut job.progress, Progress::Ended(answer, Instant::now()));
        let expires_at = Instant::now() + self.limits[job.key.class].retention();
        job.expires_at = Some(expires_at);
        self.expiries.insert((expires_at, number));
        if let Progress::Submitted(senders) = previous {
            notify(senders, &PushOutcome::Accepted);
            self.drop_older_answers(number);
        }
    }
}

fn notify(senders: impl IntoIterator<Item = oneshot::Sender<PushOutcome>>, outcome: &PushOutcome) {
    for sender in senders {
        let _ = sender.send(outcome.clone()); // fails if the client has disconnected
    }
}
