//! History of a soak run as its stand-ins saw it: the only source of the oracle.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time since the run's start.
pub type Time = Duration;

/// What may be done with a request whose attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// It may run any number of times.
    Safe,
    /// Repeats are dropped by all workers for a while.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Nothing so far.
    Pending,
    /// A whole answer with this status; whether its body is what a worker made for this request.
    Answered {
        /// The status.
        status: u16,
        /// Whether a 200 carries this request's result.
        is_valid: bool,
    },
    /// The node ended a kept connection that the request crossed, unread: the client sends it once more.
    ClosedUnread,
    /// The node ended the connection with no answer, having read the request.
    Unanswered,
    /// The node broke the connection off; whether it had read the request can't be told.
    Broken,
    /// There was no connection to be had.
    NotConnected,
}

/// One request on one connection.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// The node.
    pub node: usize,
    /// What a repeat may do.
    pub semantics: Semantics,
    /// The client's wait, from the last byte on.
    pub deadline: Duration,
    /// When its first byte was written.
    pub first_byte: Time,
    /// When its last byte was written; `None` where the client stopped before.
    pub written: Option<Time>,
    /// The connection had served before.
    pub reused_connection: bool,
    /// When the client closed its connection on purpose.
    pub disconnected: Option<Time>,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended: Option<Time>,
}

/// How an attempt ended, as its worker saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Still out.
    InFlight,
    /// The worker gave its last word: done, failed or lost. It may have run.
    Concluded,
    /// The worker said that it did not run.
    NotExecuted,
    /// The worker broke it off. It may have run.
    Broken,
    /// The node closed the connection. It may have run.
    ClosedByNode,
}

/// One request at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The request's id.
    pub id: String,
    /// The worker.
    pub worker: usize,
    /// When its first byte came.
    pub first_byte: Time,
    /// When its last byte came.
    pub last_byte: Option<Time>,
    /// The deadline that it told, in seconds.
    pub sent_deadline: Option<f64>,
    /// How it ended.
    pub end: AttemptEnd,
    /// When it ended.
    pub ended: Option<Time>,
    /// Its bytes may have lain in the worker's kernel before they were read.
    pub late_read: bool,
}

/// Lifetime of one process of a node.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// The node.
    pub node: usize,
    /// When it was started.
    pub started: Time,
    /// When it first said that it is up.
    pub ready: Option<Time>,
    /// From when on what discovery has counts as known to it; `None` where discovery was faulty all the time.
    pub list_from: Option<Time>,
    /// When it was sent SIGTERM.
    pub terminated: Option<Time>,
    /// When it was sent SIGKILL, or was seen to have ended.
    pub ended: Option<Time>,
    /// It was sent SIGKILL.
    pub killed: bool,
    /// The exit code, where it ended by itself.
    pub code: Option<i32>,
}

/// A list change that takes a worker out of service, as it counts for one node.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// The node.
    pub node: usize,
    /// The worker.
    pub worker: usize,
    /// When it counts as told.
    pub known_at: Time,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<AttemptRecord>,
    /// Processes.
    pub processes: Vec<ProcessRecord>,
    /// Workers out of service.
    pub withdrawals: Vec<Withdrawal>,
    /// Cold workers that were sent too much: the worker, what came, and what was allowed.
    pub overloads: Vec<(usize, f64, f64)>,
    /// Unfinished requests whose client stayed, and had neither an answer nor a close in time: node and wait.
    pub ignored_clients: Vec<(usize, Duration)>,
    /// The longest that the stand-ins themselves were held up.
    pub stand_in_lag: Duration,
}

/// A history that is being written.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    history: Arc<Mutex<History>>,
    results: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { start: Instant::now(), history: Arc::default(), results: Arc::default() }
    }
}

impl Recorder {
    /// The time now.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// The history so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; returns its place.
    pub fn add_request(&self, record: RequestRecord) -> usize {
        let mut history = self.history();
        history.requests.push(record);
        history.requests.len() - 1
    }

    /// Adds an attempt; returns its place.
    pub fn add_attempt(&self, record: AttemptRecord) -> usize {
        let mut history = self.history();
        history.attempts.push(record);
        history.attempts.len() - 1
    }

    /// An attempt has ended; the first end counts.
    pub fn end_attempt(&self, place: usize, end: AttemptEnd) {
        let now = self.now();
        let attempt = &mut self.history().attempts[place];
        if attempt.ended.is_none() {
            (attempt.end, attempt.ended) = (end, Some(now));
        }
    }

    /// A worker made this result for a request.
    pub fn record_result(&self, id: &str, result: &str) {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.entry(id.to_string()).or_default().push(result.to_string());
    }

    /// Whether a worker made this result for the request.
    pub fn is_valid_result(&self, id: &str, result: &str) -> bool {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.get(id).is_some_and(|made| made.iter().any(|m| m == result))
    }
}
