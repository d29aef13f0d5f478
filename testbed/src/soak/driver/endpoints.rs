//! Workers of the run and the endpoint list, with the time from which each node is assumed to know each
//! change.

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

/// Time after SIGHUP until a node is assumed to know the list at discovery's new address.
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Time after discovery is reachable again until a node is assumed to know a change, whatever happened to its
/// calls.
const KNOWN_AFTER_RECOVERY: Duration = Duration::from_secs(6);
/// Minimum number of workers that stay in service.
const WORKERS_MIN: usize = 3;
/// Number of workers on one port, each with its own host address.
const WORKERS_PER_PORT: usize = 50;
/// One worker in this many has a short backlog.
const SHORT_BACKLOG_INTERVAL: usize = 3;

/// A worker of the run, including removed ones.
pub(super) struct Worker {
    id: String,
    number: usize,
    address: SocketAddr,
    /// `None` once it is removed.
    pub(super) stand_in: Option<SoakWorker>,
    since_ms: u64,
    /// Whether it may be taken out of service.
    pub(super) in_service: bool,
}

impl Driver {
    /// Starts a worker, warm or cold, and adds it to the list without publishing the list.
    pub(super) fn add_worker(&mut self, cold: bool) -> io::Result<()> {
        let number = self.workers.len();
        let (host, port) = (200 + number % WORKERS_PER_PORT, 8100 + (number / WORKERS_PER_PORT) as u16);
        let address = self.block.address(host, port);
        let seed = self.options.seed.wrapping_add(number as u64);
        let short_backlog = number % SHORT_BACKLOG_INTERVAL == 2;
        let stand_in = SoakWorker::start(number, address, &self.recorder, cold, short_backlog, seed)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since_ms = if cold { unix.as_millis() as u64 } else { 0 };
        let id = format!("w{number:03}");
        self.list.set(&id, wire::endpoint_entry(&id, address, "in_service", since_ms), false);
        let stand_in = Some(stand_in);
        self.workers.push(Worker { id, number, address, stand_in, since_ms, in_service: true });
        Ok(())
    }

    /// Sets a worker's phase in the list without publishing the list.
    pub(super) fn set_phase(&mut self, worker: usize, phase: &str) {
        let Worker { id, address, since_ms, .. } = &self.workers[worker];
        let line = wire::endpoint_entry(id, *address, phase, *since_ms);
        self.list.set(id, line, phase == "terminated");
    }

    /// Changes the behavior of a worker, unless it is removed.
    pub(super) fn set_worker_mode(&mut self, worker: usize, mode: WorkerMode) {
        if let Some(stand_in) = &self.workers[worker].stand_in {
            stand_in.set_mode(mode);
        }
    }

    /// Returns the worker that has been in service longest, if enough others are in service.
    pub(super) fn oldest_worker(&self) -> Option<usize> {
        let mut in_service = self.workers.iter().filter(|worker| worker.in_service);
        let oldest = in_service.next()?.number;
        (1 + in_service.count() > WORKERS_MIN).then_some(oldest)
    }

    /// Publishes the list to each node's discovery agent. A node with a faulty agent is assumed to know a
    /// withdrawal later.
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

    /// Ends a discovery fault, of one node or of all.
    pub(super) fn restore_discovery(&mut self, node: Option<usize>, now: Time) {
        for i in self.nodes_of(node) {
            let list = Arc::new(self.list.clone());
            let node = &mut self.nodes[i];
            let pending = std::mem::take(&mut node.pending_withdrawals);
            let was_down = node.agent.mode() == AgentMode::Down;
            if !was_down {
                node.discovery_uncertain_until = now + KNOWN_AFTER_RECOVERY;
            }
            node.agent.set_list(list);
            node.agent.set_mode(AgentMode::Normal);
            // Calls that waited while it was down are answered now; after failed calls the node may ask some
            // seconds later.
            let known_at = if was_down { now } else { now + KNOWN_AFTER_RECOVERY };
            pending.into_iter().for_each(|worker| self.record_withdrawal(i, worker, known_at));
            let mut history = self.recorder.history();
            let without_list = history
                .processes
                .iter_mut()
                .filter(|process| process.node == i && process.list_from.is_none());
            without_list.for_each(|process| process.list_from = Some(known_at));
        }
    }

    /// Returns the range of one node, or of all.
    pub(super) fn nodes_of(&self, node: Option<usize>) -> Range<usize> {
        node.map_or(0..self.nodes.len(), |node| node..node + 1)
    }

    /// Records from when a node is assumed to know that a worker is out of service.
    fn record_withdrawal(&self, node: usize, worker: usize, at: Time) {
        let state = &self.nodes[node];
        let moved = state.discovery_moved_at.map_or(Time::ZERO, |moved| moved + KNOWN_AFTER_RELOAD);
        let known_at = at.max(moved).max(state.discovery_uncertain_until);
        self.recorder.history().withdrawals.push(Withdrawal { node, worker, known_at });
    }
}
