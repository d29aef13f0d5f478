//! Jobs of the lease table: progress from submission to the final answer, and the attempt in flight.

use super::submission::PushOutcome;
use crate::dispatcher::{Answer, AttemptId};
use bytes::Bytes;
use std::collections::BTreeSet;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Number of a job in the table; the dispatcher refers to the job by it.
pub type JobNumber = u64;

/// Number of a session, which may hold only a part of the table.
pub type SessionNumber = u64;

/// A job that a client asks for.
pub struct TrackedJob {
    /// Its number, with which the answer is recorded as read.
    pub number: JobNumber,
    /// Its state.
    pub state: JobState,
}

/// State of a job, as reported to clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No worker holds its lease.
    Enqueued,
    /// A worker holds its lease.
    Working,
    /// It has its final answer.
    Ended(Answer),
}

/// Jobs with the same key are duplicates of each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdempotencyKey {
    /// Number of the tenant.
    pub tenant: usize,
    /// Number of the class.
    pub class: usize,
    /// Key as pushed; the job id by default.
    pub key: String,
}

/// Progress of a job.
pub(super) enum Progress {
    /// The dispatcher has neither admitted nor rejected it; the clients that pushed it wait for that.
    Submitted(Vec<oneshot::Sender<PushOutcome>>),
    /// The dispatcher has admitted it.
    Admitted,
    /// It has its final answer, since this time.
    Ended(Answer, Instant),
}

/// Attempt of a job in flight.
pub(super) enum Attempt {
    /// There is none.
    None,
    /// It waits for a `FETCH` of this worker.
    Offered(String, AttemptId),
    /// This worker holds the lease.
    Leased(String, AttemptId),
}

/// An id under which a job was pushed.
pub(super) struct PushedId {
    /// Job id.
    pub jid: String,
    /// Session that pushed it first.
    pub session: SessionNumber,
    /// Older job that was pushed under this id and whose answer its client has not read, until this push is accepted.
    pub older_job: Option<JobNumber>,
}

/// A job in the table.
pub(super) struct Job {
    /// Ids under which it was pushed; those after the first are of duplicates.
    pub ids: Vec<PushedId>,
    /// Ids under which it was pushed and whose client has not read its final answer since.
    pub unread_by: BTreeSet<String>,
    /// Time at which its client stops waiting for its final answer.
    pub client_deadline: Instant,
    /// Key that it shares with its duplicates.
    pub key: IdempotencyKey,
    /// Bytes as pushed; empty after the final answer.
    pub payload: Bytes,
    pub progress: Progress,
    /// Attempt in flight.
    pub attempt: Attempt,
    /// Whether a worker may have executed it.
    pub may_have_executed: bool,
    /// Workers that lost its lease and may still send a late `ACK` or `FAIL`.
    pub lost_by: BTreeSet<String>,
    /// Older job with the same key that it runs again, until its first push is accepted.
    pub supersedes: Option<JobNumber>,
    /// Whether a newer job has its key.
    pub is_superseded: bool,
    /// When it is removed, once it has ended.
    pub expires_at: Option<Instant>,
}

impl Job {
    /// Whether it has its final answer.
    pub fn has_ended(&self) -> bool {
        matches!(self.progress, Progress::Ended(..))
    }

    /// Whether it has ended and a client that still waits for its final answer has not read it.
    pub fn has_unread_answer(&self, now: Instant) -> bool {
        self.has_ended() && !self.unread_by.is_empty() && now < self.client_deadline
    }

    /// Time at which it ended, if it has.
    pub fn ended_at(&self) -> Option<Instant> {
        match self.progress {
            Progress::Ended(_, at) => Some(at),
            Progress::Submitted(_) | Progress::Admitted => None,
        }
    }

    /// State, as reported to clients.
    pub fn state(&self) -> JobState {
        match (&self.progress, &self.attempt) {
            (Progress::Ended(answer, _), _) => JobState::Ended(answer.clone()),
            (_, Attempt::Leased(..)) => JobState::Working,
            _ => JobState::Enqueued,
        }
    }

    /// Whether it was pushed under this id.
    pub fn has_id(&self, jid: &str) -> bool {
        self.ids.iter().any(|id| id.jid == jid)
    }

    /// Whether this attempt waits for a `FETCH`.
    pub fn is_offered(&self, attempt: AttemptId) -> bool {
        matches!(&self.attempt, Attempt::Offered(_, other) if *other == attempt)
    }

    /// Whether a worker holds the lease of this attempt.
    pub fn is_leased(&self, attempt: AttemptId) -> bool {
        matches!(&self.attempt, Attempt::Leased(_, other) if *other == attempt)
    }

    /// Whether this worker holds the lease.
    pub fn is_leased_to(&self, worker_id: &str) -> bool {
        matches!(&self.attempt, Attempt::Leased(holder, _) if holder == worker_id)
    }
}
