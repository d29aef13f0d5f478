//! Entries of the endpoint list, and load reports of workers.

use super::Micros;

/// Opaque worker identifier, assigned by the embedder. It does not change when the worker restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Availability of a worker according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new requests.
    Ready,
    /// It completes its requests in flight and accepts no new ones.
    Draining,
    /// It was removed from the list.
    Gone,
}

/// Zone of a worker whose zone the settings do not name. Two such workers may be in different zones.
pub const UNKNOWN_ZONE: u8 = u8::MAX;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Index of its machine type.
    pub kind: u8,
    /// Index of its zone; [`UNKNOWN_ZONE`] if the settings do not name it.
    pub zone: u8,
    /// Its cell: the group of workers that deduplicate requests by a shared store of idempotency keys.
    pub cell: u32,
    /// Whether it accepts new requests.
    pub availability: Availability,
    /// Its capacity relative to other workers; 1 if unknown.
    pub weight: f64,
    /// Start time of its process, in microseconds of Unix time; 0 if it started long ago.
    pub started_at: Micros,
}

/// Load reported by a worker; `None` for values that were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in units of one slot's memory.
    pub free_memory: Option<f64>,
    /// Requests queued at the worker.
    pub queued: Option<f64>,
    /// Requests in flight at the worker.
    pub in_flight: Option<f64>,
}
