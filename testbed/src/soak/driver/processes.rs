//! Lifecycle of the nodes' processes: start, readiness, takeover, reload, signals and end.

use super::super::discovery::{Agent, AgentMode};
use super::super::history::{ProcessRecord, Recorder, Semantics, SemanticsChange, Time};
use super::super::schedule::SettingsChange;
use super::super::settings::{self, Variation};
use super::super::shim::Control;
use super::{Driver, POLL_INTERVAL};
use crate::process::{call, Process};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s.
pub(super) const KILL_AFTER: Duration = Duration::from_millis(2_500 + 700);
/// Time from the end of a process to the start of the next one.
const RESTART_AFTER: Duration = Duration::from_millis(200);
/// Time limit of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Values of the maximum number of attempts, between which reloads alternate.
const MAX_ATTEMPTS: [usize; 2] = [3, 2];

/// A node under test: its processes, fault injection and discovery agent.
pub(super) struct Node {
    /// Process that was started last.
    pub(super) process: Option<Process>,
    /// Index of that process in the history.
    pub(super) record: usize,
    /// Processes whose successors have started.
    pub(super) predecessors: Vec<Predecessor>,
    /// Control of the faults injected into its system calls.
    pub(super) control: Control,
    /// Discovery agent.
    pub(super) agent: Agent,
    /// Index of the agent's address that the node is configured with.
    pub(super) agent_address: usize,
    variation: Variation,
    /// When the node was last reconfigured to use the agent's other address.
    pub(super) discovery_moved_at: Option<Time>,
    /// Time until which the node may miss a change because a call failed or got no answer.
    pub(super) discovery_uncertain_until: Time,
    /// When the process will be killed.
    pub(super) kill_at: Option<Time>,
    /// When the next process will be started.
    start_at: Option<Time>,
    /// Workers whose withdrawal the node can only learn once discovery recovers.
    pub(super) pending_withdrawals: Vec<usize>,
}

/// A process whose successor has started.
pub(super) struct Predecessor {
    process: Process,
    record: usize,
    /// When it will be killed; `None` before SIGTERM.
    kill_at: Option<Time>,
}

/// Message that a process has become ready.
pub(super) struct ProcessReady {
    record: usize,
    at: Time,
}

impl Node {
    /// Creates a node without a process.
    pub(super) fn new(control: Control, agent: Agent) -> Node {
        Node {
            process: None,
            record: 0,
            predecessors: Vec::new(),
            control,
            agent,
            agent_address: 0,
            variation: Variation {
                max_attempts: MAX_ATTEMPTS[0],
                cancelling: true,
                notify: Semantics::Unsafe,
            },
            discovery_moved_at: None,
            discovery_uncertain_until: Time::ZERO,
            kill_at: None,
            start_at: None,
            pending_withdrawals: Vec::new(),
        }
    }

    /// Ids of its processes.
    pub(super) fn process_ids(&self) -> impl Iterator<Item = u32> + '_ {
        let predecessors = self.predecessors.iter().map(|predecessor| &predecessor.process);
        self.process.iter().chain(predecessors).map(Process::id)
    }

    /// Whether neither a kill nor a start of a process is planned.
    pub(super) fn has_no_planned_restart(&self) -> bool {
        self.kill_at.is_none() && self.start_at.is_none()
    }

    /// Alternates the settings that a reload changes.
    fn alternate_settings(&mut self) {
        let [usual, other] = MAX_ATTEMPTS;
        let variation = &mut self.variation;
        variation.max_attempts = if variation.max_attempts == usual { other } else { usual };
        variation.cancelling = !variation.cancelling;
    }
}

impl Driver {
    /// Returns the configuration of a node's next process.
    fn config(&self, i: usize) -> Value {
        let (node, options) = (&self.nodes[i], &self.options);
        let settings = settings::settings(i, options.nodes, options.workers, node.variation);
        let known = if self.starts.is_multiple_of(2) { &self.list } else { &self.initial_list };
        json!({"name": format!("n{i:02}"), "listen": self.targets[i].address.to_string(),
            "discovery": node.agent.addresses[node.agent_address].to_string(),
            "management": self.block.address(i, 9000 + self.starts).to_string(),
            "seed": format!("{:x}", options.seed.wrapping_mul(31).wrapping_add(u64::from(self.starts))),
            "limits": {"cores": 1.0, "memory_mb": self.limits.memory_mb, "sockets": self.limits.sockets},
            "known": {"revision": known.revision, "complete": true, "members": known.members()},
            "settings": settings})
    }

    /// Starts a node's next process; a running one becomes its predecessor.
    pub(super) fn start_node(&mut self, i: usize) -> io::Result<()> {
        self.starts += 1;
        let config = self.config(i);
        let folder = self.folder.join(format!("n{i:02}"));
        let control: &Path = &self.nodes[i].control.path;
        let variables = [("LD_PRELOAD", self.shim_library.as_path()), ("SOAK_CONTROL", control)];
        let process = Process::start_with(&self.options.binary, &folder, &config, &[], &variables)?;
        let record = self.record_start(i);
        self.report_when_ready(record, process.management);
        let node = &mut self.nodes[i];
        if let Some(old) = node.process.replace(process) {
            node.predecessors.push(Predecessor { process: old, record: node.record, kill_at: None });
        }
        (node.record, node.start_at, node.kill_at) = (record, None, None);
        Ok(())
    }

    /// Adds a newly started process to the history; returns its index.
    fn record_start(&self, node: usize) -> usize {
        let started = self.recorder.now();
        // A process is assumed to know the list of an agent from its start, if the agent answers.
        let list_from = (self.nodes[node].agent.mode() == AgentMode::Normal).then_some(started);
        let mut history = self.recorder.history();
        history.processes.push(ProcessRecord {
            node,
            started,
            ready: None,
            list_from,
            terminated: None,
            ended: None,
            killed: false,
            code: None,
            signal: None,
        });
        history.processes.len() - 1
    }

    fn report_when_ready(&self, record: usize, management: SocketAddr) {
        let (recorder, sender) = (self.recorder.clone(), self.ready_sender.clone());
        tokio::spawn(async move {
            while !is_ready(management).await {
                sleep(POLL_INTERVAL).await;
            }
            let _ = sender.send(ProcessReady { record, at: recorder.now() }); // fails once the run is over
        });
    }

    /// Handles processes that became ready or exited, and kills or starts those that are due.
    pub(super) fn watch_processes(&mut self) -> io::Result<()> {
        let now = self.recorder.now();
        while let Ok(ready) = self.ready_receiver.try_recv() {
            self.process_ready(ready, now);
        }
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            node.predecessors.retain_mut(|predecessor| {
                let Predecessor { process, record, kill_at } = predecessor;
                !reap_or_kill(&self.recorder, process, *record, *kill_at, now)
            });
            let Some(process) = &mut node.process else {
                if node.start_at.is_some_and(|at| now >= at) {
                    self.start_node(i)?;
                }
                continue;
            };
            if reap_or_kill(&self.recorder, process, node.record, node.kill_at, now) {
                (node.process, node.kill_at) = (None, None);
                node.start_at = Some(now + RESTART_AFTER);
                self.targets[i].accepts.store(false, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Directs clients to a process that is ready, and sends SIGTERM to its predecessors.
    fn process_ready(&mut self, ready: ProcessReady, now: Time) {
        let node = {
            let mut history = self.recorder.history();
            let record = &mut history.processes[ready.record];
            record.ready = Some(ready.at);
            record.node
        };
        if self.nodes[node].record == ready.record {
            self.targets[node].accepts.store(true, Ordering::Relaxed);
        }
        let predecessors = self.nodes[node].predecessors.iter_mut();
        for predecessor in predecessors.filter(|predecessor| predecessor.kill_at.is_none()) {
            predecessor.kill_at = Some(now + KILL_AFTER);
            predecessor.process.signal(Signal::TERM);
            self.recorder.history().processes[predecessor.record].terminated = Some(now);
        }
    }

    /// Whether a node has exactly one process, which is ready and was not sent SIGTERM.
    pub(super) fn is_steady(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        self.is_ready(i) && node.process.is_some() && node.predecessors.is_empty() && node.kill_at.is_none()
    }

    /// Whether the process of a node that was started last has been ready.
    fn is_ready(&self, i: usize) -> bool {
        let history = self.recorder.history();
        history.processes.get(self.nodes[i].record).is_some_and(|process| process.ready.is_some())
    }

    /// Sends SIGTERM to a node and schedules its kill.
    pub(super) fn terminate(&mut self, i: usize, now: Time) {
        self.signal(i, Signal::TERM);
        self.nodes[i].kill_at = Some(now + KILL_AFTER);
        let record = self.nodes[i].record;
        self.recorder.history().processes[record].terminated = Some(now);
    }

    /// Kills a process that is taking over, unless its predecessor has been sent SIGTERM; the predecessor
    /// continues.
    pub(super) fn kill_successor(&mut self, i: usize, record: usize) {
        let node = &mut self.nodes[i];
        let predecessor_continues =
            node.predecessors.last().is_some_and(|predecessor| predecessor.kill_at.is_none());
        if node.record != record || !predecessor_continues {
            return;
        }
        // A successor that has ended by itself leaves its predecessor where it is.
        let Some(mut successor) = node.process.take() else { return };
        kill(&self.recorder, &mut successor, record);
        if let Some(predecessor) = node.predecessors.pop() {
            (node.process, node.record) = (Some(predecessor.process), predecessor.record);
        }
    }

    /// Kills a node's current process; the next one is started after a while, beside predecessors that still live.
    pub(super) fn kill_process(&mut self, i: usize, record: usize, now: Time) {
        let node = &mut self.nodes[i];
        if node.record != record {
            return;
        }
        let Some(mut process) = node.process.take() else { return };
        kill(&self.recorder, &mut process, record);
        (node.kill_at, node.start_at) = (None, Some(now + RESTART_AFTER));
    }

    /// Resumes a stopped process, even if a successor has started meanwhile.
    pub(super) fn resume(&mut self, i: usize, record: usize) {
        self.signal_process(i, record, Signal::CONT);
    }

    /// Sends a signal to one process of a node, unless it has ended.
    pub(super) fn signal_process(&mut self, i: usize, record: usize, signal: Signal) {
        let node = &mut self.nodes[i];
        let current = node.process.as_mut().filter(|_| node.record == record);
        let predecessor = node.predecessors.iter_mut().find(|predecessor| predecessor.record == record);
        if let Some(process) = current.or(predecessor.map(|predecessor| &mut predecessor.process)) {
            process.signal(signal);
        }
    }

    /// Sends SIGTERM to a process that has a successor, again if it was sent one before; the time of its kill
    /// counts from the first.
    pub(super) fn terminate_process(&mut self, i: usize, record: usize, now: Time) {
        let predecessors = self.nodes[i].predecessors.iter_mut();
        let Some(predecessor) = predecessors.into_iter().find(|predecessor| predecessor.record == record)
        else {
            return;
        };
        predecessor.process.signal(Signal::TERM);
        if predecessor.kill_at.is_none() {
            predecessor.kill_at = Some(now + KILL_AFTER);
            self.recorder.history().processes[record].terminated = Some(now);
        }
    }

    /// Sends a signal to a node's process, if it has one.
    pub(super) fn signal(&mut self, node: usize, signal: Signal) {
        if let Some(process) = &mut self.nodes[node].process {
            process.signal(signal);
        }
    }

    /// Reloads a node with another address of discovery or other settings, unless its process is still starting: SIGHUP
    /// would end it before its handler is installed.
    pub(super) fn reload(&mut self, i: usize, moves_discovery: bool, now: Time) -> io::Result<()> {
        if !self.is_ready(i) {
            return Ok(());
        }
        let node = &mut self.nodes[i];
        if moves_discovery {
            node.agent_address = 1 - node.agent_address;
            node.discovery_moved_at = Some(now);
        } else {
            node.alternate_settings();
        }
        self.send_reload(i)
    }

    /// Gives the class `notify` another effect in the configuration of a node, which its process reloads or not.
    pub(super) fn change_semantics(&mut self, i: usize, change: SettingsChange, now: Time) -> io::Result<()> {
        if change == SettingsChange::None {
            return Ok(());
        }
        let notify = &mut self.nodes[i].variation.notify;
        *notify = if *notify == Semantics::Unsafe { Semantics::Safe } else { Semantics::Unsafe };
        let change_record = SemanticsChange { node: i, at: now, semantics: *notify };
        self.recorder.history().semantics_changes.push(change_record);
        match change {
            SettingsChange::Reloaded => self.send_reload(i),
            SettingsChange::None | SettingsChange::InFile => Ok(()),
        }
    }

    /// Has a node's process reload the node's configuration.
    fn send_reload(&mut self, i: usize) -> io::Result<()> {
        let mut config = self.config(i);
        let Some(process) = &mut self.nodes[i].process else { return Ok(()) };
        config["management"] = process.management.to_string().into();
        process.reload(&config)
    }
}

/// Whether a process has exited or was due to be killed; kills it in that case, and records its end.
fn reap_or_kill(
    recorder: &Recorder,
    process: &mut Process,
    record: usize,
    kill_at: Option<Time>,
    now: Time,
) -> bool {
    if let Some(status) = process.exit_status() {
        let record = &mut recorder.history().processes[record];
        (record.ended, record.code, record.signal) = (Some(now), status.code(), status.signal());
        return true;
    }
    let is_due = kill_at.is_some_and(|at| now >= at);
    if is_due {
        kill(recorder, process, record);
    }
    is_due
}

/// Records a process as killed, then kills it.
fn kill(recorder: &Recorder, process: &mut Process, record: usize) {
    {
        let record = &mut recorder.history().processes[record];
        (record.ended, record.killed) = (Some(recorder.now()), true);
    }
    process.kill();
}

/// Fails a node's health check for this time, so that clients avoid it. Errors are ignored, as the process
/// may have ended.
pub(super) async fn drain_clients(management: SocketAddr, span: Duration) {
    call(management, "POST", "/healthcheck/fail").await;
    sleep(span).await;
    call(management, "POST", "/healthcheck/ok").await;
}

/// Whether the process at this management address is ready.
async fn is_ready(management: SocketAddr) -> bool {
    let health = call(management, "GET", "/healthcheck");
    timeout(READINESS_TIMEOUT, health).await.ok().flatten().is_some_and(|(status, _)| status == 200)
}
