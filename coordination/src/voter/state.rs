//! State and counters of a voter, as reported in the node's status.

use serde::{Deserialize, Serialize};

/// State of a voter: its role, or the reason for which it does not vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VoterState {
    /// It waits for the other initial voters, or to be added to a cluster.
    Waiting,
    /// It will vote once enough other voters have confirmed that its store is not an older copy.
    #[serde(rename = "returning")]
    Recovering,
    /// It votes and is not the leader.
    #[serde(rename = "voting")]
    Follower,
    /// It is the leader.
    #[serde(rename = "leading")]
    Leader,
    /// Another voter reported that its disk is not among the voters of the cluster.
    #[serde(rename = "unseated")]
    NotMember,
    /// Its store is an older copy, or a copy at another location.
    #[serde(rename = "older")]
    StaleCopy,
    /// Its store failed, for this reason.
    #[serde(rename = "broken")]
    StorageFailed(String),
}

/// Counters of a voter since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMetrics {
    /// Sent messages.
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
    /// Rejected messages: from another cluster, for another disk, or malformed.
    #[serde(rename = "refused")]
    pub rejected: u64,
}
