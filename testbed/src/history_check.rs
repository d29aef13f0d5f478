//! History checker: finds violations of mutual exclusion in a history of operations under fencing tokens. It knows nothing of
//! how duties are granted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One operation on a resource that only one holder may operate on at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    /// Time at which the holder checked that it may act, on one global clock.
    pub begun: Duration,
    /// Time at which the resource accepted or rejected it.
    pub came: Duration,
    /// Process that acted.
    pub who: String,
    /// Fencing token.
    pub token: u64,
    /// Whether the resource accepted it.
    pub taken: bool,
}

/// Violation in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An operation was accepted under a token lower than one accepted before.
    WentBack(u64, u64),
    /// Two processes acted under one token.
    Shared(u64, String, String),
    /// A process began an operation under a token after another had begun one under a higher token.
    Overlap(u64, u64),
    /// An operation was rejected though no higher token had arrived.
    Refused(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::WentBack(old, new) => write!(f, "an act under {old} was taken after one under {new}"),
            Violation::Shared(token, a, b) => write!(f, "{a} and {b} acted under {token}"),
            Violation::Overlap(old, new) => write!(f, "{old} was acted under after {new} had been begun"),
            Violation::Refused(token) => write!(f, "an act under {token} was refused without cause"),
        }
    }
}

/// Returns all violations in the operations on one resource, which are in the order of their arrival.
pub fn violations(acts: &[Act]) -> Vec<Violation> {
    let mut wrong = Vec::new();
    let (mut highest, mut seen) = (0, 0);
    let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
    for act in acts {
        match act.taken {
            true if act.token < highest => wrong.push(Violation::WentBack(act.token, highest)),
            true => highest = act.token,
            false if act.token >= seen => wrong.push(Violation::Refused(act.token)),
            false => {}
        }
        seen = seen.max(act.token);
        let owner = *owners.entry(act.token).or_insert(&act.who);
        if owner != act.who {
            wrong.push(Violation::Shared(act.token, owner.to_string(), act.who.clone()));
        }
    }
    // What counts between holders is when each was sure of its right, however long the act was on its way.
    let mut begun: Vec<&Act> = acts.iter().collect();
    begun.sort_by_key(|a| a.begun);
    let mut latest = 0;
    for act in begun {
        if act.token < latest {
            wrong.push(Violation::Overlap(act.token, latest));
        }
        latest = latest.max(act.token);
    }
    wrong
}
