//! Heartbeats of the holder. They repair lost messages, and without them the nodes poll discovery, one after another.

use super::{BroadcastMessage, ListBroadcast};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between heartbeats of the holder.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Shorter interval for the first heartbeats after a change, so that a lost message is repaired quickly.
const FAST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
const FAST_HEARTBEATS: u32 = 4;
/// Time without a heartbeat after which the first node polls discovery.
pub(super) const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay of each node's turn to poll discovery after the one before it ...
const TURN_DELAY: Duration = Duration::from_millis(20);
/// ... and of the last one's after the first: nodes must not learn of a draining endpoint at very different times.
const TURN_DELAY_MAX: Duration = Duration::from_millis(300);

/// Holder of the zone's lease, as the highest token shows it.
#[derive(Default)]
pub(super) struct KnownHolder {
    pub(super) token: u64,
    pub(super) name: String,
    /// Sequence number of its last heartbeat.
    pub(super) sequence: u64,
}

/// Timers of heartbeats sent and received.
pub(super) struct HeartbeatTimer {
    /// Time of the next heartbeat, as the holder.
    pub(super) next_heartbeat: Duration,
    /// Fast heartbeats that are left.
    fast_heartbeats: u32,
    /// Time of the last heartbeat received.
    pub(super) last_received: Option<Duration>,
}

impl Default for HeartbeatTimer {
    fn default() -> Self {
        HeartbeatTimer { next_heartbeat: Duration::MAX, fast_heartbeats: 0, last_received: None }
    }
}

impl ListBroadcast {
    /// Returns the time at which [`ListBroadcast::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        match (self.own_token, self.polls_discovery) {
            (Some(_), _) => self.timer.next_heartbeat,
            (None, false) => {
                let timeout = HOLDER_TIMEOUT + self.turn_delay();
                self.timer.last_received.map_or(Duration::MAX, |at| at + timeout)
            }
            (None, true) => Duration::MAX,
        }
    }

    /// Runs the timers that are due. `may_act` tells whether this node's lease is valid at this moment.
    pub fn tick(&mut self, now: Duration, may_act: bool) {
        match self.own_token {
            Some(token) if now >= self.timer.next_heartbeat => {
                let is_fast = self.timer.fast_heartbeats > 0;
                self.timer.next_heartbeat =
                    now + if is_fast { FAST_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
                self.timer.fast_heartbeats = self.timer.fast_heartbeats.saturating_sub(1);
                if may_act {
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

    /// The next heartbeats come fast. Nodes that know no holder yet don't forward anything: before the first heartbeat they
    /// are told at once.
    pub(super) fn schedule_heartbeats_after_change(&mut self, now: Duration) {
        let is_first = self.holder.sequence == 0;
        self.timer.next_heartbeat = if is_first { now } else { now + FAST_HEARTBEAT_INTERVAL };
        self.timer.fast_heartbeats = FAST_HEARTBEATS;
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
            return; // it follows another discovery service, and is of no use until this node does, too
        }
        if version > self.list.version() {
            self.send(from, BroadcastMessage::Fetch { source, version: self.list.version() });
        } else {
            self.set_polling(false);
        }
        self.send_heartbeats(token, sequence);
    }

    /// Sends a heartbeat of the holder down the tree.
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

    /// Delay of this node's turn to poll discovery after the first node's.
    fn turn_delay(&self) -> Duration {
        let position = self.position(&self.name).unwrap_or(0) as u32;
        let each = TURN_DELAY.min(TURN_DELAY_MAX / (self.peers.len() as u32).max(1));
        each * position
    }
}
