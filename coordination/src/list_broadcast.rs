//! Broadcast of a zone's endpoint list. The holder of the zone's lease polls discovery and sends each version down a tree of
//! the zone's nodes; a node that receives no heartbeats for a while polls discovery itself.
//!
//! An entry has a key and a removal flag; its contents are opaque. Versions are assigned by discovery, so a list never goes
//! back to an older version, whoever sends it. The fencing token excludes messages of an earlier holder.
//!
//! | module | concern |
//! | --- | --- |
//! | `message` | messages, actions and counters |
//! | `tree` | the nodes that each node sends to |
//! | `heartbeat` | heartbeats of the holder, and the fallback to polling without them |
//! | `state_transfer` | versions of the list, and their transfer in chunks |

mod heartbeat;
mod message;
mod state_transfer;
mod tree;

pub use message::{BroadcastAction, BroadcastMessage, BroadcastMetrics, ListDelta, ListEntry};

use heartbeat::{HeartbeatTimer, KnownHolder};
use state_transfer::{ChunkAssembly, VersionedList};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tree::Peer;

/// Broadcast of a zone's list at one node: a state machine without I/O, clock or threads.
pub struct ListBroadcast {
    name: String,
    /// Nodes of the zone by name, this one included.
    peers: Vec<Peer>,
    /// Fencing token of the zone's lease, if this node holds it.
    own_token: Option<u64>,
    /// Holder with the highest token seen.
    holder: KnownHolder,
    /// Id of the discovery service that assigned the versions.
    source: u64,
    list: VersionedList,
    assembly: Option<ChunkAssembly>,
    polls_discovery: bool,
    timer: HeartbeatTimer,
    actions: VecDeque<BroadcastAction>,
    metrics: BroadcastMetrics,
}

impl ListBroadcast {
    /// Returns the initial state of a node, which polls discovery until it receives a heartbeat of a holder. `source`
    /// identifies the discovery service.
    pub fn new(name: &str, source: u64) -> ListBroadcast {
        ListBroadcast {
            name: name.to_string(),
            peers: Vec::new(),
            own_token: None,
            holder: KnownHolder::default(),
            source,
            list: VersionedList::default(),
            assembly: None,
            polls_discovery: true,
            timer: HeartbeatTimer::default(),
            actions: VecDeque::new(),
            metrics: BroadcastMetrics::default(),
        }
    }

    /// Returns the next action for the embedder, if there is one.
    pub fn next_action(&mut self) -> Option<BroadcastAction> {
        self.actions.pop_front()
    }

    /// Returns the counters.
    pub fn metrics(&self) -> BroadcastMetrics {
        self.metrics
    }

    /// Returns the version of this node's list; 0 if it has none.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// Returns the entries of this node's list, ordered by key.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &ListEntry> {
        self.list.entries()
    }

    /// Returns whether this node polls discovery itself.
    pub fn polls_discovery(&self) -> bool {
        self.polls_discovery
    }

    /// Sets the names and addresses of the zone's nodes that accept requests.
    pub fn set_peers(&mut self, peers: Vec<(String, SocketAddr)>) {
        self.peers = peers.into_iter().map(|(name, address)| Peer { name, address }).collect();
        self.peers.sort();
    }

    /// Sets the id of the discovery service. Versions of different services are not comparable.
    pub fn set_source(&mut self, source: u64) {
        if self.source != source {
            self.source = source;
            self.list.reset_version();
        }
    }

    /// Handles the acquisition of the zone's lease by this node, with its fencing token.
    pub fn lease_acquired(&mut self, now: Duration, token: u64) {
        self.own_token = Some(token);
        self.holder = KnownHolder { token, name: self.name.clone(), sequence: 0 };
        self.timer.next_heartbeat = now;
        self.set_polling(true);
    }

    /// Handles the loss of the zone's lease. The node polls discovery until it receives a heartbeat of the next holder.
    pub fn lease_lost(&mut self, now: Duration) {
        if self.own_token.take().is_some() {
            self.timer.last_received = Some(now);
            self.timer.next_heartbeat = Duration::MAX;
        }
    }

    /// Publishes a change from discovery. It is sent to the other nodes if this node holds the lease and `is_lease_valid`
    /// tells that the lease is valid now.
    pub fn publish(&mut self, now: Duration, delta: &ListDelta, is_lease_valid: bool) {
        if !self.list.apply(delta) {
            return;
        }
        if let Some(token) = self.own_token.filter(|_| is_lease_valid) {
            self.forward(token, delta);
            self.schedule_heartbeats_after_change(now);
        }
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, message: BroadcastMessage) {
        match message {
            BroadcastMessage::Heartbeat { token, holder, sequence, source, version } => {
                let holder = KnownHolder { token, name: holder, sequence };
                self.receive_heartbeat(now, from, holder, source, version);
            }
            BroadcastMessage::Fetch { source, version } => {
                if source == self.source && self.list.version() > version {
                    self.send_since(from, version);
                }
            }
            BroadcastMessage::Chunk { token, source, base_version, version, index, count, entries } => {
                if self.is_stale(token) || source != self.source {
                    return;
                }
                let id = state_transfer::TransferId { token, base_version, version, count };
                self.receive_chunk(now, id, index, entries);
            }
        }
    }

    /// Returns whether a message with this token belongs to an earlier holder, and counts it if so.
    fn is_stale(&mut self, token: u64) -> bool {
        let is_stale = token < self.holder.token;
        self.metrics.stale_messages += u64::from(is_stale);
        is_stale
    }

    fn set_polling(&mut self, polls: bool) {
        if self.polls_discovery != polls {
            self.polls_discovery = polls;
            self.actions.push_back(BroadcastAction::PollDiscovery(polls));
        }
    }

    fn send(&mut self, to: SocketAddr, message: BroadcastMessage) {
        self.metrics.sent += 1;
        self.actions.push_back(BroadcastAction::Send { to, message });
    }
}
