//! Carries a schedule out against real processes and reports what the oracle says.

use super::client::{Clients, Target};
use super::discovery::{Agent, AgentMode, List};
use super::history::{Life, Recorder, Time, Withdrawal};
use super::oracle::{judge, Limits, Violation};
use super::schedule::{draw, Planned, Shape, Trouble};
use super::settings::{self, REPEAT_WINDOW};
use super::shim::{self, Control, Fault};
use super::worker::{SoakWorker, WorkerMode};
use crate::cluster::{free_block, Block};
use crate::process::Process;
use crate::wire;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// For the nodes to start.
const START: Duration = Duration::from_secs(1);
/// Between two looks at the processes.
const LOOK: Duration = Duration::from_millis(10);
/// For which clients open new connections to a node after SIGTERM.
const TAKEN_OUT: Duration = Duration::from_millis(300);
/// After SIGTERM, the earliest SIGKILL: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2_500 + 700);
/// After SIGHUP, when what the new address of discovery has counts as told.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// After discovery can be reached again, when a change counts as told whatever became of the calls.
const TOLD_AT_LATEST: Duration = Duration::from_secs(6);
/// For requests that are open at the end of the load.
const TAIL: Duration = Duration::from_secs(5);
/// After a kill, the next start.
const RESTART_AFTER: Duration = Duration::from_millis(200);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// Nodes; each is one process, two during an upgrade.
    pub nodes: usize,
    /// Workers.
    pub workers: usize,
    /// For which there is load.
    pub span: Duration,
    /// From the start on, for which nothing goes wrong: a second at least, for the nodes to start.
    pub quiet: Duration,
    /// Requests a second.
    pub requests: f64,
    /// Troubles that begin in a second.
    pub troubles: f64,
    /// For what is drawn.
    pub seed: u64,
    /// Prints the schedule.
    pub verbose: bool,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Requests that clients began.
    pub requests: usize,
    /// Attempts that workers saw.
    pub attempts: usize,
    /// Answers by status.
    pub answers: BTreeMap<u16, usize>,
    /// How often each fault was injected, of those that were to be. Of one that never met a call the run shows nothing.
    pub injected: BTreeMap<Fault, u64>,
    /// The longest that the stand-ins themselves were held up.
    pub own_lag: Duration,
    /// Where the processes' logs lie, if rules were broken.
    pub folder: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { requests, attempts, answers, injected, own_lag, .. } = self;
        write!(
            f,
            "{requests} requests, {attempts} attempts, answers {answers:?}, own lag {own_lag:.0?}; injected"
        )?;
        for (fault, count) in injected {
            write!(f, " {fault:?}={count}")?;
        }
        for violation in &self.violations {
            write!(f, "\n    {violation}")?;
        }
        Ok(())
    }
}

struct Node {
    process: Option<Process>,
    life: usize,
    /// Processes that were taken over from.
    before: Vec<Predecessor>,
    control: Control,
    agent: Agent,
    discovery: usize,
    most_attempts: usize,
    cancelling: bool,
    reloaded: Option<Time>,
    /// Until when a change may be missed by a call that fell silent or failed.
    unsure_until: Time,
    kill_at: Option<Time>,
    start_at: Option<Time>,
    /// Withdrawals that count once discovery is reached again.
    pending: Vec<usize>,
}

/// A process that another one has taken over from.
struct Predecessor {
    process: Process,
    life: usize,
    /// When it is to be killed; `None` until it was told to end.
    kill_at: Option<Time>,
}

struct Worker {
    id: String,
    number: usize,
    host: usize,
    stand_in: Option<SoakWorker>,
    since_ms: u64,
    in_service: bool,
}

/// What is due at a time.
enum Due {
    Begin(Planned),
    EndCalls { node: usize, faults: Vec<Fault> },
    EndClock(usize),
    Continue { node: usize, life: usize },
    EndWorker(usize),
    EndDiscovery(Option<usize>),
    Withdraw(usize),
    Remove(usize),
    Reload { node: usize, moves_discovery: bool },
    CloseDoor(usize),
    KillSuccessor { node: usize, life: usize },
}

/// A process has said that it is ready.
struct Ready {
    life: usize,
    at: Time,
}

struct Driver {
    options: Options,
    recorder: Recorder,
    folder: PathBuf,
    library: PathBuf,
    block: Block,
    _lock: TcpListener,
    nodes: Vec<Node>,
    targets: Vec<Arc<Target>>,
    workers: Vec<Worker>,
    list: List,
    /// As it was when the run began: every other process starts from this one.
    first_list: List,
    starts: u16,
    agenda: Vec<(Time, Due)>,
    report_ready: mpsc::UnboundedSender<Ready>,
    ready: mpsc::UnboundedReceiver<Ready>,
    injected: BTreeSet<Fault>,
}

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Runs one seed.
///
/// # Errors
/// Where the stand-ins can't be started; what the program does is in the report.
pub async fn run(options: Options) -> io::Result<Report> {
    let Options { nodes, workers, span, quiet, troubles, .. } = options;
    let shape = Shape { nodes, workers, span, quiet: quiet.max(START), per_second: troubles };
    let planned = draw(&shape, options.seed);
    let mut driver = Driver::prepare(options).await?;
    if driver.options.verbose {
        planned.iter().for_each(|planned| println!("  {planned}"));
    }
    driver.agenda = planned.into_iter().map(|planned| (planned.at, Due::Begin(planned))).collect();
    driver.play().await
}

impl Driver {
    async fn prepare(options: Options) -> io::Result<Driver> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (block, _lock) = free_block(std::process::id().wrapping_mul(101).wrapping_add(number * 7907))?;
        let folder = std::env::temp_dir().join(format!("soak-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let library = shim::build(&folder)?;
        let targets =
            (0..options.nodes).map(|i| Arc::new(Target::new(block.address(i, shim::CLIENT_PORT)))).collect();
        let (report_ready, ready) = mpsc::unbounded_channel();
        let mut driver = Driver {
            recorder: Recorder::default(),
            folder,
            library,
            block,
            _lock,
            nodes: Vec::new(),
            targets,
            workers: Vec::new(),
            list: List { revision: 1, entries: Vec::new() },
            first_list: List::default(),
            starts: 0,
            agenda: Vec::new(),
            report_ready,
            ready,
            injected: BTreeSet::new(),
            options,
        };
        for _ in 0..driver.options.workers {
            driver.add_worker(false)?;
        }
        driver.first_list = driver.list.clone();
        for i in 0..driver.options.nodes {
            let addresses = [8500, 8501].map(|port| driver.block.address(100 + i, port));
            driver.nodes.push(Node {
                process: None,
                life: 0,
                before: Vec::new(),
                control: Control::create(driver.folder.join(format!("control-{i}")))?,
                agent: Agent::start(addresses, Arc::new(driver.list.clone())).await?,
                discovery: 0,
                most_attempts: 3,
                cancelling: true,
                reloaded: None,
                unsure_until: Time::ZERO,
                kill_at: None,
                start_at: None,
                pending: Vec::new(),
            });
        }
        Ok(driver)
    }

    async fn play(mut self) -> io::Result<Report> {
        let lag = tokio::spawn(watch_lag(self.recorder.clone()));
        for i in 0..self.options.nodes {
            self.start_node(i)?;
        }
        let clients = Clients::new(self.recorder.clone(), self.targets.clone());
        let load = clients.play(self.options.requests, self.options.span, self.options.seed ^ 0x10ad);
        let mut load = tokio::spawn(load);
        let mut load_ended = None;
        loop {
            self.look()?;
            self.act()?;
            if load_ended.is_none() && load.is_finished() {
                let _ = (&mut load).await;
                load_ended = Some(self.recorder.now());
            }
            let settled = self.agenda.is_empty()
                && self.nodes.iter().all(|n| n.kill_at.is_none() && n.start_at.is_none());
            let over = self.recorder.now() > self.options.span + TAIL;
            if load_ended.is_some() && over && (settled || self.recorder.now() > self.options.span + 3 * TAIL)
            {
                break;
            }
            sleep(LOOK).await;
        }
        lag.abort();
        self.finish().await
    }

    fn config(&self, i: usize) -> Value {
        let node = &self.nodes[i];
        let settings = settings::settings(
            i,
            self.options.nodes,
            self.options.workers,
            node.most_attempts,
            node.cancelling,
        );
        let known = if self.starts.is_multiple_of(2) { &self.list } else { &self.first_list };
        json!({"name": format!("n{i:02}"), "listen": self.targets[i].address.to_string(),
            "discovery": node.agent.addresses[node.discovery].to_string(),
            "management": self.block.address(i, 9000 + self.starts).to_string(),
            "seed": format!("{:x}", self.options.seed.wrapping_mul(31).wrapping_add(u64::from(self.starts))),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"revision": known.revision, "complete": true, "members": known.members()},
            "settings": settings})
    }

    fn start_node(&mut self, i: usize) -> io::Result<()> {
        self.starts += 1;
        let config = self.config(i);
        let folder = self.folder.join(format!("n{i:02}"));
        let variables =
            [("LD_PRELOAD", self.library.as_path()), ("SOAK_CONTROL", self.nodes[i].control.path.as_path())];
        let process = Process::start_with(&self.options.binary, &folder, &config, &[], &variables)?;
        let management = process.management;
        let started = self.recorder.now();
        // What the agent has counts from a process's first moment on, if the agent can be asked.
        let list_from = (self.nodes[i].agent.mode() == AgentMode::Prompt).then_some(started);
        let life = {
            let mut history = self.recorder.history();
            history.lives.push(Life {
                node: i,
                started,
                ready: None,
                list_from,
                terminated: None,
                ended: None,
                killed: false,
                code: None,
            });
            history.lives.len() - 1
        };
        let (recorder, tell) = (self.recorder.clone(), self.report_ready.clone());
        tokio::spawn(async move {
            while !is_ready(management).await {
                sleep(LOOK).await;
            }
            let _ = tell.send(Ready { life, at: recorder.now() }); // nobody listens once the run is over
        });
        let node = &mut self.nodes[i];
        if let Some(old) = node.process.replace(process) {
            node.before.push(Predecessor { process: old, life: node.life, kill_at: None });
        }
        (node.life, node.start_at, node.kill_at) = (life, None, None);
        Ok(())
    }

    /// Looks at what the processes do by themselves.
    fn look(&mut self) -> io::Result<()> {
        let now = self.recorder.now();
        while let Ok(Ready { life, at }) = self.ready.try_recv() {
            let mut history = self.recorder.history();
            history.lives[life].ready = Some(at);
            let node = history.lives[life].node;
            drop(history);
            if self.nodes[node].life == life {
                self.targets[node].accepts.store(true, Ordering::Relaxed);
            }
            // The process before is told to end once the next one serves.
            for before in self.nodes[node].before.iter_mut().filter(|before| before.kill_at.is_none()) {
                before.kill_at = Some(now + KILL_AFTER);
                before.process.signal(Signal::TERM);
                self.recorder.history().lives[before.life].terminated = Some(now);
            }
        }
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            node.before.retain_mut(|before| {
                !is_over(&self.recorder, &mut before.process, before.life, before.kill_at, now)
            });
            let Some(process) = &mut node.process else {
                if node.start_at.is_some_and(|at| now >= at) {
                    self.start_node(i)?;
                }
                continue;
            };
            if is_over(&self.recorder, process, node.life, node.kill_at, now) {
                (node.process, node.kill_at) = (None, None);
                node.start_at = Some(now + RESTART_AFTER);
                self.targets[i].accepts.store(false, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn act(&mut self) -> io::Result<()> {
        let now = self.recorder.now();
        let agenda = std::mem::take(&mut self.agenda).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = agenda.partition(|(at, _)| *at <= now);
        self.agenda = later;
        for (_, due) in due {
            self.carry_out(due, now)?;
        }
        Ok(())
    }

    fn later(&mut self, at: Time, due: Due) {
        self.agenda.push((at, due));
    }

    fn carry_out(&mut self, due: Due, now: Time) -> io::Result<()> {
        match due {
            Due::Begin(planned) => self.begin(planned, now)?,
            Due::EndCalls { node, faults } => {
                faults.iter().try_for_each(|fault| self.nodes[node].control.set_rate(*fault, 0))?;
            }
            Due::EndClock(node) => self.nodes[node].control.set_clock_offset(0)?,
            Due::Continue { node, life } => self.go_on(node, life),
            Due::EndWorker(worker) => self.worker_mode(worker, WorkerMode::Normal),
            Due::EndDiscovery(node) => self.end_discovery(node, now),
            Due::Withdraw(worker) => self.withdraw(worker, now),
            Due::Remove(worker) => self.workers[worker].stand_in = None,
            Due::Reload { node, moves_discovery } => self.reload(node, moves_discovery, now)?,
            Due::KillSuccessor { node, life } => self.kill_successor(node, life),
            Due::CloseDoor(node) => self.targets[node].accepts.store(false, Ordering::Relaxed),
        }
        Ok(())
    }

    fn begin(&mut self, planned: Planned, now: Time) -> io::Result<()> {
        let end = now + planned.span;
        match planned.trouble {
            Trouble::Calls { node, faults } => {
                for (fault, rate) in &faults {
                    self.injected.insert(*fault);
                    self.nodes[node].control.set_rate(*fault, *rate)?;
                }
                let faults = faults.into_iter().map(|(fault, _)| fault).collect();
                self.later(end, Due::EndCalls { node, faults });
            }
            Trouble::ClockStep { node, milliseconds } => {
                self.nodes[node].control.set_clock_offset(milliseconds * 1_000_000)?;
                self.later(end, Due::EndClock(node));
            }
            Trouble::Pause { node, span } => {
                self.signal(node, Signal::STOP);
                let life = self.nodes[node].life;
                self.later(now + span, Due::Continue { node, life });
            }
            Trouble::Restart { node } if self.is_steady(node) => {
                self.signal(node, Signal::TERM);
                self.nodes[node].kill_at = Some(now + KILL_AFTER);
                let life = self.nodes[node].life;
                self.recorder.history().lives[life].terminated = Some(now);
                self.later(now + TAKEN_OUT, Due::CloseDoor(node));
            }
            Trouble::Kill { node } if self.is_steady(node) => self.nodes[node].kill_at = Some(now),
            Trouble::Upgrade { node } if self.is_steady(node) => self.start_node(node)?,
            Trouble::DrainNode { node } => {
                if let Some(management) = self.nodes[node].process.as_ref().map(|p| p.management) {
                    tokio::spawn(drain_node(management, planned.span));
                }
            }
            Trouble::FailedUpgrade { node, after } if self.is_steady(node) => {
                self.start_node(node)?;
                let life = self.nodes[node].life;
                self.later(now + after, Due::KillSuccessor { node, life });
            }
            Trouble::Reload { node, moves_discovery, times } => {
                for n in 0..times {
                    let at = now + Duration::from_millis(40) * n as u32;
                    self.later(at, Due::Reload { node, moves_discovery });
                }
            }
            Trouble::Replace { drains } => self.replace(drains, now)?,
            Trouble::Crash => self.crash(now)?,
            Trouble::Worker { worker, mode } => {
                let there: Vec<usize> =
                    (0..self.workers.len()).filter(|w| self.workers[*w].in_service).collect();
                let worker = there[worker % there.len()];
                self.worker_mode(worker, mode);
                self.later(end, Due::EndWorker(worker));
            }
            Trouble::Discovery { node, mode } => {
                self.which(node).for_each(|node| self.nodes[node].agent.set_mode(mode));
                self.later(end, Due::EndDiscovery(node));
            }
            // The node is on its way to its end, or has just started.
            Trouble::Restart { .. }
            | Trouble::Kill { .. }
            | Trouble::Upgrade { .. }
            | Trouble::FailedUpgrade { .. } => {}
        }
        Ok(())
    }

    /// Whether a node has one process, which is ready and was not told to end.
    fn is_steady(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        let ready = self.recorder.history().lives.get(node.life).is_some_and(|life| life.ready.is_some());
        ready && node.process.is_some() && node.before.is_empty() && node.kill_at.is_none()
    }

    /// Kills a process that takes over; the one before serves on, unless it was told to end by then.
    fn kill_successor(&mut self, i: usize, life: usize) {
        let node = &mut self.nodes[i];
        let serves_on = node.before.last().is_some_and(|before| before.kill_at.is_none());
        if node.life != life || !serves_on {
            return;
        }
        if let (Some(mut successor), Some(before)) = (node.process.take(), node.before.pop()) {
            kill(&self.recorder, &mut successor, life);
            (node.process, node.life) = (Some(before.process), before.life);
        }
    }

    /// Lets a stopped process go on, also one that was taken over from meanwhile.
    fn go_on(&mut self, i: usize, life: usize) {
        let node = &mut self.nodes[i];
        let current = node.process.as_mut().filter(|_| node.life == life);
        let before =
            node.before.iter_mut().find(|before| before.life == life).map(|before| &mut before.process);
        if let Some(process) = current.or(before) {
            process.signal(Signal::CONT);
        }
    }

    fn signal(&mut self, node: usize, signal: Signal) {
        if let Some(process) = &mut self.nodes[node].process {
            process.signal(signal);
        }
    }

    fn worker_mode(&mut self, worker: usize, mode: WorkerMode) {
        if let Some(stand_in) = &self.workers[worker].stand_in {
            stand_in.set_mode(mode);
        }
    }

    fn reload(&mut self, i: usize, moves_discovery: bool, now: Time) -> io::Result<()> {
        let node = &mut self.nodes[i];
        if moves_discovery {
            node.discovery = 1 - node.discovery;
            node.reloaded = Some(now);
        } else {
            node.most_attempts = if node.most_attempts == 3 { 2 } else { 3 };
            node.cancelling = !node.cancelling;
        }
        let mut config = self.config(i);
        let Some(process) = &mut self.nodes[i].process else { return Ok(()) };
        config["management"] = process.management.to_string().into();
        process.reload(&config)
    }

    fn end_discovery(&mut self, node: Option<usize>, now: Time) {
        for i in self.which(node) {
            let (pending, list) = (std::mem::take(&mut self.nodes[i].pending), Arc::new(self.list.clone()));
            let was_down = self.nodes[i].agent.mode() == AgentMode::Down;
            if !was_down {
                self.nodes[i].unsure_until = now + TOLD_AT_LATEST;
            }
            self.nodes[i].agent.feed(list);
            self.nodes[i].agent.set_mode(AgentMode::Prompt);
            // What it gets at the return counts at once; behind failed calls, at the latest some seconds later.
            let told = if was_down { now } else { now + TOLD_AT_LATEST };
            pending.into_iter().for_each(|worker| self.told(i, worker, told));
            let mut history = self.recorder.history();
            let lives = history.lives.iter_mut().filter(|life| life.node == i && life.list_from.is_none());
            lives.for_each(|life| life.list_from = Some(told));
        }
    }

    /// One node, or all.
    fn which(&self, node: Option<usize>) -> Range<usize> {
        node.map_or(0..self.nodes.len(), |node| node..node + 1)
    }

    fn told(&self, node: usize, worker: usize, at: Time) {
        let reloaded = self.nodes[node].reloaded.map_or(Time::ZERO, |reloaded| reloaded + TOLD_AFTER_RELOAD);
        let told = at.max(reloaded).max(self.nodes[node].unsure_until);
        self.recorder.history().withdrawals.push(Withdrawal { node, worker, told });
    }

    /// Publishes the list; nodes whose discovery is in trouble hear of it later.
    fn publish(&mut self, withdrawn: Option<usize>, now: Time) {
        let list = Arc::new(self.list.clone());
        for i in 0..self.nodes.len() {
            let mode = self.nodes[i].agent.mode();
            if mode != AgentMode::Down {
                self.nodes[i].agent.feed(list.clone());
            }
            let Some(worker) = withdrawn else { continue };
            match mode {
                AgentMode::Prompt => self.told(i, worker, now),
                _ => self.nodes[i].pending.push(worker),
            }
        }
    }

    fn add_worker(&mut self, cold: bool) -> io::Result<()> {
        let number = self.workers.len();
        let (host, port) = (200 + number % 50, 8100 + (number / 50) as u16);
        let at = self.block.address(host, port);
        let seed = self.options.seed.wrapping_add(number as u64);
        // A third of them have connections that may come up late.
        let stand_in = SoakWorker::start(number, at, &self.recorder, cold, number % 3 == 2, seed)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since_ms = if cold { unix.as_millis() as u64 } else { 0 };
        let id = format!("w{number:03}");
        self.list.set(&id, wire::line(&id, at, "in_service", since_ms), false);
        self.workers.push(Worker { id, number, host, stand_in: Some(stand_in), since_ms, in_service: true });
        Ok(())
    }

    fn phase(&mut self, worker: usize, phase: &str) {
        let Worker { id, number, host, since_ms, .. } = &self.workers[worker];
        let at: SocketAddr = self.block.address(*host, 8100 + (number / 50) as u16);
        let line = wire::line(id, at, phase, *since_ms);
        self.list.set(&id.clone(), line, phase == "terminated");
    }

    fn oldest(&self) -> Option<usize> {
        let there = self.workers.iter().filter(|worker| worker.in_service);
        let oldest = there.map(|worker| worker.number).next()?;
        (self.workers.iter().filter(|worker| worker.in_service).count() > 3).then_some(oldest)
    }

    fn replace(&mut self, drains: Duration, now: Time) -> io::Result<()> {
        let Some(worker) = self.oldest() else { return Ok(()) };
        self.workers[worker].in_service = false;
        self.phase(worker, "terminating");
        self.publish(Some(worker), now);
        self.later(now + drains, Due::Withdraw(worker));
        // It goes on with what it has for as long as that may take.
        self.later(now + drains + KILL_AFTER, Due::Remove(worker));
        self.add_worker(true)?;
        self.publish(None, now);
        Ok(())
    }

    fn crash(&mut self, now: Time) -> io::Result<()> {
        let Some(worker) = self.oldest() else { return Ok(()) };
        (self.workers[worker].in_service, self.workers[worker].stand_in) = (false, None);
        self.phase(worker, "terminated");
        self.publish(Some(worker), now);
        self.add_worker(true)?;
        self.publish(None, now);
        Ok(())
    }

    fn withdraw(&mut self, worker: usize, now: Time) {
        self.phase(worker, "terminated");
        self.publish(None, now);
    }

    async fn finish(mut self) -> io::Result<Report> {
        let mut reported = Vec::new();
        for i in 0..self.nodes.len() {
            if let Some(process) = &mut self.nodes[i].process {
                process.signal(Signal::USR1);
            }
        }
        sleep(Duration::from_millis(300)).await;
        for i in 0..self.nodes.len() {
            reported.extend(reported_by(&self.folder.join(format!("n{i:02}")), i)?);
        }
        let injected = self.injected.iter().map(|fault| {
            let counts = self.nodes.iter().map(|node| node.control.injected(*fault));
            Ok((*fault, counts.sum::<io::Result<u64>>()?))
        });
        let injected = injected.collect::<io::Result<_>>()?;
        let history = self.recorder.history().clone();
        let limits = Limits { repeat_window: REPEAT_WINDOW, ..Limits::default() };
        let mut violations = judge(&history, &limits);
        violations.extend(reported);
        let mut answers = BTreeMap::new();
        for request in &history.requests {
            if let super::history::RequestEnd::Answered { status, .. } = request.end {
                *answers.entry(status).or_default() += 1;
            }
        }
        self.nodes.clear();
        if violations.is_empty() {
            std::fs::remove_dir_all(&self.folder)?;
        }
        Ok(Report {
            violations,
            requests: history.requests.len(),
            attempts: history.attempts.len(),
            answers,
            injected,
            own_lag: history.own_lag,
            folder: self.folder.clone(),
        })
    }
}

/// Errors and violations that a node's processes logged.
fn reported_by(folder: &std::path::Path, node: usize) -> io::Result<Vec<Violation>> {
    let mut reported = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let is_log = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("log-"));
        if !is_log {
            continue;
        }
        let text = std::fs::read_to_string(&path)?;
        let bad = |line: &&str| line.contains("\"ERROR\"") || line.contains("panicked");
        reported.extend(
            text.lines().filter(bad).map(|line| Violation::Reported { node, line: line.to_string() }),
        );
    }
    Ok(reported)
}

/// Whether a process has ended by itself, or its time is over and it was killed; records its end.
fn is_over(
    recorder: &Recorder,
    process: &mut Process,
    life: usize,
    kill_at: Option<Time>,
    now: Time,
) -> bool {
    if let Some(status) = process.ended() {
        let mut history = recorder.history();
        (history.lives[life].ended, history.lives[life].code) = (Some(now), status.code());
        return true;
    }
    let is_due = kill_at.is_some_and(|at| now >= at);
    if is_due {
        kill(recorder, process, life);
    }
    is_due
}

fn kill(recorder: &Recorder, process: &mut Process, life: usize) {
    {
        let mut history = recorder.history();
        (history.lives[life].ended, history.lives[life].killed) = (Some(recorder.now()), true);
    }
    process.kill();
}

/// Sends a node's clients away for this time; a process that has ended meanwhile hears nothing of it.
async fn drain_node(management: SocketAddr, span: Duration) {
    crate::process::call(management, "POST", "/healthcheck/fail").await;
    sleep(span).await;
    crate::process::call(management, "POST", "/healthcheck/ok").await;
}

/// Whether the process at this management address serves.
async fn is_ready(management: SocketAddr) -> bool {
    let call = crate::process::call(management, "GET", "/healthcheck");
    timeout(Duration::from_millis(500), call).await.ok().flatten().is_some_and(|(status, _)| status == 200)
}

/// Notes by how much the stand-ins' own timers are late.
async fn watch_lag(recorder: Recorder) {
    let step = Duration::from_millis(10);
    loop {
        let due = Instant::now() + step;
        sleep_until(due).await;
        let late = due.elapsed().saturating_sub(Duration::from_millis(2));
        let mut history = recorder.history();
        history.own_lag = history.own_lag.max(late);
    }
}
