//! Heartbeats of the holder. They reveal lost list messages; when they stop, the nodes start to poll discovery one by one.

use super::{BroadcastMessage, ListBroadcast};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between heartbeats of the holder.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Shorter interval for the first heartbeats after a change, so that a lost message is detected quickly.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of heartbeats at the shorter interval.
const FAST_HEARTBEATS: u32 = 4;
/// Time without a heartbeat after which the first node starts to poll discovery.
pub(super) const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between the starts of polling at consecutive nodes ...
const POLL_STAGGER: Duration = Duration::from_millis(20);
/// ... and limit of the delay between the first node and the last, so that all nodes learn of a draining endpoint at about
/// the same time.
const POLL_STAGGER_MAX: Duration = Duration::from_millis(300);

/// Holder of the zone's lease with the highest token seen.
#[derive(Default)]
pub(super) struct KnownHolder {
    pub(super) token: u64,
    pub(super) name: String,
    /// Sequence number of its last heartbeat.
    pub(super) sequence: u64,
}

/// Timers of heartbeats sent and received.
pub(super) struct HeartbeatTimer {
    /// Time at which this node sends its next heartbeat as the holder.
    pub(super) next_heartbeat: Duration,
    /// Remaining heartbeats at the shorter interval.
    fast_heartbeats_left: u32,
    /// Time of the last heartbeat received.
    pub(super) last_received: Option<Duration>,
}

impl Default for HeartbeatTimer {
    fn default() -> Self {
        HeartbeatTimer { next_heartbeat: Duration::MAX, fast_heartbeats_left: 0, last_received: None }
    }
}

impl ListBroadcast {
    /// Returns the time at which [`ListBroadcast::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        match (self.own_token, self.polls_discovery) {
            (Some(_), _) => self.timer.next_heartbeat,
            (None, false) => {
                let timeout = HOLDER_TIMEOUT + self.poll_delay();
                self.timer.last_received.map_or(Duration::MAX, |at| at + timeout)
            }
            (None, true) => Duration::MAX,
        }
    }

    /// Runs the timers that are due. `is_lease_valid` tells whether this node's lease is valid now.
    pub fn tick(&mut self, now: Duration, is_lease_valid: bool) {
        match self.own_token {
            Some(token) if now >= self.timer.next_heartbeat => {
                let is_fast = self.timer.fast_heartbeats_left > 0;
                self.timer.next_heartbeat =
                    now + if is_fast { FAST_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
                self.timer.fast_heartbeats_left = self.timer.fast_heartbeats_left.saturating_sub(1);
                if is_lease_valid {
                    self.holder.sequence += 1;
                    self.send_heartbeats(token, self.holder.sequence);
                }
            }
            None if !self.polls_discovery && now >= self.next_tick() => {
                self.metrics.holder_timeouts += 1;
                self.set_polling(true);
            }
            _ => {}
        }
    }

    /// Switches to the shorter interval. The first heartbeat of a holder is sent at once, because nodes that know no holder
    /// forward nothing.
    pub(super) fn schedule_heartbeats_after_change(&mut self, now: Duration) {
        let is_first = self.holder.sequence == 0;
        self.timer.next_heartbeat = if is_first { now } else { now + FAST_HEARTBEAT_INTERVAL };
        self.timer.fast_heartbeats_left = FAST_HEARTBEATS;
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddr,
        holder: KnownHolder,
        source: u64,
        version: u64,
    ) {
        if self.is_stale(holder.token) {
            return;
        }
        let last = if holder.token == self.holder.token { self.holder.sequence } else { 0 };
        if holder.sequence <= last || self.own_token.is_some_and(|own| own >= holder.token) {
            return;
        }
        let (token, sequence) = (holder.token, holder.sequence);
        self.own_token = None;
        self.holder = holder;
        self.timer.last_received = Some(now);
        if source != self.source {
            return; // the holder polls another discovery service, whose versions are not comparable
        }
        if version > self.list.version() {
            self.send(from, BroadcastMessage::Fetch { source, version: self.list.version() });
        } else {
            self.set_polling(false);
        }
        self.send_heartbeats(token, sequence);
    }

    /// Sends a heartbeat of the holder to this node's children in the trees.
    fn send_heartbeats(&mut self, token: u64, sequence: u64) {
        let heartbeat = BroadcastMessage::Heartbeat {
            token,
            holder: self.holder.name.clone(),
            sequence,
            source: self.source,
            version: self.list.version(),
        };
        for to in self.children() {
            self.send(to, heartbeat.clone());
        }
    }

    /// Returns the delay before this node starts to poll discovery, relative to the first node.
    fn poll_delay(&self) -> Duration {
        let position = self.position(&self.name).unwrap_or(0) as u32;
        let delay_per_node = POLL_STAGGER.min(POLL_STAGGER_MAX / (self.peers.len() as u32).max(1));
        delay_per_node * position
    }
}
