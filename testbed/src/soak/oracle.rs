//! Oracle of a soak run: checks a history against the protocol's rules, independently of how a node works.

use super::history::{
    AttemptEnd, AttemptRecord, History, ProcessRecord, RequestEnd, RequestRecord, Semantics, Time,
};
use rustix::process::Signal;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Time limits of the protocol's rules.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after a request's deadline within which an answer is late but not lost.
    pub late_answer: Duration,
    /// Time after a client's disconnect within which an attempt may begin.
    pub after_disconnect: Duration,
    /// Time after a worker's withdrawal is known within which an attempt may begin.
    pub drain_grace: Duration,
    /// Amount by which the deadline sent to a worker may exceed the time that the client still waits.
    pub deadline_slack: Duration,
    /// Time for which workers deduplicate by idempotency key.
    pub deduplication_window: Duration,
    /// Time within which a process must be ready.
    pub ready: Duration,
    /// Time within which a process has accepted a connection.
    pub accept: Duration,
    /// Time after a new configuration is written within which the process that has it serves.
    pub settings_known: Duration,
    /// Time after a request is written within which its node has accepted it.
    pub accept_late: Duration,
    /// Requests written up to this long after SIGTERM may be cut by SIGKILL.
    pub kill_excused: Duration,
    /// Tolerance for delays of the stand-ins.
    pub tolerance: Duration,
    /// Time before an attempt since which no process of its node may have been killed, for the node to know what ran: a
    /// killed successor leaves an old process that is told to end, beside which the next one starts with no state.
    pub undisturbed: Duration,
    /// Whether idle clients fill the descriptors: new connections may then be closed unread.
    pub has_crowd: bool,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Limits {
            late_answer: ms(500),
            after_disconnect: ms(100),
            drain_grace: ms(550),
            deadline_slack: ms(150),
            deduplication_window: ms(6_000),
            ready: ms(10_000),
            accept: ms(250),
            settings_known: ms(2_000),
            accept_late: ms(400),
            kill_excused: ms(700),
            tolerance: ms(40),
            undisturbed: ms(4_000),
            has_crowd: false,
        }
    }
}

/// A rule violation.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A request had no final answer in time.
    Lost {
        /// Request id.
        id: String,
        /// Node.
        node: usize,
        /// What its client observed.
        reason: String,
    },
    /// A client received a result that no worker returned for its request.
    WrongResult {
        /// Request id.
        id: String,
    },
    /// Two attempts were in flight at once.
    Overlap {
        /// Request id.
        id: String,
        /// Node.
        node: usize,
        /// Earlier attempt.
        earlier: AttemptRecord,
        /// Attempt that began meanwhile.
        later: AttemptRecord,
    },
    /// A request that may have been executed was sent again although its class forbids it.
    Repeated {
        /// Request id.
        id: String,
        /// Semantics of the class.
        semantics: Semantics,
        /// Outcome of the first attempt.
        first: AttemptEnd,
    },
    /// A request ran again when its id came again.
    RanAgain {
        /// Request id.
        id: String,
        /// Node.
        node: usize,
        /// Attempt that began after the id had come again.
        later: AttemptRecord,
    },
    /// The processes of a node took more memory than its limit.
    Memory {
        /// Node.
        node: usize,
        /// Largest anonymous memory, in KiB.
        peak_kib: u64,
        /// Limit, in KiB.
        limit_kib: u64,
    },
    /// An attempt began after its client had disconnected.
    AfterDisconnect {
        /// Request id.
        id: String,
        /// Time after the disconnect.
        late: Duration,
    },
    /// An attempt began after its worker was taken out of service.
    Drained {
        /// Request id.
        id: String,
        /// Node.
        node: usize,
        /// Worker.
        worker: usize,
        /// When the node is assumed to know the change.
        known_at: Time,
        /// Time after that.
        late: Duration,
    },
    /// A worker received a longer deadline than the client's.
    Deadline {
        /// Request id.
        id: String,
        /// Amount by which it is longer.
        excess: Duration,
    },
    /// A worker was overloaded while warming up.
    Overload {
        /// Worker.
        worker: usize,
        /// Received work, in mean requests.
        received: f64,
        /// Allowed work, in mean requests.
        allowed: f64,
    },
    /// A client that stalled within a request got neither an answer nor a close.
    Ignored {
        /// Node.
        node: usize,
        /// Time waited.
        wait: Duration,
    },
    /// A process exited without SIGTERM, or with an error.
    Crashed {
        /// Node.
        node: usize,
        /// Exit code; `None` if a signal ended it.
        code: Option<i32>,
    },
    /// A process was not ready in time.
    NotReady {
        /// Node.
        node: usize,
    },
    /// A process logged an error or a panic, such as a violation of its invariants.
    Reported {
        /// Node.
        node: usize,
        /// Log line.
        line: String,
    },
}

impl Violation {
    /// Returns the name of the rule, as operators know it.
    pub fn rule(&self) -> &'static str {
        match self {
            Violation::Lost { .. } | Violation::WrongResult { .. } | Violation::AfterDisconnect { .. } => {
                "lost"
            }
            Violation::Overlap { .. } | Violation::Repeated { .. } | Violation::RanAgain { .. } => {
                "duplicate"
            }
            Violation::Memory { .. } => "memory",
            Violation::Drained { .. } => "drain",
            Violation::Deadline { .. } => "deadline",
            Violation::Overload { .. } => "failback",
            Violation::Ignored { .. } => "ignored",
            Violation::Crashed { .. } => "crash",
            Violation::NotReady { .. } => "ready",
            Violation::Reported { .. } => "reported",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {self:?}", self.rule())
    }
}

/// Returns all rule violations of a history.
pub fn check_history(history: &History, limits: &Limits) -> Vec<Violation> {
    let tolerance = limits.tolerance + history.stand_in_lag;
    let mut violations = Vec::new();
    for request in &history.requests {
        violations.extend(check_answer(request, &history.processes, limits, tolerance));
    }
    let mut by_id: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &history.attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut requests: HashMap<&str, Vec<&RequestRecord>> = HashMap::new();
    for request in &history.requests {
        requests.entry(&request.id).or_default().push(request);
    }
    let mut ids: Vec<_> = by_id.iter().collect();
    ids.sort_by_key(|(id, _)| **id);
    for (id, attempts) in ids {
        let Some(requests_of_id) = requests.get(id) else { continue };
        violations.extend(check_attempts(requests_of_id, attempts, history, limits, tolerance));
    }
    violations.extend(history.overloads.iter().map(|&(worker, received, allowed)| Violation::Overload {
        worker,
        received,
        allowed,
    }));
    violations.extend(check_memory(history));
    violations.extend(history.ignored_clients.iter().map(|&(node, wait)| Violation::Ignored { node, wait }));
    violations.extend(history.processes.iter().filter_map(|process| check_process(process, limits)));
    violations
}

/// Checks that a request has a valid answer in time, unless the protocol excuses it.
fn check_answer(
    request: &RequestRecord,
    processes: &[ProcessRecord],
    limits: &Limits,
    tolerance: Duration,
) -> Option<Violation> {
    let written = request.written.filter(|_| request.disconnected.is_none())?;
    let lost = |reason: &str| {
        let (id, node, reused) = (request.id.clone(), request.node, request.reused_connection);
        let reason = format!(
            "{reason}; written at {written:.3?} from {:?}, reused connection: {reused}, ended {:?}",
            request.client, request.ended
        );
        Some(Violation::Lost { id, node, reason })
    };
    match request.end {
        RequestEnd::Answered { is_valid: false, .. } => {
            Some(Violation::WrongResult { id: request.id.clone() })
        }
        RequestEnd::Answered { .. } => {
            let latest = written + request.deadline + limits.late_answer + tolerance;
            if request.ended.is_some_and(|at| at > latest) {
                lost("answered too late")
            } else {
                None
            }
        }
        RequestEnd::ClosedUnread | RequestEnd::NotConnected => None,
        // A reset shows that the connection was closed with the request unread.
        RequestEnd::Broken if limits.has_crowd && !request.reused_connection => None,
        _ if is_excused(request, written, processes, limits) => None,
        RequestEnd::Pending => lost("no answer"),
        RequestEnd::Unanswered => {
            lost("the node read the request and closed the connection without an answer")
        }
        RequestEnd::Broken => lost("the connection broke without an answer"),
    }
}

/// Whether a kill of the process excuses that the request has no answer.
fn is_excused(request: &RequestRecord, written: Time, processes: &[ProcessRecord], limits: &Limits) -> bool {
    let ended = request.ended.unwrap_or(Time::MAX);
    let of_node = || processes.iter().filter(|process| process.node == request.node);
    of_node().filter(|process| process.killed).any(|process| {
        let Some(killed_at) = process.ended else { return false };
        let within =
            killed_at <= ended + limits.tolerance && request.first_byte <= killed_at + limits.tolerance;
        let early = process.terminated.is_none_or(|at| written <= at + limits.kill_excused);
        // The killed process may be a successor, started after the request began, that took the request over. Then the
        // process before has to answer, if it lives.
        let is_kept = || of_node().any(|before| has_kept(before, request, process, killed_at, limits));
        within && early && process.started <= ended && !is_kept()
    })
}

/// Whether a process had a request before its successor started, and outlived the kill of that successor.
fn has_kept(
    before: &ProcessRecord,
    request: &RequestRecord,
    successor: &ProcessRecord,
    killed_at: Time,
    limits: &Limits,
) -> bool {
    let accepted_by = request.first_byte + limits.accept;
    let had_request = before.ready.is_some_and(|ready| ready <= request.first_byte);
    let answers_by = request.first_byte + request.deadline;
    let outlived = before.ended.is_none_or(|ended| ended > answers_by.max(killed_at) + limits.tolerance);
    had_request && accepted_by <= successor.started && outlived
}

/// Checks all attempts of one request.
fn check_attempts(
    requests: &[&RequestRecord],
    attempts: &[&AttemptRecord],
    history: &History,
    limits: &Limits,
    tolerance: Duration,
) -> Vec<Violation> {
    let (first_request, mut violations) = (requests[0], Vec::new());
    let mut attempts = attempts.to_vec();
    attempts.sort_by_key(|attempt| attempt.first_byte);
    violations.extend(check_repeated_ids(requests, &attempts, history, limits));
    for (n, attempt) in attempts.iter().enumerate() {
        // What ran before the id came again is checked by `check_repeated_ids`.
        let came_again = requests.iter().rfind(|r| r.comes_again && r.first_byte <= attempt.first_byte);
        let since = came_again.map_or(Time::ZERO, |request| request.first_byte);
        for earlier in attempts[..n].iter().filter(|earlier| earlier.first_byte >= since) {
            let semantics = semantics_of_attempts(requests, earlier, attempt, history, limits);
            violations.extend(check_pair(first_request, semantics, earlier, attempt, limits, tolerance));
        }
        if attempt.late_read {
            continue;
        }
        // A request that was closed unread is sent once more with the same id; the last one counts.
        let request =
            requests.iter().rev().find(|r| r.first_byte <= attempt.first_byte).unwrap_or(&first_request);
        violations.extend(check_disconnect(request, attempt, limits, tolerance));
        violations.extend(check_deadline(request, attempt, limits, tolerance));
        violations.extend(check_drain(request, attempt, history, limits, tolerance));
    }
    violations
}

/// Checks that the processes of each node stay within its memory limit.
fn check_memory(history: &History) -> impl Iterator<Item = Violation> + '_ {
    let limit_kib = history.memory_limit_kib;
    let peaks = history.memory_peaks_kib.iter().copied().enumerate();
    let exceeded = peaks.filter(move |(_, peak_kib)| *peak_kib > limit_kib);
    exceeded.map(move |(node, peak_kib)| Violation::Memory { node, peak_kib, limit_kib })
}

/// Checks that an id that comes again is not run again, if its node still knows that it ran.
fn check_repeated_ids(
    requests: &[&RequestRecord],
    attempts: &[&AttemptRecord],
    history: &History,
    limits: &Limits,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for again in requests.iter().filter(|request| request.comes_again) {
        let is_earlier = |attempt: &&AttemptRecord| attempt.first_byte < again.first_byte;
        let may_have_run =
            |attempt: &&AttemptRecord| attempt.end != AttemptEnd::NotExecuted && attempt.last_byte.is_some();
        let mut attempts = attempts.iter().copied();
        let ran = attempts.clone().filter(is_earlier).find(may_have_run);
        let later = attempts.find(|attempt| !is_earlier(attempt) && !attempt.late_read);
        let (Some(ran), Some(later)) = (ran, later) else { continue };
        let from = ran.first_byte.saturating_sub(limits.undisturbed);
        if !has_lost_process(history, again.node, from, later.first_byte) {
            let (id, node, later) = (again.id.clone(), again.node, later.clone());
            violations.push(Violation::RanAgain { id, node, later });
        }
    }
    violations
}

/// Whether a process of a node was killed, or ended without another one that had taken over, in this time.
fn has_lost_process(history: &History, node: usize, from: Time, until: Time) -> bool {
    let of_node = || history.processes.iter().filter(|process| process.node == node);
    of_node().any(|process| {
        let Some(ended) = process.ended.filter(|ended| (from..=until).contains(ended)) else { return false };
        let has_successor = of_node()
            .any(|other| other.started < ended && other.ended.is_none_or(|other_ended| other_ended > ended));
        process.killed || !has_successor
    })
}

/// Checks that no attempt begins after its client has disconnected.
fn check_disconnect(
    request: &RequestRecord,
    attempt: &AttemptRecord,
    limits: &Limits,
    tolerance: Duration,
) -> Option<Violation> {
    let late = attempt.first_byte.saturating_sub(request.disconnected?);
    let is_late = late > limits.after_disconnect + tolerance;
    is_late.then(|| Violation::AfterDisconnect { id: request.id.clone(), late })
}

/// Checks that a worker is not given more time than the client still waits.
fn check_deadline(
    request: &RequestRecord,
    attempt: &AttemptRecord,
    limits: &Limits,
    tolerance: Duration,
) -> Option<Violation> {
    let (sent, written) = (attempt.sent_deadline?, request.written?);
    let remaining = (written + request.deadline).saturating_sub(attempt.first_byte);
    let excess = Duration::from_secs_f64(sent.max(0.0)).saturating_sub(remaining);
    let is_too_long = excess > limits.deadline_slack + tolerance;
    is_too_long.then(|| Violation::Deadline { id: request.id.clone(), excess })
}

/// Checks that no attempt begins after its node knows that the worker is out of service.
fn check_drain(
    request: &RequestRecord,
    attempt: &AttemptRecord,
    history: &History,
    limits: &Limits,
    tolerance: Duration,
) -> Option<Violation> {
    let withdrawals = history.withdrawals.iter();
    let of_worker = withdrawals.filter(|w| w.node == request.node && w.worker == attempt.worker);
    let withdrawn = of_worker.map(|withdrawal| withdrawal.known_at).min()?;
    // A process is assumed to know the list from its start, and gets requests once it is ready.
    let mut processes = history.processes.iter();
    let process = processes.rfind(|p| p.node == request.node && p.started <= attempt.first_byte);
    let list_from = process.map_or(Some(Time::ZERO), |process| process.list_from)?;
    let ready = process.and_then(|process| process.ready).unwrap_or_default();
    let from = withdrawn.max(ready).max(list_from);
    let late = attempt.first_byte.saturating_sub(from);
    let (node, worker) = (request.node, attempt.worker);
    let is_late = late > limits.drain_grace + tolerance;
    is_late.then(|| Violation::Drained { id: request.id.clone(), node, worker, known_at: from, late })
}

/// Semantics by which two attempts of an id are judged: the strictest under which one of its requests was accepted that may have
/// caused either of them. A request whose last byte was not written by then, or that ended before, caused none.
fn semantics_of_attempts(
    requests: &[&RequestRecord],
    earlier: &AttemptRecord,
    later: &AttemptRecord,
    history: &History,
    limits: &Limits,
) -> Semantics {
    let may_have_caused = |request: &&&RequestRecord| {
        let is_written = request.written.is_some_and(|written| written <= later.first_byte);
        is_written && request.ended.is_none_or(|ended| ended + limits.accept_late >= earlier.first_byte)
    };
    let accepted = requests.iter().filter(may_have_caused);
    let strictest = accepted.map(|request| semantics_at_acceptance(request, history, limits)).max();
    strictest.unwrap_or_else(|| semantics_at_acceptance(requests[0], history, limits))
}

/// Semantics of the class under which a node has accepted a request. `notify` is unsafe at first; while its effect changes, a
/// node may follow either rule, and safe requests may be repeated.
fn semantics_at_acceptance(request: &RequestRecord, history: &History, limits: &Limits) -> Semantics {
    if request.semantics != Semantics::Unsafe {
        return request.semantics;
    }
    let of_node = || history.semantics_changes.iter().filter(|change| change.node == request.node);
    let from = request.first_byte.saturating_sub(limits.settings_known);
    let until = request.written.unwrap_or(request.first_byte) + limits.accept_late;
    if of_node().any(|change| (from..=until).contains(&change.at)) {
        return Semantics::Safe;
    }
    of_node().rfind(|change| change.at < from).map_or(Semantics::Unsafe, |change| change.semantics)
}

/// Checks that two attempts are not in flight at once, and that a request that may have been executed is sent
/// again only if its class allows it.
fn check_pair(
    request: &RequestRecord,
    semantics: Semantics,
    earlier: &AttemptRecord,
    later: &AttemptRecord,
    limits: &Limits,
    tolerance: Duration,
) -> Option<Violation> {
    // An attempt counts once its last byte has arrived.
    let last_byte = earlier.last_byte?;
    let in_flight = earlier.ended.is_none_or(|at| at > later.first_byte + tolerance);
    // Bytes in a worker's backlog were written before the connection was closed, at a time that was not
    // observed.
    if in_flight && last_byte < later.first_byte && !later.late_read && !earlier.late_read {
        let (id, node) = (request.id.clone(), request.node);
        return Some(Violation::Overlap { id, node, earlier: earlier.clone(), later: later.clone() });
    }
    let may_have_executed = earlier.end != AttemptEnd::NotExecuted;
    let window_over = later.first_byte > last_byte + limits.deduplication_window + tolerance;
    let forbidden = match semantics {
        Semantics::Safe => false,
        Semantics::Keyed => window_over,
        Semantics::Unsafe => true,
    };
    (may_have_executed && forbidden).then(|| Violation::Repeated {
        id: request.id.clone(),
        semantics,
        first: earlier.end,
    })
}

/// Checks that a process is ready in time, and exits only after SIGTERM.
fn check_process(process: &ProcessRecord, limits: &Limits) -> Option<Violation> {
    let exited = process.ended.is_some() && !process.killed;
    // SIGTERM may come before the program has installed its handler.
    let ended_in_start = process.ready.is_none() && process.signal == Some(Signal::TERM.as_raw());
    let ended_well = process.code == Some(0) || ended_in_start;
    if exited && (!ended_well || process.terminated.is_none()) {
        return Some(Violation::Crashed { node: process.node, code: process.code });
    }
    let until = process.ended.or(process.terminated).unwrap_or(Time::MAX);
    let in_time = process.ready.is_some_and(|at| at <= process.started + limits.ready);
    let cut_short = process.ready.is_none() && until < process.started + limits.ready;
    (!in_time && !cut_short).then_some(Violation::NotReady { node: process.node })
}
