//! The platform's own way between nodes, where the settings allow it: short datagrams that may be lost, late, doubled or
//! forged. They carry what the module tells. Where the `fleet` crate is switched on, its sealed way is used instead.

use super::Job;
use crate::counters::Counters;
use crate::dispatcher::{number_of, Clock, Handle};
use crate::membership::bind_datagram_socket;
use crate::names::Names;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// A longer datagram voids the run.
const DATAGRAM_MAX: usize = 256;
/// Of this form.
const VERSION: u8 = 1;
/// The version, who the tenants are, and when it was sent.
const HEAD: usize = 9;
/// After which a node that said nothing may have started anew: all tell oftener by far.
const SILENCE: Duration = Duration::from_secs(5);
/// PeerSocket read in a second for each peer, whoever sent them: all tell seldomer by far.
const READ: usize = 50;

/// A datagram with what the module tells; `None` for what does not fit.
fn datagram(tenants: u32, at_ms: u32, told: &[u8]) -> Option<Vec<u8>> {
    let bytes = [&[VERSION][..], &tenants.to_be_bytes(), &at_ms.to_be_bytes(), told].concat();
    Some(bytes).filter(|b| b.len() <= DATAGRAM_MAX)
}

/// When it was sent, and what it tells; `None` for what is none of those that count here.
fn read(tenants: u32, bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (head, told) = bytes.split_at_checked(HEAD).filter(|_| bytes.len() <= DATAGRAM_MAX)?;
    let number = |at: usize| Some(u32::from_be_bytes(head.get(at..at + 4)?.try_into().ok()?));
    (head[0] == VERSION && number(1)? == tenants).then_some((number(5)?, told))
}

/// Whether one sent at this time is newer than the last one that counted; the count of ms begins anew now and then.
fn newer(at_ms: u32, last_ms: u32) -> bool {
    (1..1 << 31).contains(&at_ms.wrapping_sub(last_ms))
}

/// Rates go by the tenants' numbers, so both sides must number them alike.
fn tenants(names: &Names) -> u32 {
    number_of(&names.tenants.join("\n")) as u32
}

/// The socket, and who the others are.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    names: watch::Receiver<Arc<Names>>,
    counters: Arc<Counters>,
    /// Never runs backwards while the process lives.
    clock: Clock,
}

/// The last datagram of a node that counted.
#[derive(Clone, Copy)]
struct Last {
    at_ms: u32,
    heard: Instant,
}

impl Last {
    /// Whether one sent at this time is newer. A node that was silent for a while may have started anew, with a clock
    /// that was set back.
    fn yields_to(self, at_ms: u32) -> bool {
        newer(at_ms, self.at_ms) || self.heard.elapsed() >= SILENCE
    }
}

impl PeerSocket {
    /// Binds. Beside a process of this node that serves on, the newer one's socket is the one that hears.
    pub fn bind(
        at: SocketAddr,
        peers: Vec<SocketAddr>,
        names: watch::Receiver<Arc<Names>>,
        counters: Arc<Counters>,
    ) -> io::Result<PeerSocket> {
        Ok(PeerSocket { socket: bind_datagram_socket(at)?, peers, names, counters, clock: Clock::start() })
    }

    /// Tells another node, by its number. One that can't go out now is lost, as on its way.
    pub fn tell(&self, to: u32, told: &[u8]) {
        let at_ms = (self.clock.now() / 1000) as u32;
        let datagram = datagram(tenants(&self.names.borrow()), at_ms, told);
        let (Some(datagram), Some(to)) = (datagram, self.peers.get(to as usize)) else { return };
        match self.socket.try_send_to(&datagram, *to) {
            Ok(_) => self.counters.gossip_sent.add(),
            Err(e) => log::debug!("to {to}: {e}"),
        }
    }

    /// Brings what known nodes tell to the core. Guards against what is old or came twice by its time.
    pub async fn follow(&self, handle: Handle<Job>) {
        let mut last: Vec<Option<Last>> = vec![None; self.peers.len()];
        let (mut second, mut read_in) = (Instant::now(), 0);
        let mut buffer = [0; DATAGRAM_MAX + 1]; // a longer one is seen to be longer
        loop {
            // Guards the jobs against a flood.
            if read_in >= READ * self.peers.len().max(1) {
                sleep(Duration::from_secs(1).saturating_sub(second.elapsed())).await;
            }
            if second.elapsed() >= Duration::from_secs(1) {
                (second, read_in) = (Instant::now(), 0);
            }
            read_in += 1;
            let (n, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(came) => came,
                Err(e) => {
                    log::debug!("datagrams: {e}"); // one sent to a node that is down comes back as this
                    continue;
                }
            };
            let Some(from) = self.peers.iter().position(|p| *p == sender) else { continue };
            let Some((at, told)) = read(tenants(&self.names.borrow()), &buffer[..n]) else { continue };
            if last[from].is_none_or(|last| last.yields_to(at)) {
                last[from] = Some(Last { at_ms: at, heard: Instant::now() });
                self.counters.gossip_received.add();
                handle.peer(from as u32, told.to_vec());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the run against a datagram that is too long, and the module against what is none of ours.
    #[test]
    fn a_datagram_holds_256_bytes_and_only_ours_are_read() {
        let whole = datagram(7, 5, &[1; DATAGRAM_MAX - HEAD]).unwrap();
        assert_eq!(whole.len(), 256);
        assert_eq!(read(7, &whole), Some((5, &[1; DATAGRAM_MAX - HEAD][..])));
        assert_eq!(datagram(7, 5, &[1; DATAGRAM_MAX - HEAD + 1]), None);
        assert_eq!(read(7, &[&whole[..], &[1]].concat()), None, "257 bytes");
        assert_eq!(read(8, &whole), None, "other tenants");
        assert_eq!(read(7, &[&[VERSION + 1], &whole[1..]].concat()), None, "another version");
        assert_eq!(read(7, &whole[..HEAD - 1]), None, "cut off");
        assert_eq!(read(7, &[]), None);
    }

    #[test]
    fn what_is_old_or_came_twice_is_not_newer() {
        assert!(newer(6, 5) && newer(3, u32::MAX - 3), "the count begins anew");
        assert!(!newer(5, 5) && !newer(4, 5) && !newer(u32::MAX - 3, 3));
    }
}
