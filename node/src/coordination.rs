//! The duties that one node holds at a time: a thin task that carries the words of a [`Client`] and, where there is a state
//! folder, of a [`Voter`], and does what the duties held here ask for. No job waits for it.

mod list_delivery;
mod rolling_restart;
mod scheduled_call;
mod status;
mod store_folder;

pub use list_delivery::Lists;
pub use rolling_restart::{RestartMessage, RestartRequest};
pub use status::{print_status, send_command};

use crate::counters::Counters;
use crate::membership;
use crate::phase::{Phase, Phases};
use ::coordination::{
    BroadcastMessage, BroadcastMetrics, Client, ClientAction, ClusterStatus, Holder, LeaseLost, Message,
    Operation, Outcome, Store, StoreContents, StoreError, Timing, Voter, VoterAction, VoterConfig,
    VoterEvent, VoterMember, VoterMetrics, VoterState,
};
use ::membership::file::{CoordinationSection, ScheduledCall};
use ::membership::{name_hash, Peer};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store_folder::Why;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};

/// Before a store whose disk failed is opened again, at first ...
const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// ... and after many failures.
const REOPEN_PAUSE_MAX: Duration = Duration::from_secs(16);

/// Wishes of operators that wait at most.
const QUEUE: usize = 16;
/// Nodes that ask for one duty, by a draw that is the same everywhere: with all of them asking, the voters would have more
/// to do the larger the fleet is.
const CANDIDATES: usize = 3;
/// Between two tries to open a folder that another process of this node has.
const OPEN_AGAIN: Duration = Duration::from_millis(200);
/// For the voters' answer to an operator, and for each voter's.
const ASK_WAIT: Duration = Duration::from_millis(800);
const ASK_EACH: Duration = Duration::from_millis(200);
/// For the last words of a node that ends.
const LEAVE_WAIT: Duration = Duration::from_millis(300);
/// Between two looks at which duties are wanted, where nothing changed.
const SEEK_AGAIN: Duration = Duration::from_secs(2);
/// Between two looks at what is to be done for the duties held here.
const LOOK: Duration = Duration::from_millis(10);

/// What nodes tell each other beside their view.
#[derive(Serialize, Deserialize)]
pub enum NodeMessage {
    /// Between voters and clients.
    Coordination(Message),
    /// Between nodes of a zone.
    Lists(BroadcastMessage),
    /// Between the holder of the roll and the nodes.
    RollingRestart(rolling_restart::RestartMessage),
}

/// A clock that goes on while the machine sleeps.
fn boottime() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// What a node tells of the duties.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: String,
    /// How its voter stands, where it has one.
    pub voter: Option<VoterState>,
    /// Its voter's counters.
    #[serde(rename = "figures")]
    pub metrics: VoterMetrics,
    /// What it holds itself: duty, token, and for how many milliseconds it may yet act.
    #[serde(rename = "here")]
    pub held: Vec<(String, u64, u64)>,
    /// How it comes to its worker list, where one node follows discovery for its zone.
    pub lists: Option<ListBroadcastStatus>,
    /// Acts that were refused because a later holder had been seen.
    pub refused: u64,
    /// What the voters tell; `None` where no leader answers.
    #[serde(rename = "told")]
    pub cluster: Option<ClusterStatus>,
}

/// How a node comes to its worker list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListBroadcastStatus {
    /// Whether it asks discovery itself.
    #[serde(rename = "asks")]
    pub polls_discovery: bool,
    /// The version that it has.
    pub version: u64,
    /// Counters.
    #[serde(rename = "counts")]
    pub metrics: BroadcastMetrics,
}

enum Command {
    Status(oneshot::Sender<Status>),
    Request(Operation, oneshot::Sender<Outcome>),
    RollingRestart(String, RestartRequest, oneshot::Sender<bool>),
    Shutdown(oneshot::Sender<()>),
}

/// The way to the task.
#[derive(Clone)]
pub struct Handle(mpsc::Sender<Command>);

impl Handle {
    /// What this node and the voters tell; `None` where the task is gone.
    pub async fn status(&self) -> Option<Status> {
        let told = match self.request(Operation::Status).await {
            Some(Outcome::Status(told)) => Some(*told),
            _ => None,
        };
        let (tell, shown) = oneshot::channel();
        self.0.send(Command::Status(tell)).await.ok()?;
        let shown = shown.await.ok()?;
        Some(Status { cluster: told, ..shown })
    }

    /// An operator's wish; `None` where no leader answers.
    pub async fn request(&self, wish: Operation) -> Option<Outcome> {
        let (tell, told) = oneshot::channel();
        self.0.send(Command::Request(wish, tell)).await.ok()?;
        timeout(ASK_WAIT, told).await.ok()?.ok()
    }

    /// An operator wants a roll to begin or to stop: whom that was told, or why not.
    pub async fn request_restart(&self, wanted: RestartRequest) -> Result<String, String> {
        let Some(Outcome::Status(told)) = self.request(Operation::Status).await else {
            return Err("no voter that leads answers".to_string());
        };
        let held = |ms: &u64| *ms > 0;
        let held = told.remaining_ms.iter().any(|(duty, ms)| duty == rolling_restart::DUTY && held(ms));
        let Some(holder) = told.table.holder(rolling_restart::DUTY).filter(|_| held) else {
            return Err("nobody holds the duty 'roll': does the fleet's file say roll = true?".to_string());
        };
        let (tell, said) = oneshot::channel();
        let order = Command::RollingRestart(holder.name.clone(), wanted, tell);
        let sent = self.0.send(order).await.is_ok() && said.await.unwrap_or(false);
        sent.then(|| holder.name.clone()).ok_or(format!("{} holds it and is not in the view", holder.name))
    }

    /// The node ends: its duties are given back, and another voter leads.
    pub async fn shutdown(&self) {
        let (tell, told) = oneshot::channel();
        if self.0.try_send(Command::Shutdown(tell)).is_ok() {
            let _ = timeout(LEAVE_WAIT, told).await;
        }
    }
}

/// What the task goes by.
pub struct Dependencies {
    /// The node's name.
    pub name: String,
    /// The fleet's.
    pub fleet_name: String,
    /// Its zone.
    pub zone: String,
    /// Where the other nodes reach it.
    pub own: SocketAddr,
    /// The section of the operator's file.
    pub file: CoordinationSection,
    /// Where a voter's state is.
    pub folder: Option<PathBuf>,
    /// The talk between nodes.
    pub fleet: membership::Handle,
    /// Where the process is between its start and its end.
    pub phase: watch::Receiver<Phase>,
    /// The way to who follows discovery, where that is shared.
    pub lists: Option<Lists>,
    /// What a roll tells to drain and to end.
    pub phases: Phases,
    /// How the jobs here end.
    pub counters: Arc<Counters>,
}

/// Starts the task.
pub fn start(links: Dependencies) -> Handle {
    let (orders, told) = mpsc::channel(QUEUE);
    let who = Holder { name: links.name.clone(), process_id: links.fleet.process_id() };
    let timing = Timing { lease: links.file.lease_duration, election: links.file.election_timeout };
    let voters = links.file.voters.iter().map(|(_, at)| *at).collect();
    let (wrote, written) = mpsc::channel(4);
    let phase = *links.phase.borrow();
    let mut links = links;
    if let Some(lists) = &mut links.lists {
        lists.named(&links.name);
    }
    let task = Task {
        client: Client::new(who, timing, voters),
        timing,
        voter: None,
        opening: false,
        reopen: Reopen::default(),
        wrote,
        asked: BTreeMap::new(),
        calls: BTreeMap::new(),
        refused: 0,
        phase,
        roll: rolling_restart::Hand::default(),
        links,
    };
    tokio::spawn(task.run(told, written));
    Handle(orders)
}

/// What comes back from the threads that wait for the disk, and from calls.
enum Done {
    Opened(Result<Box<(Store, StoreContents)>, Why>),
    Written(u64, Result<(), StoreError>),
    Called(String, u64, scheduled_call::Outcome),
}

struct Asked {
    tell: oneshot::Sender<Outcome>,
    wish: Operation,
    at: Duration,
    again: Duration,
}

/// A call that is made while its duty is held here.
struct Due {
    next: Duration,
    out: bool,
}

/// When a store whose disk failed is opened again.
struct Reopen {
    at: Duration,
    pause: Duration,
}

impl Default for Reopen {
    fn default() -> Self {
        Reopen { at: Duration::MAX, pause: REOPEN_PAUSE }
    }
}

impl Reopen {
    /// Sets the next try: each pause is twice the last.
    fn plan(&mut self, now: Duration) {
        self.at = now + self.pause;
        self.pause = (self.pause * 2).min(REOPEN_PAUSE_MAX);
    }
}

struct Task {
    links: Dependencies,
    timing: Timing,
    client: Client,
    voter: Option<(Voter, Arc<Store>)>,
    opening: bool,
    reopen: Reopen,
    wrote: mpsc::Sender<Done>,
    asked: BTreeMap<u64, Asked>,
    calls: BTreeMap<String, Due>,
    refused: u64,
    phase: Phase,
    roll: rolling_restart::Hand,
}

fn errand_duty(call: &ScheduledCall) -> String {
    format!("errand/{}", call.name)
}

impl Task {
    async fn run(mut self, mut orders: mpsc::Receiver<Command>, mut done: mpsc::Receiver<Done>) {
        let Some(mut heard) = self.links.fleet.take_messages() else { return };
        let mut told = self.links.lists.as_mut().and_then(|l| l.told.take());
        let mut peers = self.links.fleet.peers();
        let mut phase = self.links.phase.clone();
        self.open();
        let mut again = interval(SEEK_AGAIN);
        again.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.act();
            let now = boottime();
            let due = self.due(now).saturating_sub(now).min(Duration::from_secs(3600));
            tokio::select! {
                () = sleep_until(Instant::now() + due) => self.tick(),
                Some((from, bytes)) = heard.recv() => self.hear(from, &bytes),
                Some(outcome) = done.recv() => self.done(outcome),
                Some(list) = list_delivery::next(&mut told) => {
                    let (now, holds) = (boottime(), self.holds_lists());
                    self.lists(|l| l.told(now, &list, holds));
                }
                _ = again.tick() => self.seek(&peers.borrow().clone()),
                Ok(()) = peers.changed() => self.seek(&peers.borrow_and_update().clone()),
                Ok(()) = phase.changed() => {
                    let now = *phase.borrow_and_update();
                    self.turn(now);
                    let all = peers.borrow().clone();
                    self.seek(&all);
                }
                Some(order) = orders.recv() => match order {
                    Command::Status(tell) => drop(tell.send(self.shown())),
                    Command::Request(wish, tell) => self.ask(wish, tell),
                    Command::RollingRestart(holder, wanted, tell) => {
                        let to = peers.borrow().iter().find(|p| p.name == holder).map(|p| p.address);
                        if let Some(to) = to {
                            self.say(to, &NodeMessage::RollingRestart(rolling_restart::RestartMessage::Requested(wanted)));
                        }
                        let _ = tell.send(to.is_some()); // fails where nobody waits any more
                    }
                    Command::Shutdown(tell) => {
                        self.seek(&[]);
                        if let Some((voter, _)) = &mut self.voter {
                            voter.transfer_leadership(boottime());
                        }
                        self.act();
                        // The words are with the talk's task now, which sends them before its own last ones.
                        sleep(LEAVE_WAIT / 10).await;
                        let _ = tell.send(()); // fails where nobody waits any more
                        return;
                    }
                },
            }
        }
    }

    fn due(&self, now: Duration) -> Duration {
        let voter = self.voter.as_ref().map_or(Duration::MAX, |(v, _)| v.next_tick());
        let asked = self.asked.values().map(|a| a.again).min().unwrap_or(Duration::MAX);
        let held = |name: &str| self.client.may_act(now, name).is_some();
        let calls = self.calls.iter().filter(|(name, c)| !c.out && held(name)).map(|(_, c)| c.next);
        let calls = calls.min().map_or(Duration::MAX, |at| at.max(now + LOOK));
        let lists = self.links.lists.as_ref().map_or(Duration::MAX, Lists::due);
        self.client
            .next_tick()
            .min(voter)
            .min(asked)
            .min(calls)
            .min(lists)
            .min(self.roll.due())
            .min(self.reopen.at)
    }

    fn tick(&mut self) {
        let now = boottime();
        if now >= self.client.next_tick() {
            self.client.tick(now);
        }
        if now >= self.reopen.at {
            self.reopen.at = Duration::MAX;
            self.open();
        }
        if let Some((voter, _)) = &mut self.voter {
            if now >= voter.next_tick() {
                voter.tick(now);
            }
        }
        let late: Vec<u64> = self.asked.iter().filter(|(_, a)| now >= a.again).map(|(n, _)| *n).collect();
        for number in late {
            // The one that was asked may be gone: the next one, with the time that is left.
            let Some(asked) = self.asked.remove(&number) else { continue };
            self.client.try_next_voter();
            if now - asked.at < ASK_WAIT {
                self.question(asked.wish, asked.tell, asked.at);
            }
        }
        self.call(now);
        if now >= self.roll.due() {
            self.roll_on(now);
        }
        if self.links.lists.as_ref().is_some_and(|l| now >= l.due()) {
            let holds = self.holds_lists();
            self.lists(|l| l.tick(now, holds));
        }
    }

    fn lists_duty(&self) -> String {
        format!("lists/{}", self.links.zone)
    }

    /// Asked right before each word that a holder says to its zone.
    fn holds_lists(&self) -> bool {
        self.client.may_act(boottime(), &self.lists_duty()).is_some()
    }

    /// Does something with the zone's list, and brings the words that come of it.
    fn lists(&mut self, what: impl FnOnce(&mut Lists)) {
        let Some(lists) = &mut self.links.lists else { return };
        what(lists);
        for (to, gossip) in lists.carry_out() {
            self.say(to, &NodeMessage::Lists(gossip));
        }
        if self.links.lists.as_mut().is_some_and(|l| l.failing(boottime())) {
            // Discovery does not answer here, and may answer another.
            let duty = self.lists_duty();
            self.client.release(boottime(), &duty);
        }
    }

    /// The wanted duties of this node, as the view of the fleet has it: who asks is only a matter of load, never of right.
    fn seek(&mut self, peers: &[Peer]) {
        let (now, serving) = (boottime(), self.phase.up());
        let boot = self.links.fleet.process_id();
        let here = serving && peers.iter().any(|p| p.name == self.links.name && p.process_id == boot);
        let all: Vec<&Peer> = peers.iter().collect();
        let zone: Vec<&Peer> = peers.iter().filter(|p| p.zone == self.links.zone).collect();
        let mut duties: Vec<(String, &[&Peer])> =
            self.links.file.scheduled_calls.iter().map(|e| (errand_duty(e), &all[..])).collect();
        if let Some(lists) = &mut self.links.lists {
            lists.peers(&zone);
            if !lists.failed(now) {
                duties.push((format!("lists/{}", self.links.zone), &zone[..]));
            }
        }
        if self.links.file.roll {
            duties.push((rolling_restart::DUTY.to_string(), &all[..]));
        }
        for (duty, peers) in duties {
            let place = |name: &str| name_hash(&format!("{duty}\n{name}"));
            let own = place(&self.links.name);
            let before = peers.iter().filter(|p| place(&p.name) < own).count();
            // Whoever holds it keeps it: a fleet that grows is no reason to hand it on.
            let keeps = self.client.may_act(now, &duty).is_some();
            if here && (before < CANDIDATES || keeps) {
                self.client.acquire(now, &duty);
            } else {
                self.client.release(now, &duty);
            }
        }
    }

    fn turn(&mut self, phase: Phase) {
        let before = std::mem::replace(&mut self.phase, phase);
        match phase {
            // The process that serves now wants the folder.
            Phase::HandedOver => self.voter = None,
            Phase::Stopping | Phase::Closing => {
                if let Some((voter, _)) = &mut self.voter {
                    voter.transfer_leadership(boottime());
                }
            }
            _ if before == Phase::HandedOver => self.open(),
            _ => {}
        }
    }

    fn open(&mut self) {
        let Some(folder) = self.links.folder.clone().filter(|_| !self.opening) else { return };
        let (fleet, name, wrote) =
            (self.links.fleet_name.clone(), self.links.name.clone(), self.wrote.clone());
        self.opening = true;
        tokio::task::spawn_blocking(move || {
            let mut opened = store_folder::open(&folder, &fleet, &name);
            while matches!(opened, Err(Why::InUse)) && !wrote.is_closed() {
                std::thread::sleep(OPEN_AGAIN);
                opened = store_folder::open(&folder, &fleet, &name);
            }
            let _ = wrote.blocking_send(Done::Opened(opened.map(Box::new)));
        });
    }

    fn done(&mut self, outcome: Done) {
        let now = boottime();
        match outcome {
            Done::Opened(_) if self.phase == Phase::HandedOver => self.opening = false,
            Done::Opened(Ok(opened)) => {
                self.opening = false;
                let (store, disk) = *opened;
                log::info!(event = "duties_store", disk = disk.identity.disk_id, starts = disk.identity.starts;
                    "duties: the voter's folder is open, start {}", disk.identity.starts);
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let seat = |(name, address): &(String, SocketAddr)| VoterMember {
                    name: name.clone(),
                    address: *address,
                };
                let setup = VoterConfig {
                    member: VoterMember { name: self.links.name.clone(), address: self.links.own },
                    founders: self.links.file.voters.iter().map(seat).collect(),
                    timing: self.timing,
                    process_id: self.links.fleet.process_id(),
                    seed: fastrand::u64(..),
                    unix_ms: unix.saturating_sub(now).as_millis() as u64,
                };
                self.voter = Some((Voter::new(setup, disk, now), Arc::new(store)));
            }
            Done::Opened(Err(why)) => {
                self.opening = false;
                let why = match why {
                    Why::InUse => "another process has it".to_string(),
                    Why::Refused(why) => {
                        log::warn!(event = "duties_store_refused", why = why;
                            "duties: the voter's folder can't be opened now: {why}");
                        return self.reopen.plan(now);
                    }
                    Why::Bad(why) => why,
                };
                log::error!(event = "duties_store_bad", why = why;
                    "duties: this node is no voter: its folder can't be used: {why}");
            }
            Done::Written(number, outcome) => {
                let failed = outcome.is_err();
                if let Some((voter, _)) = &mut self.voter {
                    voter.persisted(now, number, outcome);
                }
                if failed {
                    self.reopen_later(now);
                } else {
                    self.reopen.pause = REOPEN_PAUSE;
                }
            }
            Done::Called(name, token, outcome) => self.called(&name, token, outcome),
        }
    }

    /// Guards the duties against a disk that fails for a while. What was acknowledged is on the disk, whatever became of
    /// the write that failed; so the voter goes on from what is read back, as after a crash.
    fn reopen_later(&mut self, now: Duration) {
        self.act(); // what the voter had to say of it
        self.voter = None;
        self.reopen.plan(now);
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = boottime();
        match postcard::from_bytes::<NodeMessage>(bytes) {
            Ok(NodeMessage::Coordination(Message::Response(answer)))
                if answer.process_id != self.links.fleet.process_id() => {}
            Ok(NodeMessage::Coordination(Message::Response(answer))) => {
                if let Outcome::Status(told) = &answer.outcome {
                    self.client.update_voters(told);
                }
                let elsewhere = matches!(answer.outcome, Outcome::NotLeader(_) | Outcome::ConfirmReceipt);
                if let Some(asked) = self.asked.remove(&answer.request_id) {
                    match elsewhere {
                        false => drop(asked.tell.send(answer.outcome.clone())),
                        true => {
                            self.client.receive(now, from, answer);
                            // Not in a spin where none leads.
                            let later = now + ASK_EACH / 6;
                            self.asked.insert(
                                u64::MAX - asked.at.as_nanos() as u64,
                                Asked { again: later, ..asked },
                            );
                            return;
                        }
                    }
                }
                self.client.receive(now, from, answer);
            }
            Ok(NodeMessage::RollingRestart(word)) => self.roll_word(from, word),
            Ok(NodeMessage::Lists(gossip)) => self.lists(|l| l.hear(now, from, gossip)),
            Ok(NodeMessage::Coordination(word)) => {
                if let Some((voter, _)) = &mut self.voter {
                    voter.receive(now, from, word);
                }
            }
            Err(_) => log::debug!("duties: a word from {from} can't be read"),
        }
    }

    fn ask(&mut self, wish: Operation, tell: oneshot::Sender<Outcome>) {
        if self.asked.len() < QUEUE {
            self.question(wish, tell, boottime());
        }
    }

    fn question(&mut self, wish: Operation, tell: oneshot::Sender<Outcome>, at: Duration) {
        let now = boottime();
        let Some(to) = self.client.target_voter() else { return };
        let ask = self.client.request(now, to, wish.clone());
        self.asked.insert(ask.id, Asked { tell, wish, at, again: now + ASK_EACH });
    }

    fn shown(&self) -> Status {
        let now = boottime();
        let here = self
            .client
            .held_leases(now)
            .map(|(d, token, left)| (d.to_string(), token, left.as_millis() as u64));
        Status {
            node: self.links.name.clone(),
            voter: self.voter.as_ref().map(|(v, _)| v.state()),
            metrics: self.voter.as_ref().map(|(v, _)| v.metrics()).unwrap_or_default(),
            held: here.collect(),
            lists: self.links.lists.as_ref().map(Lists::shown),
            refused: self.refused,
            cluster: None,
        }
    }

    /// Carries out what client and voter want done.
    fn act(&mut self) {
        while let Some(errand) = self.client.next_action() {
            match errand {
                ClientAction::Send { to, request } => self.bring(to, Message::Request(request)),
                ClientAction::Acquired { lease: duty, token, state } => {
                    log::info!(event = "duty_taken", duty = duty, token = token;
                        "duties: {duty} is this node's, under token {token}");
                    if duty == self.lists_duty() {
                        self.lists(|l| l.hold(boottime(), token));
                    }
                    if duty == rolling_restart::DUTY {
                        self.roll.take(&self.links.name, &state);
                    }
                    self.calls.insert(duty, Due { next: boottime(), out: false });
                }
                ClientAction::Lost { lease: duty, token, reason } => {
                    let said = match reason {
                        LeaseLost::Expired => "no voter confirmed it in time",
                        LeaseLost::TakenOver => "it is another's",
                        LeaseLost::Released => "it was given back",
                    };
                    log::info!(event = "duty_lost", duty = duty, token = token, why:? = reason;
                        "duties: {duty} is no more this node's: {said}");
                    if duty == self.lists_duty() {
                        self.lists(|l| l.release(boottime()));
                    }
                    if duty == rolling_restart::DUTY {
                        self.roll.lose();
                    }
                    self.calls.remove(&duty);
                }
            }
        }
        let Some((mut voter, store)) = self.voter.take() else { return };
        while let Some(action) = voter.next_action() {
            match action {
                VoterAction::Send { to, message } => self.bring(to, message),
                VoterAction::Write(batch) => {
                    let (store, wrote) = (store.clone(), self.wrote.clone());
                    tokio::task::spawn_blocking(move || {
                        let outcome = store.write(&batch);
                        drop(store); // before anybody is told: a process that takes over wants the folder
                        let _ = wrote.blocking_send(Done::Written(batch.number, outcome));
                    });
                }
                VoterAction::Report(event) => say(&event),
            }
        }
        self.voter = Some((voter, store));
    }

    fn bring(&self, to: SocketAddr, word: Message) {
        self.say(to, &NodeMessage::Coordination(word));
    }

    fn say(&self, to: SocketAddr, talk: &NodeMessage) {
        match postcard::to_stdvec(talk) {
            Ok(bytes) => self.links.fleet.send_message(to, bytes),
            Err(e) => log::error!("duties: a word can't be written: {e}"),
        }
    }

    /// Goes on with the roll, if the duty may be acted on now.
    fn roll_on(&mut self, now: Duration) {
        let peers = self.links.fleet.peers().borrow().clone();
        let held = self.client.may_act(now, rolling_restart::DUTY);
        self.roll.look(now, &peers, held.is_some() && !self.client.is_saving_state(rolling_restart::DUTY));
        if let Some(left) = self.roll.left() {
            self.client.save_state(now, rolling_restart::DUTY, left);
        }
        // What is left for the next holder is agreed on before anybody is told to go.
        if self.client.is_saving_state(rolling_restart::DUTY) {
            return;
        }
        while let Some((to, word)) = self.roll.word() {
            // Asked for anew before each act.
            let Some(token) = self.client.may_act(boottime(), rolling_restart::DUTY) else { break };
            self.say(to, &NodeMessage::RollingRestart(word(token)));
        }
    }

    fn roll_word(&mut self, from: SocketAddr, word: rolling_restart::RestartMessage) {
        let now = boottime();
        match word {
            rolling_restart::RestartMessage::Requested(wanted)
                if self.client.may_act(now, rolling_restart::DUTY).is_some() =>
            {
                let peers = self.links.fleet.peers().borrow().clone();
                self.roll.wanted(&self.links.name, wanted, &peers);
            }
            rolling_restart::RestartMessage::Requested(_) => {}
            rolling_restart::RestartMessage::Restart { token, process_id: boot } => {
                match self.roll.fence.check(rolling_restart::DUTY, token) {
                    Ok(()) if boot == self.links.fleet.process_id() => self.roll.go(&self.links.phases),
                    Ok(()) => {}
                    Err(e) => log::warn!(event = "act_refused", duty = rolling_restart::DUTY, token = token;
                    "duties: this node was told to go by a holder that is none any more: {e}"),
                }
            }
            rolling_restart::RestartMessage::HealthQuery { token } => {
                if self.roll.fence.check(rolling_restart::DUTY, token).is_ok() {
                    let c = &self.links.counters;
                    let (failed, served, refused) = (c.failed.get(), c.served.get(), c.refused.get());
                    let (boot, ended) = (self.links.fleet.process_id(), served + refused + failed);
                    self.say(
                        from,
                        &NodeMessage::RollingRestart(rolling_restart::RestartMessage::HealthReport {
                            process_id: boot,
                            failed,
                            ended,
                        }),
                    );
                }
            }
            rolling_restart::RestartMessage::HealthReport { process_id: boot, failed, ended } => {
                self.roll.health(boot, failed, ended)
            }
        }
    }

    /// Makes the calls that are due. The right to each is asked for right before it.
    fn call(&mut self, now: Duration) {
        for call in &self.links.file.scheduled_calls {
            let duty = errand_duty(call);
            let Some(due) = self.calls.get_mut(&duty).filter(|d| !d.out && now >= d.next) else { continue };
            let Some(token) = self.client.may_act(boottime(), &duty) else { continue };
            (due.next, due.out) = (now + call.interval, true);
            let (call, wrote, node) = (call.clone(), self.wrote.clone(), self.links.name.clone());
            tokio::spawn(async move {
                let outcome = scheduled_call::run(&call, &duty, token, &node).await;
                let _ = wrote.send(Done::Called(duty, token, outcome)).await;
            });
        }
    }

    fn called(&mut self, duty: &str, token: u64, outcome: scheduled_call::Outcome) {
        if let Some(due) = self.calls.get_mut(duty) {
            due.out = false;
        }
        match outcome {
            scheduled_call::Outcome::Done => {}
            scheduled_call::Outcome::Refused => {
                self.refused += 1;
                log::warn!(event = "act_refused", duty = duty, token = token;
                    "duties: {duty}: an act under token {token} was refused: a later holder has acted");
            }
            scheduled_call::Outcome::Failed(why) => {
                log::warn!(event = "act_failed", duty = duty, token = token, why = why;
                "duties: {duty}: an act failed: {why}")
            }
        }
    }
}

fn say(event: &VoterEvent) {
    match event {
        VoterEvent::ClusterFormed { cluster_id: number } => {
            log::info!(event = "voters_founded", founded = number; "duties: the voters are founded")
        }
        VoterEvent::VotingEnabled => log::info!(event = "voting"; "duties: this voter votes"),
        VoterEvent::BecameLeader { term } => {
            log::info!(event = "leads", term = term; "duties: this voter leads")
        }
        VoterEvent::LeadershipLost => log::info!(event = "leads_no_more"; "duties: this voter leads no more"),
        VoterEvent::StaleCopy => log::error!(event = "folder_older";
            "duties: this voter's folder is an older copy or a copied one: it does not vote; remove its seat, empty the \
             folder and add it again"),
        VoterEvent::NotMember => log::warn!(event = "unseated";
            "duties: this voter's folder has no seat: it does not vote until it is added"),
        VoterEvent::StorageFailed { reason: why } => log::error!(event = "store_broken", why = why;
            "duties: this voter's folder fails, it grants nothing more: {why}"),
        VoterEvent::VotersChanged { names } => {
            let names = names.join(", ");
            log::info!(event = "voters", names = names; "duties: the voters are {names}")
        }
        VoterEvent::LeaseGranted { lease: duty, holder, token } => {
            log::info!(event = "duty_granted", duty = duty, holder = holder.name,
            token = token; "duties: {duty} goes to {} under token {token}", holder.name)
        }
    }
}
