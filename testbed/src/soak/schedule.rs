//! Fault schedule of a run, generated from its seed. Faults overlap: several begin each second, and most last
//! for seconds.

use super::discovery::AgentMode;
use super::flood::Flood;
use super::shim::Fault;
use super::worker::WorkerMode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// Longest stop of a process during a handover: the protocol allows that a node is held up for this time.
const HANDOVER_STALL_MAX: Duration = Duration::from_millis(150);
/// Highest rate of stalled calls on a handover's link, in calls per million. Each process is stalled once at most, so a
/// high rate stalls the first calls and a low one any.
const LINK_STALL_RATE_MAX: u64 = 300_000;

/// XORed with the seed of the faults to get the seed of the changes of settings.
const SETTINGS_SEED: u64 = 0x5e77;

/// XORed with the seed of the faults to get the seed of the endless answers.
const ENDLESS_ANSWERS_SEED: u64 = 0xe4d1;
/// Share of the workers' faults beside floods that are endless answers.
const ENDLESS_ANSWERS_SHARE: f64 = 0.3;

/// Share of the handovers whose successor is killed.
const KILLED_SUCCESSOR_SHARE: f64 = 0.2;
/// Faults of system calls that hold a process up.
const STALLS: [Fault; 3] = [Fault::StallBeforeSend, Fault::StallBeforeConnect, Fault::StallAfterRecv];

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
    /// Which faults are drawn.
    pub profile: Profile,
    /// Largest number of clients of a flood.
    pub flood_clients_max: usize,
}

/// Mix of the faults of a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Profile {
    /// All kinds of faults; process handovers are rare and undisturbed.
    #[default]
    Mixed,
    /// Mostly process handovers, each disturbed by signals and stalls.
    Handovers,
    /// The same, and half of them change a class's effect while requests of it run.
    HandoversWithSettings,
    /// Mostly floods, and messages in small pieces from every side, at nodes with limits that are drawn.
    Floods,
}

impl Profile {
    /// Whether clients may fill the descriptors of a node.
    pub fn has_floods(self) -> bool {
        self == Profile::Floods
    }
}

/// Limits of a node's processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

/// Ranges of the limits that the platform gives.
const MEMORY_MB_RANGE: std::ops::RangeInclusive<u64> = 32..=192;
const SOCKETS_RANGE: std::ops::RangeInclusive<usize> = 256..=1024;
/// Limits in profiles that do not draw them.
const FIXED_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 192, sockets: 512 };
/// XORed with the seed of the faults to get the seed of the limits and the crowd.
const LIMITS_SEED: u64 = 0x11317;
/// Share of the runs with floods that have a crowd, too, and its clients for each node.
const CROWD_SHARE: f64 = 0.33;
const CROWD_CLIENTS: usize = 150;

/// Limits of the processes of a run, and additional idle clients of each node.
pub fn draw_limits(profile: Profile, seed: u64) -> (ProcessLimits, usize) {
    if !profile.has_floods() {
        return (FIXED_LIMITS, 0);
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMITS_SEED);
    let memory_mb = rng.random_range(MEMORY_MB_RANGE);
    let sockets = rng.random_range(SOCKETS_RANGE);
    let crowd = if rng.random_bool(CROWD_SHARE) { CROWD_CLIENTS } else { 0 };
    (ProcessLimits { memory_mb, sockets }, crowd)
}

/// One of the two processes of a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverSide {
    /// The process that hands over.
    Predecessor,
    /// The process that takes over.
    Successor,
}

/// A process of a handover is stopped with SIGSTOP for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverStall {
    /// Process.
    pub side: HandoverSide,
    /// Time from the successor's start to the stop.
    pub after: Duration,
    /// Duration.
    pub span: Duration,
}

/// Signals that a handover's processes get besides the first SIGTERM to the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// None.
    TerminateOnce,
    /// A second SIGTERM to the predecessor.
    TerminateTwice {
        /// Time after the first.
        after: Duration,
    },
    /// SIGHUP to the predecessor right before its SIGTERM.
    ReloadBeforeTerminate,
    /// The successor is replaced by a second successor.
    UpgradeAgain {
        /// Time from the first successor's start to the second one's.
        after: Duration,
    },
}

/// A process handover with disturbances. The predecessor is killed when the time that the protocol grants after
/// SIGTERM is over.
#[derive(Clone, Debug, PartialEq)]
pub struct DisturbedHandover {
    /// Node.
    pub node: usize,
    /// Time from the successor's start to SIGTERM to the predecessor, whether the successor is ready or not.
    pub terminate_after: Duration,
    /// Further signals.
    pub signals: SignalSeries,
    /// Processes that are stopped meanwhile.
    pub stalls: Vec<HandoverStall>,
    /// Rate at which calls on the handover's link stall, in calls per million.
    pub link_stall_rate: u64,
    /// Time from the successor's start to its kill, if it is killed.
    pub kill_successor_after: Option<Duration>,
    /// Change of the settings between the two processes.
    pub settings_change: SettingsChange,
}

/// A change of a class's effect before a handover: the successor has other settings than open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsChange {
    /// None.
    None,
    /// Only the successor reads the new configuration.
    InFile,
    /// The predecessor reloads the new configuration, too.
    Reloaded,
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
    /// A node's successor process takes over while signals and stalls disturb both processes.
    DisturbedHandover(DisturbedHandover),
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
    /// Clients flood a node.
    Flood {
        /// Node.
        node: usize,
        /// Kind.
        flood: Flood,
        /// Number of clients, if the kind has many.
        clients: usize,
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
    if spec.profile == Profile::HandoversWithSettings {
        draw_settings_changes(&mut all, seed);
    }
    if spec.profile.has_floods() {
        draw_endless_answers(&mut all, seed);
    }
    all
}

/// Turns some faults of workers into endless answers. They are drawn from a sequence of their own, so that the other faults of a
/// seed stay as they are.
fn draw_endless_answers(all: &mut [PlannedFault], seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ ENDLESS_ANSWERS_SEED);
    for planned in all {
        if let FaultKind::Worker { mode, .. } = &mut planned.kind {
            if rng.random_bool(ENDLESS_ANSWERS_SHARE) {
                *mode = WorkerMode::EndlessAnswers;
            }
        }
    }
}

/// Draws the changes of settings from a sequence of their own, so that a seed has the same faults in both profiles.
fn draw_settings_changes(all: &mut [PlannedFault], seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ SETTINGS_SEED);
    for planned in all {
        let FaultKind::DisturbedHandover(handover) = &mut planned.kind else { continue };
        let drawn = match rng.random_range(0..4) {
            0 => SettingsChange::InFile,
            1 => SettingsChange::Reloaded,
            _ => SettingsChange::None,
        };
        // A successor that is killed may leave the predecessor serving with the settings before.
        if handover.kill_successor_after.is_none() {
            handover.settings_change = drawn;
        }
    }
}

fn draw_planned(spec: &ScheduleSpec, rng: &mut SmallRng) -> PlannedFault {
    let ms = Duration::from_millis;
    let (first, last) = (spec.fault_free.as_millis() as u64, spec.load_duration.as_millis() as u64);
    let at = ms(rng.random_range(first..last.max(first + 1)));
    let span = ms(rng.random_range(500..6_000));
    let kind = match spec.profile {
        Profile::Mixed => draw_kind(spec, rng),
        Profile::Handovers | Profile::HandoversWithSettings => draw_kind_with_handovers(spec, rng),
        Profile::Floods => draw_kind_with_floods(spec, rng),
    };
    PlannedFault { at, span, kind }
}

/// Draws mostly handovers, and what makes attempts time out, end or move meanwhile.
fn draw_kind_with_handovers(spec: &ScheduleSpec, rng: &mut SmallRng) -> FaultKind {
    let ms = Duration::from_millis;
    match rng.random_range(0..100) {
        0..45 => FaultKind::DisturbedHandover(draw_handover(spec, rng)),
        45..52 => FaultKind::FailedUpgrade {
            node: rng.random_range(0..spec.nodes),
            after: ms(rng.random_range(1..200)),
        },
        52..75 => {
            let mode = if rng.random_bool(0.5) { WorkerMode::Silent } else { draw_worker_mode(rng) };
            FaultKind::Worker { worker: rng.random_range(0..spec.workers), mode }
        }
        _ => draw_kind_without_stalls(spec, rng),
    }
}

/// Draws mostly floods and messages in small pieces, and handovers meanwhile.
fn draw_kind_with_floods(spec: &ScheduleSpec, rng: &mut SmallRng) -> FaultKind {
    let node = rng.random_range(0..spec.nodes);
    match rng.random_range(0..100) {
        0..45 => FaultKind::Flood {
            node,
            flood: Flood::ALL[rng.random_range(0..Flood::ALL.len())],
            clients: rng.random_range(spec.flood_clients_max / 8..spec.flood_clients_max),
        },
        45..60 => {
            FaultKind::Worker { worker: rng.random_range(0..spec.workers), mode: WorkerMode::SmallPieces }
        }
        60..66 => FaultKind::Discovery { node: Some(node), mode: AgentMode::SmallPieces },
        66..80 => FaultKind::DisturbedHandover(draw_handover(spec, rng)),
        80..85 => FaultKind::Kill { node },
        _ => draw_kind_without_stalls(spec, rng),
    }
}

/// Draws any fault that does not hold a process up: the handovers do that, for as long as the protocol allows.
fn draw_kind_without_stalls(spec: &ScheduleSpec, rng: &mut SmallRng) -> FaultKind {
    loop {
        match draw_kind(spec, rng) {
            FaultKind::Pause { .. } => {}
            FaultKind::Calls { node, mut faults } => {
                faults.retain(|(fault, _)| !STALLS.contains(fault));
                return FaultKind::Calls { node, faults };
            }
            kind => return kind,
        }
    }
}

fn draw_handover(spec: &ScheduleSpec, rng: &mut SmallRng) -> DisturbedHandover {
    let ms = Duration::from_millis;
    let signals = match rng.random_range(0..6) {
        0 => SignalSeries::TerminateTwice { after: ms(rng.random_range(1..800)) },
        1 => SignalSeries::ReloadBeforeTerminate,
        2 => SignalSeries::UpgradeAgain { after: ms(rng.random_range(5..400)) },
        _ => SignalSeries::TerminateOnce,
    };
    // Either process is held up for the time that the protocol allows, in one of two ways.
    let (stalls, link_stall_rate) = match rng.random_range(0..3) {
        0 => (Vec::new(), 0),
        1 => (draw_handover_stalls(rng), 0),
        _ => (Vec::new(), rng.random_range(LINK_STALL_RATE_MAX / 10..LINK_STALL_RATE_MAX)),
    };
    DisturbedHandover {
        node: rng.random_range(0..spec.nodes),
        terminate_after: ms(rng.random_range(20..80)),
        signals,
        stalls,
        link_stall_rate,
        kill_successor_after: rng.random_bool(KILLED_SUCCESSOR_SHARE).then(|| ms(rng.random_range(15..400))),
        settings_change: SettingsChange::None,
    }
}

/// Draws a stop of one or both processes of a handover.
fn draw_handover_stalls(rng: &mut SmallRng) -> Vec<HandoverStall> {
    let ms = Duration::from_millis;
    let sides: &[HandoverSide] = match rng.random_range(0..3) {
        0 => &[HandoverSide::Predecessor],
        1 => &[HandoverSide::Successor],
        _ => &[HandoverSide::Predecessor, HandoverSide::Successor],
    };
    let draw_stall = |side: &HandoverSide| HandoverStall {
        side: *side,
        after: ms(rng.random_range(1..80)),
        span: rng.random_range(ms(20)..HANDOVER_STALL_MAX),
    };
    sides.iter().map(draw_stall).collect()
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
