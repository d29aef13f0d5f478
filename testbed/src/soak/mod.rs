//! Randomized fault soak: real processes of the program on loopback, with stand-ins for clients, workers and discovery
//! that misbehave, signals, and a shim that makes system calls fail. An oracle that knows only what the stand-ins saw
//! judges the protocol's rules.
//!
//! Everything is drawn from one seed ([`schedule`]); several faults overlap. The operating system still orders the
//! events, so a seed fixes the faults and not the run.

pub mod client;
mod cold_load;
pub mod discovery;
pub mod driver;
pub mod history;
pub mod oracle;
pub mod schedule;
pub mod settings;
pub mod shim;
pub mod worker;

pub use driver::{run, Options, Report};
