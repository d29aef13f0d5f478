//! Frontend for the Faktory work protocol, version 2, with its own dispatcher. Disabled unless the command line names a
//! configuration file.
//!
//! A [`Server`] accepts connections. Each has a session, which parses [`command`]s and sends [`reply`]s. The [`leases`]
//! table holds jobs and workers. The dispatcher decides which worker executes a job, and its transport offers the job to
//! that worker's next `FETCH`.

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
