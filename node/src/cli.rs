//! The command line.

use crate::{coordination, membership};
use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Dispatches declaration jobs. Without a command it runs a node, as RELAY_CONFIG tells it.
#[derive(Debug, Parser)]
#[command(name = "molevale", version, args_conflicts_with_subcommands = true)]
pub struct Cli {
    /// The operator's file of the Faktory front; off without one.
    #[arg(long, value_name = "FILE")]
    pub faktory: Option<PathBuf>,
    /// The operator's file that lets this node talk to others; off without one.
    #[arg(long, value_name = "FILE")]
    pub fleet: Option<PathBuf>,
    /// What to do in place of running a node.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What to do in place of running a node.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Asks a node of its fleet.
    #[command(subcommand)]
    Fleet(FleetCommand),
}

/// What to ask.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Shows a node's view of the fleet.
    Show {
        /// The node's management address, such as 127.0.0.1:9000.
        address: SocketAddr,
        /// As the node tells it, in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Shows the duties that one node holds at a time: who holds which, and what changed last.
    Duties {
        /// A node's management address.
        address: SocketAddr,
        /// As the node tells it, in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Adds or removes one of those that grant the duties.
    #[command(subcommand)]
    Voter(VoterCommand),
    /// Has all nodes drain and end, one after another, to be started anew by whoever runs them.
    Roll {
        /// A node's management address.
        address: SocketAddr,
        /// Nodes of one zone that may be away at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=4))]
        away: u8,
        /// Stops the roll that is under way.
        #[arg(long, conflicts_with = "away")]
        stop: bool,
    },
}

/// What to do with a voter.
#[derive(Debug, Subcommand)]
pub enum VoterCommand {
    /// Gives a node a seat; it runs with a state folder and the voters in its file.
    Add {
        /// A node's management address.
        address: SocketAddr,
        /// The new voter's name.
        name: String,
        /// Where the others reach it.
        at: SocketAddr,
    },
    /// Takes a voter's seat away, also one that is gone for good.
    Remove {
        /// A node's management address.
        address: SocketAddr,
        /// The voter's name.
        name: String,
    },
}

/// Error of a command to a node.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The status of membership could not be shown.
    #[error(transparent)]
    Membership(#[from] membership::ShowError),
    /// The status of coordination could not be shown, or the command was not obeyed.
    #[error(transparent)]
    Coordination(#[from] coordination::PrintError),
}

impl FleetCommand {
    /// Calls the node, and returns the text to print.
    ///
    /// # Errors
    /// Where the node can't be reached, rejects the command, or gives an answer that can't be read.
    pub async fn run(self) -> Result<String, CommandError> {
        let (address, path) = match self {
            FleetCommand::Show { address, json } => return Ok(membership::show(address, json).await?),
            FleetCommand::Duties { address, json } => {
                return Ok(coordination::print_status(address, json).await?);
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

/// Error in the command line, in one line.
#[derive(Debug, Error)]
#[error("{message}")]
pub struct ArgumentError {
    message: String,
    /// Error of the parser, with its hints on usage.
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

/// Parses the command line. Help and version are printed here; then there is nothing left to do, and the result is
/// `None`.
///
/// # Errors
/// Where an argument is unknown, missing or invalid.
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
