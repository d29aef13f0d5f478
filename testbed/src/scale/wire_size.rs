//! Size of messages between nodes after encoding and authentication, measured by sending one through
//! membership machines.

use crate::emulated_membership::{address, name, EmulatedFleet, Spec};
use membership::Machine;
use std::collections::HashMap;
use std::time::Duration;

/// Emulated time in which two nodes join each other.
const JOIN_TIME: Duration = Duration::from_secs(10);
/// Rate of a tenant, in 64ths of a request per second.
const RATE: u16 = 64;

/// Size of a message on the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WireSize {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total bytes of the datagrams.
    pub bytes: u64,
}

/// Measures sizes with two nodes that have joined each other.
pub struct WireSizeMeter {
    fleet: EmulatedFleet,
    message_sizes: HashMap<usize, WireSize>,
}

impl WireSizeMeter {
    /// Starts the two nodes.
    pub fn new() -> WireSizeMeter {
        let mut fleet = EmulatedFleet::started(Spec { nodes: 2, ..Spec::default() });
        fleet.run(JOIN_TIME);
        WireSizeMeter { fleet, message_sizes: HashMap::new() }
    }

    /// Returns the size of a rates message for this number of tenants. The membership machine omits those
    /// beyond `membership::RATES_MAX`.
    pub fn rates(&mut self, tenants: usize) -> WireSize {
        let rates = (0..tenants).map(|i| (membership::name_hash(&format!("tenant-{i}")), RATE)).collect();
        self.sent_by(|machine, now| machine.send_rates(now, &name(1), rates))
    }

    /// Returns the size of another subsystem's message with this length.
    pub fn message(&mut self, length: usize) -> WireSize {
        if let Some(wire_size) = self.message_sizes.get(&length) {
            return *wire_size;
        }
        let bytes = vec![0; length];
        let wire_size = self.sent_by(|machine, now| machine.send_message(now, address(1), &bytes));
        self.message_sizes.insert(length, wire_size);
        wire_size
    }

    fn sent_by(&mut self, send: impl FnOnce(&mut Machine, Duration)) -> WireSize {
        let before = self.fleet.counters(0);
        self.fleet.with_machine(0, send);
        let after = self.fleet.counters(0);
        // Datagrams in flight arrive before the next message is sent.
        self.fleet.run(Duration::from_millis(1));
        WireSize { datagrams: after.sent - before.sent, bytes: after.sent_bytes - before.sent_bytes }
    }
}
