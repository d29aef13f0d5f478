//! History of a soak run as observed by its stand-ins: the only input of the oracle.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time since the run's start.
pub type Time = Duration;

/// Whether a request may be sent again after an attempt that may have been executed; a later one is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Semantics {
    /// It may be executed any number of times.
    Safe,
    /// It has an idempotency key, by which workers deduplicate it for some time.
    Keyed,
    /// It must not be executed twice.
    Unsafe,
}

/// Outcome of a request, as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// No answer so far.
    Pending,
    /// A complete answer.
    Answered {
        /// Status code.
        status: u16,
        /// False if a 200 has a body that no worker returned for this request.
        is_valid: bool,
    },
    /// The node closed a reused connection without reading the request: the client sends it once more.
    ClosedUnread,
    /// The node read the request and closed the connection without an answer.
    Unanswered,
    /// The connection broke; whether the node had read the request is unknown.
    Broken,
    /// The client could not connect.
    NotConnected,
}

/// One request on one connection.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Node.
    pub node: usize,
    /// Whether it may be sent again.
    pub semantics: Semantics,
    /// Time for which the client waits after its last byte.
    pub deadline: Duration,
    /// When its first byte was written.
    pub first_byte: Time,
    /// When its last byte was written; `None` if the client stopped before.
    pub written: Option<Time>,
    /// Whether the connection had been used before.
    pub reused_connection: bool,
    /// Address of the client's end, which the node's log names.
    pub client: Option<SocketAddr>,
    /// When the client deliberately closed the connection.
    pub disconnected: Option<Time>,
    /// Whether the client sends an id again whose request has ended, or whose client has left.
    pub comes_again: bool,
    /// Outcome.
    pub end: RequestEnd,
    /// When it ended.
    pub ended: Option<Time>,
}

/// Outcome of an attempt, as observed by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It has not ended.
    InFlight,
    /// The worker sent its final answer. The request may have been executed.
    Concluded,
    /// The worker answered that the request was not executed.
    NotExecuted,
    /// The worker broke the connection. The request may have been executed.
    Broken,
    /// The node closed the connection. The request may have been executed.
    ClosedByNode,
}

/// One attempt at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Request id.
    pub id: String,
    /// Worker.
    pub worker: usize,
    /// When its first byte arrived.
    pub first_byte: Time,
    /// When its last byte arrived.
    pub last_byte: Option<Time>,
    /// Value of its `X-Deadline` field, in seconds.
    pub sent_deadline: Option<f64>,
    /// Outcome.
    pub end: AttemptEnd,
    /// When it ended.
    pub ended: Option<Time>,
    /// Whether its bytes may have waited in the worker's backlog before they were read.
    pub late_read: bool,
}

/// Lifetime of one process of a node.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// Node.
    pub node: usize,
    /// When it was started.
    pub started: Time,
    /// When it first reported that it is ready.
    pub ready: Option<Time>,
    /// Time from which it is assumed to know the list of discovery; `None` while discovery has been faulty
    /// throughout.
    pub list_from: Option<Time>,
    /// When it was sent SIGTERM.
    pub terminated: Option<Time>,
    /// When it was sent SIGKILL, or was found to have exited.
    pub ended: Option<Time>,
    /// Whether it was sent SIGKILL.
    pub killed: bool,
    /// Exit code, if it exited by itself with one.
    pub code: Option<i32>,
    /// Signal that ended it, other than the SIGKILL above.
    pub signal: Option<i32>,
}

/// A list change that takes a worker out of service, with the time from which one node is held to it.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// Node.
    pub node: usize,
    /// Worker.
    pub worker: usize,
    /// When the node is assumed to know the change.
    pub known_at: Time,
}

/// A configuration that gives the class `notify` another effect at one node.
#[derive(Clone, Copy, Debug)]
pub struct SemanticsChange {
    /// Node.
    pub node: usize,
    /// When the configuration was written.
    pub at: Time,
    /// Semantics of the class from then on.
    pub semantics: Semantics,
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
    /// Workers taken out of service.
    pub withdrawals: Vec<Withdrawal>,
    /// Changes of a class's effect, by time.
    pub semantics_changes: Vec<SemanticsChange>,
    /// Workers overloaded while warming up: worker, received load and allowed load.
    pub overloads: Vec<(usize, f64, f64)>,
    /// Clients that stalled within a request and got neither an answer nor a close in time: node and wait.
    pub ignored_clients: Vec<(usize, Duration)>,
    /// Largest anonymous memory of the processes of each node together, in KiB.
    pub memory_peaks_kib: Vec<u64>,
    /// Memory limit of each node, in KiB.
    pub memory_limit_kib: u64,
    /// Longest scheduling delay of the stand-ins.
    pub stand_in_lag: Duration,
}

/// Records the history.
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
    /// Returns the time since the run's start.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Returns the history so far, locked.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; returns its index.
    pub fn add_request(&self, record: RequestRecord) -> usize {
        let mut history = self.history();
        history.requests.push(record);
        history.requests.len() - 1
    }

    /// Adds an attempt; returns its index.
    pub fn add_attempt(&self, record: AttemptRecord) -> usize {
        let mut history = self.history();
        history.attempts.push(record);
        history.attempts.len() - 1
    }

    /// Records the end of an attempt; only the first one counts.
    pub fn end_attempt(&self, index: usize, end: AttemptEnd) {
        let now = self.now();
        let attempt = &mut self.history().attempts[index];
        if attempt.ended.is_none() {
            (attempt.end, attempt.ended) = (end, Some(now));
        }
    }

    /// Records a result that a worker returns for a request.
    pub fn record_result(&self, id: &str, result: &str) {
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.entry(id.to_string()).or_default().push(result.to_string());
    }

    /// Whether a worker returned this result for the request.
    pub fn is_valid_result(&self, id: &str, result: &str) -> bool {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.get(id).is_some_and(|returned| returned.iter().any(|m| m == result))
    }
}
