//! Who a member is, and how a view tells of it.

use crate::packet::hash;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest name of a node, zone or fleet, in bytes. Bounds every message.
pub const NAME_MAX: usize = 64;

/// What a member does with new jobs, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes jobs.
    Serving,
    /// It sends its clients away, and may still have jobs.
    Draining,
    /// It has answered all that it had and sends nothing more.
    Left,
}

/// One life of a member. A restart, a return from the dead and a new phase are each a new one, with a higher
/// incarnation; of two with one name the higher one counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Written")]
pub struct Identity {
    /// Its name, which stays the same over restarts.
    pub name: String,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// The process: drawn anew at each start.
    pub boot: u64,
    /// Which life of the name; only grows. The first one of a process is its start in Unix time, in milliseconds.
    pub incarnation: u64,
    /// What it does with new jobs.
    pub phase: Phase,
    /// A hash of the name: it is compared with every other member's at every word on a member, and a thousand hashes for
    /// each were a third of a large fleet's work.
    #[serde(skip)]
    pub(crate) hash: u64,
}

/// An identity as messages hold it.
#[derive(Deserialize)]
struct Written {
    name: String,
    zone: String,
    address: SocketAddr,
    boot: u64,
    incarnation: u64,
    phase: Phase,
}

impl From<Written> for Identity {
    fn from(w: Written) -> Identity {
        let hash = hash(&w.name);
        let Written { name, zone, address, boot, incarnation, phase } = w;
        Identity { name, zone, address, boot, incarnation, phase, hash }
    }
}

impl Identity {
    /// Whether this one counts where both claim a name. The boot decides between equals, the same way everywhere.
    pub fn beats(&self, other: &Identity) -> bool {
        (self.incarnation, self.boot) > (other.incarnation, other.boot)
    }

    /// Whether a message may carry it.
    pub fn sound(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= NAME_MAX && self.zone.len() <= NAME_MAX
    }
}

impl foca::Identity for Identity {
    type Addr = u64;

    /// None by itself: whether this process comes back, or yields to another of its name, is the machine's to say.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> u64 {
        self.hash
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.beats(adversary)
    }
}

/// What a view holds of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It is there and takes jobs.
    Alive,
    /// It gave no answer; it may still refute that.
    Suspect,
    /// It is there and sends its clients away.
    Draining,
    /// It left on purpose.
    Left,
    /// It is held dead. It may be cut off and still at work.
    Dead,
}

impl Status {
    /// Whether the member is held to be there.
    pub fn there(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect | Status::Draining)
    }
}

/// A member as a view shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its process.
    pub boot: u64,
    /// What it is held to be.
    pub status: Status,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

/// A member that takes jobs, and how it is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process.
    pub boot: u64,
}

impl Peer {
    pub(crate) fn of(id: &Identity) -> Peer {
        Peer { name: id.name.clone(), zone: id.zone.clone(), address: id.address, boot: id.boot }
    }
}

/// One node's view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The fleet's name.
    pub fleet: String,
    /// The node that tells it.
    pub node: String,
    /// Its own incarnation.
    pub incarnation: u64,
    /// The process of this name that it yielded to, if it did: then its view stands still.
    pub yielded_to: Option<SocketAddr>,
    /// Whether it has ever heard of another node.
    pub joined: bool,
    /// All members, itself included, by name.
    pub members: Vec<Line>,
}

impl View {
    /// The names of those that are held to be there, in order.
    pub fn there(&self) -> impl Iterator<Item = &str> {
        self.members.iter().filter(|m| m.status.there()).map(|m| m.name.as_str())
    }
}

/// Milliseconds of a span, as views tell them.
pub(crate) fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
