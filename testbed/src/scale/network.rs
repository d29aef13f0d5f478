//! Emulated network between the processes of a scale run: size and delay of each message, traffic of each
//! process.

use super::result::{Figures, Quantity, Value};
use super::wire_size::{WireSize, WireSizeMeter};
use rand::rngs::SmallRng;
use rand::RngExt;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Delay of a message between two processes, in microseconds.
const DELAY_US: Range<u64> = 500..10_000;
/// Length of the tag that names a message's subsystem, in bytes.
const SUBSYSTEM_TAG_BYTES: usize = 1;

/// Processes by address, with size and delay of the messages between them.
pub struct EmulatedNetwork {
    /// Source of all random draws of the run.
    pub rng: SmallRng,
    wire_sizes: WireSizeMeter,
    processes: HashMap<SocketAddr, usize>,
}

impl EmulatedNetwork {
    /// Creates a network of processes at these addresses; a process is identified by the index of its
    /// address.
    pub fn new(addresses: impl Iterator<Item = SocketAddr>, rng: SmallRng) -> EmulatedNetwork {
        let processes = addresses.enumerate().map(|(process, address)| (address, process)).collect();
        EmulatedNetwork { rng, wire_sizes: WireSizeMeter::new(), processes }
    }

    /// Returns the process at an address.
    pub fn process_at(&self, address: SocketAddr) -> Option<usize> {
        self.processes.get(&address).copied()
    }

    /// Returns the size of a message on the network.
    pub fn wire_size(&mut self, message: &impl Serialize) -> WireSize {
        let length = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) + SUBSYSTEM_TAG_BYTES;
        self.wire_sizes.message(length)
    }

    /// Draws the delay of one message.
    pub fn draw_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(DELAY_US))
    }
}

/// Messages and bytes that one process has sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCount {
    messages_out: u64,
    messages_in: u64,
    bytes_out: u64,
    bytes_in: u64,
}

impl TrafficCount {
    /// Counts a message sent by the process.
    pub fn record_sent(&mut self, size: WireSize) {
        self.messages_out += size.datagrams;
        self.bytes_out += size.bytes;
    }

    /// Counts a message sent to the process.
    pub fn record_received(&mut self, size: WireSize) {
        self.messages_in += size.datagrams;
        self.bytes_in += size.bytes;
    }

    /// Returns what was counted after `earlier`.
    pub fn since(&self, earlier: &TrafficCount) -> TrafficCount {
        TrafficCount {
            messages_out: self.messages_out - earlier.messages_out,
            messages_in: self.messages_in - earlier.messages_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
        }
    }
}

/// Returns messages and bytes per second of these processes, each counted over `span`.
pub fn traffic_rates(counts: &[TrafficCount], span: Duration) -> Figures {
    let rate = |count: fn(&TrafficCount) -> u64| {
        Value::of(counts.iter().map(|counted| count(counted) as f64 / span.as_secs_f64()).collect())
    };
    let rates = [
        (Quantity::MessagesOut, rate(|count| count.messages_out)),
        (Quantity::MessagesIn, rate(|count| count.messages_in)),
        (Quantity::BytesOut, rate(|count| count.bytes_out)),
        (Quantity::BytesIn, rate(|count| count.bytes_in)),
    ];
    rates.into_iter().filter_map(|(quantity, value)| Some((quantity, value?))).collect()
}
