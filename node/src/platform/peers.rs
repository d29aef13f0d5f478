//! Datagrams of the platform between nodes, where the settings allow them. They carry admission rates and may be lost,
//! late, doubled or forged. Where cluster membership is configured, its sealed messages are used instead.
//!
//! A datagram holds the version (1 byte), a hash of the tenants' names (4), the sender's time in ms (4), then the rates.
//! Numbers are big-endian.

use super::Job;
use crate::counters::Counters;
use crate::dispatcher::{stable_hash, Clock, Handle};
use crate::membership::bind_datagram_socket;
use crate::names::Names;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Longest datagram, in bytes: the platform allows no longer one.
pub const DATAGRAM_MAX: usize = 256;
/// Version of the format.
pub const VERSION: u8 = 1;
/// Length of version, tenants and time, in bytes.
pub const HEADER_LENGTH: usize = 9;
/// Time after which a node that sent nothing may have restarted, with a clock that was set back: nodes send far more often.
const RESTART_SUSPECTED: Duration = Duration::from_secs(5);
/// Datagrams read for each peer in [`RATE_WINDOW`], whoever sent them: nodes send far fewer.
const READS_PER_PEER: usize = 50;
/// Span in which reads are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Encodes a datagram; `None` for rates that do not fit into one.
pub fn encode(tenants: u32, at_ms: u32, rates: &[u8]) -> Option<Vec<u8>> {
    let bytes = [&[VERSION][..], &tenants.to_be_bytes(), &at_ms.to_be_bytes(), rates].concat();
    Some(bytes).filter(|b| b.len() <= DATAGRAM_MAX)
}

/// Decodes the time of a datagram and its rates; `None` for another version, other tenants or what is no datagram.
pub fn decode(tenants: u32, bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (header, rates) = bytes.split_at_checked(HEADER_LENGTH).filter(|_| bytes.len() <= DATAGRAM_MAX)?;
    let number = |at: usize| Some(u32::from_be_bytes(header.get(at..at + 4)?.try_into().ok()?));
    (header[0] == VERSION && number(1)? == tenants).then_some((number(5)?, rates))
}

/// Whether a datagram of this time is newer than the last accepted one. The count of ms wraps around.
pub fn is_newer(at_ms: u32, last_ms: u32) -> bool {
    (1..1 << 31).contains(&at_ms.wrapping_sub(last_ms))
}

/// Hash of the tenants: rates go by the tenants' numbers, so both sides must number them alike.
fn tenants_hash(names: &Names) -> u32 {
    stable_hash(&names.tenants.join("\n")) as u32
}

/// Socket for rates, and the addresses of the other nodes.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    names: watch::Receiver<Arc<Names>>,
    counters: Arc<Counters>,
    /// Never runs backwards while the process lives.
    clock: Clock,
}

/// The last datagram of a node that was accepted.
#[derive(Clone, Copy)]
struct LastAccepted {
    at_ms: u32,
    received: Instant,
}

impl LastAccepted {
    /// Whether a datagram of this time is accepted after this one.
    fn is_followed_by(self, at_ms: u32) -> bool {
        is_newer(at_ms, self.at_ms) || self.received.elapsed() >= RESTART_SUSPECTED
    }
}

/// Limit of the datagrams that are read, so that a flood leaves time for jobs.
struct ReadLimit {
    limit: usize,
    window_start: Instant,
    reads: usize,
}

impl ReadLimit {
    fn new(peers: usize) -> ReadLimit {
        ReadLimit { limit: READS_PER_PEER * peers.max(1), window_start: Instant::now(), reads: 0 }
    }

    /// Returns once one more may be read.
    async fn wait(&mut self) {
        if self.reads >= self.limit {
            sleep(RATE_WINDOW.saturating_sub(self.window_start.elapsed())).await;
        }
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.reads = 0;
        }
        self.reads += 1;
    }
}

impl PeerSocket {
    /// Binds the socket. Beside a process of this node that serves on, the newer one's socket is the one that receives.
    ///
    /// # Errors
    /// The system's, if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        names: watch::Receiver<Arc<Names>>,
        counters: Arc<Counters>,
    ) -> io::Result<PeerSocket> {
        Ok(PeerSocket {
            socket: bind_datagram_socket(address)?,
            peers,
            names,
            counters,
            clock: Clock::start(),
        })
    }

    /// Sends rates to another node, by its number. A datagram that cannot go out now is lost, as on its way.
    pub fn send(&self, to: u32, rates: &[u8]) {
        let at_ms = (self.clock.now() / 1000) as u32;
        let datagram = encode(tenants_hash(&self.names.borrow()), at_ms, rates);
        let (Some(datagram), Some(to)) = (datagram, self.peers.get(to as usize)) else { return };
        match self.socket.try_send_to(&datagram, *to) {
            Ok(_) => self.counters.gossip_sent.add(),
            Err(e) => log::debug!(event = "rates_not_sent", peer:% = to, error:% = e; "rates not sent"),
        }
    }

    /// Brings the rates of known nodes to the dispatcher, without end. Late and doubled datagrams are dropped by their time.
    pub async fn receive(&self, handle: Handle<Job>) {
        let mut last: Vec<Option<LastAccepted>> = vec![None; self.peers.len()];
        let mut read_limit = ReadLimit::new(self.peers.len());
        let mut buffer = [0; DATAGRAM_MAX + 1]; // a longer one is seen to be longer
        loop {
            read_limit.wait().await;
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // A datagram to a node that is down comes back as this.
                    log::debug!(event = "rates_receive_failed", error:% = e; "no datagram received");
                    continue;
                }
            };
            let Some(from) = self.peers.iter().position(|peer| *peer == sender) else { continue };
            let tenants = tenants_hash(&self.names.borrow());
            let Some((at_ms, rates)) = decode(tenants, &buffer[..length]) else { continue };
            if last[from].is_none_or(|last| last.is_followed_by(at_ms)) {
                last[from] = Some(LastAccepted { at_ms, received: Instant::now() });
                self.counters.gossip_received.add();
                handle.peer_rates(from as u32, rates.to_vec());
            }
        }
    }
}
