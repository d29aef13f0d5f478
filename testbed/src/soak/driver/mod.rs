//! Driver of one soak run: starts processes and stand-ins, runs the load, injects faults, and has the history
//! checked.
//!
//! `Driver` owns all state and runs on one task. `processes` starts, ends and watches the nodes' processes,
//! `execution` executes the schedule, `endpoints` replaces workers and updates discovery, `report` collects
//! the outcome.

mod endpoints;
mod execution;
mod memory;
mod processes;
mod report;

pub use report::Report;

use super::client::{Clients, Target};
use super::discovery::{Agent, List};
use super::history::{Recorder, Time};
use super::schedule::{draw, draw_limits, ProcessLimits, Profile, ScheduleSpec};
use super::shim::{self, Control, Fault};
use crate::cluster::{free_block, Block};
use endpoints::Worker;
use execution::Action;
use processes::{Node, ProcessReady};
use std::collections::BTreeSet;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

/// Time for the nodes to start before the first fault.
const START_TIME: Duration = Duration::from_secs(1);
/// Interval at which processes and the schedule are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the load for open requests to end.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Multiple of [`DRAIN_TIME`] after the load at which a run ends even if faults are still being undone.
const DRAIN_TIMES_MAX: u32 = 3;
/// Interval at which the stand-ins' scheduling delay is measured.
const LAG_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Usual delay of a timer, which does not count.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// XORed with the seed of the faults to get the seed of the load.
const LOAD_SEED: u64 = 0x10ad;

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program.
    pub binary: PathBuf,
    /// Number of nodes; each is one process, two during an upgrade.
    pub nodes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Duration of the load.
    pub load_duration: Duration,
    /// Time from the start without faults: at least a second, for the nodes to start.
    pub fault_free: Duration,
    /// Requests per second, over all nodes.
    pub requests_per_second: f64,
    /// Faults that begin per second.
    pub faults_per_second: f64,
    /// Which faults are drawn.
    pub profile: Profile,
    /// Largest number of clients of a flood.
    pub flood_clients_max: usize,
    /// Number of clients of each node that connect and send nothing.
    pub idle_clients: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the schedule is printed.
    pub verbose: bool,
}

/// State of a run.
struct Driver {
    options: Options,
    recorder: Recorder,
    folder: PathBuf,
    shim_library: PathBuf,
    block: Block,
    _block_lock: TcpListener,
    nodes: Vec<Node>,
    targets: Vec<Arc<Target>>,
    workers: Vec<Worker>,
    list: List,
    /// List at the start of the run; every second process starts with this outdated list.
    initial_list: List,
    /// Limits of the processes.
    limits: ProcessLimits,
    /// When the memory of the processes was last read.
    memory_read_at: Time,
    /// Number of processes started so far.
    starts: u16,
    pending_actions: Vec<(Time, Action)>,
    ready_sender: mpsc::UnboundedSender<ProcessReady>,
    ready_receiver: mpsc::UnboundedReceiver<ProcessReady>,
    /// System-call faults that the schedule has enabled.
    injected: BTreeSet<Fault>,
}

/// Number of the next run in this process.
static NEXT_RUN: AtomicU32 = AtomicU32::new(0);

/// Executes one soak run.
///
/// # Errors
/// If the stand-ins or processes can't be started, or a file of the run can't be read or written. Faults of
/// the program are in the report.
pub async fn run(mut options: Options) -> io::Result<Report> {
    let (limits, crowd) = draw_limits(options.profile, options.seed);
    options.idle_clients += crowd;
    let spec = ScheduleSpec {
        nodes: options.nodes,
        workers: options.workers,
        load_duration: options.load_duration,
        fault_free: options.fault_free.max(START_TIME),
        faults_per_second: options.faults_per_second,
        profile: options.profile,
        flood_clients_max: options.flood_clients_max,
    };
    let planned = draw(&spec, options.seed);
    let mut driver = Driver::prepare(options, limits).await?;
    if driver.options.verbose {
        println!("  {limits:?}, {} idle clients", driver.options.idle_clients);
    }
    if driver.options.verbose {
        planned.iter().for_each(|planned| println!("  {planned}"));
    }
    driver.pending_actions =
        planned.into_iter().map(|planned| (planned.at, Action::Begin(planned))).collect();
    driver.run().await
}

impl Driver {
    /// Starts workers and discovery, but not the nodes.
    async fn prepare(options: Options, limits: ProcessLimits) -> io::Result<Driver> {
        let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let (block, _block_lock) =
            free_block(std::process::id().wrapping_mul(101).wrapping_add(number * 7907))?;
        let folder = std::env::temp_dir().join(format!("soak-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let shim_library = shim::build(&folder)?;
        let target = |i| Arc::new(Target::new(block.address(i, shim::CLIENT_PORT)));
        let targets = (0..options.nodes).map(target).collect();
        let (ready_sender, ready_receiver) = mpsc::unbounded_channel();
        let mut driver = Driver {
            recorder: Recorder::default(),
            folder,
            shim_library,
            block,
            _block_lock,
            nodes: Vec::new(),
            targets,
            workers: Vec::new(),
            list: List { revision: 1, entries: Vec::new() },
            initial_list: List::default(),
            limits,
            memory_read_at: Time::ZERO,
            starts: 0,
            pending_actions: Vec::new(),
            ready_sender,
            ready_receiver,
            injected: BTreeSet::new(),
            options,
        };
        for _ in 0..driver.options.workers {
            driver.add_worker(false)?;
        }
        driver.initial_list = driver.list.clone();
        for i in 0..driver.options.nodes {
            let node = driver.prepare_node(i).await?;
            driver.nodes.push(node);
        }
        Ok(driver)
    }

    async fn prepare_node(&self, i: usize) -> io::Result<Node> {
        let addresses = [8500, 8501].map(|port| self.block.address(100 + i, port));
        let control = Control::create(self.folder.join(format!("control-{i}")))?;
        let agent = Agent::start(addresses, Arc::new(self.list.clone())).await?;
        Ok(Node::new(control, agent))
    }

    async fn run(mut self) -> io::Result<Report> {
        let lag_probe = tokio::spawn(measure_lag(self.recorder.clone()));
        for i in 0..self.options.nodes {
            self.start_node(i)?;
        }
        let clients = Clients::new(self.recorder.clone(), self.targets.clone());
        let Options { requests_per_second, load_duration, seed, .. } = self.options;
        let idle_clients = tokio::spawn(clients.clone().hold_idle(self.options.idle_clients));
        let mut load = tokio::spawn(clients.run(requests_per_second, load_duration, seed ^ LOAD_SEED));
        let mut load_ended = false;
        loop {
            self.watch_processes()?;
            self.read_memory();
            self.execute_due_actions()?;
            if !load_ended && load.is_finished() {
                let _ = (&mut load).await; // a panic of a client shows up as a request without an answer
                load_ended = true;
            }
            if load_ended && self.is_over() {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        idle_clients.abort();
        lag_probe.abort();
        self.finish().await
    }

    /// Whether the time for open requests is over, and all faults are undone or the time for that is over
    /// too.
    fn is_over(&self) -> bool {
        let (now, load_duration) = (self.recorder.now(), self.options.load_duration);
        let settled = self.pending_actions.is_empty() && self.nodes.iter().all(Node::has_no_planned_restart);
        now > load_duration + DRAIN_TIME && (settled || now > load_duration + DRAIN_TIMES_MAX * DRAIN_TIME)
    }
}

/// Records the delay of timers in the stand-ins' process.
async fn measure_lag(recorder: Recorder) {
    loop {
        let due = Instant::now() + LAG_PROBE_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed().saturating_sub(TIMER_RESOLUTION);
        let mut history = recorder.history();
        history.stand_in_lag = history.stand_in_lag.max(late);
    }
}
