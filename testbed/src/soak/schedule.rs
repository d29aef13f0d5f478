//! Fault schedule of a run, generated from its seed. Faults overlap: several begin each second, and most last
//! for seconds.

use super::discovery::AgentMode;
use super::shim::Fault;
use super::worker::WorkerMode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// Parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleSpec {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of workers at the start.
    pub workers: usize,
    /// Duration of the load.
    pub load_duration: Duration,
    /// Time from the start without faults.
    pub fault_free: Duration,
    /// Number of faults that begin per second.
    pub faults_per_second: f64,
}

/// A fault, or an action of operators.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Some of a node's system calls fail.
    Calls {
        /// Node.
        node: usize,
        /// Faults, with their rates in calls per million.
        faults: Vec<(Fault, u64)>,
    },
    /// A node's wall clock is stepped.
    ClockStep {
        /// Node.
        node: usize,
        /// Step in milliseconds.
        milliseconds: i64,
    },
    /// A node is stopped with SIGSTOP for a short time.
    Pause {
        /// Node.
        node: usize,
        /// Duration.
        span: Duration,
    },
    /// A node is sent SIGTERM, killed when its time is over, and restarted.
    Restart {
        /// Node.
        node: usize,
    },
    /// A node is killed and restarted.
    Kill {
        /// Node.
        node: usize,
    },
    /// A node's successor process takes over while the node runs.
    Upgrade {
        /// Node.
        node: usize,
    },
    /// A node's successor process is killed while it takes over.
    FailedUpgrade {
        /// Node.
        node: usize,
        /// Time from its start to the kill.
        after: Duration,
    },
    /// Operators fail a node's health check, and restore it.
    DrainNode {
        /// Node.
        node: usize,
    },
    /// A node reloads its configuration, several times in a row.
    Reload {
        /// Node.
        node: usize,
        /// Whether the address of discovery changes, instead of the settings.
        moves_discovery: bool,
        /// Number of reloads.
        times: usize,
    },
    /// A worker drains and is removed, and a cold one is added.
    Replace {
        /// Time for which it drains.
        drain_time: Duration,
    },
    /// A worker is removed without draining, and a cold one is added.
    Crash,
    /// A worker misbehaves.
    Worker {
        /// Index, modulo the number of workers in service.
        worker: usize,
        /// Behavior.
        mode: WorkerMode,
    },
    /// A node's discovery misbehaves.
    Discovery {
        /// Node; `None` for all.
        node: Option<usize>,
        /// Behavior.
        mode: AgentMode,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time at which it begins.
    pub at: Duration,
    /// Duration, if it ends by itself.
    pub span: Duration,
    /// Kind.
    pub kind: FaultKind,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} for {:.1?}: {:?}", self.at.as_secs_f64(), self.span, self.kind)
    }
}

/// Generates the faults of a seed, ordered by time.
pub fn draw(spec: &ScheduleSpec, seed: u64) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let fault_time = spec.load_duration.saturating_sub(spec.fault_free);
    let count = (fault_time.as_secs_f64() * spec.faults_per_second).round() as usize;
    let mut all: Vec<PlannedFault> = (0..count).map(|_| draw_planned(spec, &mut rng)).collect();
    all.sort_by_key(|planned| planned.at);
    all
}

fn draw_planned(spec: &ScheduleSpec, rng: &mut SmallRng) -> PlannedFault {
    let ms = Duration::from_millis;
    let (first, last) = (spec.fault_free.as_millis() as u64, spec.load_duration.as_millis() as u64);
    let at = ms(rng.random_range(first..last.max(first + 1)));
    let span = ms(rng.random_range(500..6_000));
    PlannedFault { at, span, kind: draw_kind(spec, rng) }
}

fn draw_kind(spec: &ScheduleSpec, rng: &mut SmallRng) -> FaultKind {
    let node = rng.random_range(0..spec.nodes);
    let ms = Duration::from_millis;
    match rng.random_range(0..100) {
        0..30 => FaultKind::Calls { node, faults: draw_call_faults(rng) },
        30..38 => FaultKind::ClockStep { node, milliseconds: draw_clock_step(rng) },
        38..43 => FaultKind::Pause { node, span: ms(rng.random_range(20..150)) },
        43..50 => FaultKind::Restart { node },
        50..53 => FaultKind::Kill { node },
        53..56 => FaultKind::Upgrade { node },
        56..57 => FaultKind::DrainNode { node },
        57..59 => FaultKind::FailedUpgrade { node, after: ms(rng.random_range(1..120)) },
        59..66 => {
            FaultKind::Reload { node, moves_discovery: rng.random_bool(0.5), times: rng.random_range(1..4) }
        }
        66..72 => FaultKind::Replace { drain_time: ms(rng.random_range(300..3_000)) },
        72..74 => FaultKind::Crash,
        74..88 => {
            FaultKind::Worker { worker: rng.random_range(0..spec.workers), mode: draw_worker_mode(rng) }
        }
        _ => FaultKind::Discovery { node: rng.random_bool(0.8).then_some(node), mode: draw_agent_mode(rng) },
    }
}

/// Draws one to four kinds of system-call faults, with rates between a tenth of their maximum and the
/// maximum.
fn draw_call_faults(rng: &mut SmallRng) -> Vec<(Fault, u64)> {
    let socket_faults = Fault::ALL.iter().filter(|fault| **fault < Fault::WriteEnospc);
    let all: Vec<Fault> = socket_faults.copied().collect();
    let count = rng.random_range(1..5);
    (0..count)
        .map(|_| {
            let fault = all[rng.random_range(0..all.len())];
            let max_rate = match fault {
                // These stall the process or break a connection, so they affect at most 3 in 1,000 calls.
                Fault::StallBeforeSend | Fault::StallAfterRecv => 3_000,
                Fault::RecvEtimedout | Fault::RecvEhostunreach => 3_000,
                Fault::StallBeforeConnect => 30_000,
                _ => 200_000,
            };
            (fault, rng.random_range(max_rate / 10..=max_rate))
        })
        .collect()
}

fn draw_clock_step(rng: &mut SmallRng) -> i64 {
    let span = if rng.random_bool(0.5) { 3_600_000 } else { rng.random_range(500..30_000) };
    if rng.random_bool(0.5) {
        span
    } else {
        -span
    }
}

fn draw_worker_mode(rng: &mut SmallRng) -> WorkerMode {
    let modes = [
        WorkerMode::Silent,
        WorkerMode::Resetting,
        WorkerMode::Malformed,
        WorkerMode::Rejecting,
        WorkerMode::ClosingIdle,
        WorkerMode::NotAccepting,
    ];
    modes[rng.random_range(0..modes.len())]
}

fn draw_agent_mode(rng: &mut SmallRng) -> AgentMode {
    let late = Duration::from_millis(rng.random_range(300..3_000));
    let modes = [
        AgentMode::Down,
        AgentMode::Silent,
        AgentMode::Resetting,
        AgentMode::Rejecting,
        AgentMode::Delayed(late),
    ];
    modes[rng.random_range(0..modes.len())]
}
