//! Fleet of machines in emulated time, in one thread: the same seed gives the same run to the last byte. What
//! passes between them goes by the rules that the fault proxies of real processes have, too.

use crate::check::{view_faults, ExpectedViews, ViewFault};
use crate::fault_proxy::LinkRules;
use membership::keys::Keys;
use membership::{Action, Config, Counters, Machine, MembershipEvent, ProcessStart, Timing, View};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What the kernel keeps for a process that reads nothing, in datagrams.
const KERNEL: usize = 256;
/// On its way at least: a datagram is never there before it was sent.
const WIRE: Duration = Duration::from_micros(200);

/// What a world is made of.
#[derive(Clone)]
pub struct Spec {
    /// Nodes.
    pub nodes: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How often and for how long.
    pub timing: Timing,
    /// How many of the first nodes are everybody's seeds.
    pub seeds: usize,
}

impl Default for Spec {
    fn default() -> Self {
        Spec { nodes: 5, seed: 1, timing: Timing::default(), seeds: 3 }
    }
}

enum Event {
    Datagram { to: usize, bytes: Vec<u8> },
    SyncState { from: usize, boot: u64, to: SocketAddr },
    Wake(usize),
}

struct Node {
    machine: Option<Machine>,
    started: Duration,
    boot: u64,
    stopped: bool,
    inbox: VecDeque<Vec<u8>>,
    wake: Option<Duration>,
    keys: Keys,
    /// The node's clock is ahead of the world's by so many milliseconds, or behind.
    skew_ms: i64,
}

/// Time, node and event.
pub type RecordedEvent = (Duration, usize, MembershipEvent);

/// Many machines and what lies between them.
pub struct World {
    spec: Spec,
    now: Duration,
    nodes: Vec<Node>,
    at: HashMap<SocketAddr, usize>,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    /// What passes between them.
    pub rules: LinkRules,
    rng: SmallRng,
    /// Events of the nodes; cleared by the reader.
    pub events: Vec<RecordedEvent>,
    /// What was sent to whom, where it is kept, for those who play it back.
    pub tape: Option<Vec<(usize, Vec<u8>)>>,
}

/// The name of a node.
pub fn name(i: usize) -> String {
    format!("n{i:04}")
}

/// Where a node is reached.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

/// A key for tests, one for each number.
///
/// # Panics
/// Never: the text that it parses is well-formed.
pub fn key(n: u8) -> Keys {
    Keys::parse(&format!("current {}", format!("{n:02x}").repeat(16))).expect("it is well-formed")
}

impl World {
    /// All nodes, none of them started.
    pub fn new(spec: Spec) -> World {
        let node = |_| Node {
            machine: None,
            started: Duration::ZERO,
            boot: 0,
            stopped: false,
            inbox: VecDeque::new(),
            wake: None,
            keys: key(1),
            skew_ms: 0,
        };
        World {
            now: Duration::ZERO,
            nodes: (0..spec.nodes).map(node).collect(),
            at: (0..spec.nodes).map(|i| (address(i), i)).collect(),
            queue: BTreeMap::new(),
            order: 0,
            rules: LinkRules::default(),
            rng: SmallRng::seed_from_u64(spec.seed),
            events: Vec::new(),
            tape: None,
            spec,
        }
    }

    /// All nodes, started at once.
    pub fn started(spec: Spec) -> World {
        let mut world = World::new(spec);
        (0..world.nodes.len()).for_each(|i| world.start(i));
        world
    }

    /// The world's time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The key that a node has at its next start.
    pub fn set_key(&mut self, i: usize, keys: Keys) {
        self.nodes[i].keys = keys;
    }

    /// By how much a node's clock is off at its next start.
    pub fn set_skew(&mut self, i: usize, ms: i64) {
        self.nodes[i].skew_ms = ms;
    }

    /// Starts a process, in place of one that may run there. It has the name of `i`.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, &name(i));
    }

    /// The same, under another name.
    pub fn start_as(&mut self, i: usize, name: &str) {
        let node = &mut self.nodes[i];
        let unix_ms = 1_700_000_000_000 + self.now.as_millis() as i64 + node.skew_ms;
        let start = ProcessStart {
            process_id: self.rng.random(),
            unix_time_ms: unix_ms as u64,
            rng_seed: self.rng.random(),
        };
        let config = Config {
            fleet: "emulated".to_string(),
            name: name.to_string(),
            zone: String::new(),
            advertise: address(i),
            seeds: (0..self.spec.seeds).map(address).collect(),
            keys: node.keys.clone(),
            timing: self.spec.timing.clone(),
        };
        node.machine = Some(Machine::new(config, start, Duration::ZERO));
        (node.started, node.boot, node.stopped, node.wake) = (self.now, start.process_id, false, None);
        node.inbox.clear();
        self.after(i);
    }

    /// Kills a process: nobody is told.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
        self.nodes[i].inbox.clear();
    }

    /// Ends a process as SIGTERM does.
    pub fn leave(&mut self, i: usize) {
        let now = self.local(i);
        if let Some(machine) = &mut self.nodes[i].machine {
            machine.leave(now);
        }
        self.after(i);
        self.kill(i);
    }

    /// Stops a process where it stands.
    pub fn stop(&mut self, i: usize) {
        self.nodes[i].stopped = true;
    }

    /// Lets it go on: first it reads what the kernel kept.
    pub fn go_on(&mut self, i: usize) {
        self.nodes[i].stopped = false;
        let now = self.local(i);
        for bytes in std::mem::take(&mut self.nodes[i].inbox) {
            if let Some(machine) = &mut self.nodes[i].machine {
                machine.handle_datagram(now, &bytes);
            }
        }
        self.nodes[i].wake = None;
        self.after(i);
    }

    /// Whether a process runs there and is not stopped.
    pub fn runs(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && !self.nodes[i].stopped
    }

    /// Whether a process is there, stopped or not.
    pub fn is_there(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some()
    }

    /// The machine of a node, to do something with; what it wants done then is carried out.
    pub fn with<T>(&mut self, i: usize, what: impl FnOnce(&mut Machine, Duration) -> T) -> Option<T> {
        let now = self.local(i);
        let result = self.nodes[i].machine.as_mut().map(|m| what(m, now));
        self.after(i);
        result
    }

    /// Brings bytes to a node, as somebody unknown might.
    pub fn inject(&mut self, to: usize, bytes: &[u8]) {
        self.put(WIRE, Event::Datagram { to, bytes: bytes.to_vec() });
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Datagram { to, bytes } => self.arrive(to, bytes),
                Event::SyncState { from, boot, to } => self.sync_state(from, boot, to),
                Event::Wake(i) => self.wake(i),
            }
        }
        self.now = end;
    }

    /// Lets time pass until nothing is wrong and nothing was for as long as a suspicion that is under way may take; how
    /// long it took until then, or what was wrong last after `most`. Looked at each 50 ms.
    ///
    /// # Errors
    /// What was wrong last, where it still was after `most`.
    pub fn until(&mut self, most: Duration, expected: &ExpectedViews) -> Result<Duration, Vec<ViewFault>> {
        let start = self.now;
        let steady = self.spec.timing.probe_interval * 2 + self.spec.timing.suspicion_timeout;
        let mut right_since = None;
        loop {
            let wrong = if self.differ(expected) { None } else { Some(self.faults_of_one(expected)) };
            if wrong.as_ref().is_some_and(Vec::is_empty) {
                let since = *right_since.get_or_insert(self.now);
                if self.now - since >= steady {
                    return Ok(since - start);
                }
            } else {
                right_since = None;
            }
            if right_since.is_none() && self.now - start >= most {
                return Err(self.faults(expected));
            }
            self.run(Duration::from_millis(50));
        }
    }

    /// Whether any two that reach each other differ. Guards the emulator against views that are told in full, a thousand
    /// times a thousand lines, where a number does.
    fn differ(&self, expected: &ExpectedViews) -> bool {
        let mut digests: HashMap<u32, Option<u64>> = HashMap::new();
        (0..self.nodes.len()).any(|i| {
            let Some(part) = expected.partitions.get(&name(i)) else { return false };
            let digest = self.nodes[i].machine.as_ref().and_then(Machine::digest);
            digest.is_none() || *digests.entry(*part).or_insert(digest) != digest
        })
    }

    /// What is wrong with the view of the first node of each part: enough, where none differs from it.
    fn faults_of_one(&self, expected: &ExpectedViews) -> Vec<ViewFault> {
        let mut firsts: BTreeMap<u32, usize> = BTreeMap::new();
        for i in 0..self.nodes.len() {
            if let Some(part) = expected.partitions.get(&name(i)) {
                firsts.entry(*part).or_insert(i);
            }
        }
        let views = firsts.values().map(|i| (name(*i), self.view(*i)));
        let lone = |f: &ViewFault| !matches!(f, ViewFault::NoView(_));
        view_faults(expected, &views.collect()).into_iter().filter(lone).collect()
    }

    /// What is wrong with the views beside this.
    pub fn faults(&self, expected: &ExpectedViews) -> Vec<ViewFault> {
        let views = (0..self.nodes.len()).filter_map(|i| Some((i, self.view(i)?)));
        view_faults(expected, &views.map(|(_, v)| (v.node.clone(), Some(v))).collect())
    }

    /// All that run, in one part.
    pub fn expected_views(&self) -> ExpectedViews {
        let names: Vec<String> = (0..self.nodes.len()).filter(|i| self.runs(*i)).map(name).collect();
        ExpectedViews::unpartitioned(names.iter().map(String::as_str))
    }

    /// A node's view; `None` where it does not run.
    pub fn view(&self, i: usize) -> Option<View> {
        self.nodes[i].machine.as_ref().filter(|_| !self.nodes[i].stopped).map(|m| m.view(self.local(i)))
    }

    /// A node's counters.
    pub fn counters(&self, i: usize) -> Counters {
        self.nodes[i].machine.as_ref().map(Machine::counters).unwrap_or_default()
    }

    fn local(&self, i: usize) -> Duration {
        self.now - self.nodes[i].started
    }

    fn put(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn arrive(&mut self, to: usize, bytes: Vec<u8>) {
        let now = self.local(to);
        let node = &mut self.nodes[to];
        let Some(machine) = &mut node.machine else { return };
        if node.stopped {
            if node.inbox.len() < KERNEL {
                node.inbox.push_back(bytes);
            }
            return;
        }
        machine.handle_datagram(now, &bytes);
        self.after(to);
    }

    fn wake(&mut self, i: usize) {
        let now = self.local(i);
        let node = &mut self.nodes[i];
        if node.stopped || node.wake != Some(self.now) {
            return;
        }
        node.wake = None;
        if let Some(machine) = &mut node.machine {
            machine.handle_timeout(now);
        }
        self.after(i);
    }

    fn sync_state(&mut self, from: usize, boot: u64, to: SocketAddr) {
        let Some(&other) = self.at.get(&to) else { return };
        let open = |a, b| !self.rules.between(a, b).cut;
        let same = self.nodes[from].boot == boot;
        if other == from
            || !same
            || !open(from, other)
            || !open(other, from)
            || !self.runs(from)
            || !self.runs(other)
        {
            return;
        }
        let (here, there) = (self.local(from), self.local(other));
        let mut machine = |i: usize| self.nodes[i].machine.take();
        let (Some(mut asks), Some(mut tells)) = (machine(from), machine(other)) else { return };
        let challenge = tells.generate_nonce();
        let (asked, state) = asks.request_sync(here, to, challenge);
        if let Some(answer) = tells.respond_to_sync(there, challenge, &state) {
            asks.complete_sync(here, asked, &answer);
        }
        (self.nodes[from].machine, self.nodes[other].machine) = (Some(asks), Some(tells));
        self.after(from);
        self.after(other);
    }

    /// Carries out what a machine wants done, and notes when it is to be woken.
    fn after(&mut self, i: usize) {
        let Some(mut machine) = self.nodes[i].machine.take() else { return };
        while let Some(action) = machine.next_action() {
            match action {
                Action::Send { to, bytes } => self.send(i, to, bytes),
                Action::SyncState { to } => {
                    let boot = self.nodes[i].boot;
                    self.put(WIRE * 4, Event::SyncState { from: i, boot, to });
                }
                Action::Rates { .. } | Action::Message { .. } => {}
                Action::Event(event) => self.events.push((self.now, i, event)),
            }
        }
        let due = self.nodes[i].started.saturating_add(machine.next_timeout()).max(self.now);
        let node = &mut self.nodes[i];
        node.machine = Some(machine);
        if node.wake.is_none_or(|at| due < at || at < self.now) {
            node.wake = Some(due);
            let after = due - self.now;
            self.put(after, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        let Some(&to) = self.at.get(&to) else { return };
        if let Some(tape) = &mut self.tape {
            tape.push((to, bytes.clone()));
        }
        let rule = self.rules.between(from, to);
        if rule.cut || self.rng.random_bool(rule.loss) {
            return;
        }
        if self.rng.random_bool(rule.mutated) {
            let bit = self.rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(rule.twice)) {
            let ms = rule.delay_ms + self.rng.random_range(0..=rule.jitter_ms);
            let after = WIRE + Duration::from_millis(ms);
            self.put(after, Event::Datagram { to, bytes: bytes.clone() });
        }
    }
}
