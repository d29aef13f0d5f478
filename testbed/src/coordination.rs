//! Emulated cluster of voters and lease clients in one thread: the same seed gives the same run. The clock of
//! each node may drift, the disks of voters survive crashes, and a stand-in resource records each fenced
//! operation.

mod faults;
mod node;
mod processing;

pub use node::{address, name};

use crate::disk::MemDisk;
use crate::emulated_network::EventQueue;
use crate::fault_proxy::LinkRules;
use crate::history_check::FencedOperation;
use ::coordination::{
    FencingGuard, LeaseLost, Message, Operation, Timing, VoterEvent, VoterMetrics, VoterState,
};
use node::{Node, Process};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::Duration;

/// Name of the lease that the emulated nodes request.
pub const LEASE: &str = "errand";
/// Interval at which [`EmulatedCluster::run_until_held`] checks for a holder.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Parameters of an emulated cluster.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of nodes; the first `voters` of them are voters.
    pub nodes: usize,
    /// Number of voters.
    pub voters: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Durations of leases and elections.
    pub timing: Timing,
    /// Maximum clock drift, as a ratio.
    pub drift: f64,
    /// Mean duration of a write.
    pub write_time: Duration,
    /// Nodes that request the lease from the start.
    pub candidates: Vec<usize>,
}

impl Spec {
    /// Returns a small cluster: three voters, and two other nodes that request the lease.
    pub fn new(seed: u64) -> Spec {
        Spec {
            nodes: 5,
            voters: 3,
            seed,
            timing: Timing { lease: Duration::from_secs(5), election: Duration::from_millis(500) },
            drift: 0.05,
            write_time: Duration::from_millis(3),
            candidates: vec![3, 4],
        }
    }
}

/// Lease acquired or lost by a node.
#[derive(Clone, Debug)]
pub struct LeaseEvent {
    /// Time by the global clock.
    pub at: Duration,
    /// Node that acquired or lost it.
    pub node: usize,
    /// Fencing token.
    pub token: u64,
    /// Why it was lost, or `None` if it was acquired.
    pub lost: Option<LeaseLost>,
}

enum Event {
    Message { from: usize, process_id: u64, to: usize, message: Message },
    Persisted { node: usize, process_id: u64, number: u64, succeeded: bool },
    StartOperation { node: usize, process_id: u64 },
    OperationArrived { operation: FencedOperation },
    Wake(usize),
}

/// Emulated cluster.
pub struct EmulatedCluster {
    spec: Spec,
    nodes: Vec<Node>,
    queue: EventQueue<Event>,
    /// Faults of the links between nodes.
    pub rules: LinkRules,
    rng: SmallRng,
    /// Fencing guard of the resource.
    guard: FencingGuard,
    /// Operations in the order of their arrival at the resource.
    pub operations: Vec<FencedOperation>,
    /// Events of the voters: time, node and event.
    pub voter_events: Vec<(Duration, usize, VoterEvent)>,
    /// Leases acquired and lost.
    pub lease_events: Vec<LeaseEvent>,
    /// Number of operations that the resource rejected.
    pub rejected_operations: u64,
    /// Number of messages sent.
    pub messages_sent: u64,
}

impl EmulatedCluster {
    /// Creates all nodes and starts them at once.
    pub fn started(spec: Spec) -> EmulatedCluster {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let nodes = (0..spec.nodes).map(|_| Node::with_random_clock(spec.drift, &mut rng)).collect();
        let mut cluster = EmulatedCluster {
            nodes,
            queue: EventQueue::default(),
            rules: LinkRules::default(),
            rng,
            guard: FencingGuard::default(),
            operations: Vec::new(),
            voter_events: Vec::new(),
            lease_events: Vec::new(),
            rejected_operations: 0,
            messages_sent: 0,
            spec,
        };
        (0..cluster.nodes.len()).for_each(|node| cluster.start(node));
        cluster
    }

    /// Returns the time on the global clock.
    pub fn now(&self) -> Duration {
        self.queue.now()
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now() + duration;
        while let Some(event) = self.queue.next_until(end) {
            self.handle(event);
        }
    }

    /// Lets time pass, `limit` at most, until a running node holds the lease; returns how long it took, or
    /// `None` if no node holds it.
    pub fn run_until_held(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now();
        while self.holder().is_none() {
            if self.now() - start >= limit {
                return None;
            }
            self.run(HOLDER_POLL_INTERVAL);
        }
        Some(self.now() - start)
    }

    /// Returns whether a process runs at this node and is not stalled.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].process.as_ref().is_some_and(|process| !process.is_stalled)
    }

    /// Returns whether a process exists at this node, stalled or not.
    pub fn has_process(&self, node: usize) -> bool {
        self.nodes[node].process.is_some()
    }

    /// Returns the disk of a node.
    pub fn disk(&self, node: usize) -> &MemDisk {
        &self.nodes[node].disk
    }

    /// Replaces the disk of a node; a process that runs there keeps the old one.
    pub fn set_disk(&mut self, node: usize, disk: MemDisk) {
        self.nodes[node].disk = disk;
    }

    /// Returns the node whose lease is valid now, and its fencing token.
    pub fn holder(&self) -> Option<(usize, u64)> {
        let token = |node: usize| {
            let process = self.nodes[node].process.as_ref().filter(|process| !process.is_stalled)?;
            Some((node, process.client.valid_token(self.local_time(node), LEASE)?))
        };
        (0..self.nodes.len()).find_map(token)
    }

    /// Returns the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: usize| self.voter_state(node) == Some(VoterState::Leader);
        (0..self.nodes.len()).find(|node| self.is_running(*node) && leads(*node))
    }

    /// Returns the state of a node's voter, if it has one.
    pub fn voter_state(&self, node: usize) -> Option<VoterState> {
        Some(self.process(node)?.voter.as_ref()?.0.state())
    }

    /// Returns the counters of a node's voter.
    pub fn voter_metrics(&self, node: usize) -> VoterMetrics {
        let voter = self.process(node).and_then(|process| process.voter.as_ref());
        voter.map(|(voter, _)| voter.metrics()).unwrap_or_default()
    }

    /// Returns the names of all voters as this node's voter knows them.
    pub fn voter_names(&self, node: usize) -> Vec<String> {
        let voter = self.process(node).and_then(|process| process.voter.as_ref());
        let names = voter.map(|(voter, _)| voter.table().voters.values().map(|m| m.name.clone()).collect());
        names.unwrap_or_default()
    }

    /// Sends an operator request to the leader through a node. The request may be lost, so the caller may
    /// have to repeat it.
    pub fn request(&mut self, through: usize, operation: Operation) {
        let (to, now) = (self.leader().map(address), self.local_time(through));
        if let (Some(to), Some(process)) = (to, &mut self.nodes[through].process) {
            process.client.request(now, to, operation);
        }
        self.execute_actions(through);
    }

    /// Lets a node request the lease from now on.
    pub fn request_lease(&mut self, node: usize) {
        let now = self.local_time(node);
        if let Some(process) = &mut self.nodes[node].process {
            process.client.acquire(now, LEASE);
        }
        self.execute_actions(node);
    }

    /// Lets a node release the lease and stop requesting it.
    pub fn release_lease(&mut self, node: usize) {
        let now = self.local_time(node);
        if let Some(process) = &mut self.nodes[node].process {
            process.client.release(now, LEASE);
        }
        self.execute_actions(node);
    }

    fn process(&self, node: usize) -> Option<&Process> {
        self.nodes[node].process.as_ref()
    }

    /// Returns the time on the clock of a node.
    fn local_time(&self, node: usize) -> Duration {
        self.now().mul_f64(self.nodes[node].clock_rate)
    }
}
