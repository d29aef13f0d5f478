//! The worker list of one zone, passed on from the node that asks discovery to all others, in emulated time.

use super::limits::{Limits, NotRun};
use super::list::ListBody;
use super::processor::Stopwatch;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use super::sealer::Sealer;
use ::coordination::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Between two versions of the list: live weights are renewed each second.
const PERIOD: Duration = Duration::from_secs(1);
/// Versions before traffic is counted: by then all nodes have the list.
const WARM_UP_VERSIONS: usize = 3;
/// Versions that are counted; the state holds the last sixteen changes by then.
const COUNTED_VERSIONS: usize = 16;
/// The least and the most time that a message is on its way, in microseconds.
const WIRE_US: std::ops::Range<u64> = 500..10_000;
/// The token of the node that asks discovery.
const TOKEN: u64 = 10;
/// Which discovery it is.
const SOURCE: u64 = 1;
/// A word's tag, which says of which subsystem it is, in bytes.
const TAG: usize = 1;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Nodes of the zone.
    pub nodes: usize,
    /// Workers on the list.
    pub workers: usize,
    /// Zones that the workers are spread over.
    pub zones: usize,
    /// The seed of all that is drawn.
    pub seed: u64,
}

/// Measures one zone whose list is renewed whole each second.
pub fn measure(spec: &Spec, limits: &Limits, recorder: &mut Recorder) {
    match Zone::new(spec).measure(limits) {
        Ok(figures) => recorder.measured(Role::ListRelay, Condition::LiveWeights, figures),
        Err(reason) => recorder.not_run(Role::ListRelay, Condition::LiveWeights, &reason),
    }
    recorder.measured(Role::SharedDiscovery, Condition::LiveWeights, discovery(spec));
}

/// What discovery sends where one node of each zone asks it.
fn discovery(spec: &Spec) -> Figures {
    let mut rng = SmallRng::seed_from_u64(spec.seed);
    let list = ListBody::drawn(1, spec.workers, spec.zones, &mut rng).to_json().len();
    let rate = (list * spec.zones) as f64 / PERIOD.as_secs_f64();
    Figures::from([(Quantity::BytesOut, Value::single(rate))])
}

enum Event {
    Message { from: usize, to: usize, message: BroadcastMessage },
    Version,
    Wake(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    messages_out: u64,
    messages_in: u64,
    bytes_out: u64,
    bytes_in: u64,
}

struct Node {
    spread: ListBroadcast,
    wake: Option<Duration>,
    version: u64,
    count: Count,
}

struct Zone<'a> {
    spec: &'a Spec,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    order: u64,
    rng: SmallRng,
    sealer: Sealer,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    /// When each version was told to the holder, by version from 1 on.
    told_at: Vec<Duration>,
    /// From each version's telling until a node had it, in milliseconds.
    delays: Vec<f64>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 6, (i / 250) as u8, (i % 250 + 1) as u8), 7946))
}

impl<'a> Zone<'a> {
    fn new(spec: &'a Spec) -> Zone<'a> {
        let peers: Vec<(String, SocketAddr)> =
            (0..spec.nodes).map(|i| (format!("n{i:04}"), address(i))).collect();
        let node = |i: usize| {
            let mut spread = ListBroadcast::new(&peers[i].0, SOURCE);
            spread.set_peers(peers.clone());
            Node { spread, wake: None, version: 0, count: Count::default() }
        };
        let mut zone = Zone {
            spec,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(spec.seed),
            sealer: Sealer::new(),
            nodes: (0..spec.nodes).map(node).collect(),
            by_address: (0..spec.nodes).map(|i| (address(i), i)).collect(),
            told_at: Vec::new(),
            delays: Vec::new(),
        };
        let holder = zone.holder();
        zone.nodes[holder].spread.lease_acquired(Duration::ZERO, TOKEN);
        zone.after(holder);
        zone.put(PERIOD, Event::Version);
        zone
    }

    fn holder(&self) -> usize {
        self.spec.nodes / 3
    }

    fn measure(mut self, limits: &Limits) -> Result<Figures, NotRun> {
        self.run(PERIOD * (WARM_UP_VERSIONS as u32 + 1), limits)?;
        let before: Vec<Count> = self.nodes.iter().map(|node| node.count).collect();
        self.delays.clear();
        let (length, stopwatch) = (PERIOD * COUNTED_VERSIONS as u32, Stopwatch::start());
        self.run(length, limits)?;
        let processor = stopwatch.elapsed();
        let mut figures = self.traffic(&before, length);
        let share = processor.as_secs_f64() / (self.spec.nodes as f64 * length.as_secs_f64());
        figures.insert(Quantity::ProcessorShare, Value::single(share));
        let in_force = Value::of(std::mem::take(&mut self.delays));
        figures.extend(in_force.map(|value| (Quantity::InForceMs, value)));
        self.queue.clear();
        let state = self.nodes.into_iter().map(|node| limits.memory().freed_by(|| drop(node)) as f64);
        figures.extend(Value::of(state.collect()).map(|value| (Quantity::StateBytes, value)));
        Ok(figures)
    }

    fn traffic(&self, before: &[Count], length: Duration) -> Figures {
        let rate = |count: fn(&Count) -> u64| {
            let each = self.nodes.iter().zip(before).map(|(node, then)| count(&node.count) - count(then));
            Value::of(each.map(|counted| counted as f64 / length.as_secs_f64()).collect())
        };
        let rates = [
            (Quantity::MessagesOut, rate(|c| c.messages_out)),
            (Quantity::MessagesIn, rate(|c| c.messages_in)),
            (Quantity::BytesOut, rate(|c| c.bytes_out)),
            (Quantity::BytesIn, rate(|c| c.bytes_in)),
        ];
        rates.into_iter().filter_map(|(quantity, value)| Some((quantity, value?))).collect()
    }

    fn run(&mut self, span: Duration, limits: &Limits) -> Result<(), NotRun> {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Message { from, to, message } => self.hear(from, to, message),
                Event::Version => self.renew(),
                Event::Wake(node) => self.wake(node),
            }
            limits.check()?;
        }
        self.now = end;
        Ok(())
    }

    fn put(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    fn renew(&mut self) {
        self.put(PERIOD, Event::Version);
        self.told_at.push(self.now);
        let version = self.told_at.len() as u64;
        let lines = ListBody::drawn(version, self.spec.workers, self.spec.zones, &mut self.rng).lines();
        let change = ListDelta { version, complete: version == 1, entries: lines };
        let holder = self.holder();
        self.nodes[holder].spread.publish(self.now, &change, true);
        self.nodes[holder].version = version;
        self.after(holder);
    }

    fn hear(&mut self, from: usize, to: usize, message: BroadcastMessage) {
        self.nodes[to].spread.receive(self.now, address(from), message);
        self.after(to);
    }

    fn wake(&mut self, node: usize) {
        let holds = node == self.holder();
        if self.nodes[node].wake == Some(self.now) {
            self.nodes[node].wake = None;
            self.nodes[node].spread.tick(self.now, holds);
            self.after(node);
        }
    }

    /// Carries out what a node wants done, and notes when it is due next.
    fn after(&mut self, node: usize) {
        while let Some(step) = self.nodes[node].spread.next_action() {
            match step {
                BroadcastAction::Send { to, message } => self.send(node, to, message),
                BroadcastAction::Apply(change) => self.fed(node, change.version),
                BroadcastAction::PollDiscovery(_) => {}
            }
        }
        let due = self.nodes[node].spread.next_tick();
        let at = due.max(self.now);
        if due < Duration::MAX && self.nodes[node].wake != Some(at) {
            self.nodes[node].wake = Some(at);
            let after = at - self.now;
            self.put(after, Event::Wake(node));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: BroadcastMessage) {
        let Some(to) = self.by_address.get(&to).copied() else { return };
        let length = postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len()) + TAG;
        let sealed = self.sealer.word(length);
        let sender = &mut self.nodes[from].count;
        sender.messages_out += sealed.datagrams;
        sender.bytes_out += sealed.bytes;
        let receiver = &mut self.nodes[to].count;
        receiver.messages_in += sealed.datagrams;
        receiver.bytes_in += sealed.bytes;
        let wire = Duration::from_micros(self.rng.random_range(WIRE_US));
        self.put(wire, Event::Message { from, to, message });
    }

    fn fed(&mut self, node: usize, version: u64) {
        for passed in self.nodes[node].version..version {
            let told_at = self.told_at[passed as usize];
            self.delays.push((self.now - told_at).as_secs_f64() * 1e3);
        }
        self.nodes[node].version = version;
    }
}
