//! List broadcast of one zone in emulated time: the lease holder passes the endpoint list on to all other
//! nodes.

use super::limits::{Limits, NotRun};
use super::list::ListBody;
use super::network::{traffic_rates, EmulatedNetwork, TrafficCount};
use super::processor::Stopwatch;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use crate::emulated_network::{node_address, EventQueue};
use ::coordination::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two versions of the list; each has new live weights.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);
/// Versions before traffic is counted; by then all nodes have the list.
const WARM_UP_VERSIONS: u32 = 3;
/// Versions during which traffic is counted; the state then holds the last sixteen changes.
const MEASURED_VERSIONS: u32 = 16;
/// Fencing token of the lease holder.
const FENCING_TOKEN: u64 = 10;
/// Identifier of the discovery that the list comes from.
const DISCOVERY_ID: u64 = 1;
/// Second byte of the nodes' addresses.
const NETWORK: u8 = 6;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of nodes in the zone.
    pub nodes: usize,
    /// Number of workers in the list.
    pub workers: usize,
    /// Number of zones that the workers are distributed over.
    pub zones: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Measures one zone whose list changes as a whole each second.
pub fn measure(spec: &Spec, limits: &Limits, recorder: &mut Recorder) {
    match Zone::new(spec).measure(limits) {
        Ok(figures) => recorder.measured(Role::ListRelay, Condition::LiveWeights, figures),
        Err(reason) => recorder.not_run(Role::ListRelay, Condition::LiveWeights, &reason),
    }
    recorder.measured(Role::SharedDiscovery, Condition::LiveWeights, discovery_traffic(spec));
}

/// Returns the traffic of discovery if one node of each zone polls it.
fn discovery_traffic(spec: &Spec) -> Figures {
    let mut rng = SmallRng::seed_from_u64(spec.seed);
    let list = ListBody::random(1, spec.workers, spec.zones, &mut rng).to_json().len();
    let rate = (list * spec.zones) as f64 / VERSION_INTERVAL.as_secs_f64();
    Figures::from([(Quantity::BytesOut, Value::single(rate))])
}

enum Event {
    Message { from: usize, to: usize, message: BroadcastMessage },
    NewVersion,
    Tick(usize),
}

struct Node {
    broadcast: ListBroadcast,
    next_tick: Option<Duration>,
    version: u64,
    traffic: TrafficCount,
}

/// All nodes of a zone and the network between them.
struct Zone<'a> {
    spec: &'a Spec,
    queue: EventQueue<Event>,
    network: EmulatedNetwork,
    nodes: Vec<Node>,
    /// Times at which the lease holder received each version, from version 1 on.
    published_at: Vec<Duration>,
    /// Delays from the publication of a version to its arrival at a node, in milliseconds.
    delays_ms: Vec<f64>,
}

fn address(node: usize) -> SocketAddr {
    node_address(NETWORK, node)
}

impl<'a> Zone<'a> {
    fn new(spec: &'a Spec) -> Zone<'a> {
        let peers: Vec<(String, SocketAddr)> =
            (0..spec.nodes).map(|i| (format!("n{i:04}"), address(i))).collect();
        let node = |i: usize| {
            let mut broadcast = ListBroadcast::new(&peers[i].0, DISCOVERY_ID);
            broadcast.set_peers(peers.clone());
            Node { broadcast, next_tick: None, version: 0, traffic: TrafficCount::default() }
        };
        let rng = SmallRng::seed_from_u64(spec.seed);
        let mut zone = Zone {
            spec,
            queue: EventQueue::default(),
            network: EmulatedNetwork::new((0..spec.nodes).map(address), rng),
            nodes: (0..spec.nodes).map(node).collect(),
            published_at: Vec::new(),
            delays_ms: Vec::new(),
        };
        let holder = zone.lease_holder();
        zone.nodes[holder].broadcast.lease_acquired(Duration::ZERO, FENCING_TOKEN);
        zone.execute_actions(holder);
        zone.queue.schedule(VERSION_INTERVAL, Event::NewVersion);
        zone
    }

    fn lease_holder(&self) -> usize {
        self.spec.nodes / 3
    }

    fn measure(mut self, limits: &Limits) -> Result<Figures, NotRun> {
        self.run(VERSION_INTERVAL * (WARM_UP_VERSIONS + 1), limits)?;
        let before: Vec<TrafficCount> = self.nodes.iter().map(|node| node.traffic).collect();
        self.delays_ms.clear();
        let (span, stopwatch) = (VERSION_INTERVAL * MEASURED_VERSIONS, Stopwatch::start());
        self.run(span, limits)?;
        let processor = stopwatch.elapsed();
        let counted = self.nodes.iter().zip(&before).map(|(node, earlier)| node.traffic.since(earlier));
        let mut figures = traffic_rates(&counted.collect::<Vec<_>>(), span);
        let share = processor.as_secs_f64() / (self.spec.nodes as f64 * span.as_secs_f64());
        figures.insert(Quantity::ProcessorShare, Value::single(share));
        let delays = Value::of(std::mem::take(&mut self.delays_ms));
        figures.extend(delays.map(|value| (Quantity::InForceMs, value)));
        self.queue.clear();
        let state = self.nodes.into_iter().map(|node| limits.memory().freed_by(|| drop(node)) as f64);
        figures.extend(Value::of(state.collect()).map(|value| (Quantity::StateBytes, value)));
        Ok(figures)
    }

    fn run(&mut self, span: Duration, limits: &Limits) -> Result<(), NotRun> {
        let end = self.queue.now() + span;
        while let Some(event) = self.queue.next_until(end) {
            match event {
                Event::Message { from, to, message } => self.receive(from, to, message),
                Event::NewVersion => self.publish_version(),
                Event::Tick(node) => self.tick(node),
            }
            limits.check()?;
        }
        Ok(())
    }

    fn publish_version(&mut self) {
        let now = self.queue.now();
        self.queue.schedule(VERSION_INTERVAL, Event::NewVersion);
        self.published_at.push(now);
        let version = self.published_at.len() as u64;
        let list = ListBody::random(version, self.spec.workers, self.spec.zones, &mut self.network.rng);
        let delta = ListDelta { version, complete: version == 1, entries: list.list_entries() };
        let holder = self.lease_holder();
        self.nodes[holder].broadcast.publish(now, &delta, true);
        self.nodes[holder].version = version;
        self.execute_actions(holder);
    }

    fn receive(&mut self, from: usize, to: usize, message: BroadcastMessage) {
        self.nodes[to].broadcast.receive(self.queue.now(), address(from), message);
        self.execute_actions(to);
    }

    fn tick(&mut self, node: usize) {
        let (now, holds_lease) = (self.queue.now(), node == self.lease_holder());
        if self.nodes[node].next_tick == Some(now) {
            self.nodes[node].next_tick = None;
            self.nodes[node].broadcast.tick(now, holds_lease);
            self.execute_actions(node);
        }
    }

    /// Executes a node's actions and schedules its next tick.
    fn execute_actions(&mut self, node: usize) {
        while let Some(action) = self.nodes[node].broadcast.next_action() {
            match action {
                BroadcastAction::Send { to, message } => self.send(node, to, message),
                BroadcastAction::Apply(delta) => self.record_version(node, delta.version),
                BroadcastAction::PollDiscovery(_) => {}
            }
        }
        let (now, due) = (self.queue.now(), self.nodes[node].broadcast.next_tick());
        let at = due.max(now);
        if due < Duration::MAX && self.nodes[node].next_tick != Some(at) {
            self.nodes[node].next_tick = Some(at);
            self.queue.schedule(at - now, Event::Tick(node));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: BroadcastMessage) {
        let Some(to) = self.network.process_at(to) else { return };
        let size = self.network.wire_size(&message);
        self.nodes[from].traffic.record_sent(size);
        self.nodes[to].traffic.record_received(size);
        let delay = self.network.draw_delay();
        self.queue.schedule(delay, Event::Message { from, to, message });
    }

    /// Records the delays of all versions that a node has received with this one.
    fn record_version(&mut self, node: usize, version: u64) {
        for received in self.nodes[node].version..version {
            let published_at = self.published_at[received as usize];
            self.delays_ms.push((self.queue.now() - published_at).as_secs_f64() * 1e3);
        }
        self.nodes[node].version = version;
    }
}
