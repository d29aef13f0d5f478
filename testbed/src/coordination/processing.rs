//! Events of an emulated cluster: messages, writes, timers and fenced operations.

use super::node::{address, Process};
use super::{EmulatedCluster, Event, LeaseEvent, LEASE};
use crate::history_check::FencedOperation;
use ::coordination::{ClientAction, Message, Store, StoreError, Voter, VoterAction};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum network delay.
pub(super) const NETWORK_DELAY: Duration = Duration::from_micros(200);
/// Interval between two operations of the lease holder.
pub(super) const OPERATION_INTERVAL: Duration = Duration::from_millis(40);
/// Ratio of slow operations, and their maximum delay in milliseconds.
const SLOW_OPERATION_RATIO: f64 = 0.05;
const SLOW_OPERATION_MS_MAX: u64 = 3000;
/// Delay of other operations, in milliseconds.
const FAST_OPERATION_MS: u64 = 1;

impl EmulatedCluster {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, process_id, to, message } => {
                let is_same = |process: &Process| process_id == 0 || process.process_id == process_id;
                if self.process(to).is_some_and(is_same) {
                    self.deliver(from, to, message);
                }
            }
            Event::Persisted { node, process_id, number, succeeded } => {
                self.persisted(node, process_id, number, succeeded);
            }
            Event::StartOperation { node, process_id } => self.start_operation(node, process_id),
            Event::OperationArrived { operation } => self.operation_arrived(operation),
            Event::Wake(node) => {
                let now = self.now();
                let is_due = |process: &Process| !process.is_stalled && process.wake_at == Some(now);
                if self.process(node).is_some_and(is_due) {
                    self.wake(node);
                }
            }
        }
    }

    fn persisted(&mut self, node: usize, process_id: u64, number: u64, succeeded: bool) {
        let now = self.local_time(node);
        let process = self.nodes[node].process.as_mut();
        let Some(process) = process.filter(|process| process.process_id == process_id) else { return };
        if let Some((voter, _)) = &mut process.voter {
            let full = || StoreError::Disk("no space left on the disk".into());
            voter.persisted(now, number, succeeded.then_some(()).ok_or_else(full));
        }
        self.execute_actions(node);
    }

    fn start_operation(&mut self, node: usize, process_id: u64) {
        let (now, local) = (self.now(), self.local_time(node));
        let is_running = |process: &&Process| process.process_id == process_id && !process.is_stalled;
        let Some(process) = self.process(node).filter(is_running) else { return };
        if let Some(operation) = process.begin_operation(node, now, local) {
            let is_slow = self.rng.random_bool(SLOW_OPERATION_RATIO);
            let ms =
                if is_slow { self.rng.random_range(0..SLOW_OPERATION_MS_MAX) } else { FAST_OPERATION_MS };
            self.queue.schedule(Duration::from_millis(ms), Event::OperationArrived { operation });
        }
        self.queue.schedule(OPERATION_INTERVAL, Event::StartOperation { node, process_id });
    }

    fn operation_arrived(&mut self, operation: FencedOperation) {
        let accepted = self.guard.check(LEASE, operation.token).is_ok();
        self.rejected_operations += u64::from(!accepted);
        self.operations.push(FencedOperation { arrived_at: self.now(), accepted, ..operation });
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local_time(to);
        let Some(process) = &mut self.nodes[to].process else { return };
        if process.is_stalled {
            process.inbox.push((from, message));
            return;
        }
        match message {
            Message::Response(response) => process.client.receive(now, address(from), response),
            message => {
                if let Some((voter, _)) = &mut process.voter {
                    voter.receive(now, address(from), message);
                }
            }
        }
        self.execute_actions(to);
    }

    pub(super) fn wake(&mut self, node: usize) {
        let now = self.local_time(node);
        if let Some(process) = &mut self.nodes[node].process {
            process.wake_at = None;
            process.client.tick(now);
            if let Some((voter, _)) = &mut process.voter {
                voter.tick(now);
            }
        }
        self.execute_actions(node);
    }

    /// Executes the actions of a node's client and voter, and schedules its next timer.
    pub(super) fn execute_actions(&mut self, node: usize) {
        let Some(mut process) = self.nodes[node].process.take() else { return };
        self.execute_client_actions(node, &mut process);
        let process_id = process.process_id;
        if let Some((voter, store)) = &mut process.voter {
            self.execute_voter_actions(node, process_id, voter, store);
        }
        let wake_after = self.update_wake_time(node, &mut process);
        self.nodes[node].process = Some(process);
        if let Some(delay) = wake_after {
            self.queue.schedule(delay, Event::Wake(node));
        }
    }

    fn execute_client_actions(&mut self, node: usize, process: &mut Process) {
        let at = self.now();
        while let Some(action) = process.client.next_action() {
            match action {
                ClientAction::Send { to, request } => self.send(node, to, Message::Request(request)),
                ClientAction::Acquired { token, .. } => {
                    self.lease_events.push(LeaseEvent { at, node, token, lost: None });
                }
                ClientAction::Lost { token, reason, .. } => {
                    self.lease_events.push(LeaseEvent { at, node, token, lost: Some(reason) });
                }
            }
        }
    }

    fn execute_voter_actions(&mut self, node: usize, process_id: u64, voter: &mut Voter, store: &Store) {
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.send(node, to, message),
                VoterAction::Write(batch) => {
                    let succeeded = store.write(&batch).is_ok();
                    let duration = self.spec.write_time.mul_f64(0.5 + self.rng.random::<f64>());
                    let number = batch.number;
                    let event = Event::Persisted { node, process_id, number, succeeded };
                    self.queue.schedule(duration, event);
                }
                VoterAction::Report(event) => self.voter_events.push((self.now(), node, event)),
            }
        }
    }

    /// Returns the time until the next timer of a process, or `None` if an earlier one is scheduled.
    fn update_wake_time(&self, node: usize, process: &mut Process) -> Option<Duration> {
        let now = self.now();
        let voter_due = process.voter.as_ref().map_or(Duration::MAX, |(voter, _)| voter.next_tick());
        let due = self.nodes[node].global_time(process.client.next_tick().min(voter_due)).max(now);
        let is_earlier = process.wake_at.is_none_or(|at| due < at || at < now);
        if due == Duration::MAX || !is_earlier {
            return None;
        }
        process.wake_at = Some(due);
        Some(due - now)
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|node| address(*node) == to) else { return };
        self.messages_sent += 1;
        let rule = self.rules.between(from, to);
        if rule.cut || self.rng.random_bool(rule.loss) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(rule.twice)) {
            let ms = rule.delay_ms + self.rng.random_range(0..=rule.jitter_ms);
            let process_id = self.process(to).map_or(0, |process| process.process_id);
            let event = Event::Message { from, process_id, to, message: message.clone() };
            self.queue.schedule(NETWORK_DELAY + Duration::from_millis(ms), event);
        }
    }
}
