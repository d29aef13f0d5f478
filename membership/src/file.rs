//! Fleet file: the operators' configuration of membership and coordination; see `deploy/fleet.toml` for an example.

mod raw;
mod validate;

use crate::machine::Timing;
use raw::RawFile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use validate::Validator;

/// Validated content of the fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFile {
    /// Name of the fleet. Nodes of different fleets reject each other's messages, even if they share a key.
    pub fleet: String,
    /// Address on which the node listens, with UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which other nodes reach this one; defaults to `listen`.
    pub advertise: SocketAddr,
    /// Zone of the node; empty if the file has none.
    pub zone: String,
    /// Path of the key file, as written; may be relative.
    pub key_file: PathBuf,
    /// Addresses of the nodes to contact first; the node itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Protocol timing.
    pub timing: Timing,
    /// Leases and voters; `None` if the file has no section `duties`.
    pub coordination: Option<CoordinationSection>,
}

/// Content of the section `duties`.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSection {
    /// Path of the voter's state directory, as written. A node without one never becomes a voter.
    pub state_directory: Option<PathBuf>,
    /// Names and addresses of the initial voters, which every node contacts first.
    pub voters: Vec<(String, SocketAddr)>,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Election timeout: time without a leader after which a voter starts an election.
    pub election_timeout: Duration,
    /// Whether one node of each zone polls discovery and broadcasts the list to the others.
    pub list_broadcast: bool,
    /// Whether operators may start a rolling restart.
    pub rolling_restart: bool,
    /// Periodic calls, each made by the holder of its lease.
    pub scheduled_calls: Vec<ScheduledCall>,
}

/// A periodic HTTP call that one node makes on behalf of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Name of the call; its lease is named after it.
    pub name: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Interval between two calls.
    pub interval: Duration,
}

/// Error in the fleet file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct FileError {
    line: usize,
    reason: String,
}

impl FileError {
    /// Line number, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl FleetFile {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error or invalid setting, with its line.
    pub fn parse(text: &str) -> Result<FleetFile, FileError> {
        let validator = Validator(text);
        let raw: RawFile = toml::from_str(text).map_err(|e| FileError {
            line: e.span().map_or(1, |span| validator.line(span.start)),
            reason: e.message().trim().replace('\n', " "),
        })?;
        validator.file(raw)
    }
}
