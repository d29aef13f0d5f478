//! A node that dispatches requests: a dispatcher that is independent of protocols, and the frontends that execute its
//! decisions.
//!
//! [`run`] is the whole program; an embedder can also call [`platform::serve`] in its own runtime. Settings can be
//! checked without a running node:
//!
//! ```
//! use molevale::names::{parse_settings, ParseError};
//! use serde_json::json;
//!
//! let class = json!({"Name": "check", "AimUs": 250_000, "DeadlineUs": 7_500_000, "Worth": 2.0, "Semantics":
//! "safe"}); let (settings, names) = parse_settings(&json!({"Profiles": [class], "Limits": {"MaxAttempts": 3}}))?;
//! assert_eq!((settings.max_attempts, names.class("check")), (3, Some(0)));
//! # Ok::<(), ParseError>(())
//! ```
#![forbid(unsafe_code)]

pub mod acceptor;
pub mod class_rules;
pub mod cli;
pub mod config;
pub mod coordination;
pub mod counters;
pub mod dispatcher;
pub mod endpoint_list;
pub mod faktory;
pub mod invariants;
pub mod kill_time;
pub mod line_buffer;
pub mod logger;
pub mod management;
pub mod membership;
pub mod memory;
pub mod message_body;
pub mod metrics;
pub mod monotonic;
pub mod names;
pub mod operator_client;
pub mod phase;
pub mod platform;
pub mod process_handover;
pub mod reload;
pub mod settings_merge;
pub mod signals;
pub mod startup;
pub mod transient;

use memory::HeapGauge;
use std::process::ExitCode;

/// Exit code after an invalid command line or configuration, or if an address can't be bound.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code of a command that the called node did not execute.
const EXIT_COMMAND_FAILED: u8 = 1;

/// Executes the command of the command line, or runs a node if there is none; `heap` reads the memory that the process has
/// allocated. An error ends the process with one
/// line on standard error.
pub fn run(heap: HeapGauge) -> ExitCode {
    let cli = match cli::parse(std::env::args_os()) {
        Ok(Some(cli)) => cli,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return exit_with_error(&error, EXIT_INVALID_INPUT),
    };
    match cli.command {
        Some(cli::Command::Fleet(command)) => match execute(command) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => exit_with_error(&error, EXIT_COMMAND_FAILED),
        },
        None => match startup::run_node(cli.faktory, cli.fleet, heap) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => exit_with_error(&error, EXIT_INVALID_INPUT),
        },
    }
}

fn execute(command: cli::FleetCommand) -> Result<String, CommandError> {
    Ok(startup::runtime()?.block_on(command.run())?)
}

/// Error of a command, in this process or at the called node.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Start(#[from] startup::Error),
    #[error(transparent)]
    Command(#[from] cli::CommandError),
}

/// Prints the error as one line and returns the exit code.
fn exit_with_error(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("molevale: {}", error.to_string().replace('\n', " "));
    ExitCode::from(code)
}
