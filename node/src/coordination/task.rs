//! Event loop of the coordination task: inputs and timers.

use super::clock::boottime;
use super::handle::Command;
use super::list_delivery::{self, ListDelivery};
use super::message::{NodeMessage, RestartMessage};
use super::operator_requests::OperatorRequest;
use super::rolling_restart::RestartDriver;
use super::scheduled_call::{CallOutcome, CallState};
use super::store_folder::OpenError;
use super::voter_host::VoterHost;
use super::Dependencies;
use crate::endpoint_list::EndpointList;
use crate::phase::Phase;
use ::coordination::{Client, Message, Store, StoreContents, StoreError, Timing};
use ::membership::Peer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, sleep_until, Instant, MissedTickBehavior};

/// Interval at which the candidacy is updated even if the membership view does not change.
const CANDIDACY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum sleep of the task.
const SLEEP_MAX: Duration = Duration::from_secs(3600);
/// Time limit for the shutdown.
pub(super) const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the membership task to send this task's last messages before it announces that the node leaves.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// Result of a disk operation or of a scheduled call.
pub(super) enum Completion {
    StoreOpened(Result<Box<(Store, StoreContents)>, OpenError>),
    Written(u64, Result<(), StoreError>),
    CallDone { lease: String, token: u64, outcome: CallOutcome },
}

/// The coordination task of a node.
pub(super) struct Task {
    pub(super) dependencies: Dependencies,
    pub(super) timing: Timing,
    pub(super) client: Client,
    pub(super) voter: VoterHost,
    pub(super) completions: mpsc::Sender<Completion>,
    /// Operators' requests by the id of the request to the voters.
    pub(super) operator_requests: BTreeMap<u64, OperatorRequest>,
    /// Scheduled calls whose lease this node holds, by the lease's name.
    pub(super) calls: BTreeMap<String, CallState>,
    pub(super) rejected_calls: u64,
    pub(super) phase: Phase,
    pub(super) restart: RestartDriver,
}

impl Task {
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut completions: mpsc::Receiver<Completion>,
    ) {
        let Some(mut messages) = self.dependencies.membership.take_messages() else { return };
        let lists = self.dependencies.list_delivery.as_mut();
        let mut published = lists.and_then(ListDelivery::take_published);
        let mut peers = self.dependencies.membership.peers();
        let mut phase = self.dependencies.phase.clone();
        let mut candidacy = interval(CANDIDACY_INTERVAL);
        candidacy.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.open_store();
        loop {
            self.execute_actions();
            tokio::select! {
                () = sleep_until(self.next_wake_up()) => self.tick(),
                Some((from, bytes)) = messages.recv() => self.receive(from, &bytes),
                Some(completion) = completions.recv() => self.handle_completion(completion),
                Some(list) = list_delivery::next_published(&mut published) => self.publish_list(&list),
                _ = candidacy.tick() => self.update_candidacy(&peers.borrow().clone()),
                Ok(()) = peers.changed() => self.update_candidacy(&peers.borrow_and_update().clone()),
                Ok(()) = phase.changed() => self.handle_phase_change(*phase.borrow_and_update(), &peers),
                Some(command) = commands.recv() => {
                    if self.execute(command, &peers).await.is_break() {
                        return;
                    }
                }
            }
        }
    }

    /// Time at which [`Task::tick`] is due next.
    fn next_wake_up(&self) -> Instant {
        let now = boottime();
        let lists = self.dependencies.list_delivery.as_ref().map_or(Duration::MAX, ListDelivery::next_tick);
        let requests = self.operator_requests.values().map(|request| request.retry_at).min();
        let due = [
            self.client.next_tick(),
            self.voter.next_tick(),
            requests.unwrap_or(Duration::MAX),
            self.next_call(now),
            lists,
            self.restart.next_tick(),
        ];
        let first = due.into_iter().min().unwrap_or(Duration::MAX);
        Instant::now() + first.saturating_sub(now).min(SLEEP_MAX)
    }

    /// Runs the timers that are due.
    fn tick(&mut self) {
        let now = boottime();
        if now >= self.client.next_tick() {
            self.client.tick(now);
        }
        self.tick_voter(now);
        self.retry_operator_requests(now);
        self.start_due_calls(now);
        if now >= self.restart.next_tick() {
            self.drive_restart(now);
        }
        let lists = self.dependencies.list_delivery.as_ref();
        if lists.is_some_and(|lists| now >= lists.next_tick()) {
            let is_lease_valid = self.is_list_lease_valid();
            self.with_lists(|lists| lists.tick(now, is_lease_valid));
        }
    }

    /// Executes the actions of client and voter.
    pub(super) fn execute_actions(&mut self) {
        self.drive_client();
        self.drive_voter();
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = boottime();
        match postcard::from_bytes::<NodeMessage>(bytes) {
            Ok(NodeMessage::Coordination(Message::Response(response))) => {
                self.receive_response(now, from, response);
            }
            Ok(NodeMessage::Coordination(message)) => {
                if let Some(voter) = self.voter.running_mut() {
                    voter.receive(now, from, message);
                }
            }
            Ok(NodeMessage::Lists(message)) => self.with_lists(|lists| lists.receive(now, from, message)),
            Ok(NodeMessage::RollingRestart(message)) => self.receive_restart_message(from, message),
            Err(error) => {
                log::debug!(event = "message_not_decoded", from:% = from, error:% = error;
                    "message can't be decoded");
            }
        }
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::StoreOpened(outcome) => self.store_opened(outcome),
            Completion::Written(number, outcome) => self.write_completed(number, outcome),
            Completion::CallDone { lease, token, outcome } => self.call_done(&lease, token, outcome),
        }
    }

    fn publish_list(&mut self, list: &EndpointList) {
        let (now, is_lease_valid) = (boottime(), self.is_list_lease_valid());
        self.with_lists(|lists| lists.publish(now, list, is_lease_valid));
    }

    fn handle_phase_change(&mut self, phase: Phase, peers: &watch::Receiver<Vec<Peer>>) {
        let previous = std::mem::replace(&mut self.phase, phase);
        match phase {
            Phase::HandedOver => self.voter.close(),
            Phase::Stopping | Phase::Closing => self.transfer_leadership(),
            _ if previous == Phase::HandedOver => self.open_store(),
            _ => {}
        }
        self.update_candidacy(&peers.borrow().clone());
    }

    fn transfer_leadership(&mut self) {
        if let Some(voter) = self.voter.running_mut() {
            voter.transfer_leadership(boottime());
        }
    }

    /// Executes a command. Breaks after a shutdown.
    async fn execute(&mut self, command: Command, peers: &watch::Receiver<Vec<Peer>>) -> ControlFlow<()> {
        match command {
            // Sending a result fails if the caller has stopped waiting.
            Command::Status(sender) => drop(sender.send(self.status())),
            Command::Request(operation, sender) => self.start_operator_request(operation, sender),
            Command::RollingRestart(holder, request, sender) => {
                let to = peers.borrow().iter().find(|peer| peer.name == holder).map(|peer| peer.address);
                if let Some(to) = to {
                    self.send(to, &NodeMessage::RollingRestart(RestartMessage::Requested(request)));
                }
                let _ = sender.send(to.is_some());
            }
            Command::Shutdown(sender) => {
                self.shut_down(sender).await;
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Releases all leases and transfers the leadership.
    async fn shut_down(&mut self, sender: oneshot::Sender<()>) {
        self.update_candidacy(&[]);
        self.transfer_leadership();
        self.execute_actions();
        sleep(FLUSH_TIME).await;
        let _ = sender.send(()); // fails if the caller has stopped waiting
    }
}
