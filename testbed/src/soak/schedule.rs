//! Schedule of the faults of a run, drawn from its seed. Faults overlap: each second begins some, and most last for seconds.

use super::discovery::AgentMode;
use super::shim::Fault;
use super::worker::WorkerMode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// The size of what a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSpec {
    /// Nodes.
    pub nodes: usize,
    /// Workers at the start.
    pub workers: usize,
    /// Duration of the load.
    pub load_duration: Duration,
    /// Time from the start on without faults.
    pub fault_free: Duration,
    /// Faults that begin in a second.
    pub faults_per_second: f64,
}

/// A fault, or something that operators do.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Some of a node's system calls fail.
    Calls {
        /// The node.
        node: usize,
        /// The faults, and in how many of a million calls.
        faults: Vec<(Fault, u64)>,
    },
    /// A node's wall clock is stepped.
    ClockStep {
        /// The node.
        node: usize,
        /// By so many milliseconds.
        milliseconds: i64,
    },
    /// A node is stopped for some moments.
    Pause {
        /// The node.
        node: usize,
        /// How long.
        span: Duration,
    },
    /// A node is told to end, killed when its time is over, and started anew.
    Restart {
        /// The node.
        node: usize,
    },
    /// A node is killed and started anew.
    Kill {
        /// The node.
        node: usize,
    },
    /// A node's next process takes over while it runs.
    Upgrade {
        /// The node.
        node: usize,
    },
    /// A node's next process is killed while it takes over.
    FailedUpgrade {
        /// The node.
        node: usize,
        /// After its start.
        after: Duration,
    },
    /// Operators send a node's clients away, and take them back.
    DrainNode {
        /// The node.
        node: usize,
    },
    /// A node reads new settings, so many times in a row.
    Reload {
        /// The node.
        node: usize,
        /// Whether discovery moves.
        moves_discovery: bool,
        /// How often.
        times: usize,
    },
    /// A worker drains, goes, and another one comes cold.
    Replace {
        /// How long it drains.
        drains: Duration,
    },
    /// A worker goes without a word, and comes back cold.
    Crash,
    /// A worker misbehaves.
    Worker {
        /// Which, counted round those that are there.
        worker: usize,
        /// How.
        mode: WorkerMode,
    },
    /// A node's discovery misbehaves.
    Discovery {
        /// The node; `None` for all.
        node: Option<usize>,
        /// How.
        mode: AgentMode,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// For how long, where it ends by itself.
    pub span: Duration,
    /// What happens.
    pub kind: FaultKind,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} for {:.1?}: {:?}", self.at.as_secs_f64(), self.span, self.kind)
    }
}

/// Draws the faults of a seed, in order of time.
pub fn draw(spec: &ScheduleSpec, seed: u64) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let disturbed = spec.load_duration.saturating_sub(spec.fault_free);
    let count = (disturbed.as_secs_f64() * spec.faults_per_second).round() as usize;
    let mut all: Vec<PlannedFault> = (0..count).map(|_| draw_planned(spec, &mut random)).collect();
    all.sort_by_key(|planned| planned.at);
    all
}

fn draw_planned(spec: &ScheduleSpec, random: &mut SmallRng) -> PlannedFault {
    let ms = Duration::from_millis;
    let (first, last) = (spec.fault_free.as_millis() as u64, spec.load_duration.as_millis() as u64);
    let at = ms(random.random_range(first..last.max(first + 1)));
    let span = ms(random.random_range(500..6_000));
    PlannedFault { at, span, kind: draw_kind(spec, random) }
}

fn draw_kind(spec: &ScheduleSpec, random: &mut SmallRng) -> FaultKind {
    let node = random.random_range(0..spec.nodes);
    let ms = Duration::from_millis;
    match random.random_range(0..100) {
        0..30 => FaultKind::Calls { node, faults: draw_call_faults(random) },
        30..38 => FaultKind::ClockStep { node, milliseconds: draw_clock_step(random) },
        38..43 => FaultKind::Pause { node, span: ms(random.random_range(20..150)) },
        43..50 => FaultKind::Restart { node },
        50..53 => FaultKind::Kill { node },
        53..56 => FaultKind::Upgrade { node },
        56..57 => FaultKind::DrainNode { node },
        57..59 => FaultKind::FailedUpgrade { node, after: ms(random.random_range(1..120)) },
        59..66 => FaultKind::Reload {
            node,
            moves_discovery: random.random_bool(0.5),
            times: random.random_range(1..4),
        },
        66..72 => FaultKind::Replace { drains: ms(random.random_range(300..3_000)) },
        72..74 => FaultKind::Crash,
        74..88 => {
            FaultKind::Worker { worker: random.random_range(0..spec.workers), mode: draw_worker_mode(random) }
        }
        _ => FaultKind::Discovery {
            node: random.random_bool(0.8).then_some(node),
            mode: draw_agent_mode(random),
        },
    }
}

/// One to four kinds of failing calls at once, seldom or often.
fn draw_call_faults(random: &mut SmallRng) -> Vec<(Fault, u64)> {
    let on_sockets = Fault::ALL.iter().filter(|fault| **fault < Fault::WriteEnospc);
    let all: Vec<Fault> = on_sockets.copied().collect();
    let kinds = random.random_range(1..5);
    (0..kinds)
        .map(|_| {
            let fault = all[random.random_range(0..all.len())];
            let most = match fault {
                // These hold up or break what they hit: a few in a thousand calls.
                Fault::StallBeforeSend | Fault::StallAfterRecv => 3_000,
                Fault::RecvEtimedout | Fault::RecvEhostunreach => 3_000,
                Fault::StallBeforeConnect => 30_000,
                _ => 200_000,
            };
            (fault, random.random_range(most / 10..=most))
        })
        .collect()
}

fn draw_clock_step(random: &mut SmallRng) -> i64 {
    let span = if random.random_bool(0.5) { 3_600_000 } else { random.random_range(500..30_000) };
    if random.random_bool(0.5) {
        span
    } else {
        -span
    }
}

fn draw_worker_mode(random: &mut SmallRng) -> WorkerMode {
    let modes = [
        WorkerMode::Silent,
        WorkerMode::Resetting,
        WorkerMode::Malformed,
        WorkerMode::Rejecting,
        WorkerMode::ClosingIdle,
        WorkerMode::NotAccepting,
    ];
    modes[random.random_range(0..modes.len())]
}

fn draw_agent_mode(random: &mut SmallRng) -> AgentMode {
    let late = Duration::from_millis(random.random_range(300..3_000));
    let modes = [
        AgentMode::Down,
        AgentMode::Silent,
        AgentMode::Resetting,
        AgentMode::Rejecting,
        AgentMode::Delayed(late),
    ];
    modes[random.random_range(0..modes.len())]
}
