//! Members of the fleet: identity, phase and status, and the view that lists them.

use crate::hash::name_hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest name of a node, zone or fleet, in bytes. Bounds the size of every message.
pub const NAME_MAX: usize = 64;

/// Phase of a member, as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes jobs.
    Serving,
    /// It directs its clients elsewhere, and may still run jobs.
    Draining,
    /// It has answered all of its jobs and sends nothing more.
    Left,
}

/// Identity of a member in one incarnation. A restart, a return after being held dead and a change of phase each take a
/// new, higher incarnation; of two identities with one name the higher one prevails.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "IdentityFields")]
pub struct Identity {
    /// Name of the node; unchanged by restarts.
    pub name: String,
    /// Zone; empty if the installation has none.
    pub zone: String,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Process number, drawn at random at each start.
    pub process_id: u64,
    /// Incarnation number of the name; only grows. A process begins with its start in Unix time, in milliseconds.
    pub incarnation: u64,
    /// Phase.
    pub phase: Phase,
    /// Hash of the name, kept because each update on a member compares it with every other member's: hashing anew took a
    /// third of the processor time of a large fleet.
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
    /// Whether this identity prevails over another of the same name. The process number breaks ties, alike at all nodes.
    pub fn supersedes(&self, other: &Identity) -> bool {
        (self.incarnation, self.process_id) > (other.incarnation, other.process_id)
    }

    /// Whether its names are within the allowed lengths.
    pub fn is_valid(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= NAME_MAX && self.zone.len() <= NAME_MAX
    }
}

impl foca::Identity for Identity {
    type Addr = u64;

    /// Never renews by itself: the machine decides whether this process rejoins or yields to another of its name.
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
    /// It is present and takes jobs.
    Alive,
    /// It did not answer a probe; it may still refute the suspicion.
    Suspect,
    /// It is present and directs its clients elsewhere.
    Draining,
    /// It left on purpose.
    Left,
    /// It is held dead. It may be partitioned from this node and still run jobs.
    Dead,
}

impl MemberStatus {
    /// Whether the member is held to be running.
    pub fn is_present(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspect | MemberStatus::Draining)
    }
}

/// Entry of a view on one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Incarnation number.
    pub incarnation: u64,
    /// Process number.
    #[serde(rename = "boot")]
    pub process_id: u64,
    /// Status.
    pub status: MemberStatus,
    /// Time in this status, in milliseconds.
    #[serde(rename = "for_ms")]
    pub status_age_ms: u64,
}

/// A member that takes jobs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Process number.
    pub process_id: u64,
}

impl Peer {
    pub(crate) fn of(id: &Identity) -> Peer {
        Peer { name: id.name.clone(), zone: id.zone.clone(), address: id.address, process_id: id.process_id }
    }
}

/// One node's view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node whose view it is.
    pub node: String,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Address of the process of the same name that it yielded to, if it did; the view is frozen then.
    pub yielded_to: Option<SocketAddr>,
    /// Whether it has ever heard of another node.
    pub joined: bool,
    /// All members, the node included, by name.
    pub members: Vec<MemberInfo>,
}

impl View {
    /// Names of the members held to be running, in order.
    pub fn present_names(&self) -> impl Iterator<Item = &str> {
        self.members.iter().filter(|m| m.status.is_present()).map(|m| m.name.as_str())
    }
}

/// A duration in milliseconds, as views and states carry it.
pub(crate) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
