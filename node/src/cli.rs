//! The command line.

use crate::{coordination, membership};
use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

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

impl FleetCommand {
    /// Asks the node, and returns what to print.
    pub async fn run(self) -> Result<String, String> {
        match self {
            FleetCommand::Show { address, json } => {
                membership::show(address, json).await.map_err(|error| error.to_string())
            }
            FleetCommand::Duties { address, json } => {
                coordination::print_status(address, json).await.map_err(|e| e.to_string())
            }
            FleetCommand::Roll { address, stop: true, .. } => {
                coordination::send_command(address, "/fleet/roll/stop").await.map_err(|e| e.to_string())
            }
            FleetCommand::Roll { address, away, .. } => {
                coordination::send_command(address, &format!("/fleet/roll?away={away}"))
                    .await
                    .map_err(|e| e.to_string())
            }
            FleetCommand::Voter(VoterCommand::Add { address, name, at }) => {
                coordination::send_command(address, &format!("/fleet/voter/add?name={name}&at={at}"))
                    .await
                    .map_err(|e| e.to_string())
            }
            FleetCommand::Voter(VoterCommand::Remove { address, name }) => {
                coordination::send_command(address, &format!("/fleet/voter/remove?name={name}"))
                    .await
                    .map_err(|e| e.to_string())
            }
        }
    }
}

/// Reads the command line; `Err` holds one line. Help and version are printed here, and then there is nothing to do.
pub fn parse(arguments: impl Iterator<Item = std::ffi::OsString>) -> Result<Option<Cli>, String> {
    match Cli::try_parse_from(arguments) {
        Ok(cli) => Ok(Some(cli)),
        Err(e) if matches!(e.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) => {
            print!("{e}");
            Ok(None)
        }
        Err(e) => {
            let text = e.to_string();
            let lines: Vec<&str> =
                text.lines().take_while(|l| !l.starts_with("Usage")).map(str::trim).collect();
            let line = lines.join(" ");
            Err(line.trim().trim_start_matches("error: ").to_string())
        }
    }
}
