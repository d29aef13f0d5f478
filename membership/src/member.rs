//! Members of the fleet: their identity, phase and status, and the view that lists them.

use crate::hash::name_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest name of a node, zone or fleet, in bytes. Bounds the size of messages.
pub const NAME_MAX: usize = 64;

/// Phase that a member announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Directs its clients to other nodes, but may still have open requests.
    Draining,
    /// Has answered all requests and sends nothing more.
    Left,
}

/// Identity of a member in one incarnation. A restart, a rejoin after being declared dead and a change of phase each
/// increase the incarnation; of two identities with the same name, the higher one supersedes the other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "IdentityFields")]
pub struct Identity {
    /// Name of the node, the same after a restart.
    pub name: String,
    /// Zone; empty if zones are not configured.
    pub zone: String,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Random id of the process, new at each start.
    pub process_id: u64,
    /// Incarnation of the name, which only increases. A process starts with the Unix time in milliseconds.
    pub incarnation: u64,
    /// Phase that the member announces.
    pub phase: Phase,
    /// Hash of the name. Cached because `foca` compares it with every other member's at each update: computing it there
    /// took a third of the CPU time in a large fleet.
    #[serde(skip)]
    pub(crate) hash: u64,
}

/// Serialized form of an [`Identity`].
#[derive(Deserialize)]
struct IdentityFields {
    name: String,
    zone: String,
    address: SocketAddr,
    process_id: u64,
    incarnation: u64,
    phase: Phase,
}

impl From<IdentityFields> for Identity {
    fn from(fields: IdentityFields) -> Identity {
        let IdentityFields { name, zone, address, process_id, incarnation, phase } = fields;
        let hash = name_hash(&name);
        Identity { name, zone, address, process_id, incarnation, phase, hash }
    }
}

impl Identity {
    /// Whether this identity supersedes another of the same name. The process id breaks ties, the same way at all
    /// nodes.
    pub fn supersedes(&self, other: &Identity) -> bool {
        (self.incarnation, self.process_id) > (other.incarnation, other.process_id)
    }

    /// Whether its name and zone have allowed lengths.
    pub fn is_valid(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= NAME_MAX && self.zone.len() <= NAME_MAX
    }
}

impl foca::Identity for Identity {
    type Addr = u64;

    /// Disables automatic renewal: the machine decides whether this process rejoins or yields its name to another.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> u64 {
        self.hash
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.supersedes(adversary)
    }
}

/// Status of a member in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// Present, accepts requests.
    Alive,
    /// Did not answer a probe, but can still refute the suspicion.
    Suspect,
    /// Present, directs its clients to other nodes.
    Draining,
    /// Left on purpose.
    Left,
    /// Declared dead. It may be partitioned from this node and still send requests to workers.
    Dead,
}

impl MemberStatus {
    /// Whether the member is considered to be running.
    pub fn is_present(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Draining)
    }
}

/// Entry of a view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the node.
    pub name: String,
    /// Zone of the node; may be empty.
    pub zone: String,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Incarnation of the name.
    pub incarnation: u64,
    /// Random id of the process.
    #[serde(rename = "boot")]
    pub process_id: u64,
    /// Status of the member.
    pub status: MemberStatus,
    /// Time in this status, in milliseconds.
    #[serde(rename = "for_ms")]
    pub status_age_ms: u64,
}

/// A member that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the node.
    pub name: String,
    /// Zone of the node; may be empty.
    pub zone: String,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Random id of the process.
    pub process_id: u64,
}

impl Peer {
    pub(crate) fn from_identity(id: &Identity) -> Peer {
        Peer { name: id.name.clone(), zone: id.zone.clone(), address: id.address, process_id: id.process_id }
    }
}

/// One node's view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node that has this view.
    pub node: String,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Address of the process to which this node yielded its name, if it did; the view is no longer updated then.
    pub yielded_to: Option<SocketAddr>,
    /// Whether another node was ever present.
    pub joined: bool,
    /// All members, this node included, sorted by name.
    pub members: Vec<MemberInfo>,
}

impl View {
    /// Sorted names of the members that are present.
    pub fn present_names(&self) -> impl Iterator<Item = &str> {
        self.members.iter().filter(|m| m.status.is_present()).map(|m| m.name.as_str())
    }
}

/// Converts a duration to whole milliseconds, the unit of views and full states.
pub(crate) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
