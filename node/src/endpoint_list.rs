//! Endpoint list: the workers that discovery reports. Configurations and process handovers contain it, too.

use crate::dispatcher::stable_hash;
use crate::names::Names;
use dispatch_policy::api::{Availability, Endpoint, WorkerId, UNKNOWN_ZONE};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

// The names in `serde(expecting)` appear in the error that operators read if a configuration's list is invalid.

/// Microseconds per millisecond.
const US_PER_MS: u64 = 1000;

/// Response of discovery: all endpoints, or those that have changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(expecting = "struct ListBody")]
pub struct EndpointList {
    /// Version of the list.
    pub revision: u64,
    /// Whether these are all endpoints, not only the changed ones.
    pub complete: bool,
    /// The endpoints.
    pub members: Vec<EndpointRecord>,
}

/// Entry of the list: one worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(expecting = "struct Member")]
pub struct EndpointRecord {
    id: String,
    #[serde(rename = "host_port")]
    address: SocketAddr,
    #[serde(rename = "locality")]
    zone: String,
    #[serde(rename = "flavor")]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    phase: EndpointPhase,
    /// Relative capacity; 1 if the list does not state it.
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

fn default_size() -> f64 {
    1.0
}

/// Phase of an endpoint, as discovery reports it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", expecting = "enum Phase")]
enum EndpointPhase {
    InService,
    Terminating,
    Terminated,
}

impl From<EndpointPhase> for Availability {
    fn from(phase: EndpointPhase) -> Availability {
        match phase {
            EndpointPhase::InService => Availability::Ready,
            EndpointPhase::Terminating => Availability::Draining,
            EndpointPhase::Terminated => Availability::Gone,
        }
    }
}

impl EndpointList {
    /// Merges a newer list into this one, which is complete afterwards. Terminated endpoints are removed.
    pub fn merge(&mut self, newer: &EndpointList) {
        if newer.complete {
            self.members.clear();
        }
        // A set, because comparing all pairs of a long list would block the only thread.
        let changed: HashSet<&str> = newer.members.iter().map(EndpointRecord::id).collect();
        self.members.retain(|endpoint| !changed.contains(endpoint.id()));
        self.members.extend(newer.members.iter().filter(|endpoint| !endpoint.is_terminated()).cloned());
        self.revision = newer.revision;
        self.complete = true;
    }
}

impl EndpointRecord {
    /// Id of the worker in discovery.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The worker's number and the address at which it listens.
    pub fn address(&self) -> (WorkerId, SocketAddr) {
        (self.worker_id(), self.address)
    }

    /// Whether the worker no longer exists.
    pub fn is_terminated(&self) -> bool {
        matches!(self.phase, EndpointPhase::Terminated)
    }

    /// Whether the worker accepts requests.
    pub fn is_in_service(&self) -> bool {
        matches!(self.phase, EndpointPhase::InService)
    }

    /// The endpoint as the decision module takes it, with numbers in place of names.
    pub fn endpoint(&self, names: &Names) -> Endpoint {
        Endpoint {
            worker: self.worker_id(),
            kind: index_of(&names.kinds, &self.machine_type).unwrap_or(0),
            zone: index_of(&names.zones, &self.zone)
                .filter(|zone| *zone != UNKNOWN_ZONE)
                .unwrap_or(UNKNOWN_ZONE),
            cell: self.cell,
            availability: self.phase.into(),
            weight: self.size,
            started_at: self.up_since_ms * US_PER_MS,
        }
    }

    fn worker_id(&self) -> WorkerId {
        WorkerId(stable_hash(&self.id))
    }
}

/// Index of a name in a list of names, which is its number in the decision module.
fn index_of(names: &[String], name: &str) -> Option<u8> {
    names.iter().position(|known| known == name).and_then(|index| u8::try_from(index).ok())
}
