//! Execution of the schedule: begins each fault at its time, and ends those that last.

use super::super::discovery::AgentMode;
use super::super::history::Time;
use super::super::schedule::{FaultKind, PlannedFault};
use super::super::shim::Fault;
use super::super::worker::WorkerMode;
use super::processes::{drain_clients, KILL_AFTER};
use super::Driver;
use rustix::process::Signal;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after SIGTERM for which clients open new connections to a node.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Interval between the reloads of one fault.
const RELOAD_INTERVAL: Duration = Duration::from_millis(40);
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: i64 = 1_000_000;

/// Something that is due at a time. Processes are named by their place in the history.
pub(super) enum Action {
    Begin(PlannedFault),
    StopInjecting { node: usize, faults: Vec<Fault> },
    ResetClock(usize),
    Resume { node: usize, record: usize },
    RestoreWorker(usize),
    RestoreDiscovery(Option<usize>),
    TerminateWorker(usize),
    RemoveWorker(usize),
    Reload { node: usize, moves_discovery: bool },
    StopConnecting(usize),
    KillSuccessor { node: usize, record: usize },
}

impl Driver {
    /// Carries out all that is due by now.
    pub(super) fn carry_out_due_actions(&mut self) -> io::Result<()> {
        let now = self.recorder.now();
        let agenda = std::mem::take(&mut self.agenda).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = agenda.partition(|(at, _)| *at <= now);
        self.agenda = later;
        for (_, action) in due {
            self.carry_out(action, now)?;
        }
        Ok(())
    }

    /// Plans an action.
    pub(super) fn plan(&mut self, at: Time, action: Action) {
        self.agenda.push((at, action));
    }

    fn carry_out(&mut self, action: Action, now: Time) -> io::Result<()> {
        match action {
            Action::Begin(planned) => self.begin(planned, now)?,
            Action::StopInjecting { node, faults } => {
                faults.iter().try_for_each(|fault| self.nodes[node].control.set_rate(*fault, 0))?;
            }
            Action::ResetClock(node) => self.nodes[node].control.set_clock_offset(0)?,
            Action::Resume { node, record } => self.resume(node, record),
            Action::RestoreWorker(worker) => self.set_worker_mode(worker, WorkerMode::Normal),
            Action::RestoreDiscovery(node) => self.restore_discovery(node, now),
            Action::TerminateWorker(worker) => self.terminate_worker(worker, now),
            Action::RemoveWorker(worker) => self.workers[worker].stand_in = None,
            Action::Reload { node, moves_discovery } => self.reload(node, moves_discovery, now)?,
            Action::KillSuccessor { node, record } => self.kill_successor(node, record),
            Action::StopConnecting(node) => self.targets[node].accepts.store(false, Ordering::Relaxed),
        }
        Ok(())
    }

    /// Begins a fault. One that ends or replaces a process is left out where the node is on its way to its end, or has
    /// just started.
    fn begin(&mut self, planned: PlannedFault, now: Time) -> io::Result<()> {
        let end = now + planned.span;
        match planned.kind {
            FaultKind::Calls { node, faults } => self.inject(node, faults, end)?,
            FaultKind::ClockStep { node, milliseconds } => self.step_clock(node, milliseconds, end)?,
            FaultKind::Pause { node, span } => self.pause(node, now + span),
            FaultKind::Restart { node } if self.is_steady(node) => {
                self.terminate(node, now);
                self.plan(now + CONNECTS_AFTER_SIGTERM, Action::StopConnecting(node));
            }
            FaultKind::Kill { node } if self.is_steady(node) => self.nodes[node].kill_at = Some(now),
            FaultKind::Upgrade { node } if self.is_steady(node) => self.start_node(node)?,
            FaultKind::FailedUpgrade { node, after } if self.is_steady(node) => {
                self.start_node(node)?;
                let record = self.nodes[node].record;
                self.plan(now + after, Action::KillSuccessor { node, record });
            }
            FaultKind::Restart { .. }
            | FaultKind::Kill { .. }
            | FaultKind::Upgrade { .. }
            | FaultKind::FailedUpgrade { .. } => {}
            FaultKind::DrainNode { node } => self.drain_node(node, planned.span),
            FaultKind::Reload { node, moves_discovery, times } => {
                for n in 0..times {
                    let at = now + RELOAD_INTERVAL * n as u32;
                    self.plan(at, Action::Reload { node, moves_discovery });
                }
            }
            FaultKind::Replace { drain_time } => self.replace_worker(drain_time, now)?,
            FaultKind::Crash => self.crash_worker(now)?,
            FaultKind::Worker { worker, mode } => self.disturb_worker(worker, mode, end),
            FaultKind::Discovery { node, mode } => self.disturb_discovery(node, mode, end),
        }
        Ok(())
    }

    fn inject(&mut self, node: usize, faults: Vec<(Fault, u64)>, end: Time) -> io::Result<()> {
        for (fault, per_million) in &faults {
            self.injected.insert(*fault);
            self.nodes[node].control.set_rate(*fault, *per_million)?;
        }
        let faults = faults.into_iter().map(|(fault, _)| fault).collect();
        self.plan(end, Action::StopInjecting { node, faults });
        Ok(())
    }

    fn step_clock(&mut self, node: usize, milliseconds: i64, end: Time) -> io::Result<()> {
        self.nodes[node].control.set_clock_offset(milliseconds * NANOS_PER_MILLI)?;
        self.plan(end, Action::ResetClock(node));
        Ok(())
    }

    fn pause(&mut self, node: usize, end: Time) {
        self.signal(node, Signal::STOP);
        let record = self.nodes[node].record;
        self.plan(end, Action::Resume { node, record });
    }

    fn drain_node(&self, node: usize, span: Duration) {
        if let Some(process) = &self.nodes[node].process {
            tokio::spawn(drain_clients(process.management, span));
        }
    }

    /// `choice` counts round the workers that are in service.
    fn disturb_worker(&mut self, choice: usize, mode: WorkerMode, end: Time) {
        let in_service: Vec<usize> =
            (0..self.workers.len()).filter(|worker| self.workers[*worker].in_service).collect();
        let worker = in_service[choice % in_service.len()];
        self.set_worker_mode(worker, mode);
        self.plan(end, Action::RestoreWorker(worker));
    }

    fn disturb_discovery(&mut self, node: Option<usize>, mode: AgentMode, end: Time) {
        self.nodes_of(node).for_each(|node| self.nodes[node].agent.set_mode(mode));
        self.plan(end, Action::RestoreDiscovery(node));
    }

    /// Takes a worker out of service that drains for a while, and adds a cold one.
    fn replace_worker(&mut self, drain_time: Duration, now: Time) -> io::Result<()> {
        let Some(worker) = self.oldest_worker() else { return Ok(()) };
        self.workers[worker].in_service = false;
        self.set_phase(worker, "terminating");
        self.publish(Some(worker), now);
        self.plan(now + drain_time, Action::TerminateWorker(worker));
        // It goes on with what it has for as long as that may take.
        self.plan(now + drain_time + KILL_AFTER, Action::RemoveWorker(worker));
        self.add_worker(true)?;
        self.publish(None, now);
        Ok(())
    }

    /// Ends a worker without notice, and adds a cold one.
    fn crash_worker(&mut self, now: Time) -> io::Result<()> {
        let Some(worker) = self.oldest_worker() else { return Ok(()) };
        (self.workers[worker].in_service, self.workers[worker].stand_in) = (false, None);
        self.set_phase(worker, "terminated");
        self.publish(Some(worker), now);
        self.add_worker(true)?;
        self.publish(None, now);
        Ok(())
    }

    fn terminate_worker(&mut self, worker: usize, now: Time) {
        self.set_phase(worker, "terminated");
        self.publish(None, now);
    }
}
