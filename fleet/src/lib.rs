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
mod exchange;
pub mod file;
pub mod keys;
mod machine;
mod member;
mod packet;
mod session;
mod shown;
mod stand;
mod words;

pub use exchange::{Asked, FRAME_MAX};
pub use machine::{Action, Birth, Config, Figures, Machine, Note, Refused, Timing};
pub use member::{Identity, Line, Peer, Phase, Status, View, NAME_MAX};
pub use packet::{hash, DATAGRAM_MAX, RATES_MAX, WORD_MAX};
pub use shown::{Shown, Standing};
pub use stand::{Others, Stand};
