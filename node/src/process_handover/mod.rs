//! Handover of a node from one process to its successor, for upgrades without downtime.
//!
//! The successor connects to its predecessor over a Unix socket and receives its listener and state. Once the
//! successor serves, the predecessor accepts nothing new and completes the requests that it has. The
//! resources of both count towards the same limits, and each detects the other's end by the end of the link.

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
}

/// Upper bound of the resources that the old process holds from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldResources {
    /// Descriptors.
    pub descriptors: usize,
    /// Memory for request bodies.
    pub bodies_kib: usize,
}

/// A running request that is frozen for a transfer; if the transfer fails, it continues here.
pub struct FrozenJob {
    /// Serializes the request as of the moment of the call; `None` if that fails.
    pub to_json: Box<dyn FnOnce() -> Option<String> + Send>,
    /// Sockets of its client and its worker.
    pub sockets: [SocketHandle; 2],
    /// Ends the transfer; the argument tells whether the other process has accepted the request.
    pub finish: Box<dyn FnOnce(bool) + Send>,
}

/// A frontend that can be handed over.
pub trait HandoverSource {
    /// State that is sent with the listener.
    fn node_state(&self) -> NodeState;
    /// Resources that are held now.
    fn held_resources(&self) -> HeldResources;
    /// Closes idle connections, since no new requests will need them.
    fn close_idle(&self);
    /// Freezes the running requests that can be transferred.
    fn freeze_jobs(&self) -> impl Future<Output = Vec<FrozenJob>> + Send;
}

/// Path of the socket at which the process that serves this address waits for its successor. It is in
/// `TMPDIR`, which the platform does not share between nodes; without that variable there is no handover.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(PathBuf::from(folder).join(format!("molevale-{listen}")))
}
