//! List broadcast within one zone in emulated time: measures the calls to discovery and how long a change
//! takes to reach the last node, if one node polls discovery for all or each node polls.

use crate::emulated_network::{node_address, EventQueue};
use ::coordination::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta, ListEntry};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Interval between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Duration of a run.
const RUN_LENGTH: Duration = Duration::from_secs(60);
/// Time from which calls and messages count: before, all nodes poll in both modes.
const COUNTED_FROM: Duration = Duration::from_secs(3);
/// Time at which the first lease is granted.
const LEASE_GRANTED: Duration = Duration::from_millis(500);
/// Time at which the lease holder is killed, in runs with a kill.
const HOLDER_KILLED: Duration = Duration::from_millis(30_100);
/// Middle of a run; after a kill, the next lease is granted [`VACANCY`] later.
const MIDDLE: Duration = Duration::from_secs(30);
/// Time without a lease holder after a kill: a lease and an election with the default timing of a node.
const VACANCY: Duration = Duration::from_millis(11_500);
/// Number of workers.
const WORKERS: usize = 60;
/// Size of a worker's list entry, in bytes.
const ENTRY_BYTES: usize = 180;
/// Range of message delays, in microseconds.
const DELAY_US: Range<u64> = 500..10_000;
/// Time limit of a poll: proportional to the number of nodes, within bounds.
const POLL_TIMEOUT_PER_NODE: Duration = Duration::from_millis(200);
const POLL_TIMEOUT_MIN: Duration = Duration::from_secs(5);
const POLL_TIMEOUT_MAX: Duration = Duration::from_secs(20);
/// Id of the discovery service.
const DISCOVERY_ID: u64 = 1;
/// Base of the fencing tokens that are granted.
const FENCING_TOKEN: u64 = 10;
/// Second byte of the nodes' addresses.
const NETWORK: u8 = 7;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Number of nodes in the zone.
    pub nodes: usize,
    /// Whether one node polls discovery for all.
    pub shared: bool,
    /// Whether that node is killed in the middle.
    pub holder_killed: bool,
    /// Share of the messages between nodes that are lost.
    pub loss: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of calls to discovery.
    pub calls: u64,
    /// Time from each change until the last running node received it, in milliseconds.
    pub propagation_ms: Vec<u64>,
    /// Number of messages between nodes.
    pub messages: u64,
    /// Messages per second of the node that sent most.
    pub peak_send_rate: f64,
}

enum Event {
    Message {
        from: usize,
        to: usize,
        message: BroadcastMessage,
    },
    /// Discovery answers a poll; version 0 means no change.
    PollAnswer {
        node: usize,
        poll: u64,
        version: u64,
    },
    Tick(usize),
    ListChange,
    KillHolder,
    GrantLease(usize),
}

struct Node {
    broadcast: ListBroadcast,
    is_running: bool,
    holds_lease: bool,
    /// Number of the last poll; answers to earlier ones are ignored.
    poll: u64,
    /// Version of its list.
    version: u64,
    next_tick: Option<Duration>,
}

/// State of a run: the nodes of a zone, and discovery.
struct Zone {
    spec: Spec,
    queue: EventQueue<Event>,
    rng: SmallRng,
    nodes: Vec<Node>,
    /// Polls that wait for a change: node and poll number.
    waiting_polls: Vec<(usize, u64)>,
    /// Version of discovery's list.
    version: u64,
    /// When each version was published, and when the last node received it, by version.
    changed_at: Vec<Duration>,
    received_at: Vec<Duration>,
    outcome: Outcome,
    poll_timeout: Duration,
}

fn address(node: usize) -> SocketAddr {
    node_address(NETWORK, node)
}

/// Runs a zone for a minute of emulated time.
///
/// # Panics
/// If a node lags by more than the last change at the end.
pub fn run(spec: Spec) -> Outcome {
    let mut zone = Zone::new(spec);
    let mut start_counts = None;
    while let Some(event) = zone.queue.next_until(RUN_LENGTH) {
        if start_counts.is_none() && zone.queue.now() >= COUNTED_FROM {
            start_counts = Some((zone.outcome.calls, zone.sent()));
        }
        zone.handle(event);
    }
    let (calls, sent) = start_counts.unwrap_or_default();
    zone.outcome(calls, &sent)
}

impl Zone {
    fn new(spec: Spec) -> Zone {
        let peers: Vec<(String, SocketAddr)> =
            (0..spec.nodes).map(|i| (format!("n{i:04}"), address(i))).collect();
        let node = |i: usize| {
            let mut broadcast = ListBroadcast::new(&peers[i].0, DISCOVERY_ID);
            broadcast.set_peers(peers.clone());
            Node { broadcast, is_running: true, holds_lease: false, poll: 0, version: 0, next_tick: None }
        };
        let poll_timeout = POLL_TIMEOUT_PER_NODE * spec.nodes as u32;
        let mut zone = Zone {
            spec,
            queue: EventQueue::default(),
            rng: SmallRng::seed_from_u64(spec.seed),
            nodes: (0..spec.nodes).map(node).collect(),
            waiting_polls: Vec::new(),
            version: 1,
            changed_at: vec![Duration::ZERO; 2],
            received_at: vec![Duration::ZERO; 2],
            outcome: Outcome::default(),
            poll_timeout: poll_timeout.clamp(POLL_TIMEOUT_MIN, POLL_TIMEOUT_MAX),
        };
        (0..spec.nodes).for_each(|i| zone.poll_discovery(i));
        if spec.shared {
            zone.queue.schedule(LEASE_GRANTED, Event::GrantLease(spec.nodes / 3));
        }
        zone.queue.schedule(CHANGE_INTERVAL, Event::ListChange);
        if spec.holder_killed && spec.shared {
            zone.queue.schedule(HOLDER_KILLED, Event::KillHolder);
            zone.queue.schedule(MIDDLE + VACANCY, Event::GrantLease(spec.nodes / 2));
        }
        zone
    }

    /// Returns the number of messages that each node has sent.
    fn sent(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.broadcast.metrics().sent).collect()
    }

    /// Returns the outcome, without the calls and messages of the start phase.
    fn outcome(self, calls_at_start: u64, sent_at_start: &[u64]) -> Outcome {
        let sent: Vec<u64> =
            self.sent().iter().zip(sent_at_start).map(|(total, at_start)| total - at_start).collect();
        let up_to_date =
            self.nodes.iter().filter(|node| node.is_running).all(|node| node.version + 1 >= self.version);
        assert!(up_to_date, "a node lags by more than the last change");
        let delay = |version: usize| self.received_at[version].saturating_sub(self.changed_at[version]);
        Outcome {
            calls: self.outcome.calls - calls_at_start,
            messages: sent.iter().sum(),
            peak_send_rate: sent.iter().copied().max().unwrap_or(0) as f64
                / (RUN_LENGTH - COUNTED_FROM).as_secs_f64(),
            propagation_ms: (2..self.version as usize)
                .map(|version| delay(version).as_millis() as u64)
                .collect(),
        }
    }

    fn draw_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(DELAY_US))
    }

    fn poll_discovery(&mut self, i: usize) {
        self.outcome.calls += 1;
        self.nodes[i].poll += 1;
        let (poll, version) = (self.nodes[i].poll, self.version);
        if self.nodes[i].version < version {
            let delay = self.draw_delay() * 2;
            self.queue.schedule(delay, Event::PollAnswer { node: i, poll, version });
        } else {
            self.waiting_polls.push((i, poll));
            // A poll without a change times out and is repeated.
            self.queue.schedule(self.poll_timeout, Event::PollAnswer { node: i, poll, version: 0 });
        }
    }

    /// Returns the change that a version makes: all workers for version 1, otherwise one.
    fn delta(version: u64) -> ListDelta {
        let entry =
            |i: usize| ListEntry { key: format!("w{i:03}"), removed: false, bytes: vec![0; ENTRY_BYTES] };
        match version {
            1 => ListDelta { version, complete: true, entries: (0..WORKERS).map(entry).collect() },
            _ => ListDelta { version, complete: false, entries: vec![entry(version as usize % WORKERS)] },
        }
    }

    fn record_version(&mut self, i: usize, version: u64) {
        let (now, node) = (self.queue.now(), &mut self.nodes[i]);
        for seen in node.version + 1..=version {
            self.received_at[seen as usize] = self.received_at[seen as usize].max(now);
        }
        node.version = node.version.max(version);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } => self.receive(from, to, message),
            Event::PollAnswer { node, poll, version } => self.poll_answered(node, poll, version),
            Event::Tick(i) => self.tick(i),
            Event::ListChange => self.change_list(),
            Event::KillHolder => {
                if let Some(node) = self.nodes.iter_mut().find(|node| node.holds_lease) {
                    (node.is_running, node.holds_lease) = (false, false);
                }
            }
            Event::GrantLease(i) => {
                let token = FENCING_TOKEN + self.queue.scheduled();
                self.nodes[i].holds_lease = true;
                self.nodes[i].broadcast.lease_acquired(self.queue.now(), token);
                self.execute_actions(i);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: BroadcastMessage) {
        if self.nodes[to].is_running {
            self.nodes[to].broadcast.receive(self.queue.now(), address(from), message);
            self.execute_actions(to);
        }
    }

    fn poll_answered(&mut self, i: usize, poll: u64, version: u64) {
        let node = &self.nodes[i];
        if !node.is_running || node.poll != poll || !node.broadcast.polls_discovery() {
            return;
        }
        let holds_lease = node.holds_lease;
        if version > 0 {
            for missed in node.version + 1..=version {
                self.nodes[i].broadcast.publish(self.queue.now(), &Zone::delta(missed), holds_lease);
            }
            self.record_version(i, version);
        }
        self.waiting_polls.retain(|(node, _)| *node != i);
        self.poll_discovery(i);
        self.execute_actions(i);
    }

    fn tick(&mut self, i: usize) {
        let (now, node) = (self.queue.now(), &mut self.nodes[i]);
        if node.is_running && node.next_tick == Some(now) {
            node.next_tick = None;
            node.broadcast.tick(now, node.holds_lease);
            self.execute_actions(i);
        }
    }

    fn change_list(&mut self) {
        let now = self.queue.now();
        self.version += 1;
        self.changed_at.push(now);
        self.received_at.push(now);
        let version = self.version;
        for (node, poll) in std::mem::take(&mut self.waiting_polls) {
            let delay = self.draw_delay();
            self.queue.schedule(delay, Event::PollAnswer { node, poll, version });
        }
        self.queue.schedule(CHANGE_INTERVAL, Event::ListChange);
    }

    /// Executes a node's actions and schedules its next tick.
    fn execute_actions(&mut self, i: usize) {
        while let Some(action) = self.nodes[i].broadcast.next_action() {
            match action {
                BroadcastAction::Send { to, message } => self.send(i, to, message),
                BroadcastAction::Apply(delta) => self.record_version(i, delta.version),
                BroadcastAction::PollDiscovery(true) => self.poll_discovery(i),
                BroadcastAction::PollDiscovery(false) => self.waiting_polls.retain(|(node, _)| *node != i),
            }
        }
        let (now, due) = (self.queue.now(), self.nodes[i].broadcast.next_tick());
        let at = due.max(now);
        if due < Duration::MAX && self.nodes[i].next_tick != Some(at) {
            self.nodes[i].next_tick = Some(at);
            self.queue.schedule(at - now, Event::Tick(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: BroadcastMessage) {
        let to = (0..self.nodes.len()).find(|node| address(*node) == to);
        let delay = self.draw_delay();
        if let Some(to) = to.filter(|_| !self.rng.random_bool(self.spec.loss)) {
            self.queue.schedule(delay, Event::Message { from, to, message });
        }
    }
}
