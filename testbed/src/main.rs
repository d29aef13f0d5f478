//! `testbed`: plays fault plans against real processes of the program, and measures the fleet in emulated time.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::allocation::{counting, CountingAllocator};
use testbed::plan::{carry_out, Outcome, Plan};
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

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo { node } => runtime(demo::run(&node)),
        Command::Measure { nodes, plays } => {
            nodes.iter().for_each(|n| println!("{}", measure::emulated(*n, plays)));
            Ok(())
        }
        Command::Duties { nodes, plays } => {
            measure::vacancies(plays).iter().for_each(|line| println!("{line}"));
            for n in nodes {
                let plays = (plays * 10 / n as u64).clamp(1, 20);
                measure::zone_lists(n, plays).iter().for_each(|line| println!("{line}"));
            }
            Ok(())
        }
        Command::Play { plan, node, times, paired, views } => {
            runtime(plays(plan, node, times, paired, views))
        }
        Command::Scale(arguments) => scale::run(&arguments, &ALLOCATOR).map_err(|e| e.to_string()),
        Command::Soak { node, seed, times, nodes, workers, seconds, quiet, requests, troubles, verbose } => {
            let options = soak::Options {
                binary: node,
                nodes,
                workers,
                load_duration: std::time::Duration::from_secs_f64(seconds),
                fault_free: std::time::Duration::from_secs_f64(quiet),
                requests_per_second: requests,
                faults_per_second: troubles,
                seed,
                verbose,
            };
            runtime(soaks(options, times))
        }
        Command::Idle { node, nodes, plays } => runtime(async move {
            println!("{}", measure::real(&node, nodes, plays).await.map_err(|e| e.to_string())?);
            Ok(())
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("testbed: {}", message.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn runtime(what: impl std::future::Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(|e| format!("no runtime: {e}"))?.block_on(what)
}

async fn plays(
    path: PathBuf,
    node: PathBuf,
    times: u64,
    paired: bool,
    views: Option<PathBuf>,
) -> Result<(), String> {
    let mut told = String::new();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let mut plan = Plan::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let first = plan.seed;
    for play in 0..times {
        plan.seed = first + play;
        let ways: &[bool] = if paired { &[true, false] } else { &[plan.fleet] };
        for fleet in ways {
            plan.fleet = *fleet;
            let outcome =
                carry_out(&plan, &node, |line| println!("  {line}")).await.map_err(|e| e.to_string())?;
            for (at, shown) in &outcome.history {
                let line =
                    serde_json::json!({"seed": plan.seed, "at_ms": at.as_millis() as u64, "nodes": shown});
                told += &format!("{line}\n");
            }
            println!(
                "seed {} {}: {}",
                plan.seed,
                if *fleet { "with the view" } else { "without it" },
                line(&outcome)
            );
        }
    }
    match views {
        Some(path) => {
            std::fs::write(&path, told).map_err(|e| format!("cannot write {}: {e}", path.display()))
        }
        None => Ok(()),
    }
}

/// Runs a soak for each seed; an error where any rule was broken.
async fn soaks(options: soak::Options, times: u64) -> Result<(), String> {
    let mut broken = 0;
    for seed in options.seed..options.seed + times {
        let report = soak::run(soak::Options { seed, ..options.clone() }).await.map_err(|e| e.to_string())?;
        println!("seed {seed}: {} violations; {report}", report.violations.len());
        if !report.violations.is_empty() {
            println!("    logs in {}", report.log_folder.display());
            broken += 1;
        }
    }
    if broken > 0 {
        return Err(format!("rules were broken with {broken} of {times} seeds"));
    }
    Ok(())
}

fn line(o: &Outcome) -> String {
    let settled = match &o.settled {
        Ok(took) => format!("settled {took:.1?} after the load"),
        Err(wrong) => format!("NOT SETTLED: {}", wrong[0]),
    };
    format!(
        "{}; {} cold workers fell, pressure {:.2}; {} keys done twice; {settled}",
        o.report, o.fell, o.pressure, o.twice
    )
}
