//! Configuration file of the fleet, as operators write it; see `deploy/fleet.toml`.

mod raw;
mod validate;

use crate::machine::Timing;
use raw::RawFile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use validate::Validator;

/// Content of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFile {
    /// Name of the fleet. Installations with different names never mix, not even if they share a key.
    pub fleet: String,
    /// Address that the node listens at, with UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which other nodes reach it; `listen` if the file has none.
    pub advertise: SocketAddr,
    /// Zone; empty if the file has none.
    pub zone: String,
    /// Path of the key file, as written.
    pub key_file: PathBuf,
    /// Addresses of the nodes to contact first; the node itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the protocol.
    pub timing: Timing,
    /// Duties that one node holds at a time; `None` without the section.
    pub duties: Option<CoordinationSection>,
}

/// Content of the section `duties`.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationSection {
    /// Path of the folder of the durable voter state, as written. A node without one is never a voter.
    pub state: Option<PathBuf>,
    /// Names and addresses of the initial voters, which every node asks first.
    pub voters: Vec<(String, SocketAddr)>,
    /// Duration of a lease on a duty.
    pub lease_duration: Duration,
    /// Election timeout: time without a leader after which a voter starts an election.
    pub election_timeout: Duration,
    /// Whether one node of each zone follows discovery for the others.
    pub lists: bool,
    /// Whether operators may have the nodes restarted one after another.
    pub roll: bool,
    /// Periodic calls, each made by the holder of the duty of its name.
    pub scheduled_calls: Vec<ScheduledCall>,
}

/// A periodic call that one node makes for all.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledCall {
    /// Name.
    pub name: String,
    /// Address of the callee.
    pub address: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Interval between two calls.
    pub interval: Duration,
}

/// Error in the file: the line, from 1, and the reason.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct FileError {
    line: usize,
    reason: String,
}

impl FileError {
    /// Line of the file, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl FleetFile {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is wrong, by its line.
    pub fn parse(text: &str) -> Result<FleetFile, FileError> {
        let validator = Validator(text);
        let raw: RawFile = toml::from_str(text).map_err(|e| FileError {
            line: e.span().map_or(1, |span| validator.line(span.start)),
            reason: e.message().trim().replace('\n', " "),
        })?;
        validator.file(raw)
    }
}
