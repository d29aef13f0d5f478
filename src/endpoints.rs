//! Workers that are or were in the endpoint list, and the state kept of each.

use crate::api::{Availability, Endpoint, Micros, Settings, WorkerId};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::live_weights::{LiveWeights, WeightReading};
use crate::load_report::ReportedLoad;
use crate::outlier::Health;
use crate::retry::Locality;
use crate::rng::{mix, Rng};
use crate::run_time::{KindHistories, KindHistory, RelativeRunTime};
use crate::slow_start::SlotUsage;
use crate::start_time::{local_start, ListHistory};
use crate::table::{KindId, RowId, Table, WorkerIndex};
use std::collections::BTreeMap;

/// Maximum number of workers that are all considered for each request, and maximum number of dispatchers at
/// which each one sees enough of the workers by itself.
pub const SMALL_FLEET: usize = 32;
/// Workers of this zone in the sample of a larger fleet, and the divisor of that number for workers of other
/// zones.
const SAMPLE_SIZE: usize = 8;
const REMOTE_SAMPLE_DIVISOR: usize = 3;
/// Factor by which the peak of the total weight decays in each period.
const PEAK_DECAY: f64 = 0.995;

/// State of a worker.
#[derive(Default)]
pub struct Worker {
    /// Identifier.
    pub id: WorkerId,
    /// Kind.
    pub kind: KindId,
    /// Location; `None` for a worker that was never listed.
    pub locality: Option<Locality>,
    /// Capacity relative to other workers; with live weights, the weight of an idle worker of its kind.
    pub weight: f64,
    /// Whether new requests may be sent to it.
    pub is_ready: bool,
    /// Whether it is in the endpoint list.
    pub is_listed: bool,
    /// Start time according to the endpoint list.
    reported_start: Micros,
    /// Start time by this dispatcher's clock; 0 for long ago.
    pub started_at: Micros,
    /// Requests in flight and their limit.
    pub concurrency: ConcurrencyLimit,
    /// Requests of all dispatchers in flight, as estimated from live weights.
    pub fleet_in_flight: f64,
    /// Run time relative to the typical one.
    pub relative_run_time: RelativeRunTime,
    /// Most recent load report.
    pub load: ReportedLoad,
    /// Use of its slow-start budget.
    pub slow_start: SlotUsage,
    /// When an attempt was last sent or ended; 0 for never.
    pub last_used_at: Micros,
    /// Health, for outlier detection.
    pub health: Health,
}

impl Worker {
    /// A worker that was never listed: no requests are sent to it.
    fn unlisted(id: WorkerId) -> Worker {
        Worker { id, weight: 1.0, ..Worker::default() }
    }

    /// Whether it is in this zone, as far as is known.
    pub fn is_in_zone(&self, zone: u8) -> bool {
        self.locality.is_some_and(|locality| locality.zone == zone)
    }

    /// Resets what was learned before a restart, but keeps the requests in flight.
    fn restart(&mut self, endpoint: &Endpoint, started_at: Micros) {
        *self = Worker {
            id: endpoint.worker,
            kind: KindId::new(usize::from(endpoint.kind)),
            reported_start: endpoint.started_at,
            started_at,
            concurrency: self.concurrency.restarted(),
            ..Worker::default()
        };
    }

    /// Handles a worker's removal from the list. With soft removal, a worker that responded recently stays in
    /// use, because lists may be wrong about live workers, and one that did not is probed. The cost: requests
    /// may be sent to a process that no longer exists.
    fn mark_unlisted(&mut self, soft_removal: bool, now: Micros) {
        self.is_listed = false;
        self.is_ready &= soft_removal;
        if self.is_ready {
            self.health.eject_if_silent(now);
        }
    }

    fn apply(&mut self, availability: Availability, soft_removal: bool, now: Micros) {
        match availability {
            Availability::Ready => (self.is_ready, self.is_listed) = (true, true),
            Availability::Draining => self.is_ready = false,
            Availability::Gone => self.mark_unlisted(soft_removal, now),
        }
    }
}

/// All workers seen so far, from lists or adopted requests.
#[derive(Default)]
pub struct Endpoints {
    /// Workers by index.
    pub workers: Table<WorkerIndex, Worker>,
    by_id: BTreeMap<WorkerId, WorkerIndex>,
    lists: ListHistory,
    /// Ready workers of this dispatcher's zone, and of other zones.
    same_zone: Vec<WorkerIndex>,
    other_zones: Vec<WorkerIndex>,
    /// Total weight of the ready workers, and its decaying peak.
    weight: f64,
    peak_weight: f64,
    /// Workers with a fresh load report or an open connection; outdated entries are removed when a sample is
    /// taken.
    recent: Vec<WorkerIndex>,
}

/// Models that are updated along with the workers.
pub struct FleetModels<'a> {
    /// History of each kind of worker.
    pub kinds: &'a mut KindHistories,
    /// Estimates from live weights.
    pub live_weights: &'a mut LiveWeights,
}

impl Endpoints {
    /// Returns the worker with this identifier, if it is known.
    pub fn find(&self, id: WorkerId) -> Option<WorkerIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns the worker with this identifier. An unknown one is added, but no requests are sent to it.
    pub fn find_or_add(&mut self, id: WorkerId) -> WorkerIndex {
        let next = WorkerIndex::new(self.workers.len());
        let index = *self.by_id.entry(id).or_insert(next);
        if index == next {
            self.workers.push(Worker::unlisted(id));
        }
        index
    }

    /// Returns the number of ready workers.
    pub fn ready_count(&self) -> usize {
        self.same_zone.len() + self.other_zones.len()
    }

    /// Returns the decaying peak of the ready workers' total weight.
    pub fn peak_weight(&self) -> f64 {
        self.peak_weight
    }

    /// Returns whether the fleet is so large that only a sample is considered for each request.
    pub fn is_large(&self) -> bool {
        self.workers.len() > SMALL_FLEET
    }

    /// Decays the peak of the total weight.
    pub fn end_period(&mut self) {
        self.peak_weight = self.weight.max(self.peak_weight * PEAK_DECAY);
    }

    /// Applies a full endpoint list, or changes to it.
    pub fn update(
        &mut self,
        endpoints: &[Endpoint],
        is_full: bool,
        settings: &Settings,
        models: FleetModels<'_>,
        now: Micros,
    ) {
        let soft_removal = settings.rules.soft_removal;
        let earliest_start = self.lists.earliest_start();
        self.lists.record(now);
        if is_full {
            self.workers.rows_mut().iter_mut().for_each(|worker| worker.mark_unlisted(soft_removal, now));
        }
        for endpoint in endpoints {
            let kind = KindId::new(usize::from(endpoint.kind));
            models.kinds.grow_to(kind, KindHistory::default);
            let worker = self.worker_of_entry(endpoint, earliest_start, now);
            // Read anew, as the settings may have named its zone since.
            worker.locality = Some(Locality { zone: endpoint.zone, cell: endpoint.cell });
            worker.apply(endpoint.availability, soft_removal, now);
            let has_valid_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
            worker.weight = if has_valid_weight { endpoint.weight } else { 1.0 };
            if settings.live_weights {
                let WeightReading { in_flight, idle_weight } =
                    models.live_weights.record_weight(kind, worker.weight);
                worker.weight = idle_weight;
                worker.fleet_in_flight = if relies_on_live_weights(settings) { in_flight } else { 0.0 };
            }
        }
        self.group_by_zone(settings.zone);
    }

    /// Returns the worker of a list entry, reset if it is new or has restarted.
    fn worker_of_entry(
        &mut self,
        endpoint: &Endpoint,
        earliest_start: Option<Micros>,
        now: Micros,
    ) -> &mut Worker {
        let next = WorkerIndex::new(self.workers.len());
        let index = *self.by_id.entry(endpoint.worker).or_insert(next);
        let is_new = index == next;
        if is_new {
            self.workers.push(Worker::default());
        }
        let worker = &mut self.workers[index];
        if is_new || endpoint.started_at > worker.reported_start {
            worker.restart(endpoint, local_start(endpoint.started_at, now, earliest_start));
        }
        worker
    }

    fn group_by_zone(&mut self, zone: u8) {
        self.same_zone.clear();
        self.other_zones.clear();
        self.weight = 0.0;
        for (index, worker) in self.workers.iter().filter(|(_, worker)| worker.is_ready) {
            if worker.is_in_zone(zone) {
                self.same_zone.push(index);
            } else {
                self.other_zones.push(index);
            }
            self.weight += worker.weight;
        }
        self.peak_weight = self.peak_weight.max(self.weight);
    }

    /// Includes a worker in samples as long as its load report is fresh or its connection is open.
    pub fn keep_in_samples(&mut self, index: WorkerIndex) {
        if !self.recent.contains(&index) {
            self.recent.push(index);
        }
    }

    /// Returns a random sample of the ready workers, plus those with a fresh load report or a connection that
    /// stays open for `idle_timeout`. Without `include_random`, returns only the latter.
    pub fn sample(
        &mut self,
        include_random: bool,
        idle_timeout: Micros,
        rng: &mut Rng,
        now: Micros,
    ) -> Vec<WorkerIndex> {
        let workers = &self.workers;
        self.recent.retain(|&index| {
            let worker = &workers[index];
            now < worker.last_used_at + idle_timeout || worker.load.is_fresh(now)
        });
        let mut sample = self.recent.clone();
        let mut draw = rng.below(u64::MAX);
        let same_zone_count = if include_random { SAMPLE_SIZE } else { 0 };
        for (group, count) in
            [(&self.same_zone, same_zone_count), (&self.other_zones, same_zone_count / REMOTE_SAMPLE_DIVISOR)]
        {
            for _ in 0..count.min(group.len()) {
                draw = mix(draw.wrapping_add(1));
                sample.push(group[(draw % group.len() as u64) as usize]);
            }
        }
        sample
    }
}

/// Returns whether live weights are used as the load source: there are so many dispatchers that each one sees
/// too little of a worker by itself.
pub fn relies_on_live_weights(settings: &Settings) -> bool {
    settings.live_weights && has_many_senders(settings)
}

/// Returns whether there are many dispatchers.
pub fn has_many_senders(settings: &Settings) -> bool {
    settings.senders() > SMALL_FLEET as u32
}

/// Returns the factor by which each dispatcher lengthens the probe interval of an ejected worker, as all
/// other dispatchers probe it too.
pub fn probe_interval_factor(settings: &Settings) -> Micros {
    (Micros::from(settings.senders()) / SMALL_FLEET as Micros).max(1)
}
