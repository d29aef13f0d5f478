//! What the voters agree on: who holds which duty under which token. The same commands in the same order give the same
//! table at each of them; it knows no time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Duties at most: bounds the table, and with it every snapshot.
pub const LEASES_MAX: usize = 64;
/// Changes that are remembered.
pub const HISTORY_MAX: usize = 32;
/// What a holder may leave for the next one, in bytes.
pub(crate) const STATE_MAX: usize = 512;

/// Who holds a duty: a process, not a name. One that was started again is another holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The node's name.
    pub name: String,
    /// The process: drawn anew at each start.
    #[serde(rename = "boot")]
    pub process_id: u64,
}

/// A duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it; `None` where it was given back. A holder whose lease is over stays here until the next one.
    pub holder: Option<Holder>,
    /// Under which token, or under which it was held last.
    pub token: u64,
    /// Since when, in Unix time in milliseconds, by the clock of the leader that granted it: to be shown, never compared.
    #[serde(rename = "since_ms")]
    pub granted_at_ms: u64,
    /// What the last holder left for the next one.
    #[serde(rename = "left")]
    pub state: Vec<u8>,
}

/// A voter's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMember {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What happened to a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// It was granted.
    Granted,
    /// Its holder gave it back.
    #[serde(rename = "freed")]
    Released,
}

/// A line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// Which duty.
    #[serde(rename = "duty")]
    pub lease: String,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
    /// To whom, or by whom.
    #[serde(rename = "name")]
    pub holder: String,
    /// Under which token.
    pub token: u64,
    /// In Unix time in milliseconds, by the clock of the leader of that moment.
    pub at_ms: u64,
}

/// What a voter proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Guards against a grant that was decided before another one: it counts only right `after` this token.
    Grant { lease: String, holder: Holder, previous_token: u64, at_ms: u64 },
    /// The holder of this token gives it back.
    Release { lease: String, token: u64, at_ms: u64 },
    /// The holder of this token leaves word for the next one.
    SaveState { lease: String, token: u64, state: Vec<u8> },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ApplyResult {
    Granted { lease: String, token: u64 },
    Released { lease: String },
    StateSaved { lease: String },
    Ignored { lease: String },
}

/// All duties, and the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The last token that was granted, of whatever duty.
    pub last_token: u64,
    /// The duties that were ever held.
    #[serde(rename = "held")]
    pub leases: BTreeMap<String, LeaseRecord>,
    /// The voters, by the number of their disk.
    #[serde(rename = "seats")]
    pub voters: BTreeMap<u64, VoterMember>,
    /// The last changes, oldest first.
    pub history: VecDeque<LeaseChange>,
}

impl LeaseTable {
    /// The token of a duty's last grant; 0 where there was none.
    pub fn token(&self, lease: &str) -> u64 {
        self.leases.get(lease).map_or(0, |h| h.token)
    }

    /// Who holds a duty, as far as the log tells.
    pub fn holder(&self, lease: &str) -> Option<&Holder> {
        self.leases.get(lease)?.holder.as_ref()
    }

    pub(crate) fn apply(&mut self, command: Command) -> ApplyResult {
        match command {
            Command::Grant { lease, holder, previous_token, at_ms } => {
                let room = self.leases.contains_key(&lease) || self.leases.len() < LEASES_MAX;
                if self.token(&lease) != previous_token || !room {
                    return ApplyResult::Ignored { lease };
                }
                // The first one is no lower than the time: tokens go on growing where all voters were lost and founded
                // anew, for those that remember the old ones.
                self.last_token = if self.last_token == 0 { at_ms.max(1) } else { self.last_token + 1 };
                let (token, name) = (self.last_token, holder.name.clone());
                let state = self.leases.remove(&lease).map_or(Vec::new(), |h| h.state);
                let held = LeaseRecord { holder: Some(holder), token, granted_at_ms: at_ms, state };
                self.leases.insert(lease.clone(), held);
                self.record(LeaseChange {
                    lease: lease.clone(),
                    kind: ChangeKind::Granted,
                    holder: name,
                    token,
                    at_ms,
                });
                ApplyResult::Granted { lease, token }
            }
            Command::Release { lease, token, at_ms } => {
                let held = self.leases.get_mut(&lease).filter(|h| h.token == token);
                let Some(holder) = held.and_then(|h| h.holder.take()) else {
                    return ApplyResult::Ignored { lease };
                };
                let name = holder.name;
                self.record(LeaseChange {
                    lease: lease.clone(),
                    kind: ChangeKind::Released,
                    holder: name,
                    token,
                    at_ms,
                });
                ApplyResult::Released { lease }
            }
            Command::SaveState { lease, token, state } => {
                let held = self.leases.get_mut(&lease).filter(|h| h.token == token && h.holder.is_some());
                match held {
                    Some(held) if state.len() <= STATE_MAX => {
                        held.state = state;
                        ApplyResult::StateSaved { lease }
                    }
                    _ => ApplyResult::Ignored { lease },
                }
            }
        }
    }

    fn record(&mut self, change: LeaseChange) {
        while self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grant(lease: &str, name: &str, previous_token: u64) -> Command {
        let holder = Holder { name: name.into(), process_id: 1 };
        Command::Grant { lease: lease.into(), holder, previous_token, at_ms: 1000 }
    }

    #[test]
    fn a_grant_counts_only_after_the_one_that_it_was_decided_on() {
        let mut t = LeaseTable::default();
        let token = |applied| match applied {
            ApplyResult::Granted { token, .. } => token,
            other => panic!("{other:?}"),
        };
        let first = token(t.apply(grant("lists", "a", 0)));
        assert_eq!(first, 1000, "no lower than the time");
        assert_eq!(t.apply(grant("lists", "b", 0)), ApplyResult::Ignored { lease: "lists".into() });
        let other = token(t.apply(grant("roll", "b", 0)));
        let second = token(t.apply(grant("lists", "b", first)));
        assert!(first < other && other < second, "over all duties");
        let free = |token| Command::Release { lease: "lists".into(), token, at_ms: 1 };
        assert_eq!(
            t.apply(free(first)),
            ApplyResult::Ignored { lease: "lists".into() },
            "an old holder's word"
        );
        assert_eq!(t.holder("lists").unwrap().name, "b");
        assert_eq!(t.apply(free(second)), ApplyResult::Released { lease: "lists".into() });
        assert_eq!((t.holder("lists"), t.token("lists")), (None, second), "the token stays");
        let state = Command::SaveState { lease: "roll".into(), token: other, state: vec![7] };
        t.apply(state);
        assert!(token(t.apply(grant("roll", "c", other))) > second);
        assert_eq!(t.leases["roll"].state, [7], "what was left goes on to the next holder");
    }

    #[test]
    fn duties_history_and_what_is_left_are_bounded() {
        let mut t = LeaseTable::default();
        for i in 0..200 {
            t.apply(grant(&format!("d{i}"), "a", 0));
        }
        assert_eq!((t.leases.len(), t.history.len()), (LEASES_MAX, HISTORY_MAX));
        let token = t.token("d0");
        let state = Command::SaveState { lease: "d0".into(), token, state: vec![0; STATE_MAX + 1] };
        assert_eq!(t.apply(state), ApplyResult::Ignored { lease: "d0".into() });
    }
}
