//! Datagrams with admission rates between nodes, if the settings allow them. They may be lost, delayed,
//! duplicated or forged. If membership is configured, its authenticated messages are used instead.
//!
//! A datagram consists of the version (1 byte), a hash of the tenants' names (4), the sender's time in ms
//! (4), and the rates. Numbers are big-endian.

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

/// Maximum length of a datagram, in bytes; set by the platform.
pub const DATAGRAM_MAX: usize = 256;
/// Version of the datagram format.
pub const VERSION: u8 = 1;
/// Length of the header (version, hash of the tenants, and time), in bytes.
pub const HEADER_LENGTH: usize = 9;
/// Time without a datagram from a node after which one with an older time is accepted: the node may have
/// restarted with a clock that was set back. Nodes send far more often.
const RESTART_ASSUMED_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of datagrams read in [`RATE_WINDOW`] for each peer, from any sender. Nodes send far fewer.
const MAX_READS_PER_PEER: usize = 50;
/// Window in which reads are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Encodes a datagram; `None` if the rates do not fit into one.
pub fn encode(tenants_hash: u32, sent_at_ms: u32, rates: &[u8]) -> Option<Vec<u8>> {
    let bytes = [&[VERSION][..], &tenants_hash.to_be_bytes(), &sent_at_ms.to_be_bytes(), rates].concat();
    Some(bytes).filter(|b| b.len() <= DATAGRAM_MAX)
}

/// Decodes the sender's time and the rates; `None` if the version or the tenants differ, or the datagram is
/// malformed.
pub fn decode(tenants_hash: u32, bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (header, rates) = bytes.split_at_checked(HEADER_LENGTH).filter(|_| bytes.len() <= DATAGRAM_MAX)?;
    let number = |offset: usize| Some(u32::from_be_bytes(header.get(offset..offset + 4)?.try_into().ok()?));
    (header[0] == VERSION && number(1)? == tenants_hash).then_some((number(5)?, rates))
}

/// Whether a datagram with this time is newer than the last accepted one. The millisecond counter wraps
/// around.
pub fn is_newer(sent_at_ms: u32, last_ms: u32) -> bool {
    (1..1 << 31).contains(&sent_at_ms.wrapping_sub(last_ms))
}

/// Hash of the tenants' names. Rates are listed by tenant index, so both sides must have the same tenants in
/// the same order.
fn hash_tenants(names: &Names) -> u32 {
    stable_hash(&names.tenants.join("\n")) as u32
}

/// Socket for datagrams with rates, and the addresses of the nodes.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    names: watch::Receiver<Arc<Names>>,
    counters: Arc<Counters>,
    /// Monotonic for the lifetime of the process.
    clock: Clock,
}

/// Last accepted datagram of a node.
#[derive(Clone, Copy)]
struct LastAccepted {
    sent_at_ms: u32,
    received: Instant,
}

impl LastAccepted {
    /// Whether a datagram with this time is accepted after this one.
    fn accepts(self, sent_at_ms: u32) -> bool {
        is_newer(sent_at_ms, self.sent_at_ms) || self.received.elapsed() >= RESTART_ASSUMED_AFTER
    }
}

/// Rate limit for reading datagrams, so that a flood of them does not delay requests.
struct ReadLimit {
    limit: usize,
    window_start: Instant,
    reads: usize,
}

impl ReadLimit {
    fn new(peers: usize) -> ReadLimit {
        ReadLimit { limit: MAX_READS_PER_PEER * peers.max(1), window_start: Instant::now(), reads: 0 }
    }

    /// Waits until another datagram may be read.
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
    /// Binds the socket. While a predecessor still has its socket bound, datagrams reach the newer one.
    ///
    /// # Errors
    /// The operating system's, if the address cannot be bound.
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

    /// Sends rates to the node with this index. A datagram that cannot be sent immediately is dropped.
    pub fn send(&self, node_index: u32, rates: &[u8]) {
        let sent_at_ms = (self.clock.now() / 1000) as u32;
        let datagram = encode(hash_tenants(&self.names.borrow()), sent_at_ms, rates);
        let (Some(datagram), Some(peer)) = (datagram, self.peers.get(node_index as usize)) else { return };
        match self.socket.try_send_to(&datagram, *peer) {
            Ok(_) => self.counters.gossip_sent.add(),
            Err(e) => log::debug!(event = "rates_not_sent", peer:%, error:% = e; "failed to send rates"),
        }
    }

    /// Passes the rates of known nodes to the dispatcher; never returns. Drops delayed and duplicate
    /// datagrams by their time.
    pub async fn receive(&self, handle: Handle<Job>) {
        let mut last_accepted: Vec<Option<LastAccepted>> = vec![None; self.peers.len()];
        let mut read_limit = ReadLimit::new(self.peers.len());
        let mut buffer = [0; DATAGRAM_MAX + 1]; // one byte more, to detect datagrams that are too long
        loop {
            read_limit.wait().await;
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram to a node that is down is reported by this error, too.
                    log::debug!(event = "rates_receive_failed", error:% = e; "failed to receive rates");
                    continue;
                }
            };
            let Some(index) = self.peers.iter().position(|peer| *peer == sender) else { continue };
            let tenants_hash = hash_tenants(&self.names.borrow());
            let Some((sent_at_ms, rates)) = decode(tenants_hash, &buffer[..length]) else { continue };
            if last_accepted[index].is_none_or(|last| last.accepts(sent_at_ms)) {
                last_accepted[index] = Some(LastAccepted { sent_at_ms, received: Instant::now() });
                self.counters.gossip_received.add();
                handle.peer_rates(index as u32, rates.to_vec());
            }
        }
    }
}
