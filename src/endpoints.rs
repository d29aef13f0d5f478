//! Workers that the endpoint list names, or once named, and what is known of each.

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

/// Workers up to which each request looks at all of them, and dispatchers up to which one sees enough of them
/// by itself.
pub const SMALL_FLEET: usize = 32;
/// Workers of this zone in the sample of a larger fleet, and how many times fewer of other zones.
const SAMPLE: usize = 8;
const FAR_SAMPLE_PART: usize = 3;
/// The part of the peak of the workers' weights that stays in a period.
const PEAK_KEPT: f64 = 0.995;

/// A worker.
#[derive(Default)]
pub struct Worker {
    /// Its identifier.
    pub id: WorkerId,
    /// Its kind.
    pub kind: KindId,
    /// Where it is.
    pub locality: Locality,
    /// Its capacity relative to other workers; under live weights, that of an idle one of its kind.
    pub weight: f64,
    /// Whether new requests may be sent to it.
    pub is_ready: bool,
    /// Whether the endpoint list names it.
    pub is_listed: bool,
    /// When it started, by the endpoint list.
    reported_start: Micros,
    /// When it started, by this dispatcher's clock; 0 for long ago.
    pub started_at: Micros,
    /// Requests in flight there, and how many there may be.
    pub concurrency: ConcurrencyLimit,
    /// Requests of all dispatchers in flight there, as live weights tell.
    pub fleet_in_flight: f64,
    /// Its run times over the typical ones.
    pub relative_run_time: RelativeRunTime,
    /// Its last load report.
    pub load: ReportedLoad,
    /// What was used of its budget while it warms up.
    pub slow_start: SlotUsage,
    /// When an attempt there was last begun or ended; 0 for never.
    pub last_used_at: Micros,
    /// Its health.
    pub health: Health,
}

impl Worker {
    /// A worker that no list has named: it is sent nothing.
    fn unlisted(id: WorkerId) -> Worker {
        Worker { id, weight: 1.0, ..Worker::default() }
    }

    /// Forgets what was learned before a restart. Requests that are in flight there stay so.
    fn restart(&mut self, endpoint: &Endpoint, started_at: Micros) {
        *self = Worker {
            id: endpoint.worker,
            kind: KindId::new(usize::from(endpoint.kind)),
            locality: Locality { zone: endpoint.zone, cell: endpoint.cell },
            reported_start: endpoint.started_at,
            started_at,
            concurrency: self.concurrency.restarted(),
            ..Worker::default()
        };
    }

    /// Removes a worker that the list no longer names. Under soft removal, one that responded lately stays in
    /// use, because lists may be wrong about live workers, and one that did not is probed; the cost is that
    /// requests may be sent to a process that has gone.
    fn unlist(&mut self, soft_removal: bool, now: Micros) {
        self.is_listed = false;
        self.is_ready &= soft_removal;
        if self.is_ready {
            self.health.eject_if_quiet(now);
        }
    }

    fn apply(&mut self, availability: Availability, soft_removal: bool, now: Micros) {
        match availability {
            Availability::Ready => (self.is_ready, self.is_listed) = (true, true),
            Availability::Draining => self.is_ready = false,
            Availability::Gone => self.unlist(soft_removal, now),
        }
    }
}

/// All workers that were ever listed.
#[derive(Default)]
pub struct Endpoints {
    /// By index.
    pub workers: Table<WorkerIndex, Worker>,
    by_id: BTreeMap<WorkerId, WorkerIndex>,
    lists: ListHistory,
    /// Ready workers of this dispatcher's zone, and of others.
    near: Vec<WorkerIndex>,
    far: Vec<WorkerIndex>,
    /// Sum of the ready workers' weights, and its peak.
    weight: f64,
    peak_weight: f64,
    /// Workers with a fresh load report or an open connection, and some that had one.
    recent: Vec<WorkerIndex>,
}

/// What changes along with the workers.
pub struct FleetModels<'a> {
    /// What is known of each kind.
    pub kinds: &'a mut KindHistories,
    /// What live weights tell.
    pub live_weights: &'a mut LiveWeights,
}

impl Endpoints {
    /// The worker with this identifier, if it was ever heard of.
    pub fn find(&self, id: WorkerId) -> Option<WorkerIndex> {
        self.by_id.get(&id).copied()
    }

    /// The worker with this identifier; one that was never heard of is added, and sent nothing.
    pub fn find_or_add(&mut self, id: WorkerId) -> WorkerIndex {
        let next = WorkerIndex::new(self.workers.len());
        let index = *self.by_id.entry(id).or_insert(next);
        if index == next {
            self.workers.push(Worker::unlisted(id));
        }
        index
    }

    /// Number of workers that are ready.
    pub fn ready(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// The peak of the ready workers' weights in all.
    pub fn peak_weight(&self) -> f64 {
        self.peak_weight
    }

    /// Whether there are so many workers that each request looks at a sample.
    pub fn is_large(&self) -> bool {
        self.workers.len() > SMALL_FLEET
    }

    /// Lets the peak of the weights decay.
    pub fn end_period(&mut self) {
        self.peak_weight = self.weight.max(self.peak_weight * PEAK_KEPT);
    }

    /// Takes a list, or changes to it.
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
            self.workers.rows_mut().iter_mut().for_each(|worker| worker.unlist(soft_removal, now));
        }
        for endpoint in endpoints {
            let kind = KindId::new(usize::from(endpoint.kind));
            models.kinds.grow_to(kind, KindHistory::default);
            let worker = self.entry(endpoint, earliest_start, now);
            worker.apply(endpoint.availability, soft_removal, now);
            let is_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
            worker.weight = if is_weight { endpoint.weight } else { 1.0 };
            if settings.live_weights {
                let WeightReading { in_flight, idle_weight } =
                    models.live_weights.record_weight(kind, worker.weight);
                worker.weight = idle_weight;
                worker.fleet_in_flight = if relies_on_live_weights(settings) { in_flight } else { 0.0 };
            }
        }
        self.group(settings.zone);
    }

    /// The worker of an entry: new where it was never listed, or has restarted.
    fn entry(&mut self, endpoint: &Endpoint, earliest: Option<Micros>, now: Micros) -> &mut Worker {
        let next = WorkerIndex::new(self.workers.len());
        let index = *self.by_id.entry(endpoint.worker).or_insert(next);
        let is_new = index == next;
        if is_new {
            self.workers.push(Worker::default());
        }
        let worker = &mut self.workers[index];
        if is_new || endpoint.started_at > worker.reported_start {
            worker.restart(endpoint, local_start(endpoint.started_at, now, earliest));
        }
        worker
    }

    fn group(&mut self, zone: u8) {
        self.near.clear();
        self.far.clear();
        self.weight = 0.0;
        for (index, worker) in self.workers.iter().filter(|(_, worker)| worker.is_ready) {
            if worker.locality.zone == zone {
                self.near.push(index);
            } else {
                self.far.push(index);
            }
            self.weight += worker.weight;
        }
        self.peak_weight = self.peak_weight.max(self.weight);
    }

    /// Keeps a worker in the samples for as long as its report is fresh or its connection open.
    pub fn keep_in_samples(&mut self, index: WorkerIndex) {
        if !self.recent.contains(&index) {
            self.recent.push(index);
        }
    }

    /// A random sample of the ready workers, and those with a fresh report or a connection that stays open
    /// for `idle_timeout`. Without `strangers` the latter alone.
    pub fn sample(
        &mut self,
        strangers: bool,
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
        let mut hash = rng.below(u64::MAX);
        let near = if strangers { SAMPLE } else { 0 };
        for (group, count) in [(&self.near, near), (&self.far, near / FAR_SAMPLE_PART)] {
            for _ in 0..count.min(group.len()) {
                hash = mix(hash.wrapping_add(1));
                sample.push(group[(hash % group.len() as u64) as usize]);
            }
        }
        sample
    }
}

/// Whether there are so many dispatchers that one sees little of a worker by itself, and live weights tell
/// more.
pub fn relies_on_live_weights(settings: &Settings) -> bool {
    settings.live_weights && has_many_senders(settings)
}

/// Whether there are many dispatchers.
pub fn has_many_senders(settings: &Settings) -> bool {
    settings.senders() > SMALL_FLEET as u32
}

/// How many times more seldom each dispatcher probes an ejected worker, since all others do so too.
pub fn probe_interval_factor(settings: &Settings) -> Micros {
    (Micros::from(settings.senders()) / SMALL_FLEET as Micros).max(1)
}
