//! Command line of the test bed: fault plans and soak runs against real processes, and measurements in
//! emulated time.

use clap::{Parser, Subcommand};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use testbed::allocation::{counting, CountingAllocator};
use testbed::plan::{execute, Outcome, Plan, PlanError};
use testbed::soak::schedule::Profile;
use testbed::{demo, measure, scale, soak};

/// Counts allocated bytes, for the measurements of state size.
#[global_allocator]
static ALLOCATOR: CountingAllocator = counting();

/// Runs many processes of the program and injects faults between them.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts five nodes with workers and load, kills one, isolates one, and prints the view of each.
    Demo {
        /// Path of the node program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
    },
    /// Executes a fault plan.
    #[command(name = "play")]
    RunPlan {
        /// Fault plan (TOML).
        plan: PathBuf,
        /// Path of the node program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// Number of runs, each with the next seed.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Runs each seed twice: with membership and without.
        #[arg(long)]
        paired: bool,
        /// File for the nodes' status reports: one line of JSON for each half second.
        #[arg(long)]
        views: Option<PathBuf>,
    },
    /// Measures membership in emulated time.
    #[command(name = "measure")]
    Membership {
        /// Number of nodes.
        #[arg(long, num_args = 1.., default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Runs per number of nodes.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 20)]
        runs: u64,
    },
    /// Measures coordination in emulated time: how long a lease is vacant, and what the list broadcast costs.
    #[command(name = "duties")]
    Coordination {
        /// Number of nodes in a zone.
        #[arg(long, num_args = 1.., default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Runs per number of nodes.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 200)]
        runs: u64,
    },
    /// Measures each role at growing sizes, and generates the capacity page from the results.
    Scale(scale::Arguments),
    /// Injects overlapping random faults into real processes, and checks the protocol's rules, for many
    /// seeds.
    Soak {
        /// Path of the node program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Number of nodes.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Number of workers.
        #[arg(long, default_value_t = 8)]
        workers: usize,
        /// Duration of the load, in seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Seconds from the start without faults.
        #[arg(long = "quiet", value_name = "QUIET", default_value_t = 1.0)]
        fault_free_s: f64,
        /// Requests per second, over all nodes.
        #[arg(long, default_value_t = 150.0)]
        requests: f64,
        /// Faults that begin per second.
        #[arg(long = "troubles", value_name = "TROUBLES", default_value_t = 3.0)]
        faults_per_second: f64,
        /// With `--handovers`: half of them change a class's effect while requests of it run.
        #[arg(long, requires = "handovers")]
        settings_changes: bool,
        /// Draws mostly process handovers, disturbed by signals and stalls.
        #[arg(long)]
        handovers: bool,
        /// Draws limits, and mostly floods and messages in small pieces.
        #[arg(long, conflicts_with = "handovers")]
        floods: bool,
        /// Largest number of clients of a flood.
        #[arg(long, default_value_t = 400)]
        flood_clients: usize,
        /// Number of clients of each node that connect and send nothing.
        #[arg(long, default_value_t = 0)]
        idle_clients: usize,
        /// Prints the fault schedules.
        #[arg(long)]
        verbose: bool,
    },
    /// Measures membership of real processes that are otherwise idle.
    #[command(name = "idle")]
    IdleCluster {
        /// Path of the node program.
        #[arg(long, default_value = "target/release/molevale")]
        node: PathBuf,
        /// Number of nodes.
        #[arg(long, default_value_t = 10)]
        nodes: usize,
        /// Number of kills.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 10)]
        runs: u64,
    },
}

/// Error of a command, printed as one line.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Demo(#[from] demo::DemoError),
    #[error(transparent)]
    Scale(#[from] scale::ScaleError),
    /// A cluster or soak run failed to start or to complete.
    #[error(transparent)]
    Run(#[from] io::Error),
    #[error("cannot read {}: {source}", path.display())]
    ReadPlan { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Plan { path: PathBuf, source: PlanError },
    #[error("cannot write {}: {source}", path.display())]
    WriteViews { path: PathBuf, source: io::Error },
    #[error("{violating_seeds} of {seeds} seeds violated a rule")]
    RulesViolated { violating_seeds: u64, seeds: u64 },
}

/// Exit code of a failed command.
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

fn soak_profile(handovers: bool, settings_changes: bool, floods: bool) -> Profile {
    match (handovers, settings_changes) {
        _ if floods => Profile::Floods,
        (true, true) => Profile::HandoversWithSettings,
        (true, false) => Profile::Handovers,
        (false, _) => Profile::Mixed,
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Demo { node } => block_on(async move { Ok(demo::run(&node).await?) }),
        Command::Membership { nodes, runs } => {
            nodes.iter().for_each(|n| println!("{}", measure::emulated_membership(*n, runs)));
            Ok(())
        }
        Command::Coordination { nodes, runs } => {
            measure_coordination(&nodes, runs);
            Ok(())
        }
        Command::RunPlan { plan, node, times, paired, views } => {
            block_on(run_plan(plan, node, times, paired, views))
        }
        Command::Scale(arguments) => Ok(scale::run(&arguments, &ALLOCATOR)?),
        Command::Soak {
            node,
            seed,
            times,
            nodes,
            workers,
            seconds,
            fault_free_s,
            requests,
            faults_per_second,
            handovers,
            settings_changes,
            floods,
            flood_clients,
            idle_clients,
            verbose,
        } => {
            let options = soak::Options {
                binary: node,
                nodes,
                workers,
                load_duration: Duration::from_secs_f64(seconds),
                fault_free: Duration::from_secs_f64(fault_free_s),
                requests_per_second: requests,
                faults_per_second,
                profile: soak_profile(handovers, settings_changes, floods),
                flood_clients_max: flood_clients,
                idle_clients,
                seed,
                verbose,
            };
            block_on(run_soaks(options, times))
        }
        Command::IdleCluster { node, nodes, runs } => block_on(measure_idle_cluster(node, nodes, runs)),
    }
}

fn block_on(task: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(CommandError::Runtime)?.block_on(task)
}

async fn measure_idle_cluster(node: PathBuf, nodes: usize, runs: u64) -> Result<(), CommandError> {
    println!("{}", measure::real_membership(&node, nodes, runs).await?);
    Ok(())
}

fn measure_coordination(nodes: &[usize], runs: u64) {
    measure::lease_vacancies(runs).iter().for_each(|line| println!("{line}"));
    for nodes in nodes {
        // Runs of larger zones take longer and vary less, so fewer are made.
        let runs = (runs * 10 / *nodes as u64).clamp(1, 20);
        measure::list_broadcast(*nodes, runs).iter().for_each(|line| println!("{line}"));
    }
}

async fn run_plan(
    path: PathBuf,
    node: PathBuf,
    times: u64,
    paired: bool,
    views: Option<PathBuf>,
) -> Result<(), CommandError> {
    let mut history = String::new();
    let mut plan = read_plan(&path)?;
    let first_seed = plan.seed;
    for run in 0..times {
        plan.seed = first_seed + run;
        let with_membership: &[bool] = if paired { &[true, false] } else { &[plan.fleet] };
        for fleet in with_membership {
            plan.fleet = *fleet;
            let outcome = execute(&plan, &node, |line| println!("  {line}")).await?;
            history += &history_lines(plan.seed, &outcome);
            let mode = if *fleet { "with membership" } else { "without membership" };
            println!("seed {} {mode}: {}", plan.seed, summary(&outcome));
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

/// Runs a soak for each seed.
///
/// # Errors
/// If any rule was violated, or a run failed.
async fn run_soaks(options: soak::Options, seeds: u64) -> Result<(), CommandError> {
    let mut violating_seeds = 0;
    for seed in options.seed..options.seed + seeds {
        let report = soak::run(soak::Options { seed, ..options.clone() }).await?;
        println!("seed {seed}: {} violations; {report}", report.violations.len());
        if !report.violations.is_empty() {
            println!("    logs in {}", report.log_folder.display());
            violating_seeds += 1;
        }
    }
    if violating_seeds > 0 {
        return Err(CommandError::RulesViolated { violating_seeds, seeds });
    }
    Ok(())
}

/// Formats the status reports of a run, one line of JSON for each time.
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
        Ok(took) => format!("views settled {took:.1?} after the load"),
        Err(faults) => format!("VIEWS NOT SETTLED: {}", faults[0]),
    };
    format!(
        "{}; {} cold workers failed under overload, peak cold load {:.2}; {} keys executed twice; {settled}",
        outcome.report, outcome.failed_workers, outcome.peak_cold_load, outcome.repeated_keys
    )
}
