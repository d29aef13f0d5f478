//! History checker: finds violations of mutual exclusion in a history of operations under fencing tokens. It knows nothing of
//! how leases are granted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One operation on a resource that only one holder may operate on at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOperation {
    /// Time at which the holder checked that it may act, on one global clock.
    pub started_at: Duration,
    /// Time at which the resource accepted or rejected it.
    pub arrived_at: Duration,
    /// Process that acted.
    pub process: String,
    /// Fencing token.
    pub token: u64,
    /// Whether the resource accepted it.
    pub accepted: bool,
}

/// Violation in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An operation was accepted under a token lower than one accepted before.
    TokenRegressed(u64, u64),
    /// Two processes acted under one token.
    TokenShared(u64, String, String),
    /// A process began an operation under a token after another had begun one under a higher token.
    HoldersOverlap(u64, u64),
    /// An operation was rejected though no higher token had arrived.
    RejectedWithoutCause(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TokenRegressed(old, new) => {
                write!(f, "an act under {old} was taken after one under {new}")
            }
            Violation::TokenShared(token, a, b) => write!(f, "{a} and {b} acted under {token}"),
            Violation::HoldersOverlap(old, new) => {
                write!(f, "{old} was acted under after {new} had been begun")
            }
            Violation::RejectedWithoutCause(token) => {
                write!(f, "an act under {token} was refused without cause")
            }
        }
    }
}

/// Returns all violations in the operations on one resource, which are in the order of their arrival.
pub fn violations(operations: &[FencedOperation]) -> Vec<Violation> {
    let mut found = Vec::new();
    let (mut highest, mut seen) = (0, 0);
    let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
    for act in operations {
        match act.accepted {
            true if act.token < highest => found.push(Violation::TokenRegressed(act.token, highest)),
            true => highest = act.token,
            false if act.token >= seen => found.push(Violation::RejectedWithoutCause(act.token)),
            false => {}
        }
        seen = seen.max(act.token);
        let owner = *owners.entry(act.token).or_insert(&act.process);
        if owner != act.process {
            found.push(Violation::TokenShared(act.token, owner.to_string(), act.process.clone()));
        }
    }
    // What counts between holders is when each checked its lease, however long the act was on its way.
    let mut by_start: Vec<&FencedOperation> = operations.iter().collect();
    by_start.sort_by_key(|a| a.started_at);
    let mut latest = 0;
    for act in by_start {
        if act.token < latest {
            found.push(Violation::HoldersOverlap(act.token, latest));
        }
        latest = latest.max(act.token);
    }
    found
}
