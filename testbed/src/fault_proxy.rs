//! Fault proxies between nodes: forward datagrams and streams with loss, delay, duplication, corruption and
//! cuts.
//!
//! Each node advertises its proxy's address. The proxy identifies the sending node by its address and applies
//! the rule of that pair and direction.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval at which a cut stream checks whether the cut has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest datagram that is forwarded, in bytes.
const DATAGRAM_MAX: usize = 65_536;
/// Buffer of one direction of a stream, in bytes.
const STREAM_BUFFER: usize = 16 * 1024;
/// Maximum number of datagrams recorded for each node.
const RECORDED_MAX: usize = 4096;

/// Fault rule of one direction between two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Rule")]
pub struct LinkRule {
    /// Nothing is forwarded; streams stay open without data.
    pub cut: bool,
    /// Share of the datagrams that are dropped.
    pub loss: f64,
    /// Share that are delivered twice.
    pub twice: f64,
    /// Share with one bit inverted.
    pub mutated: f64,
    /// Minimum delay, in milliseconds.
    pub delay_ms: u64,
    /// Maximum additional random delay of each datagram, in milliseconds; reorders datagrams.
    pub jitter_ms: u64,
}

/// Rules between the nodes of an emulated network.
#[derive(Clone, Debug, Default)]
pub struct LinkRules {
    links: HashMap<(usize, usize), LinkRule>,
    default: LinkRule,
}

impl LinkRules {
    /// Returns the rule from one node to another.
    pub fn between(&self, from: usize, to: usize) -> LinkRule {
        *self.links.get(&(from, to)).unwrap_or(&self.default)
    }

    /// Sets the rule from one node to another.
    pub fn set_rule(&mut self, from: usize, to: usize, rule: LinkRule) {
        self.links.insert((from, to), rule);
    }

    /// Sets the rule of all links without their own.
    pub fn set_default_rule(&mut self, rule: LinkRule) {
        self.default = rule;
    }

    /// Cuts all links between nodes of different partitions; `partitions` has one number for each node.
    pub fn partition(&mut self, partitions: &[u32]) {
        let default = self.default;
        for_each_link(partitions, |from, to, cut| self.set_rule(from, to, LinkRule { cut, ..default }));
    }

    /// Removes all rules.
    pub fn heal(&mut self) {
        *self = LinkRules::default();
    }
}

/// Calls `set` for each link, with whether it crosses partitions.
fn for_each_link(partitions: &[u32], mut set: impl FnMut(usize, usize, bool)) {
    for (from, own) in partitions.iter().enumerate() {
        for (to, other) in partitions.iter().enumerate().filter(|(to, _)| *to != from) {
            set(from, to, own != other);
        }
    }
}

/// Counters of all proxies of a cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounters {
    /// Datagrams forwarded.
    pub datagrams: u64,
    /// Bytes of the datagrams forwarded.
    pub bytes: u64,
    /// Datagrams dropped by loss or cuts.
    pub lost: u64,
}

struct State {
    rules: HashMap<(usize, usize), LinkRule>,
    nodes: HashMap<IpAddr, usize>,
    rng: SmallRng,
    counters: ProxyCounters,
    /// First datagrams to each node since recording began, for replay tests.
    recorded: HashMap<usize, Vec<Vec<u8>>>,
    recording: bool,
}

/// The proxies of one cluster; they stop when the last clone is dropped.
#[derive(Clone)]
pub struct FaultProxies {
    state: Arc<Mutex<State>>,
    _tasks: Arc<Tasks>,
}

struct Tasks(Mutex<Vec<JoinHandle<()>>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in self.0.get_mut().unwrap_or_else(PoisonError::into_inner) {
            task.abort();
        }
    }
}

impl FaultProxies {
    /// Starts a proxy at `proxies[i]` for the node that listens at `nodes[i]`; random choices depend on the
    /// seed.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn start(proxies: &[SocketAddr], nodes: &[SocketAddr], seed: u64) -> io::Result<FaultProxies> {
        let state = State {
            rules: HashMap::new(),
            nodes: nodes.iter().enumerate().map(|(i, address)| (address.ip(), i)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            counters: ProxyCounters::default(),
            recorded: HashMap::new(),
            recording: false,
        };
        let state = Arc::new(Mutex::new(state));
        let tasks = Arc::new(Tasks(Mutex::default()));
        for (to, (proxy, node)) in proxies.iter().zip(nodes).enumerate() {
            let socket = Arc::new(UdpSocket::bind(proxy).await?);
            let listener = TcpListener::bind(proxy).await?;
            let datagrams = tokio::spawn(forward_datagrams(state.clone(), socket, to, *node));
            let streams = tokio::spawn(forward_streams(state.clone(), listener, to, *node));
            let mut tasks = tasks.0.lock().unwrap_or_else(PoisonError::into_inner);
            tasks.extend([datagrams, streams]);
        }
        Ok(FaultProxies { state, _tasks: tasks })
    }

    /// Sets the rule from one node to another.
    pub fn set_rule(&self, from: usize, to: usize, rule: LinkRule) {
        lock(&self.state).rules.insert((from, to), rule);
    }

    /// Sets the rule of all links between the first `nodes` nodes.
    pub fn set_default_rule(&self, nodes: usize, rule: LinkRule) {
        for from in 0..nodes {
            (0..nodes).filter(|to| *to != from).for_each(|to| self.set_rule(from, to, rule));
        }
    }

    /// Cuts all links between nodes of different partitions; `partitions` has one number for each node.
    pub fn partition(&self, partitions: &[u32]) {
        for_each_link(partitions, |from, to, cut| {
            self.set_rule(from, to, LinkRule { cut, ..LinkRule::default() });
        });
    }

    /// Removes all rules.
    pub fn heal(&self) {
        lock(&self.state).rules.clear();
    }

    /// Returns the counters.
    pub fn counters(&self) -> ProxyCounters {
        lock(&self.state).counters
    }

    /// Starts to record the datagrams to each node, up to some thousands.
    pub fn start_recording(&self) {
        lock(&self.state).recording = true;
    }

    /// Returns the recorded datagrams to a node.
    pub fn recorded(&self, to: usize) -> Vec<Vec<u8>> {
        lock(&self.state).recorded.get(&to).cloned().unwrap_or_default()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn rule(&self, from: usize, to: usize) -> LinkRule {
        self.rules.get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns the delay of each copy of a datagram, none if it is dropped. May change the bytes.
    fn apply_rule(&mut self, from: usize, to: usize, bytes: &mut [u8]) -> Vec<Duration> {
        let rule = self.rule(from, to);
        if rule.cut || self.rng.random_bool(rule.loss) {
            self.counters.lost += 1;
            return Vec::new();
        }
        if !bytes.is_empty() && self.rng.random_bool(rule.mutated) {
            let bit = self.rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = 1 + usize::from(self.rng.random_bool(rule.twice));
        self.counters.datagrams += copies as u64;
        self.counters.bytes += (copies * bytes.len()) as u64;
        if self.recording {
            let recorded = self.recorded.entry(to).or_default();
            if recorded.len() < RECORDED_MAX {
                recorded.push(bytes.to_vec());
            }
        }
        let delay = |rng: &mut SmallRng| rule.delay_ms + rng.random_range(0..=rule.jitter_ms);
        (0..copies).map(|_| Duration::from_millis(delay(&mut self.rng))).collect()
    }
}

async fn forward_datagrams(state: Arc<Mutex<State>>, socket: Arc<UdpSocket>, to: usize, node: SocketAddr) {
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        // An error here belongs to an earlier datagram whose receiver was not reachable.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let mut bytes = buffer[..length].to_vec();
        let Some(from) = lock(&state).nodes.get(&sender.ip()).copied() else { continue };
        let delays = lock(&state).apply_rule(from, to, &mut bytes);
        for delay in delays {
            if delay.is_zero() {
                let _ = socket.try_send_to(&bytes, node);
                continue;
            }
            let (socket, bytes) = (socket.clone(), bytes.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = socket.try_send_to(&bytes, node);
            });
        }
    }
}

async fn forward_streams(state: Arc<Mutex<State>>, listener: TcpListener, to: usize, node: SocketAddr) {
    loop {
        let Ok((client, sender)) = listener.accept().await else { continue };
        let Some(from) = lock(&state).nodes.get(&sender.ip()).copied() else { continue };
        let state = state.clone();
        tokio::spawn(async move {
            // While the link is cut, the connection stays open without data, as with an unplugged cable.
            wait_until_open(&state, from, to).await;
            let Ok(server) = connect(node).await else { return };
            let ((client_in, client_out), (server_in, server_out)) =
                (client.into_split(), server.into_split());
            tokio::join!(
                copy_direction(&state, from, to, client_in, server_out),
                copy_direction(&state, to, from, server_in, client_out)
            );
        });
    }
}

async fn connect(node: SocketAddr) -> io::Result<TcpStream> {
    TcpSocket::new_v4()?.connect(node).await
}

async fn wait_until_open(state: &Mutex<State>, from: usize, to: usize) {
    while lock(state).rule(from, to).cut {
        sleep(CUT_POLL_INTERVAL).await;
    }
}

async fn copy_direction(
    state: &Mutex<State>,
    from: usize,
    to: usize,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let mut buffer = vec![0; STREAM_BUFFER];
    while let Ok(length @ 1..) = read.read(&mut buffer).await {
        wait_until_open(state, from, to).await;
        let delay = lock(state).rule(from, to).delay_ms;
        sleep(Duration::from_millis(delay)).await;
        if write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
