//! Rolling restart of a fleet. The lease holder makes the nodes drain and restart one after another, with a bounded number
//! unavailable in each zone. The next holder resumes from the saved progress. The restart is aborted when too many requests
//! fail, when a node does not return, or when other nodes disappear.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which a node must restart.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which other nodes may be missing; the membership view may lag behind.
pub const MISSING_TOLERANCE: Duration = Duration::from_secs(5);
/// Maximum number of nodes that restart at once, which bounds the size of the saved progress.
pub const IN_PROGRESS_MAX: usize = 4;
/// Interval between restart requests to a node that has not restarted yet.
const RESTART_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of ended requests for which the ratio of failed ones is evaluated.
const REQUESTS_MIN: u64 = 20;
/// The restart is aborted if more than one in this many requests failed.
const REQUESTS_PER_FAILURE: u64 = 20;

/// Outcome of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartOutcome {
    /// All nodes have restarted.
    #[serde(rename = "Done")]
    Completed,
    /// An operator cancelled it.
    #[serde(rename = "Asked")]
    Cancelled,
    /// This node did not return in time.
    #[serde(rename = "NotBack")]
    NodeNotReturned(String),
    /// This number of nodes disappeared without a request to restart.
    #[serde(rename = "Missing")]
    NodesMissing(u16),
    /// Too many requests failed: the numbers of failed and of ended requests.
    #[serde(rename = "JobsFail")]
    RequestsFailed(u64, u64),
}

/// Formats the outcome for operators, with the variant names of the serialized form.
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

/// Progress of a rolling restart, which a holder saves for the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartProgress {
    /// Id of the restart: Unix time in milliseconds at which it was requested.
    pub id: u64,
    /// Maximum number of nodes of a zone that may be unavailable at once.
    #[serde(rename = "away")]
    pub max_unavailable: u8,
    /// Name of the last node that was selected to restart; nodes restart in the order of their names.
    pub cursor: String,
    /// Nodes that are restarting: the name and the id of the process that is to end.
    #[serde(rename = "under_way")]
    pub in_progress: Vec<(String, u64)>,
    /// Number of nodes at the start.
    pub total: u16,
    /// Number of nodes that have returned.
    #[serde(rename = "done")]
    pub completed: u16,
    /// Outcome, once the restart has ended.
    #[serde(rename = "end")]
    pub outcome: Option<RestartOutcome>,
}

/// Node of the fleet that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which the other nodes reach the node.
    pub address: SocketAddr,
    /// Id of the node's process.
    pub process_id: u64,
}

/// Action that the embedder carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartStep {
    /// Save the progress for the next holder. Later steps must wait until it is saved.
    SaveProgress(RestartProgress),
    /// Request that a process drain and exit.
    Restart {
        /// Name of the node.
        name: String,
        /// Address of the node.
        address: SocketAddr,
        /// Id of the process.
        process_id: u64,
    },
}

/// Times of the restart requests to a node.
struct RestartRequestTimes {
    first: Duration,
    last: Duration,
}

/// Rolling restart, driven by the holder of its lease.
pub struct RollingRestart {
    own_name: String,
    progress: RestartProgress,
    zones: BTreeMap<String, String>,
    requested: BTreeMap<String, RestartRequestTimes>,
    missing_since: Option<Duration>,
    steps: VecDeque<RestartStep>,
}

impl RollingRestart {
    /// Starts a rolling restart of these nodes. `own_name` is the name of the holder.
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
        restart.save_progress();
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

    /// Ends the restart with this outcome, unless it has already ended.
    pub fn stop(&mut self, outcome: RestartOutcome) {
        if self.progress.outcome.is_none() {
            self.progress.outcome = Some(outcome);
            self.save_progress();
        }
    }

    /// Evaluates the numbers of requests that failed and ended since the start, at all nodes that were queried, and aborts
    /// the restart if too many failed.
    pub fn record_requests(&mut self, failed: u64, ended: u64) {
        if ended >= REQUESTS_MIN && failed * REQUESTS_PER_FAILURE > ended {
            self.stop(RestartOutcome::RequestsFailed(failed, ended));
        }
    }

    /// Advances the restart, given the nodes that accept requests now.
    pub fn advance(&mut self, now: Duration, members: &[FleetMember]) {
        if self.progress.outcome.is_some() {
            return;
        }
        let previous = self.progress.clone();
        self.zones.extend(members.iter().map(|m| (m.name.clone(), m.zone.clone())));
        self.record_returned(members);
        if let Some(name) = self.find_overdue(now) {
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
        // No further nodes are selected while nodes are missing or the view is still incomplete.
        if missing == 0 {
            self.select_next(&remaining);
        }
        // The progress is saved before any node is asked to restart, so that the next holder knows of each request.
        if self.progress != previous {
            self.save_progress();
        }
        self.request_restarts(now, members);
    }

    /// Counts the nodes that have returned with a new process.
    fn record_returned(&mut self, members: &[FleetMember]) {
        let has_returned = |(name, process_id): &(String, u64)| {
            find_member(members, name).is_some_and(|member| member.process_id != *process_id)
        };
        let returned = self.progress.in_progress.iter().filter(|node| has_returned(node)).count();
        self.progress.completed += returned as u16;
        self.progress.in_progress.retain(|node| !has_returned(node));
        let in_progress = &self.progress.in_progress;
        self.requested.retain(|name, _| in_progress.iter().any(|(node, _)| node == name));
    }

    /// Returns the name of a node that did not return in time.
    fn find_overdue(&self, now: Duration) -> Option<String> {
        let is_overdue = |times: &RestartRequestTimes| now.saturating_sub(times.first) >= RETURN_TIMEOUT;
        self.requested.iter().find(|(_, times)| is_overdue(times)).map(|(name, _)| name.clone())
    }

    /// Returns the number of nodes that disappeared without a request to restart.
    fn count_missing(&self, members: &[FleetMember]) -> usize {
        let in_progress = self.progress.in_progress.iter();
        let restarting = in_progress.filter(|(name, _)| find_member(members, name).is_none()).count();
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

    /// Returns the nodes that have not been selected yet, in the order in which they restart.
    fn remaining<'a>(&self, members: &'a [FleetMember]) -> Vec<&'a FleetMember> {
        let mut remaining: Vec<&FleetMember> =
            members.iter().filter(|member| member.name > self.progress.cursor).collect();
        remaining.sort_by(|a, b| a.name.cmp(&b.name));
        remaining
    }

    /// Selects the next nodes to restart.
    fn select_next(&mut self, remaining: &[&FleetMember]) {
        for member in remaining {
            let is_full = self.progress.in_progress.len() >= IN_PROGRESS_MAX;
            if is_full || self.unavailable_in(&member.zone) >= usize::from(self.progress.max_unavailable) {
                break;
            }
            // The holder restarts alone, so that the next holder only has to wait for this one node.
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

    /// Returns the number of restarting nodes in a zone.
    fn unavailable_in(&self, zone: &str) -> usize {
        let is_in_zone = |name: &str| self.zones.get(name).is_some_and(|other| other == zone);
        self.progress.in_progress.iter().filter(|(name, _)| is_in_zone(name)).count()
    }

    /// Sends restart requests to the selected nodes, and repeats them until the processes have ended.
    fn request_restarts(&mut self, now: Duration, members: &[FleetMember]) {
        for (name, process_id) in &self.progress.in_progress {
            let times = self.requested.get(name);
            let Some(member) = find_member(members, name).filter(|m| m.process_id == *process_id) else {
                if times.is_none() {
                    self.requested.insert(name.clone(), RestartRequestTimes { first: now, last: now });
                }
                continue;
            };
            if times.is_none_or(|times| now.saturating_sub(times.last) >= RESTART_REQUEST_INTERVAL) {
                let first = times.map_or(now, |times| times.first);
                self.requested.insert(name.clone(), RestartRequestTimes { first, last: now });
                self.steps.push_back(RestartStep::Restart {
                    name: name.clone(),
                    address: member.address,
                    process_id: *process_id,
                });
            }
        }
    }

    fn save_progress(&mut self) {
        self.steps.push_back(RestartStep::SaveProgress(self.progress.clone()));
    }
}

fn find_member<'a>(members: &'a [FleetMember], name: &str) -> Option<&'a FleetMember> {
    members.iter().find(|member| member.name == name)
}
