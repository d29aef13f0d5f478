//! The endpoint list as discovery sends it, with random live weights in each version.

use ::coordination::ListEntry;
use dispatch_policy::api::{Availability, Endpoint, WorkerId};
use rand::rngs::SmallRng;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Number of cores of each worker, which is also its weight without requests.
const CORES: f64 = 4.0;
/// Maximum number of requests that a worker holds when its weight is drawn.
const HELD_REQUESTS_MAX: u32 = 8;
/// Number of workers in a cell, which share the memory of idempotency keys.
const WORKERS_PER_CELL: usize = 8;

/// Version of the list with the fields that a node parses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListBody {
    /// Number of the version.
    pub revision: u64,
    /// Whether these are all workers, or the changed ones only.
    pub complete: bool,
    /// The workers.
    pub members: Vec<Member>,
}

/// Entry of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    id: String,
    host_port: SocketAddr,
    locality: String,
    flavor: String,
    cell: u32,
    phase: String,
    size: f64,
    up_since_ms: u64,
}

impl ListBody {
    /// Draws a version with all workers, assigned to the zones in turn.
    pub fn random(revision: u64, workers: usize, zones: usize, rng: &mut SmallRng) -> ListBody {
        let members = (0..workers).map(|i| Member::random(i, zones, rng)).collect();
        ListBody { revision, complete: revision == 1, members }
    }

    /// Returns the body of discovery's answer.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses the body of an answer.
    ///
    /// # Errors
    /// An error if the body is not a version of the list.
    pub fn from_json(body: &[u8]) -> serde_json::Result<ListBody> {
        serde_json::from_slice(body)
    }

    /// Returns the entries as the list broadcast passes them on.
    pub fn list_entries(&self) -> Vec<ListEntry> {
        self.members.iter().map(Member::list_entry).collect()
    }

    /// Returns the entries as input of the decision module.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.members.iter().map(Member::endpoint).collect()
    }
}

impl Member {
    fn random(i: usize, zones: usize, rng: &mut SmallRng) -> Member {
        let held_requests = f64::from(rng.random_range(0..=HELD_REQUESTS_MAX));
        let weight = CORES / (1.0 + held_requests / CORES);
        Member {
            id: format!("worker-{i:04}"),
            host_port: SocketAddr::from((Ipv4Addr::new(10, 0, (i / 250) as u8, (i % 250 + 1) as u8), 8443)),
            locality: zone_name(i % zones),
            flavor: "standard".to_string(),
            cell: (i / WORKERS_PER_CELL) as u32,
            phase: "in_service".to_string(),
            size: (weight * 100.0).round() / 100.0,
            up_since_ms: 0,
        }
    }

    fn list_entry(&self) -> ListEntry {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        ListEntry { key: self.id.clone(), removed: false, bytes }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint {
            worker: WorkerId(membership::name_hash(&self.id)),
            kind: 0,
            zone: zone_number(&self.locality),
            cell: self.cell,
            availability: Availability::Ready,
            weight: self.size,
            started_at: self.up_since_ms * 1000,
        }
    }
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

fn zone_number(name: &str) -> u8 {
    name.rsplit('-').next().and_then(|digits| digits.parse().ok()).unwrap_or(u8::MAX)
}
