//! A view of the fleet that the nodes keep themselves: who is there, who is suspected, who has left and who is dead.
//!
//! [`Machine`] has no I/O, clock or thread of its own: datagrams, timers and what the node is told go in with the time,
//! and [`Action`]s come out. So the same code runs over sockets and in emulated time. Underneath is SWIM with suspicion
//! and refutation, from the `foca` crate; over it names, incarnations, zones, leaving on purpose, sealed messages that
//! can't be replayed, and contact with members held dead, so that two halves of a partition find each other again.
//!
//! The view is each node's own and for some seconds differs from the others': nothing that must be exclusive may hang
//! on it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
pub mod file;
mod fleet_size;
mod fragments;
pub mod keys;
mod machine;
mod member;
mod packet;
mod session;
mod state_sync;
mod status;

pub use fleet_size::{FleetSize, OtherMembers};
pub use fragments::MESSAGE_MAX;
pub use machine::{Action, Config, Counters, Machine, MembershipEvent, ProcessStart, Refused, Timing};
pub use member::{Identity, MemberInfo, MemberStatus, Peer, Phase, View, NAME_MAX};
pub use packet::{hash, DATAGRAM_MAX, RATES_MAX};
pub use state_sync::{PendingSync, FRAME_MAX};
pub use status::{SenderCounts, Status};
