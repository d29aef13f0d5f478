//! Rolling restart: the lease holder drives it, and each node drains and ends when the holder instructs it to.

use super::clock::boottime;
use super::message::{NodeMessage, RestartMessage, RestartRequest};
use super::task::Task;
use crate::phase::Phases;
use ::coordination::{
    FencingGuard, FleetMember, RestartOutcome, RestartProgress, RestartStep, RollingRestart,
};
use ::membership::Peer;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Name of the rolling restart's lease.
pub(super) const LEASE: &str = "roll";
/// Interval at which the holder checks the fleet and continues the restart.
const PASS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between queries for the counters of requests.
const HEALTH_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes that are queried each time.
const NODES_PER_QUERY: usize = 8;
/// Time for clients to leave a draining node before it ends.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Maximum number of processes whose counters are kept.
const PROCESSES_MAX: usize = 4096;

/// Message to a node; the token is added when it is sent.
enum Outgoing {
    Restart { to: SocketAddr, process_id: u64 },
    HealthQuery { to: SocketAddr },
}

/// Numbers of failed and of ended requests of a process.
#[derive(Clone, Copy)]
struct RequestCounts {
    failed: u64,
    ended: u64,
}

/// First and last report of a process.
struct HealthReports {
    first: RequestCounts,
    last: RequestCounts,
}

/// State of rolling restarts at this node.
#[derive(Default)]
pub(super) struct RestartDriver {
    /// Rejects messages of earlier holders.
    guard: FencingGuard,
    /// The restart, while this node holds the lease.
    restart: Option<RollingRestart>,
    next_pass: Duration,
    next_health_query: Duration,
    /// Position of the next node to query.
    query_position: usize,
    /// Progress that has yet to be saved.
    unsaved: Option<RestartProgress>,
    outgoing: VecDeque<Outgoing>,
    /// Reports by process id.
    reports: BTreeMap<u64, HealthReports>,
    /// Whether this process was instructed to drain and end.
    is_ending: bool,
}

fn members(peers: &[Peer]) -> Vec<FleetMember> {
    let member = |peer: &Peer| FleetMember {
        name: peer.name.clone(),
        zone: peer.zone.clone(),
        address: peer.address,
        process_id: peer.process_id,
    };
    peers.iter().map(member).collect()
}

impl RestartDriver {
    /// Resumes the restart whose progress the last holder saved.
    pub(super) fn lease_acquired(&mut self, own_name: &str, saved: &[u8]) {
        let progress = postcard::from_bytes::<RestartProgress>(saved).ok();
        self.restart = progress.map(|progress| RollingRestart::resume(own_name, progress));
        self.reports.clear();
        self.outgoing.clear();
        self.next_pass = Duration::ZERO;
    }

    pub(super) fn lease_lost(&mut self) {
        self.restart = None;
        self.unsaved = None;
        self.outgoing.clear();
    }

    /// Handles an operator's request at the holder.
    fn request(&mut self, own_name: &str, request: RestartRequest, peers: &[Peer]) {
        let in_progress = self.restart.as_ref().is_some_and(|r| r.progress().outcome.is_none());
        match request {
            RestartRequest::Start { id, max_unavailable } if !in_progress => {
                log::info!(event = "rolling_restart_started", id = id, max_unavailable = max_unavailable,
                    nodes = peers.len();
                    "rolling restart started");
                self.reports.clear();
                self.restart = Some(RollingRestart::start(own_name, id, max_unavailable, &members(peers)));
            }
            RestartRequest::Start { .. } => log::warn!(event = "rolling_restart_in_progress";
                "rolling restart requested while another is in progress; request ignored"),
            RestartRequest::Stop => {
                if let Some(restart) = &mut self.restart {
                    restart.stop(RestartOutcome::Cancelled);
                }
            }
        }
        self.next_pass = Duration::ZERO;
    }

    pub(super) fn next_tick(&self) -> Duration {
        let is_active = |r: &RollingRestart| r.progress().outcome.is_none() || self.unsaved.is_some();
        match &self.restart {
            Some(restart) if is_active(restart) => self.next_pass,
            _ => Duration::MAX,
        }
    }

    /// Continues the restart; `may_continue` tells whether the lease is valid and no progress is being saved.
    fn advance(&mut self, now: Duration, peers: &[Peer], may_continue: bool) {
        self.next_pass = now + PASS_INTERVAL;
        let Some(restart) = self.restart.as_mut().filter(|_| may_continue) else { return };
        restart.advance(now, &members(peers));
        self.outgoing.clear();
        while let Some(step) = restart.next_step() {
            match step {
                RestartStep::SaveProgress(progress) => {
                    log_progress(&progress);
                    self.unsaved = Some(progress);
                }
                RestartStep::Restart { address, process_id, .. } => {
                    self.outgoing.push_back(Outgoing::Restart { to: address, process_id });
                }
            }
        }
        if now >= self.next_health_query && !peers.is_empty() {
            self.next_health_query = now + HEALTH_QUERY_INTERVAL;
            self.query_health(peers);
        }
    }

    fn query_health(&mut self, peers: &[Peer]) {
        for i in 0..NODES_PER_QUERY.min(peers.len()) {
            let to = peers[(self.query_position + i) % peers.len()].address;
            self.outgoing.push_back(Outgoing::HealthQuery { to });
        }
        self.query_position = (self.query_position + NODES_PER_QUERY) % peers.len();
    }

    /// Takes the encoded progress that has yet to be saved for the next holder.
    fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        postcard::to_stdvec(&self.unsaved.take()?).ok()
    }

    /// Records a report of a process and updates the totals of the restart.
    fn record_report(&mut self, process_id: u64, counts: RequestCounts) {
        if self.reports.len() < PROCESSES_MAX || self.reports.contains_key(&process_id) {
            let reports =
                self.reports.entry(process_id).or_insert(HealthReports { first: counts, last: counts });
            reports.last = counts;
        }
        let sum = |count: fn(&RequestCounts) -> u64| {
            self.reports.values().map(|r| count(&r.last).saturating_sub(count(&r.first))).sum::<u64>()
        };
        let (failed, ended) = (sum(|counts| counts.failed), sum(|counts| counts.ended));
        if let Some(restart) = &mut self.restart {
            restart.record_requests(failed, ended);
        }
    }

    /// Drains and ends this process, as on SIGTERM. Its supervisor starts it again.
    fn end_process(&mut self, phases: &Phases) {
        if std::mem::replace(&mut self.is_ending, true) {
            return;
        }
        log::info!(event = "rolling_restart_reached_node"; "rolling restart reached this node: draining and ending");
        let phases = phases.clone();
        phases.drain();
        tokio::spawn(async move {
            sleep(DRAIN_TIME).await;
            phases.stop().await;
        });
    }
}

fn log_progress(progress: &RestartProgress) {
    let (completed, total) = (progress.completed, progress.total);
    match &progress.outcome {
        Some(outcome) => {
            log::info!(event = "rolling_restart_ended", outcome:% = outcome, completed = completed, total = total;
                "rolling restart ended");
        }
        None => {
            log::info!(event = "rolling_restart_progress", completed = completed, total = total,
                in_progress:? = progress.in_progress; "rolling restart continues");
        }
    }
}

impl Task {
    /// Continues the rolling restart.
    pub(super) fn drive_restart(&mut self, now: Duration) {
        let peers = self.dependencies.membership.peers().borrow().clone();
        let is_valid = self.client.valid_token(now, LEASE).is_some();
        self.restart.advance(now, &peers, is_valid && !self.client.is_saving_state(LEASE));
        if let Some(progress) = self.restart.take_unsaved() {
            self.client.save_state(now, LEASE, progress);
        }
        // Progress must be saved for the next holder before any node is instructed to restart.
        if self.client.is_saving_state(LEASE) {
            return;
        }
        while let Some(outgoing) = self.restart.outgoing.pop_front() {
            // The lease may expire between two messages.
            let Some(token) = self.client.valid_token(boottime(), LEASE) else { break };
            let (to, message) = match outgoing {
                Outgoing::Restart { to, process_id } => (to, RestartMessage::Restart { token, process_id }),
                Outgoing::HealthQuery { to } => (to, RestartMessage::HealthQuery { token }),
            };
            self.send(to, &NodeMessage::RollingRestart(message));
        }
    }

    pub(super) fn receive_restart_message(&mut self, from: SocketAddr, message: RestartMessage) {
        match message {
            RestartMessage::Requested(request) => {
                if self.client.valid_token(boottime(), LEASE).is_some() {
                    let peers = self.dependencies.membership.peers().borrow().clone();
                    self.restart.request(&self.dependencies.name, request, &peers);
                }
            }
            RestartMessage::Restart { token, process_id } => self.receive_restart(token, process_id),
            RestartMessage::HealthQuery { token } => {
                if self.restart.guard.check(LEASE, token).is_ok() {
                    let report = self.health_report();
                    self.send(from, &NodeMessage::RollingRestart(report));
                }
            }
            RestartMessage::HealthReport { process_id, failed, ended } => {
                self.restart.record_report(process_id, RequestCounts { failed, ended });
            }
        }
    }

    fn receive_restart(&mut self, token: u64, process_id: u64) {
        match self.restart.guard.check(LEASE, token) {
            Ok(()) if process_id == self.dependencies.membership.process_id() => {
                self.restart.end_process(&self.dependencies.phases);
            }
            Ok(()) => {}
            Err(error) => log::warn!(event = "act_rejected", lease = LEASE, token = token, error:% = error;
                "restart instruction rejected: its fencing token is older than the latest one seen"),
        }
    }

    fn health_report(&self) -> RestartMessage {
        let counters = &self.dependencies.counters;
        let failed = counters.failed.get();
        let ended = counters.served.get() + counters.shed.get() + failed;
        RestartMessage::HealthReport { process_id: self.dependencies.membership.process_id(), failed, ended }
    }
}
