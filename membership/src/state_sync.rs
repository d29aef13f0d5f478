//! Messages of state synchronization over a stream: push-pull anti-entropy of full states, which don't fit in a
//! datagram, after a join or a partition, or when two views have differed for too long.
//!
//! The responder sends a nonce first. The initiator replies with its full state, that nonce, and a nonce of its own,
//! which the responder echoes in its full state. So neither side accepts a replayed state.

use crate::member::Identity;
use foca::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest frame, in bytes: enough for a full state of about 10,000 members.
pub const FRAME_MAX: usize = 1 << 20;
/// Maximum number of members in one full state.
pub const MEMBERS_MAX: usize = 10_000;

/// Full state of one side, the same message in both directions. The order of the fields is part of the format.
#[derive(Serialize, Deserialize)]
pub struct FullState {
    /// Hash of the fleet's name.
    pub fleet_hash: u64,
    /// Process id of the sender.
    pub process_id: u64,
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Address of the receiver. Guards against a state that is replayed to another node.
    pub to: SocketAddr,
    /// Nonce received from the peer.
    pub echoed_nonce: u64,
    /// Nonce of the sender; 0 in the responder's state, which is the last message.
    pub nonce: u64,
    /// Identity of the sender; `None` if it is not a member in its own view.
    pub sender: Option<Identity>,
    /// Members, each with the milliseconds since it died or left, or 0 if it is present.
    pub members: Vec<(Member<Identity>, u64)>,
}

impl FullState {
    /// Whether the number of members and the lengths of all names are within the limits.
    pub fn is_valid(&self) -> bool {
        self.members.len() <= MEMBERS_MAX
            && self.members.iter().all(|(member, _)| member.id().is_valid())
            && self.sender.as_ref().is_none_or(Identity::is_valid)
    }
}

/// State synchronization that this node initiated and whose response is pending.
#[derive(Debug)]
pub struct PendingSync {
    /// Nonce that the response must echo.
    pub(crate) nonce: u64,
}
