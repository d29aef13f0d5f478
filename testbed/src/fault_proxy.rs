//! FaultProxies between nodes. Each node is known to the others at its relay's address; the relay tells by the sender's address
//! who it is, and does to what passes from one to the other what the rules for that pair and direction say.

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

/// How long a cut stream waits before it looks again.
const LOOK: Duration = Duration::from_millis(20);
/// The longest datagram that a relay passes on, in bytes.
const DATAGRAM: usize = 65_536;

/// What happens to what passes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename = "Rule", default, deny_unknown_fields)]
pub struct LinkRule {
    /// Nothing passes; streams stay open and silent.
    pub cut: bool,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub twice: f64,
    /// The part that has one bit turned.
    pub mutated: f64,
    /// On its way at least, in milliseconds.
    pub delay_ms: u64,
    /// And up to so much more, drawn for each datagram: so they overtake each other.
    pub jitter_ms: u64,
}

/// Which rule holds between which two nodes, in emulated time.
#[derive(Clone, Debug, Default)]
pub struct LinkRules {
    between: HashMap<(usize, usize), LinkRule>,
    everywhere: LinkRule,
}

impl LinkRules {
    /// The rule that holds from one node to another.
    pub fn between(&self, from: usize, to: usize) -> LinkRule {
        *self.between.get(&(from, to)).unwrap_or(&self.everywhere)
    }

    /// From now on this rule holds from one node to another.
    pub fn set_rule(&mut self, from: usize, to: usize, rule: LinkRule) {
        self.between.insert((from, to), rule);
    }

    /// From now on this rule holds wherever no other does.
    pub fn set_default_rule(&mut self, rule: LinkRule) {
        self.everywhere = rule;
    }

    /// Nothing passes between nodes of different parts.
    pub fn partition(&mut self, parts: &[u32]) {
        for (from, a) in parts.iter().enumerate() {
            for (to, b) in parts.iter().enumerate().filter(|(to, _)| *to != from) {
                self.between.insert((from, to), LinkRule { cut: a != b, ..self.everywhere });
            }
        }
    }

    /// Everything passes again.
    pub fn heal(&mut self) {
        *self = LinkRules::default();
    }
}

/// What the relays have done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounters {
    /// Datagrams passed on.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Datagrams lost or cut off.
    pub lost: u64,
}

struct State {
    rules: HashMap<(usize, usize), LinkRule>,
    of: HashMap<IpAddr, usize>,
    rng: SmallRng,
    passed: ProxyCounters,
    /// The last datagrams to each node, for those who play them back.
    tape: HashMap<usize, Vec<Vec<u8>>>,
    taping: bool,
}

/// The relays of one fleet.
#[derive(Clone)]
pub struct FaultProxies {
    state: Arc<Mutex<State>>,
    tasks: Arc<Tasks>,
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
    /// FaultProxies at `front[i]` for the nodes that listen at `nodes[i]`; what they draw goes by the seed.
    pub async fn start(front: &[SocketAddr], nodes: &[SocketAddr], seed: u64) -> io::Result<FaultProxies> {
        let state = State {
            rules: HashMap::new(),
            of: nodes.iter().enumerate().map(|(i, at)| (at.ip(), i)).collect(),
            rng: SmallRng::seed_from_u64(seed),
            passed: ProxyCounters::default(),
            tape: HashMap::new(),
            taping: false,
        };
        let proxies =
            FaultProxies { state: Arc::new(Mutex::new(state)), tasks: Arc::new(Tasks(Mutex::default())) };
        for (to, (front, node)) in front.iter().zip(nodes).enumerate() {
            let socket = Arc::new(UdpSocket::bind(front).await?);
            let listener = TcpListener::bind(front).await?;
            let (state, node) = (proxies.state.clone(), *node);
            let datagrams = tokio::spawn(datagrams(state, socket, to, node));
            let streams = tokio::spawn(streams(proxies.state.clone(), listener, to, node));
            let mut tasks = proxies.tasks.0.lock().unwrap_or_else(PoisonError::into_inner);
            tasks.extend([datagrams, streams]);
        }
        Ok(proxies)
    }

    /// From now on, this rule holds from one node to another.
    pub fn set_rule(&self, from: usize, to: usize, rule: LinkRule) {
        lock(&self.state).rules.insert((from, to), rule);
    }

    /// From now on, this rule holds between any two nodes.
    pub fn set_default_rule(&self, nodes: usize, rule: LinkRule) {
        for from in 0..nodes {
            (0..nodes).filter(|to| *to != from).for_each(|to| self.set_rule(from, to, rule));
        }
    }

    /// Nothing passes between those of different parts, in either direction.
    pub fn partition(&self, parts: &[u32]) {
        for (from, a) in parts.iter().enumerate() {
            for (to, b) in parts.iter().enumerate().filter(|(to, _)| *to != from) {
                self.set_rule(from, to, LinkRule { cut: a != b, ..LinkRule::default() });
            }
        }
    }

    /// Everything passes again.
    pub fn heal(&self) {
        lock(&self.state).rules.clear();
    }

    /// What has been done so far.
    pub fn counters(&self) -> ProxyCounters {
        lock(&self.state).passed
    }

    /// Keeps what goes to each node from here on, some thousand datagrams each.
    pub fn start_recording(&self) {
        lock(&self.state).taping = true;
    }

    /// What was kept of what went to a node.
    pub fn recorded(&self, to: usize) -> Vec<Vec<u8>> {
        lock(&self.state).tape.get(&to).cloned().unwrap_or_default()
    }
}

/// What is kept for each node at most.
const TAPE: usize = 4096;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn rule(&self, from: usize, to: usize) -> LinkRule {
        self.rules.get(&(from, to)).copied().unwrap_or_default()
    }

    /// When each copy of this datagram goes on, if any does.
    fn pass(&mut self, from: usize, to: usize, bytes: &mut [u8]) -> Vec<Duration> {
        let rule = self.rule(from, to);
        if rule.cut || self.rng.random_bool(rule.loss) {
            self.passed.lost += 1;
            return Vec::new();
        }
        if !bytes.is_empty() && self.rng.random_bool(rule.mutated) {
            let bit = self.rng.random_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        let copies = 1 + usize::from(self.rng.random_bool(rule.twice));
        self.passed.datagrams += copies as u64;
        self.passed.bytes += (copies * bytes.len()) as u64;
        if self.taping {
            let tape = self.tape.entry(to).or_default();
            if tape.len() < TAPE {
                tape.push(bytes.to_vec());
            }
        }
        let delay = |rng: &mut SmallRng| rule.delay_ms + rng.random_range(0..=rule.jitter_ms);
        (0..copies).map(|_| Duration::from_millis(delay(&mut self.rng))).collect()
    }
}

async fn datagrams(state: Arc<Mutex<State>>, socket: Arc<UdpSocket>, to: usize, node: SocketAddr) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        // An error here is of a datagram sent before, whose receiver is not there.
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
        let mut bytes = buffer[..length].to_vec();
        let Some(from) = lock(&state).of.get(&sender.ip()).copied() else { continue };
        for after in lock(&state).pass(from, to, &mut bytes) {
            if after.is_zero() {
                let _ = socket.try_send_to(&bytes, node);
                continue;
            }
            let (socket, bytes) = (socket.clone(), bytes.clone());
            tokio::spawn(async move {
                sleep(after).await;
                let _ = socket.try_send_to(&bytes, node);
            });
        }
    }
}

async fn streams(state: Arc<Mutex<State>>, listener: TcpListener, to: usize, node: SocketAddr) {
    loop {
        let Ok((near, sender)) = listener.accept().await else { continue };
        let Some(from) = lock(&state).of.get(&sender.ip()).copied() else { continue };
        let state = state.clone();
        tokio::spawn(async move {
            // While it is cut the connection stays open and silent, as a cut cable leaves it.
            open(&state, from, to).await;
            let Ok(far) = connect(node).await else { return };
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::join!(copy(&state, from, to, near_in, far_out), copy(&state, to, from, far_in, near_out));
        });
    }
}

async fn connect(node: SocketAddr) -> io::Result<TcpStream> {
    TcpSocket::new_v4()?.connect(node).await
}

async fn open(state: &Mutex<State>, from: usize, to: usize) {
    while lock(state).rule(from, to).cut {
        sleep(LOOK).await;
    }
}

async fn copy(
    state: &Mutex<State>,
    from: usize,
    to: usize,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = read.read(&mut buffer).await {
        open(state, from, to).await;
        let delay = lock(state).rule(from, to).delay_ms;
        sleep(Duration::from_millis(delay)).await;
        if write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
