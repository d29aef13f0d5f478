//! Draws the troubles of a run from its seed. Troubles overlap: each second begins some, and most last for seconds.

use super::discovery::AgentMode;
use super::shim::Fault;
use super::worker::WorkerMode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// The size of what a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Nodes.
    pub nodes: usize,
    /// Workers at the start.
    pub workers: usize,
    /// For which there is load.
    pub span: Duration,
    /// From the start on, for which nothing goes wrong.
    pub quiet: Duration,
    /// Troubles that begin in a second.
    pub per_second: f64,
}

/// Something that goes wrong, or that operators do.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
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

/// A trouble and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// For how long, where it ends by itself.
    pub span: Duration,
    /// What.
    pub trouble: Trouble,
}

impl fmt::Display for Planned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} for {:.1?}: {:?}", self.at.as_secs_f64(), self.span, self.trouble)
    }
}

/// The troubles of a seed, in order.
pub fn draw(shape: &Shape, seed: u64) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed);
    let troubled = shape.span.saturating_sub(shape.quiet);
    let count = (troubled.as_secs_f64() * shape.per_second).round() as usize;
    let mut all: Vec<Planned> = (0..count).map(|_| planned(shape, &mut random)).collect();
    all.sort_by_key(|planned| planned.at);
    all
}

fn planned(shape: &Shape, random: &mut SmallRng) -> Planned {
    let ms = Duration::from_millis;
    let (first, last) = (shape.quiet.as_millis() as u64, shape.span.as_millis() as u64);
    let at = ms(random.random_range(first..last.max(first + 1)));
    let span = ms(random.random_range(500..6_000));
    Planned { at, span, trouble: trouble(shape, random) }
}

fn trouble(shape: &Shape, random: &mut SmallRng) -> Trouble {
    let node = random.random_range(0..shape.nodes);
    let ms = Duration::from_millis;
    match random.random_range(0..100) {
        0..30 => Trouble::Calls { node, faults: faults(random) },
        30..38 => Trouble::ClockStep { node, milliseconds: clock_step(random) },
        38..43 => Trouble::Pause { node, span: ms(random.random_range(20..150)) },
        43..50 => Trouble::Restart { node },
        50..53 => Trouble::Kill { node },
        53..56 => Trouble::Upgrade { node },
        56..57 => Trouble::DrainNode { node },
        57..59 => Trouble::FailedUpgrade { node, after: ms(random.random_range(1..120)) },
        59..66 => Trouble::Reload {
            node,
            moves_discovery: random.random_bool(0.5),
            times: random.random_range(1..4),
        },
        66..72 => Trouble::Replace { drains: ms(random.random_range(300..3_000)) },
        72..74 => Trouble::Crash,
        74..88 => {
            Trouble::Worker { worker: random.random_range(0..shape.workers), mode: worker_mode(random) }
        }
        _ => Trouble::Discovery { node: random.random_bool(0.8).then_some(node), mode: agent_mode(random) },
    }
}

/// One to four kinds of failing calls at once, seldom or often.
fn faults(random: &mut SmallRng) -> Vec<(Fault, u64)> {
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

fn clock_step(random: &mut SmallRng) -> i64 {
    let span = if random.random_bool(0.5) { 3_600_000 } else { random.random_range(500..30_000) };
    if random.random_bool(0.5) {
        span
    } else {
        -span
    }
}

fn worker_mode(random: &mut SmallRng) -> WorkerMode {
    let modes = [
        WorkerMode::Silent,
        WorkerMode::Resetting,
        WorkerMode::Spoiling,
        WorkerMode::Full,
        WorkerMode::ClosingIdle,
        WorkerMode::NotAccepting,
    ];
    modes[random.random_range(0..modes.len())]
}

fn agent_mode(random: &mut SmallRng) -> AgentMode {
    let late = Duration::from_millis(random.random_range(300..3_000));
    let modes =
        [AgentMode::Down, AgentMode::Forgetful, AgentMode::Resetting, AgentMode::Busy, AgentMode::Late(late)];
    modes[random.random_range(0..modes.len())]
}
