//! History checker: finds violations of mutual exclusion in a history of operations under fencing tokens. It
//! does not depend on how leases are granted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// One operation on a resource that only one holder may operate on at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOperation {
    /// Time at which the holder checked its lease, on one global clock.
    pub started_at: Duration,
    /// Time at which the resource accepted or rejected it.
    pub arrived_at: Duration,
    /// Process that operated.
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
    /// Two processes operated under one token.
    TokenShared(u64, String, String),
    /// An operation started under a token after one had started under a higher token.
    HoldersOverlap(u64, u64),
    /// An operation was rejected though no higher token had arrived.
    RejectedWithoutCause(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TokenRegressed(old, new) => {
                write!(f, "an operation under token {old} was accepted after one under token {new}")
            }
            Violation::TokenShared(token, a, b) => write!(f, "{a} and {b} operated under token {token}"),
            Violation::HoldersOverlap(old, new) => {
                write!(f, "an operation under token {old} started after one under token {new}")
            }
            Violation::RejectedWithoutCause(token) => {
                write!(f, "an operation under token {token} was rejected though no higher token had arrived")
            }
        }
    }
}

/// Returns all violations in the operations on one resource, which are in the order of their arrival.
pub fn violations(operations: &[FencedOperation]) -> Vec<Violation> {
    let mut found = Vec::new();
    let (mut highest_accepted, mut highest_arrived) = (0, 0);
    let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
    for operation in operations {
        match operation.accepted {
            true if operation.token < highest_accepted => {
                found.push(Violation::TokenRegressed(operation.token, highest_accepted))
            }
            true => highest_accepted = operation.token,
            false if operation.token >= highest_arrived => {
                found.push(Violation::RejectedWithoutCause(operation.token))
            }
            false => {}
        }
        highest_arrived = highest_arrived.max(operation.token);
        let owner = *owners.entry(operation.token).or_insert(&operation.process);
        if owner != operation.process {
            found.push(Violation::TokenShared(operation.token, owner.to_string(), operation.process.clone()));
        }
    }
    // Holders overlap by when they checked their leases, regardless of how long an operation took to arrive.
    let mut by_start: Vec<&FencedOperation> = operations.iter().collect();
    by_start.sort_by_key(|a| a.started_at);
    let mut highest_started = 0;
    for operation in by_start {
        if operation.token < highest_started {
            found.push(Violation::HoldersOverlap(operation.token, highest_started));
        }
        highest_started = highest_started.max(operation.token);
    }
    found
}
