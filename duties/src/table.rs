//! What the voters agree on: who holds which duty under which token. The same commands in the same order give the same
//! table at each of them; it knows no time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Duties at most: bounds the table, and with it every snapshot.
pub const DUTIES_MAX: usize = 64;
/// Changes that are remembered.
pub const HISTORY: usize = 32;
/// What a holder may leave for the next one, in bytes.
pub(crate) const LEFT_MAX: usize = 512;

/// Who holds a duty: a process, not a name. One that was started again is another holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The node's name.
    pub name: String,
    /// The process: drawn anew at each start.
    pub boot: u64,
}

/// A duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Who holds it; `None` where it was given back. A holder whose lease is over stays here until the next one.
    pub holder: Option<Holder>,
    /// Under which token, or under which it was held last.
    pub token: u64,
    /// Since when, in Unix time in milliseconds, by the clock of the leader that granted it: to be shown, never compared.
    pub since_ms: u64,
    /// What the last holder left for the next one.
    pub left: Vec<u8>,
}

/// A voter's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// What happened to a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// It was granted.
    Granted,
    /// Its holder gave it back.
    Freed,
}

/// A line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Which duty.
    pub duty: String,
    /// What happened.
    pub what: What,
    /// To whom, or by whom.
    pub name: String,
    /// Under which token.
    pub token: u64,
    /// In Unix time in milliseconds, by the clock of the leader of that moment.
    pub at_ms: u64,
}

/// What a voter proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Guards against a grant that was decided before another one: it counts only right `after` this token.
    Grant { duty: String, holder: Holder, after: u64, at_ms: u64 },
    /// The holder of this token gives it back.
    Free { duty: String, token: u64, at_ms: u64 },
    /// The holder of this token leaves word for the next one.
    Leave { duty: String, token: u64, left: Vec<u8> },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    Granted { duty: String, token: u64 },
    Freed { duty: String },
    Left { duty: String },
    Nothing { duty: String },
}

/// All duties, and the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The last token that was granted, of whatever duty.
    pub last_token: u64,
    /// The duties that were ever held.
    pub held: BTreeMap<String, Held>,
    /// The voters, by the number of their disk.
    pub seats: BTreeMap<u64, Seat>,
    /// The last changes, oldest first.
    pub history: VecDeque<Change>,
}

impl Table {
    /// The token of a duty's last grant; 0 where there was none.
    pub fn token(&self, duty: &str) -> u64 {
        self.held.get(duty).map_or(0, |h| h.token)
    }

    /// Who holds a duty, as far as the log tells.
    pub fn holder(&self, duty: &str) -> Option<&Holder> {
        self.held.get(duty)?.holder.as_ref()
    }

    pub(crate) fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::Grant { duty, holder, after, at_ms } => {
                let room = self.held.contains_key(&duty) || self.held.len() < DUTIES_MAX;
                if self.token(&duty) != after || !room {
                    return Applied::Nothing { duty };
                }
                // The first one is no lower than the time: tokens go on growing where all voters were lost and founded
                // anew, for those that remember the old ones.
                self.last_token = if self.last_token == 0 { at_ms.max(1) } else { self.last_token + 1 };
                let (token, name) = (self.last_token, holder.name.clone());
                let left = self.held.remove(&duty).map_or(Vec::new(), |h| h.left);
                let held = Held { holder: Some(holder), token, since_ms: at_ms, left };
                self.held.insert(duty.clone(), held);
                self.note(Change { duty: duty.clone(), what: What::Granted, name, token, at_ms });
                Applied::Granted { duty, token }
            }
            Command::Free { duty, token, at_ms } => {
                let held = self.held.get_mut(&duty).filter(|h| h.token == token);
                let Some(holder) = held.and_then(|h| h.holder.take()) else {
                    return Applied::Nothing { duty };
                };
                let name = holder.name;
                self.note(Change { duty: duty.clone(), what: What::Freed, name, token, at_ms });
                Applied::Freed { duty }
            }
            Command::Leave { duty, token, left } => {
                let held = self.held.get_mut(&duty).filter(|h| h.token == token && h.holder.is_some());
                match held {
                    Some(held) if left.len() <= LEFT_MAX => {
                        held.left = left;
                        Applied::Left { duty }
                    }
                    _ => Applied::Nothing { duty },
                }
            }
        }
    }

    fn note(&mut self, change: Change) {
        while self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grant(duty: &str, name: &str, after: u64) -> Command {
        let holder = Holder { name: name.into(), boot: 1 };
        Command::Grant { duty: duty.into(), holder, after, at_ms: 1000 }
    }

    #[test]
    fn a_grant_counts_only_after_the_one_that_it_was_decided_on() {
        let mut t = Table::default();
        let token = |applied| match applied {
            Applied::Granted { token, .. } => token,
            other => panic!("{other:?}"),
        };
        let first = token(t.apply(grant("lists", "a", 0)));
        assert_eq!(first, 1000, "no lower than the time");
        assert_eq!(t.apply(grant("lists", "b", 0)), Applied::Nothing { duty: "lists".into() });
        let other = token(t.apply(grant("roll", "b", 0)));
        let second = token(t.apply(grant("lists", "b", first)));
        assert!(first < other && other < second, "over all duties");
        let free = |token| Command::Free { duty: "lists".into(), token, at_ms: 1 };
        assert_eq!(t.apply(free(first)), Applied::Nothing { duty: "lists".into() }, "an old holder's word");
        assert_eq!(t.holder("lists").unwrap().name, "b");
        assert_eq!(t.apply(free(second)), Applied::Freed { duty: "lists".into() });
        assert_eq!((t.holder("lists"), t.token("lists")), (None, second), "the token stays");
        let left = Command::Leave { duty: "roll".into(), token: other, left: vec![7] };
        t.apply(left);
        assert!(token(t.apply(grant("roll", "c", other))) > second);
        assert_eq!(t.held["roll"].left, [7], "what was left goes on to the next holder");
    }

    #[test]
    fn duties_history_and_what_is_left_are_bounded() {
        let mut t = Table::default();
        for i in 0..200 {
            t.apply(grant(&format!("d{i}"), "a", 0));
        }
        assert_eq!((t.held.len(), t.history.len()), (DUTIES_MAX, HISTORY));
        let token = t.token("d0");
        let left = Command::Leave { duty: "d0".into(), token, left: vec![0; LEFT_MAX + 1] };
        assert_eq!(t.apply(left), Applied::Nothing { duty: "d0".into() });
    }
}
