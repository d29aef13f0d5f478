//! State and counters of a voter, as the node's status shows them.

use serde::{Deserialize, Serialize};

/// Whether a voter votes, and why not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VoterState {
    /// It waits for the other founders, or to be added.
    Waiting,
    /// It votes once enough other voters have confirmed that its store is not an older copy.
    #[serde(rename = "returning")]
    Recovering,
    /// It votes.
    #[serde(rename = "voting")]
    Follower,
    /// It leads.
    #[serde(rename = "leading")]
    Leader,
    /// The other voters say that its disk is not among theirs.
    #[serde(rename = "unseated")]
    NotMember,
    /// Its store is an older copy, or a copy in another place.
    #[serde(rename = "older")]
    StaleCopy,
    /// Its store failed, for this reason.
    #[serde(rename = "broken")]
    StorageFailed(String),
}

/// Counters of a voter since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMetrics {
    /// Messages sent.
    #[serde(rename = "sent")]
    pub messages_sent: u64,
    /// Completed writes to the store.
    pub writes: u64,
    /// Leases granted as the leader.
    pub grants: u64,
    /// Leases renewed as the leader.
    pub renewals: u64,
    /// Elections won.
    pub elections: u64,
    /// Messages rejected: of another cluster, for another disk, or malformed.
    #[serde(rename = "refused")]
    pub rejected: u64,
}
