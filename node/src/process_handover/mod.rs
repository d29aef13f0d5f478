//! Hand-over of a node from one process to the next, while a new version starts.
//!
//! The new process asks the one before it, over a Unix socket, for its listener and its state; once it serves, the old one
//! takes nothing new and answers what it has. The resources that either holds count for both, and the end of their link
//! tells each of the other's end.

mod link;
mod predecessor;
mod successor;

pub use predecessor::{Predecessor, PredecessorLink, PredecessorLookup};
pub use successor::serve_successors;

use crate::endpoint_list::EndpointList;
use crate::platform::socket::SocketHandle;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Time for an answer of the other process; one that gives none counts as hung.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What goes with the listener.
#[derive(Serialize, Deserialize)]
pub struct NodeState {
    /// The workers as the old process knows them.
    #[serde(rename = "known")]
    pub endpoint_list: EndpointList,
    /// The wire ids that are open there.
    #[serde(rename = "ids")]
    pub in_flight_ids: Vec<String>,
}

/// What the old process may hold at most from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldResources {
    /// Descriptors.
    pub descriptors: usize,
    /// Memory for bodies.
    pub bodies_kib: usize,
}

/// A running job that was taken up: it moves, or it is let go and goes on here.
pub struct FrozenJob {
    /// What goes with its sockets, as of the moment in which it goes; `None` where that can't be told.
    pub to_json: Box<dyn FnOnce() -> Option<String> + Send>,
    /// Its client's and its worker's.
    pub sockets: [SocketHandle; 2],
    /// Whether the other process has it.
    pub finish: Box<dyn FnOnce(bool) + Send>,
}

/// A front that can be taken over.
pub trait HandoverSource {
    /// What goes with the listener.
    fn node_state(&self) -> NodeState;
    /// What is held now.
    fn held_resources(&self) -> HeldResources;
    /// Nothing new comes: what is kept for later can go.
    fn close_idle(&self);
    /// Takes up the running jobs that can move.
    fn freeze_jobs(&self) -> impl Future<Output = Vec<FrozenJob>> + Send;
}

/// Where the process that serves this address waits for the next one: in `TMPDIR`, which the platform keeps to
/// one node; without it there are no upgrades.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(PathBuf::from(folder).join(format!("molevale-{listen}")))
}
