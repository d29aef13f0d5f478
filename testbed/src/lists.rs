//! The lists of one zone in emulated time: how many calls discovery gets, and how long a change takes to the last node, with
//! one node that follows it for all and without.

use ::coordination::{BroadcastAction, BroadcastMessage, Entry, ListBroadcast, ListDelta};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Between two changes of the list, and for how long a play goes.
const CHANGE: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(60);
/// A lease and an election, with the times that a node has by default: nobody holds the duty for as long after a kill.
const VACANT: Duration = Duration::from_millis(11_500);
/// Workers.
const WORKERS: usize = 60;

/// What one play showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Calls that discovery got.
    pub calls: u64,
    /// From each change until the last running node had it, in milliseconds.
    pub last_ms: Vec<u64>,
    /// Words between nodes.
    pub words: u64,
    /// The most that one node sent in a second, on average.
    pub most: f64,
}

enum Event {
    Message {
        from: usize,
        to: usize,
        message: BroadcastMessage,
    },
    /// Discovery answers a call that was made under this number.
    Answer {
        i: usize,
        call: u64,
        version: u64,
    },
    Wake(usize),
    Change,
    Kill,
    Hold(usize),
}

struct Node {
    spread: ListBroadcast,
    runs: bool,
    holds: bool,
    call: u64,
    had: u64,
    wake: Option<Duration>,
}

struct World {
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    /// Calls that wait for a change: node and number.
    waiting: Vec<(usize, u64)>,
    version: u64,
    changed: Vec<Duration>,
    seen: Vec<Duration>,
    outcome: Outcome,
    wait: Duration,
    loss: f64,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 7, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

/// Plays a zone of so many nodes: with the duty or without, its holder killed in the middle or not.
pub fn play(nodes: usize, shared: bool, killed: bool, loss: f64, seed: u64) -> Outcome {
    let peers: Vec<(String, SocketAddr)> = (0..nodes).map(|i| (format!("n{i:04}"), address(i))).collect();
    let node = |i: usize| {
        let mut spread = ListBroadcast::new(&peers[i].0, 1);
        spread.set_peers(peers.clone());
        Node { spread, runs: true, holds: false, call: 0, had: 0, wake: None }
    };
    let wait =
        (Duration::from_millis(200) * nodes as u32).clamp(Duration::from_secs(5), Duration::from_secs(20));
    let mut world = World {
        now: Duration::ZERO,
        queue: BTreeMap::new(),
        order: 0,
        rng: SmallRng::seed_from_u64(seed),
        nodes: (0..nodes).map(node).collect(),
        waiting: Vec::new(),
        version: 1,
        changed: vec![Duration::ZERO; 2],
        seen: vec![Duration::ZERO; 2],
        outcome: Outcome::default(),
        wait,
        loss,
    };
    (0..nodes).for_each(|i| world.call(i));
    if shared {
        world.put(Duration::from_millis(500), Event::Hold(nodes / 3));
    }
    world.put(CHANGE, Event::Change);
    if killed && shared {
        world.put(LENGTH / 2 + Duration::from_millis(100), Event::Kill);
        world.put(LENGTH / 2 + VACANT, Event::Hold(nodes / 2));
    }
    let from = Duration::from_secs(3);
    let mut before = (0, Vec::new());
    while let Some(entry) = world.queue.first_entry().filter(|e| e.key().0 <= LENGTH) {
        if before.1.is_empty() && entry.key().0 >= from {
            before = (world.outcome.calls, world.nodes.iter().map(|n| n.spread.metrics().sent).collect());
        }
        world.now = entry.key().0;
        let event = entry.remove();
        world.event(event);
    }
    let mut outcome = world.outcome.clone();
    // The start, when all ask, is the same either way.
    outcome.calls -= before.0;
    let sent = world.nodes.iter().map(|n| n.spread.metrics().sent).zip(&before.1).map(|(a, b)| a - b);
    outcome.words = sent.clone().sum();
    outcome.most = sent.max().unwrap_or(0) as f64 / (LENGTH - from).as_secs_f64();
    let all = world.nodes.iter().filter(|n| n.runs).all(|n| n.had + 1 >= world.version);
    assert!(all, "a node is behind by more than the last change");
    outcome.last_ms = (2..world.version as usize)
        .map(|v| (world.seen[v].saturating_sub(world.changed[v])).as_millis() as u64)
        .collect();
    outcome
}

impl World {
    fn put(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn wire(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..10_000))
    }

    fn call(&mut self, i: usize) {
        self.outcome.calls += 1;
        self.nodes[i].call += 1;
        let (call, version) = (self.nodes[i].call, self.version);
        if self.nodes[i].had < version {
            let after = self.wire() * 2;
            self.put(after, Event::Answer { i, call, version });
        } else {
            self.waiting.push((i, call));
            // A watch that hears nothing ends, and is made anew.
            let after = self.wait;
            self.put(after, Event::Answer { i, call, version: 0 });
        }
    }

    fn lines(&self, version: u64) -> ListDelta {
        let line = |i: usize| Entry { key: format!("w{i:03}"), removed: false, bytes: vec![0; 180] };
        match version {
            1 => ListDelta { version, complete: true, entries: (0..WORKERS).map(line).collect() },
            _ => ListDelta { version, complete: false, entries: vec![line(version as usize % WORKERS)] },
        }
    }

    fn has(&mut self, i: usize, version: u64) {
        let node = &mut self.nodes[i];
        for v in node.had + 1..=version {
            self.seen[v as usize] = self.seen[v as usize].max(self.now);
        }
        node.had = node.had.max(version);
    }

    fn event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Message { from, to, message } => {
                if self.nodes[to].runs {
                    self.nodes[to].spread.receive(now, address(from), message);
                    self.after(to);
                }
            }
            Event::Answer { i, call, version } => {
                let node = &self.nodes[i];
                if !node.runs || node.call != call || !node.spread.polls_discovery() {
                    return;
                }
                let holds = node.holds;
                if version > 0 {
                    for v in node.had + 1..=version {
                        let change = self.lines(v);
                        self.nodes[i].spread.publish(now, &change, holds);
                    }
                    self.has(i, version);
                }
                self.waiting.retain(|(n, _)| *n != i);
                self.call(i);
                self.after(i);
            }
            Event::Wake(i) => {
                let node = &mut self.nodes[i];
                if node.runs && node.wake == Some(now) {
                    node.wake = None;
                    let holds = node.holds;
                    node.spread.tick(now, holds);
                    self.after(i);
                }
            }
            Event::Change => {
                self.version += 1;
                self.changed.push(now);
                self.seen.push(now);
                for (i, call) in std::mem::take(&mut self.waiting) {
                    let (after, version) = (self.wire(), self.version);
                    self.put(after, Event::Answer { i, call, version });
                }
                self.put(CHANGE, Event::Change);
            }
            Event::Kill => {
                if let Some(node) = self.nodes.iter_mut().find(|n| n.holds) {
                    (node.runs, node.holds) = (false, false);
                }
            }
            Event::Hold(i) => {
                let token = 10 + self.order;
                self.nodes[i].holds = true;
                self.nodes[i].spread.lease_acquired(now, token);
                self.after(i);
            }
        }
    }

    fn after(&mut self, i: usize) {
        while let Some(step) = self.nodes[i].spread.next_action() {
            match step {
                BroadcastAction::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| address(*n) == to);
                    let after = self.wire();
                    if let Some(to) = to.filter(|_| !self.rng.random_bool(self.loss)) {
                        self.put(after, Event::Message { from: i, to, message });
                    }
                }
                BroadcastAction::Apply(change) => self.has(i, change.version),
                BroadcastAction::PollDiscovery(true) => self.call(i),
                BroadcastAction::PollDiscovery(false) => self.waiting.retain(|(n, _)| *n != i),
            }
        }
        let due = self.nodes[i].spread.next_tick();
        if due < Duration::MAX {
            let at = due.max(self.now);
            if self.nodes[i].wake != Some(at) {
                self.nodes[i].wake = Some(at);
                let after = at - self.now;
                self.put(after, Event::Wake(i));
            }
        }
    }
}
