//! Workers of the run and the list that tells of them, with when each change counts as known to each node.

use super::super::discovery::AgentMode;
use super::super::history::{Time, Withdrawal};
use super::super::worker::{SoakWorker, WorkerMode};
use super::Driver;
use crate::wire;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time after SIGHUP when what discovery's new address has counts as known.
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Time after discovery can be reached again when a change counts as known whatever became of the calls.
const KNOWN_AT_LATEST: Duration = Duration::from_secs(6);
/// Workers in service above which the oldest may be taken out.
const WORKERS_MIN: usize = 3;
/// Workers on one port, each with a host address of its own.
const WORKERS_PER_PORT: usize = 50;
/// One in so many workers can hold its connections back.
const LATE_WORKER_RATIO: usize = 3;

/// A worker of the run, also one that is gone.
pub(super) struct Worker {
    id: String,
    number: usize,
    address: SocketAddr,
    /// `None` once it is gone.
    pub(super) stand_in: Option<SoakWorker>,
    since_ms: u64,
    /// Whether it may be taken out of service.
    pub(super) in_service: bool,
}

impl Driver {
    /// Starts a worker, warm or cold, and adds it to the list; the list is not published.
    pub(super) fn add_worker(&mut self, cold: bool) -> io::Result<()> {
        let number = self.workers.len();
        let (host, port) = (200 + number % WORKERS_PER_PORT, 8100 + (number / WORKERS_PER_PORT) as u16);
        let address = self.block.address(host, port);
        let seed = self.options.seed.wrapping_add(number as u64);
        let late = number % LATE_WORKER_RATIO == 2;
        let stand_in = SoakWorker::start(number, address, &self.recorder, cold, late, seed)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since_ms = if cold { unix.as_millis() as u64 } else { 0 };
        let id = format!("w{number:03}");
        self.list.set(&id, wire::endpoint_entry(&id, address, "in_service", since_ms), false);
        let stand_in = Some(stand_in);
        self.workers.push(Worker { id, number, address, stand_in, since_ms, in_service: true });
        Ok(())
    }

    /// Sets a worker's phase in the list; the list is not published.
    pub(super) fn set_phase(&mut self, worker: usize, phase: &str) {
        let Worker { id, address, since_ms, .. } = &self.workers[worker];
        let line = wire::endpoint_entry(id, *address, phase, *since_ms);
        self.list.set(id, line, phase == "terminated");
    }

    /// Changes how a worker behaves, if it is still there.
    pub(super) fn set_worker_mode(&mut self, worker: usize, mode: WorkerMode) {
        if let Some(stand_in) = &self.workers[worker].stand_in {
            stand_in.set_mode(mode);
        }
    }

    /// The worker that is longest in service, if enough others are.
    pub(super) fn oldest_worker(&self) -> Option<usize> {
        let mut in_service = self.workers.iter().filter(|worker| worker.in_service);
        let oldest = in_service.next()?.number;
        (1 + in_service.count() > WORKERS_MIN).then_some(oldest)
    }

    /// Gives the list to each node's discovery; nodes whose discovery is faulty know of a withdrawal later.
    pub(super) fn publish(&mut self, withdrawn: Option<usize>, now: Time) {
        let list = Arc::new(self.list.clone());
        for i in 0..self.nodes.len() {
            let mode = self.nodes[i].agent.mode();
            if mode != AgentMode::Down {
                self.nodes[i].agent.set_list(list.clone());
            }
            let Some(worker) = withdrawn else { continue };
            match mode {
                AgentMode::Normal => self.record_withdrawal(i, worker, now),
                _ => self.nodes[i].pending_withdrawals.push(worker),
            }
        }
    }

    /// Ends a fault of discovery, of one node or of all.
    pub(super) fn restore_discovery(&mut self, node: Option<usize>, now: Time) {
        for i in self.nodes_of(node) {
            let list = Arc::new(self.list.clone());
            let node = &mut self.nodes[i];
            let pending = std::mem::take(&mut node.pending_withdrawals);
            let was_down = node.agent.mode() == AgentMode::Down;
            if !was_down {
                node.discovery_unsure_until = now + KNOWN_AT_LATEST;
            }
            node.agent.set_list(list);
            node.agent.set_mode(AgentMode::Normal);
            // What it gets at the return counts at once; behind failed calls, at the latest some seconds later.
            let known_at = if was_down { now } else { now + KNOWN_AT_LATEST };
            pending.into_iter().for_each(|worker| self.record_withdrawal(i, worker, known_at));
            let mut history = self.recorder.history();
            let without_list = history
                .processes
                .iter_mut()
                .filter(|process| process.node == i && process.list_from.is_none());
            without_list.for_each(|process| process.list_from = Some(known_at));
        }
    }

    /// One node, or all.
    pub(super) fn nodes_of(&self, node: Option<usize>) -> Range<usize> {
        node.map_or(0..self.nodes.len(), |node| node..node + 1)
    }

    /// Records when a node knows that a worker is out of service.
    fn record_withdrawal(&self, node: usize, worker: usize, at: Time) {
        let state = &self.nodes[node];
        let moved = state.discovery_moved_at.map_or(Time::ZERO, |moved| moved + KNOWN_AFTER_RELOAD);
        let told = at.max(moved).max(state.discovery_unsure_until);
        self.recorder.history().withdrawals.push(Withdrawal { node, worker, known_at: told });
    }
}
