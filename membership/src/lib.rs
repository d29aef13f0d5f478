//! Decentralized fleet membership: each node's view of which nodes are alive, suspect, draining, left or dead.
//!
//! [`Machine`] has no I/O, clock or thread of its own: its inputs are datagrams, the time and calls of the embedder,
//! its output is [`Action`]s. So the same code runs over sockets and in emulated time. The failure detector is SWIM
//! with suspicion and refutation (the `foca` crate). On top of it, this crate adds names, incarnations, zones,
//! graceful leave, authenticated messages with replay protection, and contact with dead members, so that a healed
//! partition merges.
//!
//! ```
//! use membership::keys::Keys;
//! use membership::{Action, Config, Machine, ProcessStart, Timing};
//! use std::time::Duration;
//!
//! /// Creates the machine of the node `name`, which listens on the given port and has `n1` as its seed.
//! fn machine(name: &str, port: u16, process_id: u64) -> Result<Machine, Box<dyn std::error::Error>> {
//!     let config = Config {
//!         fleet: "example".into(),
//!         name: name.into(),
//!         zone: String::new(),
//!         advertise: ([127, 0, 0, 1], port).into(),
//!         seeds: vec!["127.0.0.1:7001".parse()?],
//!         keys: Keys::parse("current 000102030405060708090a0b0c0d0e0f")?,
//!         timing: Timing::default(),
//!     };
//!     let start = ProcessStart { process_id, unix_time_ms: 1_700_000_000_000, rng_seed: process_id };
//!     Ok(Machine::new(config, start, Duration::ZERO))
//! }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let mut machines = [machine("n1", 7001, 1)?, machine("n2", 7002, 2)?];
//! // The embedder runs the timers and delivers the datagrams; here both nodes share one clock and no datagram is lost.
//! for now in (0..2000).map(Duration::from_millis) {
//!     for sender in 0..2 {
//!         if machines[sender].next_timeout() <= now {
//!             machines[sender].handle_timeout(now);
//!         }
//!         while let Some(action) = machines[sender].next_action() {
//!             if let Action::Send { to, bytes } = action {
//!                 let receiver = usize::from(to.port() - 7001);
//!                 machines[receiver].handle_datagram(now, &bytes);
//!             }
//!         }
//!     }
//! }
//! let view = machines[0].view(Duration::from_secs(2));
//! assert_eq!(view.present_names().collect::<Vec<_>>(), ["n1", "n2"]);
//! # Ok(())
//! # }
//! ```
//!
//! Each node has its own view, and views differ for some seconds after a change, so mutual exclusion must not depend on
//! them.
#![forbid(unsafe_code)]

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
