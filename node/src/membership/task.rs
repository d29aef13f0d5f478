//! Membership task: event loop over sockets, timers, commands, synchronizations, key changes and phase changes.

use super::datagram_budget::DatagramBudget;
use super::handle::{Command, Rates, ReceivedMessage, LEAVE_TIMEOUT};
use super::log_records::{log_event, log_fleet_size};
use super::sockets::{accept, listen_for_streams};
use super::state_sync::{self, SyncRequest};
use super::{Dependencies, SYNC_STREAMS_MAX};
use crate::phase::Phase;
use membership::{Action, FleetCounts, FleetSize, Machine, Peer, Status, DATAGRAM_MAX};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{interval_at, sleep, sleep_until, Instant, Interval, MissedTickBehavior};

/// Maximum number of datagrams read before the task yields.
const READ_BATCH: u32 = 32;
/// Interval between updates of the published fleet size and peers.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to listen for streams while another process of this node is listening.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the task of a node that leaves ends, for its last datagrams to be sent.
const LEAVE_FLUSH_DELAY: Duration = LEAVE_TIMEOUT.checked_div(10).expect("above zero");
/// Upper bound on the machine's next timeout, which would overflow an `Instant` if there is no timer.
const NEXT_TIMEOUT_MAX: Duration = Duration::from_secs(3600);

/// Channels from the task to the other parts of the node.
pub(super) struct Outputs {
    pub fleet_size: watch::Sender<FleetSize>,
    pub peers: watch::Sender<Vec<Peer>>,
    pub rates: mpsc::Sender<Rates>,
    pub messages: mpsc::Sender<ReceivedMessage>,
}

/// Whether this process takes part in the fleet, or another process of this node does.
#[derive(Clone, Copy, PartialEq)]
enum Activity {
    /// Takes part.
    Active,
    /// Does not take part while the other process is running.
    Suspended,
    /// Does not take part any more: the other process has taken over for good.
    Replaced,
}

/// State of the membership task.
pub(super) struct Task {
    machine: Machine,
    /// Origin of the machine's clock.
    clock_origin: Instant,
    socket: UdpSocket,
    listener: Option<TcpListener>,
    listen_retry_at: Instant,
    outputs: Outputs,
    commands: mpsc::Receiver<Command>,
    publish_interval: Interval,
    activity: Activity,
    budget: DatagramBudget,
    /// How often reading stopped because the datagram budget was used up.
    floods: u64,
    sync_requests: mpsc::Sender<SyncRequest>,
    received_sync_requests: mpsc::Receiver<SyncRequest>,
    /// Whether a state synchronization that this node initiated is running.
    sync_running: bool,
    /// Permits for state synchronizations that other nodes initiate.
    sync_permits: Arc<Semaphore>,
    dependencies: Dependencies,
}

impl Task {
    pub fn new(
        machine: Machine,
        socket: UdpSocket,
        outputs: Outputs,
        commands: mpsc::Receiver<Command>,
        dependencies: Dependencies,
    ) -> Task {
        let now = Instant::now();
        let mut publish_interval = interval_at(now + PUBLISH_INTERVAL, PUBLISH_INTERVAL);
        publish_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (sync_requests, received_sync_requests) = mpsc::channel(2 * SYNC_STREAMS_MAX);
        Task {
            machine,
            clock_origin: now,
            socket,
            listener: None,
            listen_retry_at: now,
            outputs,
            commands,
            publish_interval,
            activity: Activity::Active,
            budget: DatagramBudget::new(now),
            floods: 0,
            sync_requests,
            received_sync_requests,
            sync_running: false,
            sync_permits: Arc::new(Semaphore::new(SYNC_STREAMS_MAX)),
            dependencies,
        }
    }

    /// Runs until the node leaves.
    pub async fn run(mut self) {
        self.run_actions();
        loop {
            self.listen_if_due();
            let next_timeout = self.clock_origin + self.machine.next_timeout().min(NEXT_TIMEOUT_MAX);
            let is_active = self.activity == Activity::Active;
            tokio::select! {
                _ = self.socket.readable(), if self.budget.is_available() => self.read_datagrams().await,
                () = sleep_until(next_timeout), if is_active => self.run_timers(),
                _ = self.publish_interval.tick() => self.publish(),
                Some(command) = self.commands.recv() => {
                    if let Some(done) = self.run_command(command) {
                        return self.finish_leaving(done).await;
                    }
                }
                Some(request) = self.received_sync_requests.recv() => self.run_sync_request(request),
                Ok(()) = self.dependencies.phase.changed() => self.apply_phase(),
                Ok(()) = self.dependencies.keys.changed() => self.apply_keys(),
                Ok(stream) = accept(self.listener.as_ref()) => self.respond_to_sync(stream),
            }
            self.run_actions();
        }
    }

    fn now(&self) -> Duration {
        self.clock_origin.elapsed()
    }

    fn own_address(&self) -> SocketAddr {
        self.dependencies.config.file.listen
    }

    fn is_inactive(&self) -> bool {
        self.activity != Activity::Active
    }

    fn listen_if_due(&mut self) {
        if self.listener.is_some() || self.is_inactive() || Instant::now() < self.listen_retry_at {
            return;
        }
        match listen_for_streams(self.own_address()) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                log::debug!(event = "sync_listen_failed", address:% = self.own_address(), error:%;
                    "cannot listen for state synchronizations; retrying");
                self.listen_retry_at = Instant::now() + LISTEN_RETRY_INTERVAL;
            }
        }
    }

    async fn read_datagrams(&mut self) {
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_BATCH {
            if !self.budget.is_available() {
                self.floods += 1;
                break;
            }
            // Also fails if the receiver of an earlier datagram was unreachable; the socket stays usable.
            let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
            self.budget.consume();
            if !self.is_inactive() {
                self.machine.handle_datagram(self.now(), &bytes[..length]);
            }
        }
        tokio::task::yield_now().await;
    }

    fn run_timers(&mut self) {
        let now = self.now();
        self.machine.handle_timeout(now);
    }

    /// Refills the datagram budget, and publishes the peers and the fleet size if they have changed.
    fn publish(&mut self) {
        self.budget.refill(Instant::now());
        if self.is_inactive() {
            return;
        }
        if !self.outputs.peers.is_closed() {
            replace_if_changed(&self.outputs.peers, self.machine.peers());
        }
        let planned_dispatchers = self.dependencies.settings.borrow().settings.dispatchers;
        let size = self.machine.fleet_size(self.now(), planned_dispatchers);
        if replace_if_changed(&self.outputs.fleet_size, size) {
            log_fleet_size(&self.outputs.fleet_size.borrow());
        }
    }

    /// Runs a command. For [`Command::Leave`], returns the sender to notify once the last datagrams are sent.
    fn run_command(&mut self, command: Command) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match command {
            Command::SendRates((to, rates)) => self.machine.send_rates(now, &to, rates),
            Command::SendMessage(to, bytes) if to == self.dependencies.config.file.advertise => {
                let _ = self.outputs.messages.try_send((to, bytes)); // dropped if the queue is full
            }
            Command::SendMessage(to, bytes) => self.machine.send_message(now, to, &bytes),
            Command::Status(reply) => drop(reply.send(self.status(now))),
            Command::StopParticipating => self.activity = Activity::Replaced,
            // The node does not leave while another process of it takes part.
            Command::Leave(done) if self.is_inactive() => drop(done),
            Command::Leave(done) => {
                self.machine.leave(now);
                return Some(done);
            }
        }
        None
    }

    /// Sends the last datagrams of the node, then notifies the caller of [`Handle::leave`](super::Handle::leave).
    async fn finish_leaving(mut self, done: oneshot::Sender<()>) {
        self.run_actions();
        sleep(LEAVE_FLUSH_DELAY).await;
        let _ = done.send(()); // fails if the caller has stopped waiting
    }

    fn status(&self, now: Duration) -> Status {
        Status {
            view: self.machine.view(now),
            fleet_size: FleetCounts::from(&*self.outputs.fleet_size.borrow()),
            counters: self.machine.counters(),
            floods: self.floods,
        }
    }

    fn apply_keys(&mut self) {
        if let Some(keys) = self.dependencies.keys.borrow_and_update().clone() {
            self.machine.set_keys(keys);
        }
    }

    fn apply_phase(&mut self) {
        let (now, phase) = (self.now(), *self.dependencies.phase.borrow_and_update());
        match (phase, self.activity) {
            (Phase::HandedOver, activity) => {
                self.listener = None;
                if activity == Activity::Active {
                    self.activity = Activity::Suspended;
                }
            }
            (_, Activity::Replaced) | (Phase::Closing, Activity::Suspended) => {}
            (phase, activity) => {
                if activity == Activity::Suspended {
                    log::info!(event = "membership_resumed";
                        "resumed membership: the process that took over has ended");
                    self.activity = Activity::Active;
                    self.machine.resume(now);
                }
                self.machine.set_draining(now, phase != Phase::Serving);
            }
        }
    }

    /// Starts a task that responds to a state synchronization of another node, unless too many are running.
    fn respond_to_sync(&mut self, stream: TcpStream) {
        let Ok(permit) = self.sync_permits.clone().try_acquire_owned() else { return };
        let (challenge, requests) = (self.machine.generate_nonce(), self.sync_requests.clone());
        tokio::spawn(async move {
            if let Err(error) = state_sync::respond(stream, challenge, requests).await {
                log::debug!(event = "sync_failed", role = "responder", error:%; "state synchronization failed");
            }
            drop(permit);
        });
    }

    /// Starts a task that initiates a state synchronization with the node at an address, unless one is running.
    fn initiate_sync(&mut self, to: SocketAddr) {
        if std::mem::replace(&mut self.sync_running, true) {
            return;
        }
        let (own_address, requests) = (self.own_address(), self.sync_requests.clone());
        tokio::spawn(async move {
            if let Err(error) = state_sync::initiate(own_address, to, &requests).await {
                log::debug!(event = "sync_failed", role = "initiator", address:% = to, error:%;
                    "state synchronization failed");
            }
            let _ = requests.send(SyncRequest::Ended).await; // fails once the task has ended
        });
    }

    fn run_sync_request(&mut self, request: SyncRequest) {
        let now = self.now();
        match request {
            SyncRequest::CreateState { to, challenge, reply } => {
                let _ = reply.send(self.machine.request_sync(now, to, challenge));
            }
            SyncRequest::Respond { challenge, bytes, reply } => {
                if let Some(state) = self.machine.respond_to_sync(now, challenge, &bytes) {
                    let _ = reply.send(state);
                }
            }
            SyncRequest::Apply { pending, bytes } => drop(self.machine.complete_sync(now, pending, &bytes)),
            SyncRequest::Ended => self.sync_running = false,
        }
    }

    /// Carries out the actions that the machine requests.
    fn run_actions(&mut self) {
        while let Some(action) = self.machine.next_action() {
            match action {
                Action::Send { to, bytes } => {
                    // A datagram that can't be sent now is dropped.
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Action::SyncState { to } => self.initiate_sync(to),
                // Dropped if the queue is full.
                Action::Rates { from, rates } => drop(self.outputs.rates.try_send((from, rates))),
                Action::Message { from, bytes } => drop(self.outputs.messages.try_send((from, bytes))),
                Action::Event(event) => log_event(&event),
            }
        }
    }
}

/// Replaces the value of a channel if the new one differs, and returns whether it does.
fn replace_if_changed<T: PartialEq>(channel: &watch::Sender<T>, value: T) -> bool {
    channel.send_if_modified(|current| {
        let differs = *current != value;
        if differs {
            *current = value;
        }
        differs
    })
}
