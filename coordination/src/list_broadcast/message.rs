//! Messages, actions and counters of the list broadcast. Messages are encoded with `postcard`: their bytes depend on the
//! order of variants and fields, not on their names.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// ListEntry of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Key, such as an endpoint's id.
    pub key: String,
    /// Whether the entry is removed from the list.
    pub removed: bool,
    /// Contents, in a format of the embedder.
    pub bytes: Vec<u8>,
}

/// Change that brings a list to a newer version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Version after the change.
    pub version: u64,
    /// Whether `entries` is the complete list.
    pub complete: bool,
    /// Changed entries, or all entries of a complete list.
    pub entries: Vec<ListEntry>,
}

/// Message between the nodes of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BroadcastMessage {
    /// Heartbeat of the holder, forwarded down the tree.
    Heartbeat {
        /// Fencing token of the holder.
        token: u64,
        /// Name of the holder.
        holder: String,
        /// Sequence number of the heartbeat, increasing under one token.
        sequence: u64,
        /// Id of the discovery service that assigned the version.
        source: u64,
        /// Version of the sender's list.
        version: u64,
    },
    /// Request for the changes since a version, or for the complete list if the version is 0.
    Fetch {
        /// Id of the discovery service that assigned the version.
        source: u64,
        /// Version of the sender's list.
        version: u64,
    },
    /// Chunk of a change, sent in response to a fetch or forwarded down the tree.
    Chunk {
        /// Fencing token of the holder that published the change.
        token: u64,
        /// Id of the discovery service that assigned the versions.
        source: u64,
        /// Version that the change applies to; 0 if the change is a complete list.
        base_version: u64,
        /// Version after the change.
        version: u64,
        /// Index of the chunk.
        index: u16,
        /// Number of chunks.
        count: u16,
        /// Entries of the chunk.
        entries: Vec<ListEntry>,
    },
}

/// Action that the embedder carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BroadcastAction {
    /// Send a message to a node of the zone.
    Send {
        /// Address of the node.
        to: SocketAddr,
        /// The message.
        message: BroadcastMessage,
    },
    /// Apply a change that was received from another node instead of discovery.
    Apply(ListDelta),
    /// Start (`true`) or stop (`false`) polling discovery.
    PollDiscovery(bool),
}

/// Counters of the list broadcast at one node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastMetrics {
    /// Messages sent.
    pub sent: u64,
    /// Versions that were received from other nodes and applied.
    #[serde(rename = "fed")]
    pub applied: u64,
    /// Number of times this node started to poll discovery because heartbeats stopped.
    #[serde(rename = "silences")]
    pub holder_timeouts: u64,
    /// Messages with the token of an earlier holder.
    #[serde(rename = "refused")]
    pub stale_messages: u64,
}
