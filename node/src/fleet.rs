//! The talk between nodes: a thin task that carries a [`Machine`]'s datagrams and streams. It decides nothing, and no
//! job waits for it: all that it tells the fronts are figures that they read when they change.

mod show;
mod stream;

pub use show::show;

use crate::config::Talk;
use crate::phase::Phase;
use fleet::{Action, Birth, Config, Machine, Note, Peer, Shown, Stand, Standing, DATAGRAM_MAX};
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use stream::Request;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{interval_at, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// Datagrams read at once, before others have their turn.
const BATCH: u32 = 32;
/// Datagrams taken in a second at most, and how many may come at once: bounds what a flood costs the jobs. What is over
/// stays with the kernel, which drops it there.
const TAKEN: f64 = 2000.0;
const BURST: f64 = 512.0;
/// Between two looks at what the decisions are told.
const LOOK: Duration = Duration::from_millis(250);
/// Words from the fronts that wait at most; one more is dropped, for a newer one follows.
const QUEUE: usize = 256;
/// Streams that others have open here at once.
const STREAMS: usize = 4;
/// For the last words of a node that leaves.
const LEAVE_WAIT: Duration = Duration::from_millis(300);
/// Between tries to listen for streams where another process of this node still does.
const LISTEN_AGAIN: Duration = Duration::from_secs(1);

/// Rates of tenants, by a hash of their names, in 64ths of a job a second; and which node tells them, or is told.
pub type Rates = (String, Vec<(u64, u16)>);

/// A word of another subsystem, and from where it came.
pub type Heard = (SocketAddr, Vec<u8>);

enum Word {
    Tell(Rates),
    Bring(SocketAddr, Vec<u8>),
    Show(oneshot::Sender<Shown>),
    Leave(oneshot::Sender<()>),
    Aside,
}

/// The way to the task.
#[derive(Clone)]
pub struct Handle {
    words: mpsc::Sender<Word>,
    stand: watch::Receiver<Stand>,
    rates: Arc<std::sync::Mutex<Option<mpsc::Receiver<Rates>>>>,
    heard: Arc<std::sync::Mutex<Option<mpsc::Receiver<Heard>>>>,
    peers: watch::Receiver<Vec<Peer>>,
    boot: u64,
}

impl Handle {
    /// What the decisions are told, as of now.
    pub fn stand(&self) -> watch::Receiver<Stand> {
        self.stand.clone()
    }

    /// What other nodes tell of their tenants; there is one reader.
    pub fn rates(&self) -> Option<mpsc::Receiver<Rates>> {
        self.rates.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take()
    }

    /// Words of other subsystems that come; there is one reader.
    pub fn heard(&self) -> Option<mpsc::Receiver<Heard>> {
        self.heard.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take()
    }

    /// The members that take jobs, as of now.
    pub fn peers(&self) -> watch::Receiver<Vec<Peer>> {
        self.peers.clone()
    }

    /// The number of this process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Brings a word of another subsystem to the node at this address, or nothing where too much waits.
    pub fn bring(&self, to: SocketAddr, bytes: Vec<u8>) {
        let _ = self.words.try_send(Word::Bring(to, bytes));
    }

    /// Tells another node the rates of tenants here, or nothing where too much waits.
    pub fn tell(&self, rates: Rates) {
        let _ = self.words.try_send(Word::Tell(rates));
    }

    /// The view and all that goes with it; `None` where the task is gone.
    pub async fn show(&self) -> Option<Shown> {
        let (tell, told) = oneshot::channel();
        self.words.send(Word::Show(tell)).await.ok()?;
        told.await.ok()
    }

    /// Logs the counters.
    pub async fn say(&self) {
        if let Some(Shown { figures: f, floods, .. }) = self.show().await {
            let r = f.refused;
            log::info!("counters: fleet sent={} sent_bytes={} received={} received_bytes={} states={} rates={} deaths={} \
                returns={} sessions={} floods={floods} oversized={} version={} seal={} malformed={} astray={} \
                replayed={} unproven={}", f.sent, f.sent_bytes, f.received, f.received_bytes, f.states, f.rates, f.deaths,
                f.returns, f.sessions, r.oversized, r.version, r.seal, r.malformed, r.astray, r.replayed, r.unproven);
        }
    }

    /// Another process of this node talks in this one's place, and this one is not heard any more: it keeps silent.
    pub fn stand_aside(&self) {
        let _ = self.words.try_send(Word::Aside); // fails where it has ended
    }

    /// The node has nothing more to do: the others are told that it leaves.
    pub async fn leave(&self) {
        let (tell, told) = oneshot::channel();
        if self.words.try_send(Word::Leave(tell)).is_ok() {
            let _ = timeout(LEAVE_WAIT, told).await;
        }
    }
}

/// What the task goes by.
pub struct Links {
    /// The node's name.
    pub name: String,
    /// The operator's file, and the keys at the start.
    pub talk: Talk,
    /// The keys, as of now.
    pub keys: watch::Receiver<Option<fleet::keys::Keys>>,
    /// The number of nodes in the settings, as of now.
    pub planned: watch::Receiver<crate::retune::Tuning>,
    /// Where the process is between its start and its end.
    pub phase: watch::Receiver<Phase>,
}

/// Starts the task. Fails where the address can't be had.
pub fn start(links: Links) -> Result<Handle, String> {
    let at = links.talk.file.listen;
    let socket = datagrams(at).map_err(|e| format!("cannot listen on {at} (fleet): {e}"))?;
    let (words, told) = mpsc::channel(QUEUE);
    let (tell_rates, rates) = mpsc::channel(QUEUE);
    let planned = links.planned.borrow().settings.siblings;
    let first = Stand { siblings: planned, ordinal: 0, senders: planned, names: Vec::new() };
    let (tell_stand, stand) = watch::channel(first);
    let (tell_heard, heard) = mpsc::channel(QUEUE);
    let (tell_peers, peers) = watch::channel(Vec::new());
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
    let birth = Birth { boot: fastrand::u64(..), unix_ms: unix.as_millis() as u64, seed: fastrand::u64(..) };
    log::info!(event = "fleet_start", fleet = file.fleet, listen:% = at, advertise:% = file.advertise,
        boot = birth.boot; "fleet: talking at {at}");
    let machine = Machine::new(config, birth, Duration::ZERO);
    let (ask, asked) = mpsc::channel(2 * STREAMS);
    let task = Task {
        machine,
        socket,
        clock,
        stand: tell_stand,
        rates: tell_rates,
        heard: tell_heard,
        peers: tell_peers,
        ask,
        asking: false,
        aside: false,
        displaced: false,
        budget: Budget { left: BURST, at: clock },
        floods: 0,
        links,
    };
    tokio::spawn(task.run(told, asked));
    let once = |receiver| Arc::new(std::sync::Mutex::new(Some(receiver)));
    let heard = Arc::new(std::sync::Mutex::new(Some(heard)));
    Ok(Handle { words, stand, rates: once(rates), heard, peers, boot: birth.boot })
}

/// Bound so that a new process of this node may bind beside the old one: from then on the new one is heard.
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

/// What may be read yet, so that a flood takes no more of the processor than it may.
struct Budget {
    left: f64,
    at: Instant,
}

impl Budget {
    fn refill(&mut self) {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * TAKEN).min(BURST);
        self.at = now;
    }
}

struct Task {
    machine: Machine,
    socket: UdpSocket,
    clock: Instant,
    stand: watch::Sender<Stand>,
    rates: mpsc::Sender<Rates>,
    heard: mpsc::Sender<Heard>,
    peers: watch::Sender<Vec<Peer>>,
    ask: mpsc::Sender<Request>,
    asking: bool,
    /// Another process of this node serves: that one talks.
    aside: bool,
    /// And this one never talks again.
    displaced: bool,
    budget: Budget,
    floods: u64,
    links: Links,
}

impl Task {
    async fn run(mut self, mut told: mpsc::Receiver<Word>, mut asked: mpsc::Receiver<Request>) {
        let own = self.links.talk.file.listen;
        let places = Arc::new(Semaphore::new(STREAMS));
        let mut listener: Option<TcpListener> = None;
        let mut listen_at = Instant::now();
        let mut look = interval_at(Instant::now() + LOOK, LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.act(own);
        loop {
            let due = self.clock + self.machine.due().min(Duration::from_secs(3600));
            let may_read = self.budget.left >= 1.0;
            if listener.is_none() && !self.aside && Instant::now() >= listen_at {
                match streams(own) {
                    Ok(bound) => listener = Some(bound),
                    Err(e) => {
                        log::debug!("fleet: no streams yet at {own}: {e}");
                        listen_at = Instant::now() + LISTEN_AGAIN;
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
                _ = self.socket.readable(), if may_read => self.read().await,
                () = sleep_until(due), if !self.aside => {
                    let now = self.now();
                    self.machine.tick(now);
                }
                _ = look.tick() => self.look(),
                Some(word) = told.recv() => {
                    if let Some(done) = self.word(word) {
                        self.act(own);
                        // To three members each: with twice as many a lost datagram is no crash.
                        sleep(LEAVE_WAIT / 10).await;
                        let _ = done.send(()); // fails where nobody waits any more
                        return;
                    }
                }
                Some(request) = asked.recv() => self.request(request),
                Ok(()) = self.links.phase.changed() => self.phase(&mut listener),
                Ok(()) = self.links.keys.changed() => {
                    if let Some(keys) = self.links.keys.borrow_and_update().clone() {
                        self.machine.keys(keys);
                    }
                }
                Ok((socket, _)) = accept => {
                    if let Ok(place) = places.clone().try_acquire_owned() {
                        let (challenge, ask) = (self.machine.challenge(), self.ask.clone());
                        tokio::spawn(async move {
                            if let Err(e) = stream::answer(socket, challenge, ask).await {
                                log::debug!("fleet: a state was not exchanged: {e}");
                            }
                            drop(place);
                        });
                    }
                }
            }
            self.act(own);
        }
    }

    fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    async fn read(&mut self) {
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..BATCH {
            if self.budget.left < 1.0 {
                self.floods += 1;
                break;
            }
            // A refusal of an earlier datagram's receiver shows here, too; it says nothing of the next one.
            let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
            self.budget.left -= 1.0;
            if !self.aside {
                self.machine.datagram(self.now(), &bytes[..length]);
            }
        }
        tokio::task::yield_now().await;
    }

    fn look(&mut self) {
        self.budget.refill();
        if self.aside {
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
        let planned = self.links.planned.borrow().settings.siblings;
        let stand = self.machine.stand(self.now(), planned);
        self.stand.send_if_modified(|old| {
            let differs = *old != stand;
            if differs {
                log::info!(event = "fleet_stand", siblings = stand.siblings, ordinal = stand.ordinal,
                    senders = stand.senders; "fleet: {} take jobs, {} may be sending", stand.siblings, stand.senders);
                *old = stand;
            }
            differs
        });
    }

    /// Returns whom to tell once the last words are out, where the node leaves.
    fn word(&mut self, word: Word) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match word {
            Word::Tell((to, rates)) => self.machine.tell(now, &to, rates),
            Word::Bring(to, bytes) if to == self.links.talk.file.advertise => {
                let _ = self.heard.try_send((to, bytes)); // one more that got lost
            }
            Word::Bring(to, bytes) => self.machine.word(now, to, &bytes),
            Word::Show(tell) => {
                let Stand { siblings, ordinal, senders, .. } = *self.stand.borrow();
                let stand = Standing { siblings, ordinal, senders };
                let figures = self.machine.figures();
                let _ =
                    tell.send(Shown { view: self.machine.view(now), stand, figures, floods: self.floods });
            }
            Word::Aside => (self.aside, self.displaced) = (true, true),
            // While another process of this node serves, the node goes on there.
            Word::Leave(done) if self.aside => drop(done),
            Word::Leave(done) => {
                self.machine.leave(now);
                return Some(done);
            }
        }
        None
    }

    fn phase(&mut self, listener: &mut Option<TcpListener>) {
        let (now, phase) = (self.now(), *self.links.phase.borrow_and_update());
        match phase {
            Phase::HandedOver => {
                self.aside = true;
                *listener = None;
            }
            _ if self.displaced => {}
            Phase::Closing if self.aside => {}
            phase => {
                if std::mem::take(&mut self.aside) {
                    log::info!(event = "resumed"; "fleet: the process that served in this one's place has ended");
                    self.machine.resume(now);
                }
                self.machine.phase(now, phase != Phase::Serving);
            }
        }
    }

    fn request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Ask { to, challenge, reply } => {
                let _ = reply.send(self.machine.ask_state(now, to, challenge));
            }
            Request::Answer { challenge, bytes, reply } => {
                if let Some(state) = self.machine.answer_state(now, challenge, &bytes) {
                    let _ = reply.send(state);
                }
            }
            Request::Take { asked, bytes } => drop(self.machine.take_state(now, asked, &bytes)),
            Request::Done => self.asking = false,
        }
    }

    fn act(&mut self, own: SocketAddr) {
        while let Some(action) = self.machine.action() {
            match action {
                Action::Send { to, bytes } => {
                    // One that can't be sent now is one that got lost.
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Action::Exchange { to } if !self.asking => {
                    self.asking = true;
                    let ask = self.ask.clone();
                    tokio::spawn(async move {
                        if let Err(e) = stream::ask(own, to, &ask).await {
                            log::debug!("fleet: no state from {to}: {e}");
                        }
                        let _ = ask.send(Request::Done).await;
                    });
                }
                Action::Exchange { .. } => {}
                Action::Rates { from, rates } => drop(self.rates.try_send((from, rates))),
                // What nobody reads in time is one that got lost.
                Action::Word { from, bytes } => drop(self.heard.try_send((from, bytes))),
                Action::Note(note) => say(&note),
            }
        }
    }
}

fn say(note: &Note) {
    match note {
        Note::Up(id) => {
            log::info!(event = "member_up", member = id.name, zone = id.zone, address:% = id.address,
            incarnation = id.incarnation, boot = id.boot, phase:? = id.phase; "fleet: {} is there", id.name)
        }
        Note::Down(id) => log::warn!(event = "member_down", member = id.name, zone = id.zone,
            address:% = id.address, incarnation = id.incarnation; "fleet: {} is held dead", id.name),
        Note::Left(id) => log::info!(event = "member_left", member = id.name, zone = id.zone,
            incarnation = id.incarnation; "fleet: {} left", id.name),
        Note::Forgotten(name) => {
            log::info!(event = "member_forgotten", member = name; "fleet: {name} is forgotten")
        }
        Note::Returned(incarnation) => log::warn!(event = "returned", incarnation = incarnation;
            "fleet: this node was held dead and is back"),
        Note::Rival(id) => log::warn!(event = "rival", address:% = id.address, boot = id.boot;
            "fleet: another process claims this node's name, at {}", id.address),
        Note::Yielded(id) => log::error!(event = "yielded", address:% = id.address, boot = id.boot;
            "fleet: yields to the newer process of its name at {}; it serves jobs and keeps out of the view",
            id.address),
    }
}
