//! Parameters of a cluster under test.

use crate::worker::WorkerProfile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Probe intervals for which views have to be right before they count as settled.
const SETTLE_PROBES: u64 = 6;

/// Parameters of a cluster.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The program.
    pub binary: PathBuf,
    /// Number of nodes; at most [`NODES_MAX`](super::NODES_MAX).
    pub nodes: usize,
    /// Whether they are members of one fleet.
    pub fleet: bool,
    /// Number of workers.
    pub workers: usize,
    /// Capacity and cold start of each worker.
    pub worker_profile: WorkerProfile,
    /// Quota of each of the two tenants, in jobs a second.
    pub quota: f64,
    /// Probe interval of membership, in milliseconds; all its other times go by it.
    pub probe_ms: u64,
    /// Seed of what the fault proxies draw.
    pub seed: u64,
    /// Coordination between the nodes, if there is any.
    pub coordination: Option<CoordinationSpec>,
}

/// Coordination between a cluster's nodes. The first `voters` of them vote.
#[derive(Clone, Debug)]
pub struct CoordinationSpec {
    /// Number of voters: 3 or 5.
    pub voters: usize,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Whether one node of each zone follows discovery for the others.
    pub list_broadcast: bool,
    /// Whether nodes may be restarted one after another.
    pub rolling_restart: bool,
    /// Calls that one node makes for all: name, address, interval in milliseconds.
    pub scheduled_calls: Vec<(String, SocketAddr, u64)>,
}

impl Spec {
    /// A small cluster that settles fast.
    pub fn new(binary: impl Into<PathBuf>, nodes: usize) -> Spec {
        Spec {
            binary: binary.into(),
            nodes,
            fleet: true,
            workers: 0,
            worker_profile: WorkerProfile::default(),
            quota: 1000.0,
            probe_ms: 250,
            seed: 1,
            coordination: None,
        }
    }

    /// Time for which views have to be right before they count as settled: as long as a suspicion may take.
    pub fn settle_time(&self) -> Duration {
        Duration::from_millis(self.probe_ms * SETTLE_PROBES)
    }
}
