//! Execution of the fault schedule: starts each fault at its time, and ends those that have a duration.

use super::super::discovery::AgentMode;
use super::super::flood::{self, Flood};
use super::super::history::Time;
use super::super::schedule::{
    DisturbedHandover, FaultKind, HandoverSide, PlannedFault, SettingsChange, SignalSeries,
};
use super::super::shim::Fault;
use super::super::worker::WorkerMode;
use super::processes::{drain_clients, KILL_AFTER};
use super::{Driver, POLL_INTERVAL};
use rustix::process::Signal;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after SIGTERM for which clients still open new connections to a node.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Interval between the reloads of one fault.
const RELOAD_INTERVAL: Duration = Duration::from_millis(40);
/// Calls that stall during a disturbed handover.
const HANDOVER_LINK_FAULTS: [Fault; 3] =
    [Fault::StallBeforeSendmsg, Fault::StallAfterRecvmsg, Fault::StallBeforeLinkWrite];
/// Time from a successor's start for which calls on the link stall.
const LINK_STALL_TIME: Duration = Duration::from_millis(1_500);
/// Time before a change of settings in which requests that run for long begin, and the workers that get them.
const LONG_REQUESTS_TIME: Duration = Duration::from_millis(700);
const FAILING_WORKERS: usize = 2;
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: i64 = 1_000_000;

/// An action with a due time. `record` is the index of a process in the history.
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
    Pause { node: usize, record: usize, until: Time },
    Terminate { node: usize, record: usize },
    Handover(DisturbedHandover),
    UpgradeAgain { node: usize, terminate_after: Duration },
    KillProcess { node: usize, record: usize },
}

impl Driver {
    /// Executes all due actions.
    pub(super) fn execute_due_actions(&mut self) -> io::Result<()> {
        let now = self.recorder.now();
        let actions = std::mem::take(&mut self.pending_actions).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = actions.partition(|(at, _)| *at <= now);
        self.pending_actions = later;
        for (due_at, action) in due {
            if let Action::Resume { .. } = action {
                self.record_late_resume(due_at);
            }
            self.execute(action, now)?;
        }
        Ok(())
    }

    /// Counts it as lag of the stand-ins if a process is stopped for longer than the schedule says, as the driver is late.
    fn record_late_resume(&self, due_at: Time) {
        let late = self.recorder.now().saturating_sub(due_at + POLL_INTERVAL);
        let mut history = self.recorder.history();
        history.stand_in_lag = history.stand_in_lag.max(late);
    }

    /// Schedules an action.
    pub(super) fn schedule(&mut self, at: Time, action: Action) {
        self.pending_actions.push((at, action));
    }

    fn execute(&mut self, action: Action, now: Time) -> io::Result<()> {
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
            Action::Pause { node, record, until } => self.pause_process(node, record, until),
            Action::Terminate { node, record } => self.terminate_process(node, record, now),
            Action::Handover(handover) if self.is_steady(handover.node) => {
                self.disturb_handover(&handover, now)?;
            }
            Action::Handover(_) => {}
            Action::UpgradeAgain { node, terminate_after } => {
                self.upgrade_and_terminate(node, terminate_after, now)?;
            }
            Action::KillProcess { node, record } => self.kill_process(node, record, now),
            Action::StopConnecting(node) => self.targets[node].accepts.store(false, Ordering::Relaxed),
        }
        Ok(())
    }

    /// Starts a fault. One that ends or replaces a process is skipped if the node is shutting down or not
    /// ready yet.
    fn begin(&mut self, planned: PlannedFault, now: Time) -> io::Result<()> {
        let end = now + planned.span;
        match planned.kind {
            FaultKind::Calls { node, faults } => self.inject(node, faults, end)?,
            FaultKind::ClockStep { node, milliseconds } => self.step_clock(node, milliseconds, end)?,
            FaultKind::Pause { node, span } => self.pause(node, now + span),
            FaultKind::Restart { node } if self.is_steady(node) => {
                self.terminate(node, now);
                self.schedule(now + CONNECTS_AFTER_SIGTERM, Action::StopConnecting(node));
            }
            FaultKind::Kill { node } if self.is_steady(node) => self.nodes[node].kill_at = Some(now),
            FaultKind::Upgrade { node } if self.is_steady(node) => self.start_node(node)?,
            FaultKind::DisturbedHandover(handover) if self.is_steady(handover.node) => {
                self.prepare_handover(handover, now)?;
            }
            FaultKind::FailedUpgrade { node, after } if self.is_steady(node) => {
                self.start_node(node)?;
                let record = self.nodes[node].record;
                self.schedule(now + after, Action::KillSuccessor { node, record });
            }
            FaultKind::Restart { .. }
            | FaultKind::Kill { .. }
            | FaultKind::Upgrade { .. }
            | FaultKind::DisturbedHandover(_)
            | FaultKind::FailedUpgrade { .. } => {}
            FaultKind::Flood { node, flood, clients } => self.flood(node, flood, clients, planned.span),
            FaultKind::DrainNode { node } => self.drain_node(node, planned.span),
            FaultKind::Reload { node, moves_discovery, times } => {
                for n in 0..times {
                    let at = now + RELOAD_INTERVAL * n as u32;
                    self.schedule(at, Action::Reload { node, moves_discovery });
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
        self.schedule(end, Action::StopInjecting { node, faults });
        Ok(())
    }

    fn step_clock(&mut self, node: usize, milliseconds: i64, end: Time) -> io::Result<()> {
        self.nodes[node].control.set_clock_offset(milliseconds * NANOS_PER_MILLI)?;
        self.schedule(end, Action::ResetClock(node));
        Ok(())
    }

    fn pause(&mut self, node: usize, end: Time) {
        self.pause_process(node, self.nodes[node].record, end);
    }

    fn pause_process(&mut self, node: usize, record: usize, until: Time) {
        self.signal_process(node, record, Signal::STOP);
        self.schedule(until, Action::Resume { node, record });
    }

    /// Begins a handover. Before one that changes the effect of a class, some workers get requests that run for long and fail
    /// after it.
    fn prepare_handover(&mut self, handover: DisturbedHandover, now: Time) -> io::Result<()> {
        if handover.settings_change == SettingsChange::None {
            return self.disturb_handover(&handover, now);
        }
        let begin = now + LONG_REQUESTS_TIME;
        (0..FAILING_WORKERS).for_each(|worker| self.disturb_worker(worker, WorkerMode::FailingLate, begin));
        self.schedule(begin, Action::Handover(handover));
        Ok(())
    }

    /// Starts a successor, and schedules the signals and stalls of both processes.
    fn disturb_handover(&mut self, handover: &DisturbedHandover, now: Time) -> io::Result<()> {
        let DisturbedHandover {
            node,
            terminate_after,
            signals,
            ref stalls,
            link_stall_rate,
            kill_successor_after,
            settings_change,
        } = *handover;
        self.change_semantics(node, settings_change, now)?;
        let stalled_calls = HANDOVER_LINK_FAULTS.map(|fault| (fault, link_stall_rate)).to_vec();
        self.inject(node, stalled_calls, now + LINK_STALL_TIME)?;
        let predecessor = self.upgrade_and_terminate(node, terminate_after, now)?;
        let successor = self.nodes[node].record;
        for stall in stalls {
            let record = match stall.side {
                HandoverSide::Predecessor => predecessor,
                HandoverSide::Successor => successor,
            };
            let begin = now + stall.after;
            self.schedule(begin, Action::Pause { node, record, until: begin + stall.span });
        }
        if let Some(after) = kill_successor_after {
            self.schedule(now + after, Action::KillProcess { node, record: successor });
        }
        match signals {
            SignalSeries::TerminateOnce => {}
            SignalSeries::TerminateTwice { after } => {
                let again = Action::Terminate { node, record: predecessor };
                self.schedule(now + terminate_after + after, again);
            }
            SignalSeries::ReloadBeforeTerminate => self.signal_process(node, predecessor, Signal::HUP),
            SignalSeries::UpgradeAgain { after } => {
                self.schedule(now + after, Action::UpgradeAgain { node, terminate_after });
            }
        }
        Ok(())
    }

    /// Starts a successor and schedules SIGTERM to the node's process so far, whose record is returned.
    fn upgrade_and_terminate(
        &mut self,
        node: usize,
        terminate_after: Duration,
        now: Time,
    ) -> io::Result<usize> {
        let predecessor = self.nodes[node].record;
        self.start_node(node)?;
        self.schedule(now + terminate_after, Action::Terminate { node, record: predecessor });
        Ok(predecessor)
    }

    fn flood(&self, node: usize, flood: Flood, clients: usize, span: Duration) {
        tokio::spawn(flood::run(flood, self.targets[node].address, clients, span));
    }

    fn drain_node(&self, node: usize, span: Duration) {
        if let Some(process) = &self.nodes[node].process {
            tokio::spawn(drain_clients(process.management, span));
        }
    }

    /// `choice` is an index modulo the number of workers in service.
    fn disturb_worker(&mut self, choice: usize, mode: WorkerMode, end: Time) {
        let in_service: Vec<usize> =
            (0..self.workers.len()).filter(|worker| self.workers[*worker].in_service).collect();
        let worker = in_service[choice % in_service.len()];
        self.set_worker_mode(worker, mode);
        self.schedule(end, Action::RestoreWorker(worker));
    }

    fn disturb_discovery(&mut self, node: Option<usize>, mode: AgentMode, end: Time) {
        self.nodes_of(node).for_each(|node| self.nodes[node].agent.set_mode(mode));
        self.schedule(end, Action::RestoreDiscovery(node));
    }

    /// Drains a worker, which is removed later, and adds a cold one.
    fn replace_worker(&mut self, drain_time: Duration, now: Time) -> io::Result<()> {
        let Some(worker) = self.oldest_worker() else { return Ok(()) };
        self.workers[worker].in_service = false;
        self.set_phase(worker, "terminating");
        self.publish(Some(worker), now);
        self.schedule(now + drain_time, Action::TerminateWorker(worker));
        // It keeps running accepted requests for as long as they may take.
        self.schedule(now + drain_time + KILL_AFTER, Action::RemoveWorker(worker));
        self.add_worker(true)?;
        self.publish(None, now);
        Ok(())
    }

    /// Removes a worker without draining, and adds a cold one.
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
