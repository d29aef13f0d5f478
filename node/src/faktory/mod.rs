//! Front for the Faktory work protocol, version 2, on a dispatcher of its own. Off unless an operator's file is named on
//! the command line.
//!
//! A [`Server`] accepts connections; each has a session, which parses its [`command`]s and answers with [`reply`]s. Jobs
//! and workers are in the [`leases`] table. The dispatcher decides which worker gets which job, and its transport offers
//! the job to that worker's next `FETCH`.

pub mod authentication;
mod codec;
pub mod command;
mod config;
pub mod leases;
pub mod reply;
mod server;
mod session;
mod transport;

pub use config::{ConfigError, FaktoryConfig};
pub use server::{listen, serve, Error, Server};
