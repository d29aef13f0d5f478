//! Randomized fault soak: runs real processes of the program on loopback with stand-ins for clients, workers
//! and discovery that misbehave, with signals, and with a shim that makes system calls fail. An oracle checks
//! the protocol's rules using only what the stand-ins observed.
//!
//! All random choices follow from one seed ([`schedule`]); faults overlap. The operating system still orders
//! the events, so a seed determines the faults but not the run.

pub mod client;
mod cold_load;
pub mod discovery;
pub mod driver;
pub mod flood;
pub mod history;
pub mod oracle;
pub mod schedule;
pub mod settings;
pub mod shim;
pub mod worker;

pub use driver::{run, Options, Report};
