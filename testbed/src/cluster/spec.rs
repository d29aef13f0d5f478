//! Parameters of a cluster under test.

use crate::worker::WorkerProfile;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Number of probe intervals for which views must be correct before they count as settled.
const SETTLE_PROBES: u64 = 6;

/// Parameters of a cluster.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Path of the program.
    pub binary: PathBuf,
    /// Number of nodes; at most [`NODES_MAX`](super::NODES_MAX).
    pub nodes: usize,
    /// Whether the nodes are members of one fleet.
    pub fleet: bool,
    /// Number of workers.
    pub workers: usize,
    /// Capacity and cold start of each worker.
    pub worker_profile: WorkerProfile,
    /// Quota of each of the two tenants, in requests per second.
    pub quota: f64,
    /// Probe interval of membership, in milliseconds; its other timing is proportional.
    pub probe_ms: u64,
    /// Seed of the fault proxies' random choices.
    pub seed: u64,
    /// Coordination between the nodes, if any.
    pub coordination: Option<CoordinationSpec>,
}

/// Coordination between a cluster's nodes. The first `voters` nodes are the voters.
#[derive(Clone, Debug)]
pub struct CoordinationSpec {
    /// Number of voters: 3 or 5.
    pub voters: usize,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Whether one node of each zone polls discovery for the others.
    pub list_broadcast: bool,
    /// Whether rolling restarts are enabled.
    pub rolling_restart: bool,
    /// Scheduled calls, made by one node at a time: name, address, interval in milliseconds.
    pub scheduled_calls: Vec<(String, SocketAddr, u64)>,
}

impl Spec {
    /// Returns the parameters of a small cluster that settles fast.
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

    /// Returns the time for which views must be correct before they count as settled: as long as a suspicion
    /// may take.
    pub fn settle_time(&self) -> Duration {
        Duration::from_millis(self.probe_ms * SETTLE_PROBES)
    }
}
