//! Outcome of a run: rule violations, errors that processes logged, and counts of requests and injected
//! faults.

use super::super::history::RequestEnd;
use super::super::oracle::{check_history, Limits, Violation};
use super::super::settings::DEDUPLICATION_WINDOW;
use super::super::shim::Fault;
use super::Driver;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// Time allowed for processes to log their counters on SIGUSR1.
const COUNTERS_LOG_TIME: Duration = Duration::from_millis(300);

/// Outcome of a run.
#[derive(Debug)]
pub struct Report {
    /// Rule violations.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent or began to send.
    pub requests: usize,
    /// Number of attempts that workers received.
    pub attempts: usize,
    /// Number of answers by status.
    pub answers: BTreeMap<u16, usize>,
    /// Number of injections of each scheduled system-call fault. For a fault with 0 the run is no evidence.
    pub injected: BTreeMap<Fault, u64>,
    /// Longest scheduling delay of the stand-ins.
    pub stand_in_lag: Duration,
    /// Largest anonymous memory of a node, and the limit, in KiB.
    pub memory_kib: (u64, u64),
    /// Folder of the processes' logs; kept only if rules were violated.
    pub log_folder: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requests, attempts, answers, injected, stand_in_lag, memory_kib: (peak, limit), .. } =
            self;
        write!(
            f,
            "{requests} requests, {attempts} attempts, answers {answers:?}, stand-in lag {stand_in_lag:.0?}, \
             memory {peak} of {limit} KiB; injected"
        )?;
        for (fault, count) in injected {
            write!(f, " {fault:?}={count}")?;
        }
        for violation in &self.violations {
            write!(f, "\n    {violation}")?;
        }
        Ok(())
    }
}

impl Driver {
    /// Ends all processes and checks the history. Removes the folder unless a rule was violated.
    pub(super) async fn finish(mut self) -> io::Result<Report> {
        (0..self.nodes.len()).for_each(|i| self.signal(i, Signal::USR1));
        sleep(COUNTERS_LOG_TIME).await;
        let mut logged = Vec::new();
        for i in 0..self.nodes.len() {
            logged.extend(logged_errors(&self.folder.join(format!("n{i:02}")), i)?);
        }
        let injected = self.injected_counts()?;
        let history = self.recorder.history().clone();
        let limits = Limits {
            deduplication_window: DEDUPLICATION_WINDOW,
            has_crowd: self.options.idle_clients > 0 || self.options.profile.has_floods(),
            ..Limits::default()
        };
        let mut violations = check_history(&history, &limits);
        violations.extend(logged);
        let mut answers = BTreeMap::new();
        for request in &history.requests {
            if let RequestEnd::Answered { status, .. } = request.end {
                *answers.entry(status).or_default() += 1;
            }
        }
        self.nodes.clear();
        if violations.is_empty() {
            std::fs::remove_dir_all(&self.folder)?;
        }
        Ok(Report {
            violations,
            requests: history.requests.len(),
            attempts: history.attempts.len(),
            answers,
            injected,
            stand_in_lag: history.stand_in_lag,
            memory_kib: (
                history.memory_peaks_kib.iter().copied().max().unwrap_or_default(),
                history.memory_limit_kib,
            ),
            log_folder: self.folder.clone(),
        })
    }

    fn injected_counts(&self) -> io::Result<BTreeMap<Fault, u64>> {
        let total_over_nodes = |fault: &Fault| {
            let counts = self.nodes.iter().map(|node| node.control.injected(*fault));
            Ok((*fault, counts.sum::<io::Result<u64>>()?))
        };
        self.injected.iter().map(total_over_nodes).collect()
    }
}

/// Returns the errors and panics that a node's processes logged, as violations.
fn logged_errors(folder: &Path, node: usize) -> io::Result<Vec<Violation>> {
    let mut errors = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let is_log = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"));
        if !is_log {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let is_error = |line: &&str| line.contains("\"ERROR\"") || line.contains("panicked");
        let lines = text.lines().filter(is_error);
        errors.extend(lines.map(|line| Violation::Reported { node, line: line.to_string() }));
    }
    Ok(errors)
}
