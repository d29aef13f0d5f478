//! What live weights of the endpoint list say about workers.
//!
//! A live weight is a worker's idle weight divided by one more than the requests that each of its cores holds. All
//! dispatchers see the same weights, so they count the requests of all of them.

use crate::table::{KindId, Table};

/// A weight that is lower than an idle worker's by less than this part counts as an idle one's.
const NOISE: f64 = 0.03;
/// The most cores that a worker is taken to have.
const MAX_CORES: f64 = 64.0;

/// A kind of worker: all of one kind have the same weight when idle.
#[derive(Clone, Copy)]
struct Kind {
    /// Weight of a worker that holds nothing: the largest seen.
    idle_weight: f64,
    /// One over its cores, which is what a request adds; 0 where none was seen yet.
    step: f64,
}

/// What a live weight says about its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightReading {
    /// Requests that it holds, from all dispatchers.
    pub in_flight: f64,
    /// Its weight when idle.
    pub idle_weight: f64,
}

/// Sizes and cores of the kinds of worker, learned from the weights seen.
#[derive(Default)]
pub struct LiveWeights(Table<KindId, Kind>);

impl LiveWeights {
    /// Takes a worker's weight into account.
    pub fn record_weight(&mut self, kind: KindId, weight: f64) -> WeightReading {
        self.0.grow_to(kind, || Kind { idle_weight: 0.0, step: 0.0 });
        let kind = &mut self.0[kind];
        if weight > kind.idle_weight * (1.0 + NOISE) {
            *kind = Kind { idle_weight: weight, step: 0.0 };
        }
        let per_core = kind.idle_weight / weight - 1.0;
        if per_core <= NOISE {
            return WeightReading { in_flight: 0.0, idle_weight: kind.idle_weight };
        }
        if kind.step == 0.0 || per_core < kind.step {
            kind.step = per_core.max(1.0 / MAX_CORES);
        }
        WeightReading { in_flight: per_core / kind.step, idle_weight: kind.idle_weight }
    }

    /// The cores of a worker of this kind; as many as its idle weight where none was seen that held anything.
    pub fn cores(&self, kind: KindId) -> f64 {
        match self.0.get(kind) {
            Some(kind) if kind.step > 0.0 => 1.0 / kind.step,
            Some(kind) => kind.idle_weight.max(1.0),
            None => 1.0,
        }
    }

    /// The speed of a core of this kind; 1 where unknown.
    pub fn speed(&self, kind: KindId) -> f64 {
        self.0.get(kind).filter(|kind| kind.step > 0.0).map_or(1.0, |kind| kind.idle_weight * kind.step)
    }
}
