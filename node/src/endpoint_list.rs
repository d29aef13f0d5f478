//! The worker list, as discovery tells it and as configurations and upgrades carry it.

use crate::dispatcher::stable_hash;
use crate::names::Names;
use dispatch_policy::api::{Availability, Endpoint, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// An answer of discovery.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// The version of the list.
    pub revision: u64,
    /// Whether these are all workers, or the changed ones.
    pub complete: bool,
    /// The lines.
    pub members: Vec<EndpointRecord>,
}

/// A line of the worker list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointRecord {
    id: String,
    host_port: SocketAddr,
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    InService,
    Terminating,
    Terminated,
}

impl EndpointList {
    /// Takes a newer list in: changed lines, or all of them. Who is gone has no line.
    pub fn merge(&mut self, newer: &EndpointList) {
        if newer.complete {
            self.members.clear();
        }
        // Guards the one thread against long lists: no line is compared with each other one.
        let told: HashSet<&str> = newer.members.iter().map(|m| m.id.as_str()).collect();
        self.members.retain(|m| !told.contains(m.id.as_str()));
        self.members.extend(newer.members.iter().filter(|m| !m.is_gone()).cloned());
        (self.revision, self.complete) = (newer.revision, true);
    }
}

impl EndpointRecord {
    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where it listens.
    pub fn address(&self) -> (WorkerId, SocketAddr) {
        (WorkerId(stable_hash(&self.id)), self.host_port)
    }

    /// Whether it says that the worker is gone.
    pub fn is_gone(&self) -> bool {
        matches!(self.phase, Phase::Terminated)
    }

    /// Whether it says that the worker wants jobs.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, Phase::InService)
    }

    /// The line as the module takes it.
    pub fn entry(&self, names: &Names) -> Endpoint {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).map(|i| i as u8);
        Endpoint {
            worker: WorkerId(stable_hash(&self.id)),
            kind: place(&names.kinds, &self.flavor).unwrap_or(0),
            zone: place(&names.zones, &self.locality).unwrap_or(u8::MAX),
            cell: self.cell,
            availability: match self.phase {
                Phase::InService => Availability::Ready,
                Phase::Terminating => Availability::Draining,
                Phase::Terminated => Availability::Gone,
            },
            weight: self.size,
            started_at: self.up_since_ms * 1000,
        }
    }
}
