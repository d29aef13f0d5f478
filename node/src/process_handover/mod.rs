//! Handover of a node from one process to its successor, for upgrades without downtime.
//!
//! The successor connects to its predecessor over a Unix socket and receives its listener and state. Once the
//! successor serves, the predecessor accepts nothing new, offers its running requests to the successor one by one
//! ([`Ownership`]), and completes the others. The resources of both count towards the same limits, and each detects the other's end by the end of the link.

mod claim;
mod link;
mod ownership;
mod predecessor;
mod successor;

pub use claim::Claim;
pub use ownership::{ClaimResult, Ownership, Reception, TransferEvent};
pub use predecessor::{Predecessor, PredecessorLink, PredecessorLookup};
pub use successor::serve_successors;

use crate::class_rules::ClassRules;
use crate::dispatcher::AttemptId;
use crate::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time for a reply of the other process; it counts as unresponsive without one.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// State that is sent with the listener.
#[derive(Serialize, Deserialize)]
pub struct NodeState {
    /// Latest endpoint list of the old process.
    #[serde(rename = "known")]
    pub endpoint_list: EndpointList,
    /// Wire ids of the requests in flight there.
    #[serde(rename = "ids")]
    pub in_flight_ids: Vec<String>,
    /// Digests of the wire ids of requests that went to a worker there and have ended.
    #[serde(rename = "ran", default, skip_serializing_if = "Vec::is_empty")]
    pub recent_ids: Vec<String>,
    /// Whether the old process offers requests with a claim. One that does not may act on a request that it has
    /// offered, so nothing is adopted from it.
    #[serde(rename = "claims", default)]
    pub offers_claims: bool,
    /// Rules of the classes that its open requests may have; `None` from an earlier version, which sends no rules with its
    /// requests either.
    #[serde(rename = "classes", default)]
    pub class_rules: Option<Vec<ClassRules>>,
}

/// Upper bound of the resources that the old process holds from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldResources {
    /// Descriptors.
    pub descriptors: usize,
    /// Memory for request bodies.
    pub bodies_kib: usize,
    /// Time since which connections may wait in the listener's backlog, by the [monotonic clock](crate::monotonic).
    #[serde(default)]
    pub queued_since: Option<Duration>,
}

/// Report of the old process: the resources that it holds, and which ids it has taken since the report before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverReport {
    /// Upper bound of the resources.
    #[serde(flatten)]
    pub held: HeldResources,
    /// Digests of the wire ids of requests that were accepted since, or that went to a worker and have ended.
    #[serde(rename = "ran", default, skip_serializing_if = "Vec::is_empty")]
    pub recent_ids: Vec<String>,
}

/// A running request that is offered to the successor. Each method that reports what happened to the offer returns the
/// owner after it.
pub trait OfferedRequest: Send + Sync {
    /// Serializes the request as of the moment of the call; `None` if that fails.
    fn to_json(&self) -> Option<String>;
    /// Sockets of its client and its worker, and its claim.
    fn descriptors(&self) -> Vec<BorrowedFd<'_>>;
    /// The successor has accepted or rejected the request, or the offer could not be sent.
    fn reply_received(&self, is_accepted: bool) -> Ownership;
    /// The reply did not come in time, or cannot be understood.
    fn reply_overdue(&self) -> Ownership;
    /// The successor has ended.
    fn successor_ended(&self) -> Ownership;
    /// The link can no longer be used, although the successor may live.
    fn link_failed(&self) -> Ownership;
    /// Checks whether the successor has begun its answer.
    fn check_answer(&self) -> Ownership;
}

/// A frontend that can be handed over.
pub trait HandoverSource {
    /// A request that it offers to the successor.
    type Request: OfferedRequest;

    /// State that is sent with the listener.
    fn node_state(&self) -> NodeState;
    /// Resources that are held now.
    fn held_resources(&self) -> HeldResources;
    /// The resources that are held now, and the ids that were taken since the last report or
    /// [`HandoverSource::node_state`].
    fn report(&self) -> HandoverReport;
    /// Closes idle connections, since no new requests will need them.
    fn close_idle(&self);
    /// Running attempts whose requests may be transferred.
    fn transferable(&self) -> impl Future<Output = Vec<AttemptId>> + Send;
    /// Freezes the request of an attempt, to be offered; `None` if it can no longer be transferred.
    fn offer(&self, attempt_id: AttemptId) -> impl Future<Output = Option<Self::Request>> + Send;
}

/// Path of the socket at which the process that serves this address waits for its successor. It is in
/// `TMPDIR`, which the platform does not share between nodes; without that variable there is no handover.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(PathBuf::from(folder).join(format!("molevale-{listen}")))
}

/// Inode of the file at this path, which distinguishes it from a later file of the same name.
fn inode(path: &Path) -> Option<u64> {
    std::fs::metadata(path).ok().map(|m| m.ino())
}
