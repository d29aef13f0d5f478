//! Messages, actions and counters of the list broadcast. Messages are encoded by `postcard`: their bytes depend on the order
//! of variants and fields.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// ListEntry of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Key, such as an endpoint's id.
    pub key: String,
    /// The entry is removed.
    pub removed: bool,
    /// Contents, in the embedder's format.
    pub bytes: Vec<u8>,
}

/// Change of a list to a newer version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Version after the change.
    pub version: u64,
    /// `entries` is the complete list.
    pub complete: bool,
    /// Changed entries, or all of them.
    pub entries: Vec<ListEntry>,
}

/// Message between nodes of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BroadcastMessage {
    /// The holder is alive; forwarded down the tree.
    Heartbeat {
        /// The holder's fencing token.
        token: u64,
        /// The holder's name.
        holder: String,
        /// Sequence number of the heartbeat; it grows under one token.
        sequence: u64,
        /// Which discovery service the version is of.
        source: u64,
        /// Version of the list at the sender.
        version: u64,
    },
    /// Request for what is newer than this version; for the complete list if it is 0.
    Fetch {
        /// Which discovery service the version is of.
        source: u64,
        /// Version of the list at the sender.
        version: u64,
    },
    /// Chunk of a change, as an answer or forwarded unasked.
    Chunk {
        /// Fencing token of the holder that published the change.
        token: u64,
        /// Which discovery service the versions are of.
        source: u64,
        /// Version that the change applies to; 0 if it is the complete list.
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

/// Action for the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BroadcastAction {
    /// Send a message to a node of the zone.
    Send {
        /// Address of the node.
        to: SocketAddr,
        /// The message.
        message: BroadcastMessage,
    },
    /// Apply a change in place of one from discovery.
    Apply(ListDelta),
    /// Start to poll discovery, or stop.
    PollDiscovery(bool),
}

/// Counters of one node's part since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastMetrics {
    /// Messages sent.
    pub sent: u64,
    /// Versions applied from other nodes.
    #[serde(rename = "fed")]
    pub applied: u64,
    /// How often this node had to poll discovery because no heartbeat came.
    #[serde(rename = "silences")]
    pub holder_timeouts: u64,
    /// Messages of an earlier holder.
    #[serde(rename = "refused")]
    pub stale_messages: u64,
}
