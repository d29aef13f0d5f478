//! Load and capacity of workers, estimated from the live weights in the endpoint list.
//!
//! A live weight is a worker's idle weight divided by one plus its number of requests per core. It reflects
//! the requests of all dispatchers.

use crate::table::{KindId, Table};

/// Relative deviation from the idle weight up to which a worker counts as idle.
const WEIGHT_NOISE_RATIO: f64 = 0.03;
/// Upper bound of a worker's number of cores.
const MAX_CORES: f64 = 64.0;

/// Estimates for a kind of worker, of which all have the same idle weight.
#[derive(Clone, Copy)]
struct KindEstimate {
    /// Weight of an idle worker: the largest observed.
    idle_weight: f64,
    /// Requests per core that one request adds: one over the number of cores. 0 until a busy worker has been
    /// observed.
    load_per_request: f64,
}

/// State of a worker derived from its live weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightReading {
    /// Its requests in flight, from all dispatchers.
    pub in_flight: f64,
    /// Its idle weight.
    pub idle_weight: f64,
}

/// Idle weights and numbers of cores of the kinds of worker, learned from observed weights.
#[derive(Default)]
pub struct LiveWeights(Table<KindId, KindEstimate>);

impl LiveWeights {
    /// Records a worker's live weight and returns what it says about the worker.
    pub fn record_weight(&mut self, kind: KindId, weight: f64) -> WeightReading {
        self.0.grow_to(kind, || KindEstimate { idle_weight: 0.0, load_per_request: 0.0 });
        let kind = &mut self.0[kind];
        if weight > kind.idle_weight * (1.0 + WEIGHT_NOISE_RATIO) {
            *kind = KindEstimate { idle_weight: weight, load_per_request: 0.0 };
        }
        let requests_per_core = kind.idle_weight / weight - 1.0;
        if requests_per_core <= WEIGHT_NOISE_RATIO {
            return WeightReading { in_flight: 0.0, idle_weight: kind.idle_weight };
        }
        if kind.load_per_request == 0.0 || requests_per_core < kind.load_per_request {
            kind.load_per_request = requests_per_core.max(1.0 / MAX_CORES);
        }
        WeightReading { in_flight: requests_per_core / kind.load_per_request, idle_weight: kind.idle_weight }
    }

    /// Number of cores of a worker of this kind; its idle weight if no busy worker has been observed.
    pub fn cores(&self, kind: KindId) -> f64 {
        match self.0.get(kind) {
            Some(kind) if kind.load_per_request > 0.0 => 1.0 / kind.load_per_request,
            Some(kind) => kind.idle_weight.max(1.0),
            None => 1.0,
        }
    }

    /// Speed of a core of this kind; 1 if unknown.
    pub fn speed(&self, kind: KindId) -> f64 {
        self.0
            .get(kind)
            .filter(|kind| kind.load_per_request > 0.0)
            .map_or(1.0, |kind| kind.idle_weight * kind.load_per_request)
    }
}
