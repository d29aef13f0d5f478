//! Membership machines of a fleet in emulated time, in one thread: the same seed gives the same run, byte for
//! byte. The links between nodes follow the same rules as the fault proxies of real processes.

use crate::check::{view_faults, ExpectedViews, ViewFault};
use crate::fault_proxy::LinkRules;
use membership::keys::Keys;
use membership::{Action, Config, Counters, Machine, MembershipEvent, ProcessStart, Timing, View};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Datagrams that the kernel's receive buffer holds for a process that does not read them.
const RECEIVE_BUFFER_DATAGRAMS: usize = 256;
/// Minimum network delay: no datagram arrives before it was sent.
const NETWORK_DELAY: Duration = Duration::from_micros(200);

/// Parameters of an emulated fleet.
#[derive(Clone)]
pub struct Spec {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Intervals and timeouts of the membership protocol.
    pub timing: Timing,
    /// Number of nodes that are seeds; they are the first ones.
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
    /// Offset of the node's wall clock from emulated time; negative if it is behind.
    clock_skew_ms: i64,
}

/// Time, node and event.
pub type RecordedEvent = (Duration, usize, MembershipEvent);

/// Emulated nodes and the network between them.
pub struct EmulatedFleet {
    spec: Spec,
    now: Duration,
    nodes: Vec<Node>,
    node_by_address: HashMap<SocketAddr, usize>,
    queue: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    /// Faults of the links between nodes.
    pub rules: LinkRules,
    rng: SmallRng,
    /// Events of the nodes; the reader clears them.
    pub events: Vec<RecordedEvent>,
    /// Datagrams sent, with their receivers, if they are recorded for a replay.
    pub sent_datagrams: Option<Vec<(usize, Vec<u8>)>>,
}

/// Returns the name of a node.
pub fn name(i: usize) -> String {
    format!("n{i:04}")
}

/// Returns the address of a node.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 9, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

/// Returns a key for tests; each number gives another one.
///
/// # Panics
/// Never: the text that it parses is well-formed.
pub fn test_key(number: u8) -> Keys {
    Keys::parse(&format!("current {}", format!("{number:02x}").repeat(16)))
        .expect("the key text is well-formed")
}

impl EmulatedFleet {
    /// Creates all nodes and starts none.
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

    /// Creates all nodes and starts them at once.
    pub fn started(spec: Spec) -> EmulatedFleet {
        let mut fleet = EmulatedFleet::new(spec);
        (0..fleet.nodes.len()).for_each(|i| fleet.start(i));
        fleet
    }

    /// Returns the emulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Sets the key that a node has from its next start on.
    pub fn set_key(&mut self, i: usize, keys: Keys) {
        self.nodes[i].keys = keys;
    }

    /// Sets the offset of a node's wall clock from its next start on.
    pub fn set_clock_skew(&mut self, i: usize, ms: i64) {
        self.nodes[i].clock_skew_ms = ms;
    }

    /// Starts a process under the node's own name, in place of one that may run there.
    pub fn start(&mut self, i: usize) {
        self.start_as(i, &name(i));
    }

    /// Starts a process under another name.
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

    /// Kills a process without notice to the others.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
        self.nodes[i].inbox.clear();
    }

    /// Shuts a process down as SIGTERM does.
    pub fn leave(&mut self, i: usize) {
        let now = self.local_time(i);
        if let Some(machine) = &mut self.nodes[i].machine {
            machine.leave(now);
        }
        self.execute_actions(i);
        self.kill(i);
    }

    /// Pauses a process, as SIGSTOP does.
    pub fn pause(&mut self, i: usize) {
        self.nodes[i].is_paused = true;
    }

    /// Resumes a paused process, which first reads the datagrams in its receive buffer.
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

    /// Returns whether a process runs at this node and is not paused.
    pub fn is_running(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some() && !self.nodes[i].is_paused
    }

    /// Returns whether a process exists at this node, paused or not.
    pub fn has_process(&self, i: usize) -> bool {
        self.nodes[i].machine.is_some()
    }

    /// Calls a function with a node's machine, and executes the actions that result.
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

    /// Delivers bytes to a node as an unknown sender could.
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

    /// Lets time pass until all views are as expected and stay so for as long as a pending suspicion may
    /// take; returns the time until they first were so. Checks every 50 ms.
    ///
    /// # Errors
    /// The faults of the views, if there still are any after `limit`.
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

    /// Returns whether the digests of two nodes that reach each other differ. Comparing digests avoids the
    /// cost of building all views in full: 1000 views of 1000 members each.
    fn views_differ(&self, expected: &ExpectedViews) -> bool {
        let mut digests: HashMap<u32, Option<u64>> = HashMap::new();
        (0..self.nodes.len()).any(|i| {
            let Some(part) = expected.partitions.get(&name(i)) else { return false };
            let digest = self.nodes[i].machine.as_ref().and_then(Machine::digest);
            digest.is_none() || *digests.entry(*part).or_insert(digest) != digest
        })
    }

    /// Faults in the view of the first node of each partition; sufficient if all digests in a partition are
    /// equal.
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

    /// Returns how the views differ from the expected ones.
    pub fn faults(&self, expected: &ExpectedViews) -> Vec<ViewFault> {
        let views = (0..self.nodes.len()).filter_map(|i| Some((i, self.view(i)?)));
        view_faults(expected, &views.map(|(_, v)| (v.node.clone(), Some(v))).collect())
    }

    /// Returns the expected views: all running nodes, in one partition.
    pub fn expected_views(&self) -> ExpectedViews {
        let names: Vec<String> = (0..self.nodes.len()).filter(|i| self.is_running(*i)).map(name).collect();
        ExpectedViews::unpartitioned(names.iter().map(String::as_str))
    }

    /// Returns a node's view, or `None` if it does not run.
    pub fn view(&self, i: usize) -> Option<View> {
        self.nodes[i]
            .machine
            .as_ref()
            .filter(|_| !self.nodes[i].is_paused)
            .map(|m| m.view(self.local_time(i)))
    }

    /// Returns a node's counters.
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

    /// Executes the actions of a node's machine and schedules its next timeout.
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
