//! Membership task: a loop over sockets, timers, commands and changes of the process.

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

/// Datagrams read before the task yields.
const READ_BATCH: u32 = 32;
/// Interval at which the published fleet size and peers are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to listen for streams while another process of this node still does.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the last datagrams of a node that leaves to be sent.
const LAST_DATAGRAMS_DELAY: Duration = LEAVE_TIMEOUT.checked_div(10).expect("above zero");
/// Longest wait for a timer of the machine: one that never fires is too far ahead for a point in time.
const TIMER_WAIT_MAX: Duration = Duration::from_secs(3600);

/// Channels to the other parts of the node.
pub(super) struct Outputs {
    pub fleet_size: watch::Sender<FleetSize>,
    pub peers: watch::Sender<Vec<Peer>>,
    pub rates: mpsc::Sender<Rates>,
    pub messages: mpsc::Sender<ReceivedMessage>,
}

/// Whether this process takes part in the fleet, or another process of this node does in its place.
#[derive(Clone, Copy, PartialEq)]
enum Activity {
    /// It takes part.
    Active,
    /// It is silent for as long as the other process runs.
    Suspended,
    /// It is silent for good.
    Replaced,
}

/// The task.
pub(super) struct Task {
    machine: Machine,
    /// Origin of the machine's clock.
    started: Instant,
    socket: UdpSocket,
    listener: Option<TcpListener>,
    listen_retry_at: Instant,
    outputs: Outputs,
    commands: mpsc::Receiver<Command>,
    update: Interval,
    activity: Activity,
    budget: DatagramBudget,
    /// How often the budget was used up.
    floods: u64,
    sync_requests: mpsc::Sender<SyncRequest>,
    sync_queue: mpsc::Receiver<SyncRequest>,
    /// Whether a state synchronization that this node initiated is under way.
    syncing: bool,
    /// One for each state synchronization that another node initiated.
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
        let mut update = interval_at(now + UPDATE_INTERVAL, UPDATE_INTERVAL);
        update.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (sync_requests, sync_queue) = mpsc::channel(2 * SYNC_STREAMS_MAX);
        Task {
            machine,
            started: now,
            socket,
            listener: None,
            listen_retry_at: now,
            outputs,
            commands,
            update,
            activity: Activity::Active,
            budget: DatagramBudget::new(now),
            floods: 0,
            sync_requests,
            sync_queue,
            syncing: false,
            sync_permits: Arc::new(Semaphore::new(SYNC_STREAMS_MAX)),
            dependencies,
        }
    }

    /// Runs until the node leaves.
    pub async fn run(mut self) {
        self.run_actions();
        loop {
            self.listen_if_due();
            let timer = self.started + self.machine.next_timeout().min(TIMER_WAIT_MAX);
            let is_active = self.activity == Activity::Active;
            tokio::select! {
                _ = self.socket.readable(), if self.budget.is_available() => self.read_datagrams().await,
                () = sleep_until(timer), if is_active => self.run_timers(),
                _ = self.update.tick() => self.publish(),
                Some(command) = self.commands.recv() => {
                    if let Some(done) = self.run_command(command) {
                        return self.end(done).await;
                    }
                }
                Some(request) = self.sync_queue.recv() => self.run_sync_request(request),
                Ok(()) = self.dependencies.phase.changed() => self.apply_phase(),
                Ok(()) = self.dependencies.keys.changed() => self.apply_keys(),
                Ok(stream) = accept(self.listener.as_ref()) => self.respond_to_sync(stream),
            }
            self.run_actions();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn own_address(&self) -> SocketAddr {
        self.dependencies.config.file.listen
    }

    fn is_silent(&self) -> bool {
        self.activity != Activity::Active
    }

    fn listen_if_due(&mut self) {
        if self.listener.is_some() || self.is_silent() || Instant::now() < self.listen_retry_at {
            return;
        }
        match listen_for_streams(self.own_address()) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                log::debug!(event = "sync_listen_failed", address:% = self.own_address(), error:%;
                    "cannot listen for state synchronizations yet");
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
            // Also fails if the receiver of an earlier datagram was unreachable, which says nothing of the next one.
            let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
            self.budget.consume();
            if !self.is_silent() {
                self.machine.handle_datagram(self.now(), &bytes[..length]);
            }
        }
        tokio::task::yield_now().await;
    }

    fn run_timers(&mut self) {
        let now = self.now();
        self.machine.handle_timeout(now);
    }

    /// Refills the budget, and publishes peers and fleet size if they have changed.
    fn publish(&mut self) {
        self.budget.refill(Instant::now());
        if self.is_silent() {
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

    /// Runs a command. Returns whom to notify once the last datagrams are sent if the node leaves.
    fn run_command(&mut self, command: Command) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match command {
            Command::SendRates((to, rates)) => self.machine.send_rates(now, &to, rates),
            Command::SendMessage(to, bytes) if to == self.dependencies.config.file.advertise => {
                let _ = self.outputs.messages.try_send((to, bytes)); // dropped if the queue is full
            }
            Command::SendMessage(to, bytes) => self.machine.send_message(now, to, &bytes),
            Command::Status(reply) => drop(reply.send(self.status(now))),
            Command::Suspend => self.activity = Activity::Replaced,
            // While another process of this node serves, the node does not leave.
            Command::Leave(done) if self.is_silent() => drop(done),
            Command::Leave(done) => {
                self.machine.leave(now);
                return Some(done);
            }
        }
        None
    }

    /// Sends the announcement of a node that leaves.
    async fn end(mut self, done: oneshot::Sender<()>) {
        self.run_actions();
        sleep(LAST_DATAGRAMS_DELAY).await;
        let _ = done.send(()); // fails if nobody waits any more
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
                    log::info!(event = "membership_resumed"; "the process that replaced this one has ended");
                    self.activity = Activity::Active;
                    self.machine.resume(now);
                }
                self.machine.set_draining(now, phase != Phase::Serving);
            }
        }
    }

    /// Starts a task that responds to the state synchronization of another node, unless too many run.
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

    /// Starts a task that initiates a state synchronization with the node at an address, unless one runs.
    fn initiate_sync(&mut self, to: SocketAddr) {
        if std::mem::replace(&mut self.syncing, true) {
            return;
        }
        let (own, requests) = (self.own_address(), self.sync_requests.clone());
        tokio::spawn(async move {
            if let Err(error) = state_sync::initiate(own, to, &requests).await {
                log::debug!(event = "sync_failed", role = "initiator", address:% = to, error:%;
                    "state synchronization failed");
            }
            let _ = requests.send(SyncRequest::Done).await; // fails once the task has ended
        });
    }

    fn run_sync_request(&mut self, request: SyncRequest) {
        let now = self.now();
        match request {
            SyncRequest::Open { to, challenge, reply } => {
                let _ = reply.send(self.machine.request_sync(now, to, challenge));
            }
            SyncRequest::Respond { challenge, bytes, reply } => {
                if let Some(state) = self.machine.respond_to_sync(now, challenge, &bytes) {
                    let _ = reply.send(state);
                }
            }
            SyncRequest::Finish { pending, bytes } => drop(self.machine.complete_sync(now, pending, &bytes)),
            SyncRequest::Done => self.syncing = false,
        }
    }

    /// Carries out what the machine requests.
    fn run_actions(&mut self) {
        while let Some(action) = self.machine.next_action() {
            match action {
                Action::Send { to, bytes } => {
                    // A datagram that can't be sent now is lost.
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

/// Publishes a value if it differs from the current one, and returns whether it does.
fn replace_if_changed<T: PartialEq>(channel: &watch::Sender<T>, value: T) -> bool {
    channel.send_if_modified(|current| {
        let differs = *current != value;
        if differs {
            *current = value;
        }
        differs
    })
}
