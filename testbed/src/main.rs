//! Command line of the testbed: fault plans against real processes, soak runs, and measurements in emulated time.

use clap::{Parser, Subcommand};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use testbed::allocation::{counting, CountingAllocator};
use testbed::plan::{execute, Outcome, Plan, PlanError};
use testbed::{demo, measure, scale, soak};

/// Counts what is allocated, for the measurements of state in bytes.
#[global_allocator]
static ALLOCATOR: CountingAllocator = counting();

/// Runs many processes of the program side by side, with faults between them.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts five nodes with workers and load, kills one, cuts one off, and prints what each sees.
    Demo {
        /// The program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
    },
    /// Carries a fault plan out.
    Play {
        /// The plan.
        plan: PathBuf,
        /// The program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// So many times, each with another seed.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// In pairs: once with the nodes' talk and once without.
        #[arg(long)]
        paired: bool,
        /// Where to write what each node told when: a line of JSON for each half second.
        #[arg(long)]
        views: Option<PathBuf>,
    },
    /// Measures the fleet in emulated time.
    Measure {
        /// Nodes.
        #[arg(long, num_args = 1.., default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Plays of each.
        #[arg(long, default_value_t = 20)]
        plays: u64,
    },
    /// Measures duties in emulated time: how long nobody holds one, and what lists cost.
    Duties {
        /// Nodes of a zone.
        #[arg(long, num_args = 1.., default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Plays of each.
        #[arg(long, default_value_t = 200)]
        plays: u64,
    },
    /// Measures each role at growing sizes, and draws the capacity page from the results.
    Scale(scale::Arguments),
    /// Draws overlapping faults against real processes for many seeds, and judges the protocol's rules.
    Soak {
        /// The program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Seeds.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Nodes.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Workers.
        #[arg(long, default_value_t = 8)]
        workers: usize,
        /// Seconds of load.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Seconds from the start on in which nothing goes wrong.
        #[arg(long, default_value_t = 1.0)]
        quiet: f64,
        /// Requests a second, over all nodes.
        #[arg(long, default_value_t = 150.0)]
        requests: f64,
        /// Troubles that begin in a second.
        #[arg(long, default_value_t = 3.0)]
        troubles: f64,
        /// Prints the schedules.
        #[arg(long)]
        verbose: bool,
    },
    /// Measures the talk of real processes, idle and with nothing else to do.
    Idle {
        /// The program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// Nodes.
        #[arg(long, default_value_t = 10)]
        nodes: usize,
        /// Plays of a kill.
        #[arg(long, default_value_t = 10)]
        plays: u64,
    },
}

/// Error of a command; its text is one line for the operator.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("no runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Demo(#[from] demo::DemoError),
    #[error(transparent)]
    Scale(#[from] scale::ScaleError),
    /// A cluster or soak could not be run.
    #[error(transparent)]
    Run(#[from] io::Error),
    #[error("cannot read {}: {source}", path.display())]
    ReadPlan { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Plan { path: PathBuf, source: PlanError },
    #[error("cannot write {}: {source}", path.display())]
    WriteViews { path: PathBuf, source: io::Error },
    #[error("rules were broken with {broken} of {seeds} seeds")]
    RulesBroken { broken: u64, seeds: u64 },
}

/// Exit code of a command that failed.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("testbed: {}", error.to_string().replace('\n', " "));
            ExitCode::from(FAILED)
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Demo { node } => block_on(async move { Ok(demo::run(&node).await?) }),
        Command::Measure { nodes, plays } => {
            nodes.iter().for_each(|n| println!("{}", measure::emulated_membership(*n, plays)));
            Ok(())
        }
        Command::Duties { nodes, plays } => {
            measure_coordination(&nodes, plays);
            Ok(())
        }
        Command::Play { plan, node, times, paired, views } => {
            block_on(play_plan(plan, node, times, paired, views))
        }
        Command::Scale(arguments) => Ok(scale::run(&arguments, &ALLOCATOR)?),
        Command::Soak { node, seed, times, nodes, workers, seconds, quiet, requests, troubles, verbose } => {
            let options = soak::Options {
                binary: node,
                nodes,
                workers,
                load_duration: Duration::from_secs_f64(seconds),
                fault_free: Duration::from_secs_f64(quiet),
                requests_per_second: requests,
                faults_per_second: troubles,
                seed,
                verbose,
            };
            block_on(run_soaks(options, times))
        }
        Command::Idle { node, nodes, plays } => block_on(async move {
            println!("{}", measure::real_membership(&node, nodes, plays).await?);
            Ok(())
        }),
    }
}

fn block_on(task: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(CommandError::Runtime)?.block_on(task)
}

fn measure_coordination(nodes: &[usize], plays: u64) {
    measure::lease_vacancies(plays).iter().for_each(|line| println!("{line}"));
    for nodes in nodes {
        // Larger zones take longer, and differ less.
        let plays = (plays * 10 / *nodes as u64).clamp(1, 20);
        measure::list_broadcast(*nodes, plays).iter().for_each(|line| println!("{line}"));
    }
}

async fn play_plan(
    path: PathBuf,
    node: PathBuf,
    times: u64,
    paired: bool,
    views: Option<PathBuf>,
) -> Result<(), CommandError> {
    let mut history = String::new();
    let mut plan = read_plan(&path)?;
    let first = plan.seed;
    for play in 0..times {
        plan.seed = first + play;
        let with_membership: &[bool] = if paired { &[true, false] } else { &[plan.fleet] };
        for fleet in with_membership {
            plan.fleet = *fleet;
            let outcome = execute(&plan, &node, |line| println!("  {line}")).await?;
            history += &history_lines(plan.seed, &outcome);
            let view = if *fleet { "with the view" } else { "without it" };
            println!("seed {} {view}: {}", plan.seed, summary(&outcome));
        }
    }
    if let Some(path) = views {
        std::fs::write(&path, history).map_err(|source| CommandError::WriteViews { path, source })?;
    }
    Ok(())
}

fn read_plan(path: &Path) -> Result<Plan, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::ReadPlan { path: path.to_path_buf(), source })?;
    Plan::parse(&text).map_err(|source| CommandError::Plan { path: path.to_path_buf(), source })
}

/// Runs a soak for each seed; an error where any rule was broken.
async fn run_soaks(options: soak::Options, seeds: u64) -> Result<(), CommandError> {
    let mut broken = 0;
    for seed in options.seed..options.seed + seeds {
        let report = soak::run(soak::Options { seed, ..options.clone() }).await?;
        println!("seed {seed}: {} violations; {report}", report.violations.len());
        if !report.violations.is_empty() {
            println!("    logs in {}", report.log_folder.display());
            broken += 1;
        }
    }
    if broken > 0 {
        return Err(CommandError::RulesBroken { broken, seeds });
    }
    Ok(())
}

/// The status reports of a play, a line of JSON for each moment.
fn history_lines(seed: u64, outcome: &Outcome) -> String {
    let mut lines = String::new();
    for (at, nodes) in &outcome.history {
        let line = serde_json::json!({"seed": seed, "at_ms": at.as_millis() as u64, "nodes": nodes});
        lines += &format!("{line}\n");
    }
    lines
}

fn summary(outcome: &Outcome) -> String {
    let settled = match &outcome.settled {
        Ok(took) => format!("settled {took:.1?} after the load"),
        Err(wrong) => format!("NOT SETTLED: {}", wrong[0]),
    };
    format!(
        "{}; {} cold workers fell, pressure {:.2}; {} keys done twice; {settled}",
        outcome.report, outcome.failed_workers, outcome.peak_cold_load, outcome.repeated_keys
    )
}
