//! Voters and clients of duties in emulated time, in one thread: the same seed gives the same run. Each process has a
//! clock of its own that may run fast or slow, voters have disks that live on when they die, and a stand-in resource
//! records every act with its token.

use crate::disk::MemDisk;
use crate::fault_proxy::LinkRules;
use crate::history_check::Act;
use ::coordination::{
    Client, ClientAction, FencingGuard, Holder, LeaseLost, Message, Operation, Store, Timing, Voter,
    VoterAction, VoterConfig, VoterEvent, VoterMember, VoterMetrics, VoterState,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The duty that the emulated nodes hold.
pub const DUTY: &str = "errand";
/// On its way at least.
const WIRE: Duration = Duration::from_micros(200);
/// Between two acts of a holder.
const ACT: Duration = Duration::from_millis(40);

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Nodes; the first `voters` of them vote.
    pub nodes: usize,
    /// Voters.
    pub voters: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How long leases and elections take.
    pub timing: Timing,
    /// Clocks run faster or slower by up to this part.
    pub drift: f64,
    /// For one write.
    pub write: Duration,
    /// Which nodes want the duty.
    pub seekers: Vec<usize>,
}

impl Spec {
    /// A small fleet with three voters, of which two nodes want the duty.
    pub fn new(seed: u64) -> Spec {
        Spec {
            nodes: 5,
            voters: 3,
            seed,
            timing: Timing { lease: Duration::from_secs(5), election: Duration::from_millis(500) },
            drift: 0.05,
            write: Duration::from_millis(3),
            seekers: vec![3, 4],
        }
    }
}

enum Event {
    Message { from: usize, process_id: u64, to: usize, message: Message },
    Written { i: usize, process_id: u64, number: u64, outcome: bool },
    Act { i: usize, process_id: u64 },
    Came { act: Act },
    Wake(usize),
}

struct Process {
    process_id: u64,
    client: Client,
    voter: Option<(Voter, Store)>,
    stopped: bool,
    /// What came while it was stopped.
    inbox: Vec<(usize, Message)>,
    /// An act whose right it was sure of, and that had not left when it was stopped.
    begun: Option<Act>,
    wake: Option<Duration>,
}

struct Node {
    process: Option<Process>,
    /// Its clock: how fast it runs. It is the machine's and goes on over restarts.
    rate: f64,
    disk: MemDisk,
    place: u64,
}

/// Processes, and what lies between them.
pub struct World {
    spec: Spec,
    now: Duration,
    nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    /// What passes between them.
    pub rules: LinkRules,
    rng: SmallRng,
    fence: FencingGuard,
    /// All acts, in the order in which they came.
    pub acts: Vec<Act>,
    /// What voters noted.
    pub notes: Vec<(Duration, usize, VoterEvent)>,
    /// Who took the duty, and who lost it, when and why.
    pub holds: Vec<(Duration, usize, u64, Option<LeaseLost>)>,
    /// Acts that a node was refused, as it would say itself.
    pub refused: u64,
    /// Words on their way so far.
    pub words: u64,
}

/// Where a node is reached.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 8, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

/// Its name.
pub fn name(i: usize) -> String {
    format!("n{i:03}")
}

impl World {
    /// All nodes, started at once.
    pub fn started(spec: Spec) -> World {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let node = |_| Node {
            process: None,
            rate: 1.0 + spec.drift * (2.0 * rng.random::<f64>() - 1.0),
            disk: MemDisk::new(),
            place: rng.random(),
        };
        let nodes = (0..spec.nodes).map(node).collect();
        let mut world = World {
            now: Duration::ZERO,
            nodes,
            queue: BTreeMap::new(),
            order: 0,
            rules: LinkRules::default(),
            rng,
            fence: FencingGuard::default(),
            acts: Vec::new(),
            notes: Vec::new(),
            holds: Vec::new(),
            refused: 0,
            words: 0,
            spec,
        };
        (0..world.nodes.len()).for_each(|i| world.start(i));
        world
    }

    /// The one true time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// A node's own clock.
    fn local(&self, i: usize) -> Duration {
        self.now.mul_f64(self.nodes[i].rate)
    }

    fn truly(&self, i: usize, local: Duration) -> Duration {
        if local == Duration::MAX {
            return Duration::MAX;
        }
        local.div_f64(self.nodes[i].rate) + Duration::from_nanos(100)
    }

    /// Starts a process, in place of one that may run there.
    pub fn start(&mut self, i: usize) {
        // Its store writes when it goes: that must be over before another opens the disk.
        self.nodes[i].process = None;
        let (process_id, seed, now) = (self.rng.random(), self.rng.random(), self.local(i));
        let seats: Vec<VoterMember> =
            (0..self.spec.voters).map(|v| VoterMember { name: name(v), address: address(v) }).collect();
        let who = Holder { name: name(i), process_id };
        let mut client = Client::new(who, self.spec.timing, seats.iter().map(|s| s.address).collect());
        if self.spec.seekers.contains(&i) {
            client.acquire(now, DUTY);
        }
        let node = &self.nodes[i];
        let mut voter = None;
        if i < self.spec.voters || !node.disk.bytes().is_empty() {
            let store = Store::open(node.disk.clone(), "emulated", &name(i), self.rng.random(), node.place);
            voter = store.ok().map(|(store, disk)| {
                let seat = VoterMember { name: name(i), address: address(i) };
                let setup = VoterConfig {
                    member: seat,
                    founders: seats,
                    timing: self.spec.timing,
                    process_id,
                    seed,
                    unix_ms: 1_700_000_000_000,
                };
                (Voter::new(setup, disk, now), store)
            });
        }
        let process =
            Process { process_id, client, voter, stopped: false, inbox: Vec::new(), begun: None, wake: None };
        self.nodes[i].process = Some(process);
        self.put(ACT, Event::Act { i, process_id });
        self.after(i);
    }

    /// Makes a node that is no voter one that could be: it gets an empty disk, and is started.
    pub fn start_with_disk(&mut self, i: usize) {
        let (fleet, name) = ("emulated", name(i));
        let disk = MemDisk::new();
        drop(Store::open(disk.clone(), fleet, &name, self.rng.random(), self.nodes[i].place));
        self.nodes[i].disk = disk;
        self.start(i);
    }

    /// Kills a process. What it was writing may be on the disk or not.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].process = None;
    }

    /// Ends a process as SIGTERM does: it gives its duties back first, and goes a second later.
    pub fn end(&mut self, i: usize) {
        let now = self.local(i);
        if let Some(p) = &mut self.nodes[i].process {
            p.client.release(now, DUTY);
        }
        self.after(i);
        self.run(Duration::from_secs(1));
        self.kill(i);
    }

    /// Stops a process where it stands: most often in the middle of an act, if it holds the duty.
    pub fn stop(&mut self, i: usize) {
        let (now, local) = (self.now, self.local(i));
        if let Some(p) = self.nodes[i].process.as_mut().filter(|p| !p.stopped) {
            p.stopped = true;
            p.begun = act(p, i, now, local);
        }
    }

    /// Lets it go on: the act leaves first.
    pub fn go_on(&mut self, i: usize) {
        let Some(p) = self.nodes[i].process.as_mut().filter(|p| p.stopped) else { return };
        (p.stopped, p.wake) = (false, None);
        let (begun, inbox, process_id) = (p.begun.take(), std::mem::take(&mut p.inbox), p.process_id);
        if let Some(act) = begun {
            self.put(WIRE, Event::Came { act });
        }
        inbox.into_iter().for_each(|(from, message)| self.deliver(from, i, message));
        self.put(ACT, Event::Act { i, process_id });
        self.wake(i);
    }

    /// Whether a process runs there and is not stopped.
    pub fn runs(&self, i: usize) -> bool {
        self.nodes[i].process.as_ref().is_some_and(|p| !p.stopped)
    }

    /// Whether a process is there, stopped or not.
    pub fn is_there(&self, i: usize) -> bool {
        self.nodes[i].process.is_some()
    }

    /// A node's disk.
    pub fn disk(&self, i: usize) -> &MemDisk {
        &self.nodes[i].disk
    }

    /// Puts another disk in place; the process that runs there keeps the old one.
    pub fn set_disk(&mut self, i: usize, disk: MemDisk) {
        self.nodes[i].disk = disk;
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Message { from, process_id, to, message } => {
                    if self.nodes[to]
                        .process
                        .as_ref()
                        .is_some_and(|p| process_id == 0 || p.process_id == process_id)
                    {
                        self.deliver(from, to, message);
                    }
                }
                Event::Written { i, process_id, number, outcome } => {
                    let now = self.local(i);
                    if let Some(p) = self.nodes[i].process.as_mut().filter(|p| p.process_id == process_id) {
                        if let Some((voter, _)) = &mut p.voter {
                            let bad = coordination::StoreError::Disk("no space left on the disk".into());
                            voter.persisted(now, number, if outcome { Ok(()) } else { Err(bad) });
                        }
                        self.after(i);
                    }
                }
                Event::Act { i, process_id } => self.act(i, process_id),
                Event::Came { act } => self.came(act),
                Event::Wake(i) => {
                    if self.nodes[i].process.as_ref().is_some_and(|p| !p.stopped && p.wake == Some(self.now))
                    {
                        self.wake(i);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Lets time pass until a running node holds the duty; how long it took, at most `most`.
    pub fn until_held(&mut self, most: Duration) -> Option<Duration> {
        let start = self.now;
        while self.holder().is_none() {
            if self.now - start >= most {
                return None;
            }
            self.run(Duration::from_millis(10));
        }
        Some(self.now - start)
    }

    /// Who may act now, and under which token.
    pub fn holder(&self) -> Option<(usize, u64)> {
        let token = |i: usize| {
            let p = self.nodes[i].process.as_ref().filter(|p| !p.stopped)?;
            Some((i, p.client.may_act(self.local(i), DUTY)?))
        };
        (0..self.nodes.len()).find_map(token)
    }

    /// The voter that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|i| self.runs(*i) && self.standing(*i) == Some(VoterState::Leader))
    }

    /// How a voter stands.
    pub fn standing(&self, i: usize) -> Option<VoterState> {
        Some(self.nodes[i].process.as_ref()?.voter.as_ref()?.0.state())
    }

    /// A voter's counters.
    pub fn figures(&self, i: usize) -> VoterMetrics {
        let voter = self.nodes[i].process.as_ref().and_then(|p| p.voter.as_ref());
        voter.map(|(v, _)| v.metrics()).unwrap_or_default()
    }

    /// The names of the voters, as one of them knows them.
    pub fn seats(&self, i: usize) -> Vec<String> {
        let voter = self.nodes[i].process.as_ref().and_then(|p| p.voter.as_ref());
        voter.map(|(v, _)| v.table().voters.values().map(|s| s.name.clone()).collect()).unwrap_or_default()
    }

    /// An operator's wish, through a node; it may have to be said again.
    pub fn wish(&mut self, through: usize, wish: Operation) {
        let (to, now) = (self.leader().map(address), self.local(through));
        if let (Some(to), Some(p)) = (to, &mut self.nodes[through].process) {
            p.client.request(now, to, wish);
        }
        self.after(through);
    }

    /// A node wants the duty from here on, or gives it up.
    pub fn seek(&mut self, i: usize, wanted: bool) {
        let now = self.local(i);
        if let Some(p) = &mut self.nodes[i].process {
            match wanted {
                true => p.client.acquire(now, DUTY),
                false => p.client.release(now, DUTY),
            }
        }
        self.after(i);
    }

    fn put(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn act(&mut self, i: usize, process_id: u64) {
        let (now, local) = (self.now, self.local(i));
        let Some(p) = self.nodes[i].process.as_mut().filter(|p| p.process_id == process_id && !p.stopped)
        else {
            return;
        };
        if let Some(act) = act(p, i, now, local) {
            // Some are long on their way.
            let slow = self.rng.random_bool(0.05);
            let after = Duration::from_millis(if slow { self.rng.random_range(0..3000) } else { 1 });
            self.put(after, Event::Came { act });
        }
        self.put(ACT, Event::Act { i, process_id });
    }

    fn came(&mut self, act: Act) {
        let taken = self.fence.check(DUTY, act.token).is_ok();
        self.refused += u64::from(!taken);
        self.acts.push(Act { came: self.now, taken, ..act });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        let Some(p) = &mut self.nodes[to].process else { return };
        if p.stopped {
            p.inbox.push((from, message));
            return;
        }
        match message {
            Message::Response(answer) => p.client.receive(now, address(from), answer),
            message => {
                if let Some((voter, _)) = &mut p.voter {
                    voter.receive(now, address(from), message);
                }
            }
        }
        self.after(to);
    }

    fn wake(&mut self, i: usize) {
        let now = self.local(i);
        if let Some(p) = &mut self.nodes[i].process {
            p.wake = None;
            p.client.tick(now);
            if let Some((voter, _)) = &mut p.voter {
                voter.tick(now);
            }
        }
        self.after(i);
    }

    fn after(&mut self, i: usize) {
        let Some(mut p) = self.nodes[i].process.take() else { return };
        while let Some(errand) = p.client.next_action() {
            match errand {
                ClientAction::Send { to, request } => self.send(i, to, Message::Request(request)),
                ClientAction::Acquired { token, .. } => self.holds.push((self.now, i, token, None)),
                ClientAction::Lost { token, reason, .. } => {
                    self.holds.push((self.now, i, token, Some(reason)))
                }
            }
        }
        if let Some((voter, store)) = &mut p.voter {
            while let Some(action) = voter.next_action() {
                match action {
                    VoterAction::Send { to, message } => self.send(i, to, message),
                    VoterAction::Write(batch) => {
                        let outcome = store.write(&batch).is_ok();
                        let spread = 0.5 + self.rng.random::<f64>();
                        let (number, process_id) = (batch.number, p.process_id);
                        self.put(
                            self.spec.write.mul_f64(spread),
                            Event::Written { i, process_id, number, outcome },
                        );
                    }
                    VoterAction::Report(event) => self.notes.push((self.now, i, event)),
                }
            }
        }
        let due = p.client.next_tick().min(p.voter.as_ref().map_or(Duration::MAX, |(v, _)| v.next_tick()));
        let due = self.truly(i, due).max(self.now);
        let wake = p.wake;
        let sooner = due != Duration::MAX && wake.is_none_or(|at| due < at || at < self.now);
        if sooner {
            p.wake = Some(due);
        }
        self.nodes[i].process = Some(p);
        if sooner {
            let after = due - self.now;
            self.put(after, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|i| address(*i) == to) else { return };
        self.words += 1;
        let rule = self.rules.between(from, to);
        if rule.cut || self.rng.random_bool(rule.loss) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(rule.twice)) {
            let ms = rule.delay_ms + self.rng.random_range(0..=rule.jitter_ms);
            let after = WIRE + Duration::from_millis(ms);
            let process_id = self.nodes[to].process.as_ref().map_or(0, |p| p.process_id);
            self.put(after, Event::Message { from, process_id, to, message: message.clone() });
        }
    }
}

/// An act that this process is sure of its right to, right now.
fn act(p: &Process, i: usize, now: Duration, local: Duration) -> Option<Act> {
    let token = p.client.may_act(local, DUTY)?;
    Some(Act { begun: now, came: now, who: format!("{} {}", name(i), p.process_id), token, taken: false })
}
