//! Messages of a full state synchronization over a stream: push-pull anti-entropy for what does not fit a datagram, after
//! a join, a partition, or when two views differ for long.
//!
//! The responder sends a nonce first. The initiator returns it with its own state and a nonce of its own, and receives
//! the responder's state with that. So neither side accepts a replayed state.

use crate::member::Identity;
use foca::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest frame, in bytes: a state of about 10,000 members.
pub const FRAME_MAX: usize = 1 << 20;
/// Most members in one state.
pub const MEMBERS_MAX: usize = 10_000;

/// State of one side, in either direction.
#[derive(Serialize, Deserialize)]
pub struct FullState {
    /// Hash of the fleet's name.
    pub fleet_hash: u64,
    /// Number of the sending process.
    pub process_id: u64,
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Address of the receiver. Guards against a state that is replayed to another node.
    pub to: SocketAddr,
    /// Nonce of the receiver, which this state returns.
    pub echoed_nonce: u64,
    /// Nonce of the sender; 0 in a response, which nothing follows.
    pub nonce: u64,
    /// Identity of the sender; `None` from a process that is not in its own view.
    pub sender: Option<Identity>,
    /// Members, each with the time since it died or left, in milliseconds; 0 for a member that is present.
    pub members: Vec<(Member<Identity>, u64)>,
}

impl FullState {
    /// Whether its identities, and their number, are within the allowed lengths.
    pub fn is_valid(&self) -> bool {
        self.members.len() <= MEMBERS_MAX
            && self.members.iter().all(|(member, _)| member.id().is_valid())
            && self.sender.as_ref().is_none_or(Identity::is_valid)
    }
}

/// A synchronization that this node initiated and that has no response yet.
#[derive(Debug)]
pub struct PendingSync {
    /// Nonce that the response has to return.
    pub(crate) nonce: u64,
}
