//! Clock, event queue and addresses of emulated networks.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Hosts in each /24 of an emulated network.
const HOSTS_PER_SUBNET: usize = 250;
/// Port at which each emulated node listens.
const NODE_PORT: u16 = 7946;

/// Address of a node in the emulated network 127.`network`.0.0/16.
pub fn node_address(network: u8, node: usize) -> SocketAddr {
    let (subnet, host) = ((node / HOSTS_PER_SUBNET) as u8, (node % HOSTS_PER_SUBNET + 1) as u8);
    SocketAddr::from((Ipv4Addr::new(127, network, subnet, host), NODE_PORT))
}

/// Emulated clock with a queue of scheduled events, in order of time; events with equal times come in the
/// order in which they were scheduled.
///
/// ```
/// use std::time::Duration;
/// use testbed::emulated_network::EventQueue;
///
/// let mut queue = EventQueue::default();
/// queue.schedule(Duration::from_secs(2), "later");
/// queue.schedule(Duration::from_secs(1), "sooner");
/// assert_eq!(queue.next_until(Duration::from_secs(1)), Some("sooner"));
/// assert_eq!(queue.next_until(Duration::from_secs(1)), None);
/// assert_eq!(queue.now(), Duration::from_secs(1));
/// ```
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Duration,
    events: BTreeMap<(Duration, u64), E>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { now: Duration::ZERO, events: BTreeMap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Returns the emulated time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the number of events scheduled so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// Schedules an event after a delay from now.
    pub fn schedule(&mut self, delay: Duration, event: E) {
        self.scheduled += 1;
        self.events.insert((self.now + delay, self.scheduled), event);
    }

    /// Takes the next event due by `end` and sets the clock to its time; without one, sets the clock to
    /// `end`.
    pub fn next_until(&mut self, end: Duration) -> Option<E> {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) else {
            self.now = end;
            return None;
        };
        self.now = entry.key().0;
        Some(entry.remove())
    }

    /// Drops all scheduled events; the clock stays.
    pub fn clear(&mut self) {
        self.events.clear();
    }
}
