//! Execution of a scale plan, axis by axis, and the modes of the command line.

use super::arguments::Arguments;
use super::limits::Limits;
use super::page::PageError;
use super::plan::{Plan, PlanError, AXES};
use super::result::{Axis, Measurement, Recorder, Run, FORMAT};
use super::store::{self, StoreError};
use super::{broadcast, chart, dispatcher, membership, page, voting};
use crate::allocation::{CountingAllocator, Memory};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime};

/// File name of the chart in the results directory.
const CHART: &str = "scale.svg";

/// Error of `testbed scale`.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The plan cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    PlanFile {
        /// Path of the plan.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The plan is invalid.
    #[error("{}: {source}", path.display())]
    Plan {
        /// Path of the plan.
        path: PathBuf,
        /// Line and description.
        source: PlanError,
    },
    /// Results cannot be saved or read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] chart::ChartError),
    /// The page cannot be written, or differs from the results.
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Runs `testbed scale`: measures, writes the page, or compares it with the saved results.
///
/// # Errors
/// [`ScaleError`] if the plan is invalid, a file cannot be read or written, or the page differs from the
/// results.
pub fn run(arguments: &Arguments, allocator: &'static CountingAllocator) -> Result<(), ScaleError> {
    if let Some(path) = &arguments.page {
        let runs = store::read_all(&arguments.results)?;
        chart::draw(&arguments.results.join(CHART), &runs)?;
        return Ok(page::write(path, &runs)?);
    }
    if let Some(path) = &arguments.check {
        return Ok(page::check(path, &store::read_all(&arguments.results)?)?);
    }
    measure_and_save(arguments, Memory::new(allocator))
}

fn measure_and_save(arguments: &Arguments, memory: Memory) -> Result<(), ScaleError> {
    let plan = read_plan(&arguments.plan)?;
    let wanted = |axis: &Axis| arguments.axis.is_empty() || arguments.axis.contains(axis);
    let axes: Vec<Axis> =
        AXES.into_iter().filter(wanted).filter(|axis| !plan.sizes(*axis).is_empty()).collect();
    let progress = progress_bar(axes.iter().map(|axis| plan.sizes(*axis).len()).sum());
    for axis in axes {
        measure_axis(&plan, axis, arguments, memory, &progress)?;
    }
    progress.finish_and_clear();
    let runs = store::read_all(&arguments.results)?;
    chart::draw(&arguments.results.join(CHART), &runs)?;
    Ok(())
}

fn read_plan(path: &Path) -> Result<Plan, ScaleError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ScaleError::PlanFile { path: path.to_path_buf(), source })?;
    Plan::parse(&text).map_err(|source| ScaleError::Plan { path: path.to_path_buf(), source })
}

fn progress_bar(steps: usize) -> ProgressBar {
    let progress = ProgressBar::new(steps as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}") {
        progress.set_style(style);
    }
    progress.enable_steady_tick(Duration::from_secs(1));
    progress
}

/// Measures an axis at each of its sizes. Saves the results after each size, so that an aborted run keeps
/// some.
fn measure_axis(
    plan: &Plan,
    axis: Axis,
    arguments: &Arguments,
    memory: Memory,
    progress: &ProgressBar,
) -> Result<(), ScaleError> {
    let (started, commit) = (Instant::now(), commit());
    let mut measurements = Vec::new();
    for size in plan.sizes(axis) {
        progress.set_message(format!("{axis:?} {size}"));
        measurements.extend(measure(plan, axis, *size, memory));
        let run = Run {
            took_s: started.elapsed().as_secs(),
            commit: commit.clone(),
            measurements: measurements.clone(),
            ..empty_run(plan, axis, &arguments.plan)
        };
        store::save(&arguments.results, axis, &run)?;
        progress.inc(1);
    }
    Ok(())
}

/// Measures one size of an axis.
pub fn measure(plan: &Plan, axis: Axis, size: u64, memory: Memory) -> Vec<Measurement> {
    let mut recorder = Recorder::new(axis, size);
    let limits = Limits::start(memory, plan.memory_mb(), plan.time_limit());
    match axis {
        Axis::Nodes => membership::measure(&member_spec(plan, size), &limits, &mut recorder),
        Axis::Zones => {
            broadcast::measure(&zone_spec(plan, axis, size), &limits, &mut recorder);
            let zones = size as usize;
            voting::measure(&voting::Spec { zones, seed: plan.seed }, &limits, &mut recorder);
        }
        Axis::Tenants | Axis::Starts => {
            dispatcher::measure(&load(plan, axis, size), &limits, &mut recorder);
        }
        Axis::Workers | Axis::Together => {
            dispatcher::measure(&load(plan, axis, size), &limits, &mut recorder);
            broadcast::measure(&zone_spec(plan, axis, size), &limits, &mut recorder);
        }
    }
    recorder.finish()
}

fn member_spec(plan: &Plan, nodes: u64) -> membership::Spec {
    let emulation = &plan.emulation;
    membership::Spec {
        nodes: nodes as usize,
        seed: plan.seed,
        warm_up: Duration::from_secs(emulation.warm_up_s),
        steady_time: Duration::from_secs(*emulation.steady_s.get_ref()),
        crashes: *emulation.crashes.get_ref() as usize,
        zones: *emulation.member_zones.get_ref() as usize,
    }
}

/// Returns the parameters of one zone of the nodes with list broadcast, and the workers of all zones.
fn zone_spec(plan: &Plan, axis: Axis, size: u64) -> broadcast::Spec {
    let load = load(plan, axis, size);
    let nodes = *plan.emulation.list_nodes.get_ref() as usize;
    broadcast::Spec {
        nodes: nodes.div_ceil(load.zones),
        workers: load.workers,
        zones: load.zones,
        seed: plan.seed,
    }
}

fn load(plan: &Plan, axis: Axis, size: u64) -> dispatcher::Load {
    let (base, emulation) = (&plan.base, &plan.emulation);
    let together = axis == Axis::Together;
    let size_of = |of: Axis, base: u64| match axis {
        _ if axis == of => size,
        _ if together => plan.largest(of, base),
        _ => base,
    };
    let requests_per_s = match axis {
        Axis::Starts => size as f64,
        _ if together => plan.largest(Axis::Starts, *base.starts.get_ref() as u64) as f64,
        _ => *base.starts.get_ref(),
    };
    dispatcher::Load {
        nodes: if together { size } else { *base.nodes.get_ref() } as usize,
        workers: size_of(Axis::Workers, *base.workers.get_ref()) as usize,
        tenants: size_of(Axis::Tenants, *base.tenants.get_ref()) as usize,
        zones: size_of(Axis::Zones, *base.zones.get_ref()) as usize,
        requests_per_s,
        run_time: Duration::from_secs_f64(*emulation.run_time_s.get_ref()),
        dispatchers: *emulation.dispatchers.get_ref() as usize,
        duration: Duration::from_secs(*emulation.dispatch_s.get_ref()),
        seed: plan.seed,
    }
}

/// Returns a run without measurements.
fn empty_run(plan: &Plan, axis: Axis, path: &Path) -> Run {
    let axis_name = format!("{axis:?}").to_lowercase();
    Run {
        format: FORMAT,
        command: format!("testbed scale {} --axis {axis_name}", path.display()),
        seed: plan.seed,
        date: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
        commit: String::new(),
        version: env!("CARGO_PKG_VERSION").to_string(),
        processors: std::thread::available_parallelism().map_or(1, usize::from),
        took_s: 0,
        measurements: Vec::new(),
    }
}

/// Returns the commit of the working directory, with `+` if files other than documents differ from it, or
/// `unknown` outside of a repository.
fn commit() -> String {
    let git = |arguments: &[&str]| Command::new("git").args(arguments).output().ok();
    let head = git(&["rev-parse", "--short=7", "HEAD"]).filter(|output| output.status.success());
    let Some(head) = head.and_then(|output| String::from_utf8(output.stdout).ok()) else {
        return "unknown".to_string();
    };
    let is_unmodified =
        git(&["diff", "--quiet", "HEAD", "--", ".", ":!docs"]).is_some_and(|o| o.status.success());
    format!("{}{}", head.trim(), if is_unmodified { "" } else { "+" })
}
