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
const RECEIVE_BUFFER_DATAGRAMS: usize = 256;
/// On its way at least: a datagram is never there before it was sent.
const NETWORK_DELAY: Duration = Duration::from_micros(200);

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
    SyncState { from: usize, process_id: u64, to: SocketAddr },
    Wake(usize),
}

struct Node {
    machine: Option<Machine>,
    started: Duration,
    process_id: u64,
    is_paused: bool,
    inbox: VecDeque<Vec<u8>>,
    wake_at: Option<Duration>,
    keys: Keys,
    /// The node's clock is ahead of the world's by so many milliseconds, or behind.
    clock_skew_ms: i64,
}

/// Time, node and event.
pub type RecordedEvent = (Duration, usize, MembershipEvent);

/// Many machines and what lies between them.
pub struct EmulatedFleet {
    spec: Spec,
    now: Duration,
    nodes: Vec<Node>,
    node_by_address: HashMap<SocketAddr, usize>,
    queue: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    /// What passes between them.
    pub rules: LinkRules,
    rng: SmallRng,
    /// Events of the nodes; cleared by the reader.
    pub events: Vec<RecordedEvent>,
    /// What was sent to whom, where it is kept, for those who play it back.
    pub sent_datagrams: Option<Vec<(usize, Vec<u8>)>>,
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
pub fn test_key(number: u8) -> Keys {
    Keys::parse(&format!("current {}", format!("{number:02x}").repeat(16))).expect("it is well-formed")
}

impl EmulatedFleet {
    /// All nodes, none of them started.
    pub fn new(spec: Spec) -> EmulatedFleet {
        let node = |_| Node {
            machine: None,
            started: Duration::ZERO,
            process_id: 0,
            is_paused: false,
            inbox: VecDeque::new(),
            wake_at: None,
            keys: test_key(1),
            clock_skew_ms: 0,
        };
        EmulatedFleet {
            now: Duration::ZERO,
            nodes: (0..spec.nodes).map(node).collect(),
            node_by_address: (0..spec.nodes).map(|i| (address(i), i)).collect(),
            queue: BTreeMap::new(),
            scheduled: 0,
            rules: LinkRules::default(),
            rng: SmallRng::seed_from_u64(spec.seed),
            events: Vec::new(),
            sent_datagrams: None,
            spec,
        }
    }

    /// All nodes, started at once.
    pub fn started(spec: Spec) -> EmulatedFleet {
        let mut world = EmulatedFleet::new(spec);
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
    pub fn set_clock_skew(&mut self, i: usize, ms: i64) {
        self.nodes[i].clock_skew_ms = ms;
    }

    /// Starts a process, in place of one that may run there. It has the name of `i`.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, &name(i));
    }

    /// The same, under another name.
    pub fn start_as(&mut self, i: usize, name: &str) {
        let node = &mut self.nodes[i];
        let unix_ms = 1_700_000_000_000 + self.now.as_millis() as i64 + node.clock_skew_ms;
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
        (node.started, node.process_id, node.is_paused, node.wake_at) =
            (self.now, start.process_id, false, None);
        node.inbox.clear();
        self.execute_actions(i);
    }

    /// Kills a process: nobody is told.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
        self.nodes[i].inbox.clear();
    }

    /// Ends a process as SIGTERM does.
    pub fn leave(&mut self, i: usize) {
        let now = self.local_time(i);
        if let Some(machine) = &mut self.nodes[i].machine {
            machine.leave(now);
        }
        self.execute_actions(i);
        self.kill(i);
    }

    /// Stops a process where it stands.
    pub fn pause(&mut self, i: usize) {
        self.nodes[i].is_paused = true;
    }

    /// Lets it go on: first it reads what the kernel kept.
    pub fn resume(&mut self, i: usize) {
        self.nodes[i].is_paused = false;
        let now = self.local_time(i);
        for bytes in std::mem::take(&mut self.nodes[i].inbox) {
            if let Some(machine) = &mut self.nodes[i].machine {
                machine.handle_datagram(now, &bytes);
            }
        }
        self.nodes[i].wake_at = None;
        self.execute_actions(i);
    }

    /// Whether a process is_running there and is not is_paused.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && !self.nodes[i].is_paused
    }

    /// Whether a process is there, is_paused or not.
    pub fn has_process(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some()
    }

    /// The machine of a node, to do something with; what it wants done then is carried out.
    pub fn with_machine<T>(
        &mut self,
        i: usize,
        handle: impl FnOnce(&mut Machine, Duration) -> T,
    ) -> Option<T> {
        let now = self.local_time(i);
        let result = self.nodes[i].machine.as_mut().map(|m| handle(m, now));
        self.execute_actions(i);
        result
    }

    /// Brings bytes to a node, as somebody unknown might.
    pub fn inject(&mut self, to: usize, bytes: &[u8]) {
        self.schedule(NETWORK_DELAY, Event::Datagram { to, bytes: bytes.to_vec() });
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Datagram { to, bytes } => self.deliver(to, bytes),
                Event::SyncState { from, process_id, to } => self.sync_state(from, process_id, to),
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
    pub fn run_until_converged(
        &mut self,
        limit: Duration,
        expected: &ExpectedViews,
    ) -> Result<Duration, Vec<ViewFault>> {
        let start = self.now;
        let stable_time = self.spec.timing.probe_interval * 2 + self.spec.timing.suspicion_timeout;
        let mut correct_since = None;
        loop {
            let faults =
                if self.views_differ(expected) { None } else { Some(self.faults_of_first_nodes(expected)) };
            if faults.as_ref().is_some_and(Vec::is_empty) {
                let since = *correct_since.get_or_insert(self.now);
                if self.now - since >= stable_time {
                    return Ok(since - start);
                }
            } else {
                correct_since = None;
            }
            if correct_since.is_none() && self.now - start >= limit {
                return Err(self.faults(expected));
            }
            self.run(Duration::from_millis(50));
        }
    }

    /// Whether any two that reach each other differ. Guards the emulator against views that are told in full, a thousand
    /// times a thousand lines, where a number does.
    fn views_differ(&self, expected: &ExpectedViews) -> bool {
        let mut digests: HashMap<u32, Option<u64>> = HashMap::new();
        (0..self.nodes.len()).any(|i| {
            let Some(part) = expected.partitions.get(&name(i)) else { return false };
            let digest = self.nodes[i].machine.as_ref().and_then(Machine::digest);
            digest.is_none() || *digests.entry(*part).or_insert(digest) != digest
        })
    }

    /// What is wrong with the view of the first node of each part: enough, where none differs from it.
    fn faults_of_first_nodes(&self, expected: &ExpectedViews) -> Vec<ViewFault> {
        let mut firsts: BTreeMap<u32, usize> = BTreeMap::new();
        for i in 0..self.nodes.len() {
            if let Some(part) = expected.partitions.get(&name(i)) {
                firsts.entry(*part).or_insert(i);
            }
        }
        let views = firsts.values().map(|i| (name(*i), self.view(*i)));
        let is_comparable = |f: &ViewFault| !matches!(f, ViewFault::NoView(_));
        view_faults(expected, &views.collect()).into_iter().filter(is_comparable).collect()
    }

    /// What is wrong with the views beside this.
    pub fn faults(&self, expected: &ExpectedViews) -> Vec<ViewFault> {
        let views = (0..self.nodes.len()).filter_map(|i| Some((i, self.view(i)?)));
        view_faults(expected, &views.map(|(_, v)| (v.node.clone(), Some(v))).collect())
    }

    /// All that run, in one part.
    pub fn expected_views(&self) -> ExpectedViews {
        let names: Vec<String> = (0..self.nodes.len()).filter(|i| self.is_running(*i)).map(name).collect();
        ExpectedViews::whole(names.iter().map(String::as_str))
    }

    /// A node's view; `None` where it does not run.
    pub fn view(&self, i: usize) -> Option<View> {
        self.nodes[i]
            .machine
            .as_ref()
            .filter(|_| !self.nodes[i].is_paused)
            .map(|m| m.view(self.local_time(i)))
    }

    /// A node's counters.
    pub fn counters(&self, i: usize) -> Counters {
        self.nodes[i].machine.as_ref().map(Machine::counters).unwrap_or_default()
    }

    fn local_time(&self, i: usize) -> Duration {
        self.now - self.nodes[i].started
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.insert((self.now + delay, self.scheduled), event);
    }

    fn deliver(&mut self, to: usize, bytes: Vec<u8>) {
        let now = self.local_time(to);
        let node = &mut self.nodes[to];
        let Some(machine) = &mut node.machine else { return };
        if node.is_paused {
            if node.inbox.len() < RECEIVE_BUFFER_DATAGRAMS {
                node.inbox.push_back(bytes);
            }
            return;
        }
        machine.handle_datagram(now, &bytes);
        self.execute_actions(to);
    }

    fn wake(&mut self, i: usize) {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.is_paused || node.wake_at != Some(self.now) {
            return;
        }
        node.wake_at = None;
        if let Some(machine) = &mut node.machine {
            machine.handle_timeout(now);
        }
        self.execute_actions(i);
    }

    fn sync_state(&mut self, from: usize, process_id: u64, to: SocketAddr) {
        let Some(&other) = self.node_by_address.get(&to) else { return };
        let is_open = |a, b| !self.rules.between(a, b).cut;
        let is_same_process = self.nodes[from].process_id == process_id;
        if other == from
            || !is_same_process
            || !is_open(from, other)
            || !is_open(other, from)
            || !self.is_running(from)
            || !self.is_running(other)
        {
            return;
        }
        let (here, there) = (self.local_time(from), self.local_time(other));
        let mut machine = |i: usize| self.nodes[i].machine.take();
        let (Some(mut requester), Some(mut responder)) = (machine(from), machine(other)) else { return };
        let challenge = responder.generate_nonce();
        let (session, state) = requester.request_sync(here, to, challenge);
        if let Some(answer) = responder.respond_to_sync(there, challenge, &state) {
            requester.complete_sync(here, session, &answer);
        }
        (self.nodes[from].machine, self.nodes[other].machine) = (Some(requester), Some(responder));
        self.execute_actions(from);
        self.execute_actions(other);
    }

    /// Carries out what a machine wants done, and notes when it is to be woken.
    fn execute_actions(&mut self, i: usize) {
        let Some(mut machine) = self.nodes[i].machine.take() else { return };
        while let Some(action) = machine.next_action() {
            match action {
                Action::Send { to, bytes } => self.send(i, to, bytes),
                Action::SyncState { to } => {
                    let process_id = self.nodes[i].process_id;
                    self.schedule(NETWORK_DELAY * 4, Event::SyncState { from: i, process_id, to });
                }
                Action::Rates { .. } | Action::Message { .. } => {}
                Action::Event(event) => self.events.push((self.now, i, event)),
            }
        }
        let due = self.nodes[i].started.saturating_add(machine.next_timeout()).max(self.now);
        let node = &mut self.nodes[i];
        node.machine = Some(machine);
        if node.wake_at.is_none_or(|at| due < at || at < self.now) {
            node.wake_at = Some(due);
            let delay = due - self.now;
            self.schedule(delay, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        let Some(&to) = self.node_by_address.get(&to) else { return };
        if let Some(sent_datagrams) = &mut self.sent_datagrams {
            sent_datagrams.push((to, bytes.clone()));
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
            let delay = NETWORK_DELAY + Duration::from_millis(ms);
            self.schedule(delay, Event::Datagram { to, bytes: bytes.clone() });
        }
    }
}
