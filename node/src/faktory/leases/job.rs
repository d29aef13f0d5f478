//! Jobs of the lease table: their progress from submission to the end, and the attempt that is out.

use super::submission::PushOutcome;
use crate::dispatcher::{Answer, AttemptId};
use bytes::Bytes;
use std::collections::BTreeSet;
use tokio::sync::oneshot;

/// Number of a job in the table, by which the dispatcher refers to it.
pub type JobNumber = u64;

/// State of a job, as clients are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No worker has it.
    Enqueued,
    /// A worker holds its lease.
    Working,
    /// It has ended.
    Ended(Answer),
}

/// What identifies duplicates of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdempotencyKey {
    /// Number of the tenant.
    pub tenant: usize,
    /// Number of the class.
    pub class: usize,
    /// Key, as pushed; the job id if none was.
    pub key: String,
}

/// Progress of a job.
pub(super) enum Progress {
    /// The dispatcher has yet to admit or reject it; the clients that pushed it wait for that.
    Submitted(Vec<oneshot::Sender<PushOutcome>>),
    /// The dispatcher has admitted it.
    Admitted,
    /// It has its final answer.
    Ended(Answer),
}

/// Attempt of a job that is out.
pub(super) enum Attempt {
    /// None is.
    None,
    /// It waits for a `FETCH` of a worker.
    Offered(String, AttemptId),
    /// A worker holds the lease.
    Leased(String, AttemptId),
}

/// A job.
pub(super) struct Job {
    /// Ids under which it was pushed; the first one is its own, the others are of duplicates.
    pub jids: Vec<String>,
    /// What identifies its duplicates.
    pub key: IdempotencyKey,
    /// Bytes as pushed; empty once it has ended.
    pub payload: Bytes,
    /// Progress.
    pub progress: Progress,
    /// Attempt that is out.
    pub attempt: Attempt,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// Workers that lost its lease and may still answer for it.
    pub lost_by: BTreeSet<String>,
}

impl Job {
    /// Whether it has its final answer.
    pub fn has_ended(&self) -> bool {
        matches!(self.progress, Progress::Ended(_))
    }

    /// State, as clients are told.
    pub fn state(&self) -> JobState {
        match (&self.progress, &self.attempt) {
            (Progress::Ended(answer), _) => JobState::Ended(answer.clone()),
            (_, Attempt::Leased(..)) => JobState::Working,
            _ => JobState::Enqueued,
        }
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
    pub fn is_leased_to(&self, worker: &str) -> bool {
        matches!(&self.attempt, Attempt::Leased(holder, _) if holder == worker)
    }
}
