//! Node of an emulated cluster, and the process that runs there.

use crate::disk::MemDisk;
use crate::emulated_network::node_address;
use crate::history_check::FencedOperation;
use ::coordination::{Client, Message, Store, Voter};
use rand::rngs::SmallRng;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Second byte of the addresses of the cluster.
const NETWORK: u8 = 8;

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    node_address(NETWORK, node)
}

/// Returns the name of a node.
pub fn name(node: usize) -> String {
    format!("n{node:03}")
}

/// Process of a node.
pub(super) struct Process {
    pub(super) process_id: u64,
    pub(super) client: Client,
    pub(super) voter: Option<(Voter, Store)>,
    pub(super) is_stalled: bool,
    /// Messages that arrived while the process was stalled.
    pub(super) inbox: Vec<(usize, Message)>,
    /// Operation that had passed its lease check but was not yet sent when the process was stalled.
    pub(super) stalled_operation: Option<FencedOperation>,
    pub(super) wake_at: Option<Duration>,
}

/// Node of an emulated cluster.
pub(super) struct Node {
    pub(super) process: Option<Process>,
    /// Rate of the node's clock, which survives restarts.
    pub(super) clock_rate: f64,
    pub(super) disk: MemDisk,
    /// Identifies the location of the disk, and thus tells it from a copy.
    pub(super) location: u64,
}

impl Node {
    /// Creates a node without a process, whose clock has a random drift.
    pub(super) fn with_random_clock(drift: f64, rng: &mut SmallRng) -> Node {
        Node {
            process: None,
            clock_rate: 1.0 + drift * (2.0 * rng.random::<f64>() - 1.0),
            disk: MemDisk::new(),
            location: rng.random(),
        }
    }

    /// Returns the global time at which the node's clock shows this time.
    pub(super) fn global_time(&self, local: Duration) -> Duration {
        if local == Duration::MAX {
            return Duration::MAX;
        }
        local.div_f64(self.clock_rate) + Duration::from_nanos(100)
    }
}

impl Process {
    /// Returns an operation under the lease that is valid now, if there is one.
    pub(super) fn begin_operation(
        &self,
        node: usize,
        now: Duration,
        local: Duration,
    ) -> Option<FencedOperation> {
        let token = self.client.valid_token(local, super::LEASE)?;
        let process = format!("{} {}", name(node), self.process_id);
        Some(FencedOperation { started_at: now, arrived_at: now, process, token, accepted: false })
    }
}
