//! A roll: whoever holds the duty takes the fleet's nodes through a drain and a restart, one after another, at most so many
//! away at a time in each zone. It goes on with the next holder where it stood, and stops by itself where jobs fail, where
//! a node does not come back, or where others go missing.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// For a node to be gone and back again.
const BACK: Duration = Duration::from_secs(120);
/// Between two words to a node that has yet to go.
const AGAIN: Duration = Duration::from_millis(500);
/// For which others may be missing from the view: some views are late.
const MISSING: Duration = Duration::from_secs(5);
/// Jobs that have to have ended, and of them the part that may fail: one in so many.
const ENDED: u64 = 20;
const FAILS: u64 = 20;
/// Nodes under way at once: bounds what is left for the next holder.
const UNDER_WAY: usize = 4;

/// How a roll ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestartOutcome {
    /// All nodes were started anew.
    #[serde(rename = "Done")]
    Completed,
    /// An operator stopped it.
    #[serde(rename = "Asked")]
    Cancelled,
    /// This node did not come back.
    #[serde(rename = "NotBack")]
    NodeNotBack(String),
    /// So many nodes are missing that it did not take away.
    #[serde(rename = "Missing")]
    NodesMissing(u16),
    /// Of so many jobs that ended so many failed.
    #[serde(rename = "JobsFail")]
    JobsFailed(u64, u64),
}

/// The words that operators see.
impl std::fmt::Display for RestartOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RestartOutcome::Completed => write!(f, "Done"),
            RestartOutcome::Cancelled => write!(f, "Asked"),
            RestartOutcome::NodeNotBack(name) => write!(f, "NotBack({name:?})"),
            RestartOutcome::NodesMissing(count) => write!(f, "Missing({count})"),
            RestartOutcome::JobsFailed(failed, ended) => write!(f, "JobsFail({failed}, {ended})"),
        }
    }
}

/// How far a roll is: what a holder leaves for the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartProgress {
    /// Which roll: when it was asked for.
    pub id: u64,
    /// Nodes of one zone that may be away at once.
    #[serde(rename = "away")]
    pub max_unavailable: u8,
    /// The last node, by name, that was told to go.
    pub cursor: String,
    /// Those that are under way, with the process that was told.
    #[serde(rename = "under_way")]
    pub in_progress: Vec<(String, u64)>,
    /// Nodes that there were at its begin.
    pub total: u16,
    /// Nodes that are back.
    #[serde(rename = "done")]
    pub completed: u16,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: Option<RestartOutcome>,
}

/// A node that takes jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process.
    pub process_id: u64,
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartStep {
    /// Leave this for the next holder.
    SaveProgress(RestartProgress),
    /// Tell this process to drain and end.
    Restart {
        /// The node.
        name: String,
        /// Where it is reached.
        address: SocketAddr,
        /// The process.
        process_id: u64,
    },
}

/// A roll in the hands of its holder.
pub struct RollingRestart {
    own: String,
    progress: RestartProgress,
    zones: BTreeMap<String, String>,
    told: BTreeMap<String, (Duration, Duration)>, // first, and last
    missing_since: Option<Duration>,
    steps: VecDeque<RestartStep>,
}

impl RollingRestart {
    /// A new one, of these nodes.
    pub fn start(own: &str, id: u64, max_unavailable: u8, members: &[Member]) -> RollingRestart {
        let progress = RestartProgress {
            id,
            max_unavailable: max_unavailable.clamp(1, UNDER_WAY as u8),
            cursor: String::new(),
            in_progress: Vec::new(),
            total: members.len().min(usize::from(u16::MAX)) as u16,
            completed: 0,
            outcome: None,
        };
        let mut roll = RollingRestart::resume(own, progress);
        roll.save();
        roll
    }

    /// One that another holder left.
    pub fn resume(own: &str, progress: RestartProgress) -> RollingRestart {
        RollingRestart {
            own: own.to_string(),
            progress,
            zones: BTreeMap::new(),
            told: BTreeMap::new(),
            missing_since: None,
            steps: VecDeque::new(),
        }
    }

    /// How far it is.
    pub fn progress(&self) -> &RestartProgress {
        &self.progress
    }

    /// The next thing to do, if there is one.
    pub fn next_step(&mut self) -> Option<RestartStep> {
        self.steps.pop_front()
    }

    /// It ends here.
    pub fn stop(&mut self, outcome: RestartOutcome) {
        if self.progress.outcome.is_none() {
            self.progress.outcome = Some(outcome);
            self.save();
        }
    }

    /// What jobs came to since it began, at all nodes that were asked.
    pub fn record_jobs(&mut self, failed: u64, ended: u64) {
        if ended >= ENDED && failed * FAILS > ended {
            self.stop(RestartOutcome::JobsFailed(failed, ended));
        }
    }

    /// Looks at the nodes that take jobs now, and goes on.
    pub fn advance(&mut self, now: Duration, members: &[Member]) {
        if self.progress.outcome.is_some() {
            return;
        }
        let before = self.progress.clone();
        let process = |name: &str| members.iter().find(|m| m.name == name);
        for m in members {
            self.zones.insert(m.name.clone(), m.zone.clone());
        }
        let back =
            |(name, process_id): &(String, u64)| process(name).is_some_and(|m| m.process_id != *process_id);
        self.progress.completed += self.progress.in_progress.iter().filter(|u| back(u)).count() as u16;
        self.progress.in_progress.retain(|u| !back(u));
        let in_progress = &self.progress.in_progress;
        self.told.retain(|name, _| in_progress.iter().any(|(n, _)| n == name));
        if let Some((name, _)) = self.told.iter().find(|(_, (first, _))| now.saturating_sub(*first) >= BACK) {
            let name = name.clone();
            return self.stop(RestartOutcome::NodeNotBack(name));
        }
        // Those that are gone and were not told to go.
        let gone = in_progress.iter().filter(|(name, _)| process(name).is_none()).count();
        let missing = usize::from(self.progress.total).saturating_sub(members.len() + gone);
        if missing > 0 {
            let since = *self.missing_since.get_or_insert(now);
            if now.saturating_sub(since) >= MISSING {
                return self.stop(RestartOutcome::NodesMissing(missing as u16));
            }
        } else {
            self.missing_since = None;
        }
        // Nobody more goes while some are missing, or where the view is not yet whole.
        let mut rest: Vec<&Member> = members.iter().filter(|m| m.name > self.progress.cursor).collect();
        rest.sort_by(|a, b| a.name.cmp(&b.name));
        if rest.is_empty() && self.progress.in_progress.is_empty() && missing == 0 {
            return self.stop(RestartOutcome::Completed);
        }
        for m in rest {
            let away = |zone: &str| {
                let same = |(n, _): &&(String, u64)| self.zones.get(n).is_some_and(|z| z == zone);
                self.progress.in_progress.iter().filter(same).count()
            };
            let full = self.progress.in_progress.len() >= UNDER_WAY;
            if missing > 0 || full || away(&m.zone) >= usize::from(self.progress.max_unavailable) {
                break;
            }
            // The holder goes when nobody else is away: the next one finds only that to wait for.
            if m.name == self.own && !self.progress.in_progress.is_empty() {
                break;
            }
            self.progress.cursor = m.name.clone();
            self.progress.in_progress.push((m.name.clone(), m.process_id));
            if m.name == self.own {
                break;
            }
        }
        // What the next holder has to know is left before anybody hears of it.
        if self.progress != before {
            self.save();
        }
        for (name, process_id) in &self.progress.in_progress {
            let Some(m) = process(name).filter(|m| m.process_id == *process_id) else {
                self.told.entry(name.clone()).or_insert((now, now));
                continue;
            };
            let due = self.told.get(name).is_none_or(|(_, last)| now.saturating_sub(*last) >= AGAIN);
            if due {
                let first = self.told.get(name).map_or(now, |(first, _)| *first);
                self.told.insert(name.clone(), (first, now));
                self.steps.push_back(RestartStep::Restart {
                    name: name.clone(),
                    address: m.address,
                    process_id: *process_id,
                });
            }
        }
    }

    fn save(&mut self) {
        self.steps.push_back(RestartStep::SaveProgress(self.progress.clone()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn fleet(n: usize) -> Vec<Member> {
        let member = |i: usize| Member {
            name: format!("n{i}"),
            zone: format!("z{}", i % 2),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16)),
            process_id: 1,
        };
        (0..n).map(member).collect()
    }

    /// Those that were told to go are gone for a look, and back with another process at the next.
    fn step(
        roll: &mut RollingRestart,
        now: Duration,
        members: &mut Vec<Member>,
        away: &mut Vec<Member>,
    ) -> Vec<String> {
        members.append(away);
        roll.advance(now, members);
        let mut told = Vec::new();
        while let Some(next) = roll.next_step() {
            if let RestartStep::Restart { name, process_id, .. } = next {
                let at = members
                    .iter()
                    .position(|m| m.name == name && m.process_id == process_id)
                    .expect("it is there");
                let m = members.remove(at);
                away.push(Member { process_id: process_id + 1, ..m });
                told.push(name);
            }
        }
        told
    }

    #[test]
    fn all_nodes_go_once_and_never_too_many_of_a_zone() {
        let (mut members, mut away) = (fleet(8), Vec::new());
        let mut roll = RollingRestart::start("n3", 7, 1, &members);
        let (mut order, mut now) = (Vec::new(), S);
        while roll.progress().outcome.is_none() {
            let told = step(&mut roll, now, &mut members, &mut away);
            for zone in ["z0", "z1"] {
                assert!(away.iter().filter(|m| m.zone == zone).count() <= 1);
            }
            order.extend(told);
            now += S;
            assert!(now < 100 * S, "{:?}", roll.progress());
            // The holder goes alone, and another goes on with what it left.
            if order.last().is_some_and(|n| n == "n3") && roll.own == "n3" {
                assert_eq!(away.len(), 1);
                roll = RollingRestart::resume("n0", roll.progress().clone());
            }
        }
        assert_eq!(roll.progress().outcome, Some(RestartOutcome::Completed));
        assert_eq!((order.len(), roll.progress().completed), (8, 8), "{order:?}");
        assert!(members.iter().all(|m| m.process_id == 2) && members.len() == 8);
    }

    #[test]
    fn it_stops_where_others_go_missing_jobs_fail_or_one_does_not_come_back() {
        let begin = || RollingRestart::start("n0", 7, 1, &fleet(4));
        let mut roll = begin();
        let three = fleet(3);
        roll.advance(S, &three);
        assert!(roll.progress().in_progress.is_empty(), "nobody goes while one is missing");
        roll.advance(S + MISSING, &three);
        assert_eq!(roll.progress().outcome, Some(RestartOutcome::NodesMissing(1)));
        let mut roll = begin();
        roll.record_jobs(1, 30);
        assert_eq!(roll.progress().outcome, None);
        roll.record_jobs(2, 30);
        assert_eq!(roll.progress().outcome, Some(RestartOutcome::JobsFailed(2, 30)));
        let (mut roll, mut members) = (begin(), fleet(4));
        roll.advance(S, &members);
        members.remove(0);
        roll.advance(2 * S, &members);
        roll.advance(S + BACK, &members);
        assert_eq!(roll.progress().outcome, Some(RestartOutcome::NodeNotBack("n0".into())));
    }

    #[test]
    fn what_is_left_for_the_next_holder_is_short() {
        let long = "n".repeat(64);
        let progress = RestartProgress {
            id: u64::MAX,
            max_unavailable: 4,
            cursor: long.clone(),
            in_progress: vec![(long.clone(), u64::MAX); UNDER_WAY],
            total: u16::MAX,
            completed: u16::MAX,
            outcome: Some(RestartOutcome::NodeNotBack(long)),
        };
        assert!(postcard::to_stdvec(&progress).unwrap().len() <= crate::lease_table::STATE_MAX);
    }
}
