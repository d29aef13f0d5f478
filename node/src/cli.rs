//! The command line.

use crate::{coordination, membership};
use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Dispatches declaration requests to workers. Without a command, runs a node with the file that RELAY_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "molevale", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// Configuration file of the Faktory frontend, which is off without one.
    #[arg(long, value_name = "FILE")]
    pub faktory: Option<PathBuf>,
    /// Configuration file of the fleet; without one the node runs without membership and coordination.
    #[arg(long, value_name = "FILE")]
    pub fleet: Option<PathBuf>,
    /// Command to execute instead of running a node.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Command to execute instead of running a node.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows or changes the state of a fleet.
    #[command(subcommand)]
    Fleet(FleetCommand),
}

/// Command about a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Shows a node's view of the fleet.
    Show {
        /// Management address of the node, such as 127.0.0.1:9000.
        address: SocketAddr,
        /// Prints the node's answer as it is, in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows the leases (duties that one node holds at a time): their holders and latest changes.
    Duties {
        /// Management address of a node.
        address: SocketAddr,
        /// Prints the node's answer as it is, in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Adds or removes a voter, one of the nodes that grant the leases.
    #[command(subcommand)]
    Voter(VoterCommand),
    /// Starts or stops a rolling restart: each node in turn drains and exits, and its supervisor starts it again.
    Roll {
        /// Management address of a node.
        address: SocketAddr,
        /// Nodes of one zone that may be unavailable at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=4))]
        away: u8,
        /// Stops the rolling restart in progress.
        #[arg(long, conflicts_with = "away")]
        stop: bool,
    },
}

/// Change of the voters.
#[derive(Debug, Subcommand)]
pub enum VoterCommand {
    /// Adds a node to the voters. Its fleet file must name a state directory and the voters.
    Add {
        /// Management address of a node.
        address: SocketAddr,
        /// Name of the new voter.
        name: String,
        /// Address at which the other voters reach it.
        at: SocketAddr,
    },
    /// Removes a voter, also one whose node no longer exists.
    Remove {
        /// Management address of a node.
        address: SocketAddr,
        /// Name of the voter.
        name: String,
    },
}

/// Error of a fleet command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The membership status could not be shown.
    #[error(transparent)]
    Membership(#[from] membership::ShowError),
    /// The coordination status could not be shown, or the command was rejected.
    #[error(transparent)]
    Coordination(#[from] coordination::OperatorCommandError),
}

impl FleetCommand {
    /// Calls the node and returns the text to print.
    ///
    /// # Errors
    /// If the node can't be reached, rejects the command, or sends an answer that can't be read.
    pub async fn run(self) -> Result<String, CommandError> {
        let (address, path) = match self {
            FleetCommand::Show { address, json } => return Ok(membership::show(address, json).await?),
            FleetCommand::Duties { address, json } => {
                return Ok(coordination::fetch_status(address, json).await?);
            }
            FleetCommand::Roll { address, stop: true, .. } => (address, "/fleet/roll/stop".to_string()),
            FleetCommand::Roll { address, away, .. } => (address, format!("/fleet/roll?away={away}")),
            FleetCommand::Voter(VoterCommand::Add { address, name, at }) => {
                (address, format!("/fleet/voter/add?name={name}&at={at}"))
            }
            FleetCommand::Voter(VoterCommand::Remove { address, name }) => {
                (address, format!("/fleet/voter/remove?name={name}"))
            }
        };
        Ok(coordination::send_command(address, &path).await?)
    }
}

/// Error in the command line; its message is a single line.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct ArgumentError {
    message: String,
    /// Error of the parser, with its usage hints.
    source: clap::Error,
}

impl From<clap::Error> for ArgumentError {
    fn from(source: clap::Error) -> ArgumentError {
        let text = source.to_string();
        let before_usage = text.lines().take_while(|line| !line.starts_with("Usage"));
        let line = before_usage.map(str::trim).collect::<Vec<&str>>().join(" ");
        let message = line.trim().trim_start_matches("error: ").to_string();
        ArgumentError { message, source }
    }
}

/// Parses the command line. Prints help and version itself; the result is `None` then.
///
/// # Errors
/// If an argument is unknown, missing or invalid.
pub fn parse(arguments: impl Iterator<Item = std::ffi::OsString>) -> Result<Option<Cli>, ArgumentError> {
    match Cli::try_parse_from(arguments) {
        Ok(cli) => Ok(Some(cli)),
        Err(e) if matches!(e.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
            print!("{e}");
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}
