//! The command line.

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
    Fleet(Fleet),
}

/// What to ask.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Shows a node's view of the fleet.
    Show {
        /// The node's management address, such as 127.0.0.1:9000.
        address: SocketAddr,
        /// As the node tells it, in JSON.
        #[arg(long)]
        json: bool,
    },
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
