//! Fleet membership that the nodes keep themselves: which nodes are alive, suspected, draining, left or dead.
//!
//! [`Machine`] has no I/O, clock or thread of its own: datagrams, the time and requests of the node are its input,
//! [`Action`]s its output. So the same code runs over sockets and in emulated time. It does SWIM with suspicion and
//! refutation (the `foca` crate), and above it names, incarnations, zones, leaving on purpose, authenticated messages with
//! replay protection, and contact with members held dead, so that the halves of a partition find each other again.
//!
//! Each node has its own view, and views differ for some seconds after a change: nothing that must be exclusive may depend
//! on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
pub mod file;
mod fleet_size;
pub mod fragments;
mod hash;
pub mod keys;
mod machine;
mod member;
pub mod packet;
pub mod session;
pub mod state_sync;
mod status;

pub use fleet_size::{FleetSize, OtherMembers};
pub use fragments::MESSAGE_MAX;
pub use hash::name_hash;
pub use machine::{Action, Config, Counters, Machine, MembershipEvent, ProcessStart, Rejections, Timing};
pub use member::{Identity, MemberInfo, MemberStatus, Peer, Phase, View, NAME_MAX};
pub use packet::{DATAGRAM_MAX, RATES_MAX};
pub use state_sync::{PendingSync, FRAME_MAX};
pub use status::{FleetCounts, Status};
