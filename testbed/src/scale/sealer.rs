//! Size of messages between nodes once the membership machine has sealed them, measured by sending one.

use crate::emulated::{address, name, Spec, World};
use membership::Machine;
use std::collections::HashMap;
use std::time::Duration;

/// Emulated time in which two nodes join each other.
const JOIN_TIME: Duration = Duration::from_secs(10);
/// Rate of a tenant, in 64ths of a job a second.
const RATE: u16 = 64;

/// The size of a message as it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sealed {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes in all.
    pub bytes: u64,
}

/// Two nodes that have joined each other.
pub struct Sealer {
    world: World,
    message_sizes: HashMap<usize, Sealed>,
}

impl Sealer {
    /// Starts the two nodes.
    pub fn new() -> Sealer {
        let mut world = World::started(Spec { nodes: 2, ..Spec::default() });
        world.run(JOIN_TIME);
        Sealer { world, message_sizes: HashMap::new() }
    }

    /// A message with the rates of so many tenants. The membership machine leaves out those beyond `membership::RATES_MAX`.
    pub fn rates(&mut self, tenants: usize) -> Sealed {
        let rates = (0..tenants).map(|i| (membership::name_hash(&format!("tenant-{i}")), RATE)).collect();
        self.sent_by(|machine, now| machine.send_rates(now, &name(1), rates))
    }

    /// A message of another subsystem of so many bytes.
    pub fn message(&mut self, length: usize) -> Sealed {
        if let Some(sealed) = self.message_sizes.get(&length) {
            return *sealed;
        }
        let bytes = vec![0; length];
        let sealed = self.sent_by(|machine, now| machine.send_message(now, address(1), &bytes));
        self.message_sizes.insert(length, sealed);
        sealed
    }

    fn sent_by(&mut self, send: impl FnOnce(&mut Machine, Duration)) -> Sealed {
        let before = self.world.counters(0);
        self.world.with(0, send);
        let after = self.world.counters(0);
        // What is on its way arrives before the next message is sent.
        self.world.run(Duration::from_millis(1));
        Sealed { datagrams: after.sent - before.sent, bytes: after.sent_bytes - before.sent_bytes }
    }
}
