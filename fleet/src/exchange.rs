//! Whole states over a stream: what is too long for a datagram, after a join, a partition, or where two views differ
//! for long. The one that is asked sends a number first, the one that asks returns it with its own state and a number
//! of its own, and gets the other's state with that: so neither takes an old one.

use crate::member::Identity;
use foca::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest frame, in bytes: a state of about 10,000 members.
pub const FRAME_MAX: usize = 1 << 20;
/// The members of one state at most.
pub(crate) const MEMBERS_MAX: usize = 10_000;

/// What one side tells.
#[derive(Serialize, Deserialize)]
pub(crate) struct State {
    pub fleet: u64,
    pub boot: u64,
    pub from: SocketAddr,
    pub to: SocketAddr,
    /// The number that the other side drew.
    pub answers: u64,
    /// This side's own.
    pub nonce: u64,
    pub me: Option<Identity>, // none that has yielded speaks for its name
    /// Each with how long it has been dead or gone, in milliseconds; 0 for one that is there.
    pub members: Vec<(Member<Identity>, u64)>,
}

/// An exchange that this node began and that has no answer yet.
#[derive(Debug)]
pub struct Asked {
    pub(crate) nonce: u64,
}
