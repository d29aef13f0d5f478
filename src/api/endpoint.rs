//! Workers as discovery lists them, and the load that they report.

use super::Micros;

/// Identifier of a worker, chosen by the embedder. It carries no meaning and stays when the worker restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// Whether a worker accepts new requests, according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It finishes what it holds and accepts nothing new.
    Draining,
    /// It was removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// The kind of its machine, as an index.
    pub kind: u8,
    /// Its zone, as an index.
    pub zone: u8,
    /// Its cell: the workers that share a memory of idempotency keys.
    pub cell: u32,
    /// Whether it accepts new requests.
    pub availability: Availability,
    /// Its capacity relative to other workers; 1 where unknown.
    pub weight: f64,
    /// When its process started, in microseconds of Unix time; 0 for long ago.
    pub started_at: Micros,
}

/// Load that a worker reported; a value that was not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free units of memory; a worker has one for each slot.
    pub free_memory: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Requests that it holds.
    pub in_flight: Option<f64>,
}
