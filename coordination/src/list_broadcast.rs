//! Broadcast of a zone's endpoint list. The holder of the zone's lease follows discovery and sends each version down a tree
//! of the zone's nodes; a node that receives nothing for a while polls discovery itself.
//!
//! An entry has a key and may be removed; the rest of its contents is the embedder's. Versions are discovery's, so a list
//! never goes back, whoever sends it, and the holder's fencing token keeps the messages of an earlier holder out.
//!
//! | module | concern |
//! | --- | --- |
//! | `message` | messages, actions and counters |
//! | `tree` | which nodes a node sends to |
//! | `heartbeat` | heartbeats of the holder, and what their absence means |
//! | `state_transfer` | versions of the list, and how they are sent in chunks |

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

/// One node's part in the broadcast of its zone's list; without I/O, clock or thread of its own.
pub struct ListBroadcast {
    name: String,
    /// Nodes of the zone by name, this one included.
    peers: Vec<Peer>,
    /// Fencing token of the zone's lease, if this node holds it.
    own_token: Option<u64>,
    /// The holder with the highest token that is known.
    holder: KnownHolder,
    /// Which discovery service the versions are of.
    source: u64,
    list: VersionedList,
    assembly: Option<ChunkAssembly>,
    polls_discovery: bool,
    timer: HeartbeatTimer,
    actions: VecDeque<BroadcastAction>,
    metrics: BroadcastMetrics,
}

impl ListBroadcast {
    /// Returns the part of a node that has just started: it polls discovery until it receives a holder's heartbeat.
    /// `source` identifies the discovery service.
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

    /// Returns the version of the list here; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// Returns the entries of the list here, by key.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &ListEntry> {
        self.list.entries()
    }

    /// Returns whether this node polls discovery itself.
    pub fn polls_discovery(&self) -> bool {
        self.polls_discovery
    }

    /// Sets the nodes of the zone that take requests: name and address of each.
    pub fn set_peers(&mut self, peers: Vec<(String, SocketAddr)>) {
        self.peers = peers.into_iter().map(|(name, address)| Peer { name, address }).collect();
        self.peers.sort();
    }

    /// Sets the discovery service. The versions of another one can't be compared with those before.
    pub fn set_source(&mut self, source: u64) {
        if self.source != source {
            self.source = source;
            self.list.forget_versions();
        }
    }

    /// Tells that this node acquired the zone's lease under this token.
    pub fn lease_acquired(&mut self, now: Duration, token: u64) {
        self.own_token = Some(token);
        self.holder = KnownHolder { token, name: self.name.clone(), sequence: 0 };
        self.timer.next_heartbeat = now;
        self.set_polling(true);
    }

    /// Tells that this node lost the zone's lease. It polls discovery until it receives the next holder's heartbeat.
    pub fn lease_lost(&mut self, now: Duration) {
        if self.own_token.take().is_some() {
            self.timer.last_received = Some(now);
            self.timer.next_heartbeat = Duration::MAX;
        }
    }

    /// Publishes what discovery told this node; it goes to the other nodes if `may_act`, that is if this node's lease is
    /// valid at this moment.
    pub fn publish(&mut self, now: Duration, delta: &ListDelta, may_act: bool) {
        if !self.list.apply(delta) {
            return;
        }
        if let Some(token) = self.own_token.filter(|_| may_act) {
            self.forward(token, delta);
            self.schedule_heartbeats_after_change(now);
        }
    }

    /// Handles a message of another node.
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

    /// Returns whether a message is of an earlier holder, and counts it.
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
