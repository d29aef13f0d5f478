//! Membership task: drives a [`Machine`] with sockets and timers.
//!
//! It makes no decisions, and no job waits for it: the fronts read its results from watch channels.

mod show;
mod state_sync;

pub use show::show;

use crate::config::Talk;
use crate::phase::Phase;
use membership::{
    Action, Config, FleetSize, Machine, MembershipEvent, Peer, ProcessStart, SenderCounts, Status,
    DATAGRAM_MAX,
};
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use state_sync::SyncRequest;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{interval_at, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// Datagrams read before the task yields.
const READ_BATCH: u32 = 32;
/// Datagrams read per second, in the long run. Bounds the processor time that a flood takes from the jobs; the kernel
/// drops the excess.
const DATAGRAM_RATE: f64 = 2000.0;
/// Datagrams read at once, above that rate.
const DATAGRAM_BURST: f64 = 512.0;
/// Interval at which the published fleet size and peers are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Length of the queues to and from the task. A full queue drops what is sent: a newer message follows.
const QUEUE: usize = 256;
/// State synchronizations that other nodes may have open here at once.
const STREAMS: usize = 4;
/// Time limit for the announcement of a node that leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between attempts to listen for streams while another process of this node still does.
const LISTEN_RETRY: Duration = Duration::from_secs(1);

/// Name of the sending or receiving node, and rates of tenants by the hash of their names, in 1/64 of a job per second.
pub type Rates = (String, Vec<(u64, u16)>);

/// Address of the sender, and a message of another subsystem.
pub type ReceivedMessage = (SocketAddr, Vec<u8>);

/// The receiving end of a queue, until its one reader takes it.
type Receiver<T> = Arc<Mutex<Option<mpsc::Receiver<T>>>>;

enum Command {
    SendRates(Rates),
    SendMessage(SocketAddr, Vec<u8>),
    Status(oneshot::Sender<Status>),
    Leave(oneshot::Sender<()>),
    Suspend,
}

/// Handle to the task.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    fleet_size: watch::Receiver<FleetSize>,
    rates: Receiver<Rates>,
    messages: Receiver<ReceivedMessage>,
    peers: watch::Receiver<Vec<Peer>>,
    boot: u64,
}

impl Handle {
    /// Fleet size, for the decisions of the fronts.
    pub fn fleet_size(&self) -> watch::Receiver<FleetSize> {
        self.fleet_size.clone()
    }

    /// Rates that other nodes send; `None` for any but the first caller.
    pub fn rates(&self) -> Option<mpsc::Receiver<Rates>> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Messages of other subsystems; `None` for any but the first caller.
    pub fn messages(&self) -> Option<mpsc::Receiver<ReceivedMessage>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Members that take jobs.
    pub fn peers(&self) -> watch::Receiver<Vec<Peer>> {
        self.peers.clone()
    }

    /// Number of this process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Sends a message of another subsystem to the node at an address. Dropped if the queue is full.
    pub fn send_message(&self, to: SocketAddr, bytes: Vec<u8>) {
        let _ = self.commands.try_send(Command::SendMessage(to, bytes));
    }

    /// Sends the rates of this node's tenants to another node. Dropped if the queue is full.
    pub fn send_rates(&self, rates: Rates) {
        let _ = self.commands.try_send(Command::SendRates(rates));
    }

    /// Status report; `None` once the task has ended.
    pub async fn status(&self) -> Option<Status> {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(Command::Status(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Logs the counters.
    pub async fn log_counters(&self) {
        if let Some(Status { counters: c, floods, .. }) = self.status().await {
            let r = c.refused;
            log::info!("counters: fleet sent={} sent_bytes={} received={} received_bytes={} states={} rates={} deaths={} \
                returns={} sessions={} floods={floods} oversized={} version={} seal={} malformed={} astray={} \
                replayed={} unproven={}", c.sent, c.sent_bytes, c.received, c.received_bytes, c.states, c.rates, c.deaths,
                c.returns, c.sessions, r.oversized, r.version, r.seal, r.malformed, r.astray, r.replayed, r.unproven);
        }
    }

    /// Silences this process for good: another process of this node has taken its place.
    pub fn suspend(&self) {
        let _ = self.commands.try_send(Command::Suspend); // fails once the task has ended
    }

    /// Announces that this node leaves, and ends the task.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.try_send(Command::Leave(sender)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, receiver).await;
        }
    }
}

/// Inputs of the task.
pub struct Links {
    /// Name of the node.
    pub name: String,
    /// Configuration file, and the keys at the start.
    pub talk: Talk,
    /// Current keys.
    pub keys: watch::Receiver<Option<membership::keys::Keys>>,
    /// Current settings, for the planned number of nodes.
    pub planned: watch::Receiver<crate::retune::Tuning>,
    /// Phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// Starts the task.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(links: Links) -> Result<Handle, String> {
    let at = links.talk.file.listen;
    let socket = datagrams(at).map_err(|e| format!("cannot listen on {at} (fleet): {e}"))?;
    let (commands, command_queue) = mpsc::channel(QUEUE);
    let (rate_sender, rates) = mpsc::channel(QUEUE);
    let planned = links.planned.borrow().settings.dispatchers;
    let initial = FleetSize { siblings: planned, ordinal: 0, senders: planned, names: Vec::new() };
    let (fleet_size_sender, fleet_size) = watch::channel(initial);
    let (message_sender, messages) = mpsc::channel(QUEUE);
    let (peer_sender, peers) = watch::channel(Vec::new());
    let clock = Instant::now();
    let file = &links.talk.file;
    let config = Config {
        fleet: file.fleet.clone(),
        name: links.name.clone(),
        zone: file.zone.clone(),
        advertise: file.advertise,
        seeds: file.seeds.clone(),
        keys: links.talk.keys.clone(),
        timing: file.timing.clone(),
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let start =
        ProcessStart { boot: fastrand::u64(..), unix_ms: unix.as_millis() as u64, seed: fastrand::u64(..) };
    log::info!(event = "fleet_start", fleet = file.fleet, listen:% = at, advertise:% = file.advertise,
        boot = start.boot; "fleet: talking at {at}");
    let machine = Machine::new(config, start, Duration::ZERO);
    let (sync_sender, sync_queue) = mpsc::channel(2 * STREAMS);
    let task = Task {
        machine,
        socket,
        clock,
        fleet_size: fleet_size_sender,
        rates: rate_sender,
        messages: message_sender,
        peers: peer_sender,
        sync_requests: sync_sender,
        syncing: false,
        suspended: false,
        replaced: false,
        budget: Budget { left: DATAGRAM_BURST, updated: clock },
        floods: 0,
        links,
    };
    tokio::spawn(task.run(command_queue, sync_queue));
    let (rates, messages) = (receiver(rates), receiver(messages));
    Ok(Handle { commands, fleet_size, rates, messages, peers, boot: start.boot })
}

fn receiver<T>(queue: mpsc::Receiver<T>) -> Receiver<T> {
    Arc::new(Mutex::new(Some(queue)))
}

/// Binds a UDP socket with SO_REUSEADDR, so that a new process of this node can bind beside the old one; from then on
/// the kernel delivers to the new one.
pub(crate) fn datagrams(at: SocketAddr) -> io::Result<UdpSocket> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::DGRAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &at)?;
    UdpSocket::from_std(std::net::UdpSocket::from(socket))
}

fn streams(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(STREAMS as u32)
}

/// Token bucket of the datagrams that may be read. Guards the jobs against a flood of datagrams.
struct Budget {
    left: f64,
    updated: Instant,
}

impl Budget {
    fn refill(&mut self) {
        let now = Instant::now();
        let elapsed = (now - self.updated).as_secs_f64();
        self.left = (self.left + elapsed * DATAGRAM_RATE).min(DATAGRAM_BURST);
        self.updated = now;
    }
}

struct Task {
    machine: Machine,
    socket: UdpSocket,
    clock: Instant,
    fleet_size: watch::Sender<FleetSize>,
    rates: mpsc::Sender<Rates>,
    messages: mpsc::Sender<ReceivedMessage>,
    peers: watch::Sender<Vec<Peer>>,
    sync_requests: mpsc::Sender<SyncRequest>,
    /// A state synchronization that this node initiated is under way.
    syncing: bool,
    /// Another process of this node serves, and this one keeps silent.
    suspended: bool,
    /// That process has taken this one's place for good.
    replaced: bool,
    budget: Budget,
    floods: u64,
    links: Links,
}

impl Task {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut sync_requests: mpsc::Receiver<SyncRequest>,
    ) {
        let own = self.links.talk.file.listen;
        let permits = Arc::new(Semaphore::new(STREAMS));
        let mut listener: Option<TcpListener> = None;
        let mut listen_at = Instant::now();
        let mut update = interval_at(Instant::now() + UPDATE_INTERVAL, UPDATE_INTERVAL);
        update.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.run_actions(own);
        loop {
            let due = self.clock + self.machine.due().min(Duration::from_secs(3600));
            let may_read = self.budget.left >= 1.0;
            if listener.is_none() && !self.suspended && Instant::now() >= listen_at {
                match streams(own) {
                    Ok(bound) => listener = Some(bound),
                    Err(e) => {
                        log::debug!("fleet: no streams yet at {own}: {e}");
                        listen_at = Instant::now() + LISTEN_RETRY;
                    }
                }
            }
            let accept = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = self.socket.readable(), if may_read => self.read_datagrams().await,
                () = sleep_until(due), if !self.suspended => {
                    let now = self.now();
                    self.machine.tick(now);
                }
                _ = update.tick() => self.update(),
                Some(command) = commands.recv() => {
                    if let Some(done) = self.run_command(command) {
                        self.run_actions(own);
                        // The machine has announced it to three members; time for the datagrams to be sent.
                        sleep(LEAVE_TIMEOUT / 10).await;
                        let _ = done.send(()); // fails if nobody waits any more
                        return;
                    }
                }
                Some(request) = sync_requests.recv() => self.sync_request(request),
                Ok(()) = self.links.phase.changed() => self.phase_changed(&mut listener),
                Ok(()) = self.links.keys.changed() => {
                    if let Some(keys) = self.links.keys.borrow_and_update().clone() {
                        self.machine.keys(keys);
                    }
                }
                Ok((socket, _)) = accept => {
                    if let Ok(permit) = permits.clone().try_acquire_owned() {
                        let (challenge, requests) = (self.machine.challenge(), self.sync_requests.clone());
                        tokio::spawn(async move {
                            if let Err(e) = state_sync::respond(socket, challenge, requests).await {
                                log::debug!("fleet: a state was not exchanged: {e}");
                            }
                            drop(permit);
                        });
                    }
                }
            }
            self.run_actions(own);
        }
    }

    fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    async fn read_datagrams(&mut self) {
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_BATCH {
            if self.budget.left < 1.0 {
                self.floods += 1;
                break;
            }
            // Also fails if the receiver of an earlier datagram was unreachable, which says nothing of the next one.
            let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
            self.budget.left -= 1.0;
            if !self.suspended {
                self.machine.datagram(self.now(), &bytes[..length]);
            }
        }
        tokio::task::yield_now().await;
    }

    fn update(&mut self) {
        self.budget.refill();
        if self.suspended {
            return;
        }
        if !self.peers.is_closed() {
            let peers = self.machine.peers();
            self.peers.send_if_modified(|old| {
                let differs = *old != peers;
                if differs {
                    *old = peers;
                }
                differs
            });
        }
        let planned = self.links.planned.borrow().settings.dispatchers;
        let size = self.machine.fleet_size(self.now(), planned);
        self.fleet_size.send_if_modified(|old| {
            let differs = *old != size;
            if differs {
                log::info!(event = "fleet_stand", siblings = size.siblings, ordinal = size.ordinal,
                    senders = size.senders; "fleet: {} take jobs, {} may be sending", size.siblings, size.senders);
                *old = size;
            }
            differs
        });
    }

    /// Runs a command. Returns whom to notify once the last datagrams are sent if the node leaves.
    fn run_command(&mut self, command: Command) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match command {
            Command::SendRates((to, rates)) => self.machine.send_rates(now, &to, rates),
            Command::SendMessage(to, bytes) if to == self.links.talk.file.advertise => {
                let _ = self.messages.try_send((to, bytes)); // dropped if the queue is full
            }
            Command::SendMessage(to, bytes) => self.machine.send_message(now, to, &bytes),
            Command::Status(reply) => drop(reply.send(self.status(now))),
            Command::Suspend => (self.suspended, self.replaced) = (true, true),
            // While another process of this node serves, the node does not leave.
            Command::Leave(done) if self.suspended => drop(done),
            Command::Leave(done) => {
                self.machine.leave(now);
                return Some(done);
            }
        }
        None
    }

    fn status(&self, now: Duration) -> Status {
        Status {
            view: self.machine.view(now),
            fleet_size: SenderCounts::from(&*self.fleet_size.borrow()),
            counters: self.machine.counters(),
            floods: self.floods,
        }
    }

    fn phase_changed(&mut self, listener: &mut Option<TcpListener>) {
        let (now, phase) = (self.now(), *self.links.phase.borrow_and_update());
        match phase {
            Phase::HandedOver => {
                self.suspended = true;
                *listener = None;
            }
            _ if self.replaced => {}
            Phase::Closing if self.suspended => {}
            phase => {
                if std::mem::take(&mut self.suspended) {
                    log::info!(event = "resumed"; "fleet: the process that served in this one's place has ended");
                    self.machine.resume(now);
                }
                self.machine.phase(now, phase != Phase::Serving);
            }
        }
    }

    fn sync_request(&mut self, request: SyncRequest) {
        let now = self.now();
        match request {
            SyncRequest::Open { to, challenge, reply } => {
                let _ = reply.send(self.machine.request_sync(now, to, challenge));
            }
            SyncRequest::Respond { challenge, bytes, reply } => {
                if let Some(state) = self.machine.answer_sync(now, challenge, &bytes) {
                    let _ = reply.send(state);
                }
            }
            SyncRequest::Finish { pending, bytes } => drop(self.machine.finish_sync(now, pending, &bytes)),
            SyncRequest::Done => self.syncing = false,
        }
    }

    fn run_actions(&mut self, own: SocketAddr) {
        while let Some(action) = self.machine.action() {
            match action {
                Action::Send { to, bytes } => {
                    // A datagram that can't be sent now is lost.
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Action::SyncState { to } if !self.syncing => {
                    self.syncing = true;
                    let requests = self.sync_requests.clone();
                    tokio::spawn(async move {
                        if let Err(e) = state_sync::initiate(own, to, &requests).await {
                            log::debug!("fleet: no state from {to}: {e}");
                        }
                        let _ = requests.send(SyncRequest::Done).await;
                    });
                }
                Action::SyncState { .. } => {}
                Action::Rates { from, rates } => drop(self.rates.try_send((from, rates))),
                // Dropped if the queue is full.
                Action::Message { from, bytes } => drop(self.messages.try_send((from, bytes))),
                Action::Event(event) => log_event(&event),
            }
        }
    }
}

fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::Up(id) => {
            log::info!(event = "member_up", member = id.name, zone = id.zone, address:% = id.address,
            incarnation = id.incarnation, boot = id.boot, phase:? = id.phase; "fleet: {} is there", id.name)
        }
        MembershipEvent::Down(id) => log::warn!(event = "member_down", member = id.name, zone = id.zone,
            address:% = id.address, incarnation = id.incarnation; "fleet: {} is held dead", id.name),
        MembershipEvent::Left(id) => log::info!(event = "member_left", member = id.name, zone = id.zone,
            incarnation = id.incarnation; "fleet: {} left", id.name),
        MembershipEvent::Forgotten(name) => {
            log::info!(event = "member_forgotten", member = name; "fleet: {name} is forgotten")
        }
        MembershipEvent::Returned(incarnation) => log::warn!(event = "returned", incarnation = incarnation;
            "fleet: this node was held dead and is back"),
        MembershipEvent::NameConflict(id) => {
            log::warn!(event = "rival", address:% = id.address, boot = id.boot;
            "fleet: another process claims this node's name, at {}", id.address)
        }
        MembershipEvent::Yielded(id) => {
            log::error!(event = "yielded", address:% = id.address, boot = id.boot;
            "fleet: yields to the newer process of its name at {}; it serves jobs and keeps out of the view",
            id.address)
        }
    }
}
