//! Coordination status that a node reports to operators.

use super::clock::boottime;
use super::list_delivery::ListDelivery;
use super::task::Task;
use ::coordination::{BroadcastMetrics, ClusterStatus, VoterMetrics, VoterState};
use serde::{Deserialize, Serialize};

/// Coordination status of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// State of its voter; `None` if it has none.
    pub voter: Option<VoterState>,
    /// Metrics of its voter.
    #[serde(rename = "figures")]
    pub metrics: VoterMetrics,
    /// Leases that it holds: name, token and remaining time in milliseconds.
    #[serde(rename = "here")]
    pub held: Vec<(String, u64, u64)>,
    /// State of the list broadcast, if lists are shared.
    pub lists: Option<ListBroadcastStatus>,
    /// Scheduled calls that were rejected because the receiver had seen a higher token.
    #[serde(rename = "refused")]
    pub rejected_calls: u64,
    /// Status of the cluster; `None` if no leader responds.
    #[serde(rename = "told")]
    pub cluster: Option<ClusterStatus>,
}

/// State of the list broadcast at a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListBroadcastStatus {
    /// Whether the node polls discovery itself.
    #[serde(rename = "asks")]
    pub polls_discovery: bool,
    /// Version of its list.
    pub version: u64,
    /// Metrics.
    #[serde(rename = "counts")]
    pub metrics: BroadcastMetrics,
}

impl Task {
    /// Status of this node, without that of the cluster.
    pub(super) fn status(&self) -> Status {
        let held = self.client.held_leases(boottime());
        let voter = self.voter.running();
        Status {
            node: self.dependencies.name.clone(),
            voter: voter.map(|voter| voter.state()),
            metrics: voter.map(|voter| voter.metrics()).unwrap_or_default(),
            held: held.map(|(lease, token, left)| (lease.into(), token, left.as_millis() as u64)).collect(),
            lists: self.dependencies.list_delivery.as_ref().map(ListDelivery::status),
            rejected_calls: self.rejected_calls,
            cluster: None,
        }
    }
}
