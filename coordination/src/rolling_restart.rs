//! Rolling restart of a fleet. The lease holder lets the nodes drain and restart one after another, with a bounded number
//! unavailable in each zone. The next holder continues from the saved progress. The restart halts when jobs fail, when a
//! node does not come back, or when other nodes disappear.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which a node has to restart.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which other nodes may be missing from the view, which may lag behind.
pub const MISSING_TOLERANCE: Duration = Duration::from_secs(5);
/// Most nodes that restart at once; bounds the saved progress.
pub const IN_PROGRESS_MAX: usize = 4;
/// Interval between requests to a node that has not restarted yet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Fewest ended jobs from which the ratio of failed ones is judged.
const JOBS_MIN: u64 = 20;
/// The restart halts if more than one in this many jobs failed.
const JOBS_PER_FAILURE: u64 = 20;

/// Outcome of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartOutcome {
    /// All nodes restarted.
    #[serde(rename = "Done")]
    Completed,
    /// An operator cancelled it.
    #[serde(rename = "Asked")]
    Cancelled,
    /// This node did not come back.
    #[serde(rename = "NotBack")]
    NodeNotReturned(String),
    /// This number of nodes disappeared without having been told to restart.
    #[serde(rename = "Missing")]
    NodesMissing(u16),
    /// Too many jobs failed: the number of failed jobs, and of all that ended.
    #[serde(rename = "JobsFail")]
    RequestsFailed(u64, u64),
}

/// The text that operators see.
impl fmt::Display for RestartOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RestartOutcome::Completed => write!(f, "Done"),
            RestartOutcome::Cancelled => write!(f, "Asked"),
            RestartOutcome::NodeNotReturned(name) => write!(f, "NotBack({name:?})"),
            RestartOutcome::NodesMissing(count) => write!(f, "Missing({count})"),
            RestartOutcome::RequestsFailed(failed, ended) => write!(f, "JobsFail({failed}, {ended})"),
        }
    }
}

/// Progress of a rolling restart, as a holder saves it for the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartProgress {
    /// Id of the restart: Unix time in milliseconds at which it was requested.
    pub id: u64,
    /// Most nodes of one zone that may be unavailable at once.
    #[serde(rename = "away")]
    pub max_unavailable: u8,
    /// Last node, by name, that was chosen to restart.
    pub cursor: String,
    /// Nodes that restart now, with the process that is to end.
    #[serde(rename = "under_way")]
    pub in_progress: Vec<(String, u64)>,
    /// Number of nodes at the start.
    pub total: u16,
    /// Number of nodes that came back.
    #[serde(rename = "done")]
    pub completed: u16,
    /// Outcome, once it has ended.
    #[serde(rename = "end")]
    pub outcome: Option<RestartOutcome>,
}

/// Node that takes jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Name of the node.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address at which the other nodes reach it.
    pub address: SocketAddr,
    /// Id of its process.
    pub process_id: u64,
}

/// Action for the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartStep {
    /// Save the progress for the next holder; the steps that follow wait for it.
    SaveProgress(RestartProgress),
    /// Tell a process to drain and end.
    Restart {
        /// Name of the node.
        name: String,
        /// Address of the node.
        address: SocketAddr,
        /// The process.
        process_id: u64,
    },
}

/// Times of the requests to a node that restarts.
struct RequestTimes {
    first: Duration,
    last: Duration,
}

/// Rolling restart at the holder of its lease.
pub struct RollingRestart {
    own_name: String,
    progress: RestartProgress,
    zones: BTreeMap<String, String>,
    requested: BTreeMap<String, RequestTimes>,
    missing_since: Option<Duration>,
    steps: VecDeque<RestartStep>,
}

impl RollingRestart {
    /// Starts a rolling restart of these nodes. `own_name` is the holder's.
    pub fn start(own_name: &str, id: u64, max_unavailable: u8, members: &[FleetMember]) -> RollingRestart {
        let progress = RestartProgress {
            id,
            max_unavailable: max_unavailable.clamp(1, IN_PROGRESS_MAX as u8),
            cursor: String::new(),
            in_progress: Vec::new(),
            total: members.len().min(usize::from(u16::MAX)) as u16,
            completed: 0,
            outcome: None,
        };
        let mut restart = RollingRestart::resume(own_name, progress);
        restart.save();
        restart
    }

    /// Resumes a rolling restart from the progress that another holder saved.
    pub fn resume(own_name: &str, progress: RestartProgress) -> RollingRestart {
        RollingRestart {
            own_name: own_name.to_string(),
            progress,
            zones: BTreeMap::new(),
            requested: BTreeMap::new(),
            missing_since: None,
            steps: VecDeque::new(),
        }
    }

    /// Returns the progress.
    pub fn progress(&self) -> &RestartProgress {
        &self.progress
    }

    /// Returns the next step for the embedder, if there is one.
    pub fn next_step(&mut self) -> Option<RestartStep> {
        self.steps.pop_front()
    }

    /// Ends the restart, unless it has ended.
    pub fn stop(&mut self, outcome: RestartOutcome) {
        if self.progress.outcome.is_none() {
            self.progress.outcome = Some(outcome);
            self.save();
        }
    }

    /// Records the jobs that failed and ended since the start, at all nodes that were asked; halts if too many failed.
    pub fn record_requests(&mut self, failed: u64, ended: u64) {
        if ended >= JOBS_MIN && failed * JOBS_PER_FAILURE > ended {
            self.stop(RestartOutcome::RequestsFailed(failed, ended));
        }
    }

    /// Continues with the nodes that take jobs now.
    pub fn advance(&mut self, now: Duration, members: &[FleetMember]) {
        if self.progress.outcome.is_some() {
            return;
        }
        let before = self.progress.clone();
        self.zones.extend(members.iter().map(|m| (m.name.clone(), m.zone.clone())));
        self.record_returned(members);
        if let Some(name) = self.overdue(now) {
            return self.stop(RestartOutcome::NodeNotReturned(name));
        }
        let missing = self.count_missing(members);
        if self.is_missing_too_long(now, missing) {
            return self.stop(RestartOutcome::NodesMissing(missing as u16));
        }
        let remaining = self.remaining(members);
        if remaining.is_empty() && self.progress.in_progress.is_empty() && missing == 0 {
            return self.stop(RestartOutcome::Completed);
        }
        // No more nodes are chosen while some are missing, or the view is not complete yet.
        if missing == 0 {
            self.choose(&remaining);
        }
        // What the next holder has to know is saved before any node is told.
        if self.progress != before {
            self.save();
        }
        self.request_restarts(now, members);
    }

    /// Counts the nodes that came back with another process.
    fn record_returned(&mut self, members: &[FleetMember]) {
        let has_returned = |(name, process_id): &(String, u64)| {
            find(members, name).is_some_and(|member| member.process_id != *process_id)
        };
        let returned = self.progress.in_progress.iter().filter(|node| has_returned(node)).count();
        self.progress.completed += returned as u16;
        self.progress.in_progress.retain(|node| !has_returned(node));
        let in_progress = &self.progress.in_progress;
        self.requested.retain(|name, _| in_progress.iter().any(|(node, _)| node == name));
    }

    /// Name of a node that did not come back in time.
    fn overdue(&self, now: Duration) -> Option<String> {
        let is_overdue = |times: &RequestTimes| now.saturating_sub(times.first) >= RETURN_TIMEOUT;
        self.requested.iter().find(|(_, times)| is_overdue(times)).map(|(name, _)| name.clone())
    }

    /// Number of nodes that disappeared without having been told to restart.
    fn count_missing(&self, members: &[FleetMember]) -> usize {
        let in_progress = self.progress.in_progress.iter();
        let restarting = in_progress.filter(|(name, _)| find(members, name).is_none()).count();
        usize::from(self.progress.total).saturating_sub(members.len() + restarting)
    }

    fn is_missing_too_long(&mut self, now: Duration, missing: usize) -> bool {
        if missing == 0 {
            self.missing_since = None;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        now.saturating_sub(since) >= MISSING_TOLERANCE
    }

    /// Nodes that have not been chosen yet, in the order in which they restart.
    fn remaining<'a>(&self, members: &'a [FleetMember]) -> Vec<&'a FleetMember> {
        let mut remaining: Vec<&FleetMember> =
            members.iter().filter(|member| member.name > self.progress.cursor).collect();
        remaining.sort_by(|a, b| a.name.cmp(&b.name));
        remaining
    }

    /// Chooses the next nodes to restart.
    fn choose(&mut self, remaining: &[&FleetMember]) {
        for member in remaining {
            let is_full = self.progress.in_progress.len() >= IN_PROGRESS_MAX;
            if is_full || self.unavailable_in(&member.zone) >= usize::from(self.progress.max_unavailable) {
                break;
            }
            // The holder restarts alone, so that the next holder has only that node to wait for.
            let is_holder = member.name == self.own_name;
            if is_holder && !self.progress.in_progress.is_empty() {
                break;
            }
            self.progress.cursor.clone_from(&member.name);
            self.progress.in_progress.push((member.name.clone(), member.process_id));
            if is_holder {
                break;
            }
        }
    }

    fn unavailable_in(&self, zone: &str) -> usize {
        let is_in_zone = |name: &str| self.zones.get(name).is_some_and(|other| other == zone);
        self.progress.in_progress.iter().filter(|(name, _)| is_in_zone(name)).count()
    }

    /// Tells the chosen nodes to restart, again and again until they are gone.
    fn request_restarts(&mut self, now: Duration, members: &[FleetMember]) {
        for (name, process_id) in &self.progress.in_progress {
            let times = self.requested.get(name);
            let Some(member) = find(members, name).filter(|m| m.process_id == *process_id) else {
                if times.is_none() {
                    self.requested.insert(name.clone(), RequestTimes { first: now, last: now });
                }
                continue;
            };
            if times.is_none_or(|times| now.saturating_sub(times.last) >= REQUEST_INTERVAL) {
                let first = times.map_or(now, |times| times.first);
                self.requested.insert(name.clone(), RequestTimes { first, last: now });
                self.steps.push_back(RestartStep::Restart {
                    name: name.clone(),
                    address: member.address,
                    process_id: *process_id,
                });
            }
        }
    }

    fn save(&mut self) {
        self.steps.push_back(RestartStep::SaveProgress(self.progress.clone()));
    }
}

fn find<'a>(members: &'a [FleetMember], name: &str) -> Option<&'a FleetMember> {
    members.iter().find(|member| member.name == name)
}
