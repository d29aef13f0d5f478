//! The worker list in the form in which discovery sends it, with live weights that are drawn anew for each version.

use ::coordination::ListEntry;
use dispatch_policy::api::{Availability, Endpoint, WorkerId};
use rand::rngs::SmallRng;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// The cores of each worker, and its weight while it holds nothing.
const CORES: f64 = 4.0;
/// Requests that a worker holds at most when its weight is drawn.
const HELD_REQUESTS_MAX: u32 = 8;
/// Workers that share the memory of repeated keys.
const WORKERS_PER_CELL: usize = 8;

/// A version of the list, as a node reads it: the same fields as `molevale::list::ListBody`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListBody {
    /// The version.
    pub revision: u64,
    /// Whether these are all workers, or the changed ones.
    pub complete: bool,
    /// The workers.
    pub members: Vec<Member>,
}

/// A worker's line.
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
    /// All workers, spread over the zones in turn.
    pub fn random(revision: u64, workers: usize, zones: usize, rng: &mut SmallRng) -> ListBody {
        let members = (0..workers).map(|i| Member::random(i, zones, rng)).collect();
        ListBody { revision, complete: revision == 1, members }
    }

    /// The body of discovery's answer.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses the body of an answer.
    ///
    /// # Errors
    /// Where the body is not a version of the list.
    pub fn from_json(body: &[u8]) -> serde_json::Result<ListBody> {
        serde_json::from_slice(body)
    }

    /// The lines as the nodes of a zone pass them on to each other.
    pub fn list_entries(&self) -> Vec<ListEntry> {
        self.members.iter().map(Member::list_entry).collect()
    }

    /// The lines as the decision module takes them.
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
