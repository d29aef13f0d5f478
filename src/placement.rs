//! Placement: selects the worker that a request is sent to.
//!
//! Requests are bound late: an admitted request waits until a worker has capacity. Of the workers with
//! capacity, the one with the lowest cost is selected: its load, weighted by its relative run time, plus the
//! prices of crossing zones, opening a connection and fetching data. In a large fleet with live weights, a
//! weighted random choice is used instead, because all dispatchers see the same weights and would overload
//! the best worker.

use crate::api::{Idempotency, Micros, Settings, SECOND};
use crate::class_backoff::ClassBackoff;
use crate::concurrency_limit::MIN_LIMIT;
use crate::endpoints::{relies_on_live_weights, Endpoints, Worker};
use crate::live_weights::LiveWeights;
use crate::load_report::{ReportQuality, MIN_FREE_SLOTS};
use crate::requests::{FirstExecution, RequestState};
use crate::retry;
use crate::rng::{mix, unit_hash};
use crate::run_time::{ClassHistory, KindHistories, CLASS_GAIN};
use crate::slow_start::{self, FleetCapacity, Sender, WorkerStart};
use crate::table::{ClassId, RowId, Table, WorkerIndex};

/// Load per unit of price: a price of 0.04 of a request's value equals the load of a whole worker.
const LOAD_PER_PRICE: f64 = 25.0;
/// Weight of prices in a random choice: a price of 0.04 divides a worker's chance of being chosen by 20.
const RANDOM_CHOICE_PRICE_WEIGHT: f64 = 3.0;
/// Upper bound of the random component of a cost, which breaks ties between equal workers.
const MAX_TIE_BREAK: f64 = 0.02;
/// Reciprocal of the fraction of the fleet that may hold a key's data, counted from the key's first-ranked
/// worker.
const KEY_SPREAD: f64 = 5.0;
/// Fraction of a fetch up to which a worker is assumed to hold the data.
const CACHED_FETCH_RATIO: f64 = 0.2;
/// Number of fetches that a request would pay for rather than wait for its whole slack.
const FETCHES_PER_SLACK: f64 = 1.0;
/// Fraction of a request's slots that may exceed the estimated capacity if it is sent at once.
const CAPACITY_RISK: f64 = 0.3;
/// Load factor of a worker that is warming up: in a slow-start slot in which this dispatcher may send to it,
/// it has the worker to itself.
const SLOW_START_LOAD: f64 = 0.1;
/// Lower bound of the fraction of a kind's load reports that show capacity.
const MIN_CAPACITY_RATIO: f64 = 0.1;
/// Lower bound of an estimated capacity, in slots.
const MIN_CAPACITY: f64 = 0.5;

/// Inputs of placement decisions.
pub struct Placement<'a> {
    /// Settings.
    pub settings: &'a Settings,
    /// Current time.
    pub now: Micros,
    /// Seed of the random choices at this time.
    pub seed: u64,
    /// Workers.
    pub endpoints: &'a Endpoints,
    /// History of each class.
    pub classes: &'a Table<ClassId, ClassHistory>,
    /// History of each kind of worker.
    pub kinds: &'a KindHistories,
    /// Estimates from live weights.
    pub live_weights: &'a LiveWeights,
    /// Aggregated quality of load reports.
    pub reports: &'a ReportQuality,
    /// Backoffs of classes and tenants at individual workers.
    pub backoff: &'a ClassBackoff,
    /// This dispatcher's identity in the slow-start schedule of warming-up workers.
    pub sender: Sender,
    /// Capacity of the fleet.
    pub fleet: FleetCapacity,
    /// Source of load figures.
    pub load_source: LoadSource,
    /// Whether workers are chosen at random, weighted by their loads.
    pub chooses_at_random: bool,
}

/// Source of the load figures of workers that are not ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Load reports; only fresh ones count.
    FreshReports,
    /// Live weights: with many dispatchers, each one sees too little of a worker by itself.
    LiveWeights,
    /// Capacity estimated from load reports of any age.
    EstimatedCapacity,
    /// This dispatcher's own requests in flight.
    OwnRequests,
}

impl LoadSource {
    /// Returns the source for these settings.
    pub fn of(settings: &Settings, reports: &ReportQuality) -> LoadSource {
        if reports.requires_fresh_reports(settings) {
            LoadSource::FreshReports
        } else if relies_on_live_weights(settings) {
            LoadSource::LiveWeights
        } else if reports.estimates_capacity(settings) {
            LoadSource::EstimatedCapacity
        } else {
            LoadSource::OwnRequests
        }
    }
}

impl Placement<'_> {
    /// Returns the candidate with the lowest cost, or `None` if none has capacity.
    pub fn select(
        &self,
        request: &RequestState,
        candidates: impl IntoIterator<Item = WorkerIndex>,
    ) -> Option<WorkerIndex> {
        let costs = candidates.into_iter().filter_map(|index| Some((self.cost(request, index)?, index)));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, index)| index)
    }

    /// Returns the candidates that may be sent the request but lack a fresh load report, ordered by cost.
    pub fn probe_candidates(&self, request: &RequestState, candidates: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
        let without_known_load = candidates.into_iter().filter(|&index| !self.has_known_load(index));
        let mut costs: Vec<(f64, WorkerIndex)> =
            without_known_load.filter_map(|index| Some((self.cost(request, index)?, index))).collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        costs.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns whether a worker's load is known well enough to send to it.
    pub fn has_known_load(&self, index: WorkerIndex) -> bool {
        self.load_source != LoadSource::FreshReports || self.endpoints.workers[index].load.is_fresh(self.now)
    }

    /// Returns all workers with capacity for a small request of any class.
    pub fn workers_with_capacity(&self) -> Vec<WorkerIndex> {
        let smallest = RequestState::default();
        let workers = self.endpoints.workers.iter();
        workers.filter(|(_, worker)| self.load(worker, &smallest).is_some()).map(|(index, _)| index).collect()
    }

    /// Returns the cost of sending a request to a worker, or `None` if it may not be sent there or the worker
    /// has no capacity.
    fn cost(&self, request: &RequestState, index: WorkerIndex) -> Option<f64> {
        let worker = &self.endpoints.workers[index];
        if !self.is_eligible(request, worker) || self.backoff.excludes(request, index, self.now) {
            return None;
        }
        let price = self.price(worker);
        if self.chooses_at_random {
            let draw = -unit_hash(self.seed ^ worker.id.0 ^ self.now).ln();
            let draw = draw * (RANDOM_CHOICE_PRICE_WEIGHT * (price.zone + price.connection)).exp();
            return self.load(worker, request).map(|load| draw * load * load);
        }
        let tie_break = unit_hash(self.seed ^ worker.id.0) * MAX_TIE_BREAK;
        let rejection_penalty = if self.load_source == LoadSource::EstimatedCapacity {
            0.0
        } else {
            worker.concurrency.rejection_ratio + f64::from(worker.concurrency.overdue)
        };
        let load = self.load(worker, request)? + rejection_penalty;
        let fetch = self.fetch_price(request, worker)?;
        Some(
            load * self.run_time_and_capacity_ratio(worker).0
                + price.zone
                + price.connection
                + fetch
                + tie_break,
        )
    }

    fn is_eligible(&self, request: &RequestState, worker: &Worker) -> bool {
        let class = self.settings.class(request.class);
        let is_kind = |kind: u8| usize::from(kind) == worker.kind.position();
        worker.is_ready
            && class.required_kind.is_none_or(is_kind)
            && request.first_execution.is_none_or(|first| self.may_execute_again(request, first, worker))
    }

    fn may_execute_again(&self, request: &RequestState, first: FirstExecution, worker: &Worker) -> bool {
        retry::may_execute_again(
            self.settings.class(request.class),
            self.settings,
            self.now,
            first.deduplicated_until,
            first.locality,
            worker.locality,
        )
    }

    fn price(&self, worker: &Worker) -> SendPrice {
        let settings = self.settings;
        let is_same_zone = worker.is_in_zone(settings.zone);
        let has_connection =
            worker.last_used_at > 0 && self.now < worker.last_used_at + settings.idle_timeout_us;
        SendPrice {
            zone: if is_same_zone { 0.0 } else { settings.cross_zone_price * LOAD_PER_PRICE },
            connection: if has_connection { 0.0 } else { settings.handshake_price * LOAD_PER_PRICE },
        }
    }

    /// Returns the price of a fetch if the worker may lack the data that the request needs. All dispatchers
    /// rank workers identically by key (rendezvous hashing). A key uses as many of its ranks as its load
    /// requires, so a popular key has more workers. Returns `None` if the request should rather wait for a
    /// worker that is certain to hold the data.
    fn fetch_price(&self, request: &RequestState, worker: &Worker) -> Option<f64> {
        if request.affinity_key == 0 || self.settings.origin_fetch_price <= 0.0 {
            return Some(0.0);
        }
        let fetch_likelihood = (unit_hash(request.affinity_key ^ mix(worker.id.0)) * KEY_SPREAD).min(1.0);
        let should_wait =
            fetch_likelihood > FETCHES_PER_SLACK * request.waited_ratio(self.now) + CACHED_FETCH_RATIO;
        if should_wait {
            None
        } else {
            Some(fetch_likelihood * self.settings.origin_fetch_price * LOAD_PER_PRICE)
        }
    }

    /// Returns a worker's relative run time, and how often it has capacity. In a large fleet the averages of
    /// its kind are used.
    fn run_time_and_capacity_ratio(&self, worker: &Worker) -> (f64, f64) {
        let settings = self.settings;
        if self.endpoints.is_large() && settings.reports_free_slots && !settings.reports_start {
            let kind = &self.kinds[worker.kind];
            (kind.relative_run_time, kind.free_slots_ratio.max(MIN_CAPACITY_RATIO))
        } else {
            (worker.relative_run_time.get(), 1.0)
        }
    }

    /// Returns how loaded a worker would be with this request, or `None` if it has no capacity for it.
    fn load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let is_ejected = worker.health.is_ejected();
        let has_overdue_requests =
            worker.concurrency.overdue > 0 && !worker.health.is_unresponsive() && self.settings.reports_start;
        let capacity_ratio = self.capacity_ratio(worker);
        let is_slow_start_limited = capacity_ratio < 1.0 && !self.slow_start_allows(worker, request);
        if has_overdue_requests || worker.health.is_paused(self.now) || is_slow_start_limited {
            return None;
        }
        if is_ejected {
            return self.half_open_load(worker, request);
        }
        match self.load_source {
            LoadSource::FreshReports => self.reported_load(worker, request),
            LoadSource::LiveWeights => self.live_weight_load(worker, request, capacity_ratio),
            LoadSource::EstimatedCapacity => self.estimated_load(worker, request),
            LoadSource::OwnRequests => self.own_load(worker, request),
        }
    }

    fn own_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let load = self.slots_with(worker, request) / worker.concurrency.limit().max(MIN_LIMIT);
        Some(load).filter(|&load| load <= 1.0 || worker.concurrency.is_idle())
    }

    fn slots_with(&self, worker: &Worker, request: &RequestState) -> f64 {
        worker.concurrency.in_flight + request.slots
    }

    /// Load of an ejected worker in half-open state: it gets one probe request at a time, of a kind that can
    /// be retried if it is lost. Such a probe takes precedence, unless workers are chosen at random.
    fn half_open_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let settings = self.settings;
        let is_idempotent = |class| settings.class(class).idempotency == Idempotency::Idempotent;
        let may_probe = is_idempotent(request.class) || !settings.offered_classes().any(is_idempotent);
        let load = if self.chooses_at_random { 1.0 / worker.weight.max(0.1) } else { 0.0 };
        let is_due = worker.concurrency.is_idle() && worker.health.is_probe_due(self.now);
        Some(load).filter(|_| may_probe && is_due)
    }

    /// Load according to a fresh report; without one, an estimate that determines which workers are probed.
    fn reported_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        if worker.load.is_fresh(self.now) {
            return Some(1.0 / (1.0 + worker.load.free_slots))
                .filter(|_| worker.load.free_slots >= MIN_FREE_SLOTS);
        }
        let load = self.slots_with(worker, request) / worker.concurrency.limit().max(MIN_LIMIT);
        Some((1.0 + load) / self.run_time_and_capacity_ratio(worker).1)
    }

    /// Load according to live weights. If the worst-served class counts, better-served classes leave full
    /// workers to it.
    fn live_weight_load(&self, worker: &Worker, request: &RequestState, capacity_ratio: f64) -> Option<f64> {
        let settings = self.settings;
        let cores = self.live_weights.cores(worker.kind) * capacity_ratio;
        let served = self.classes[request.class].served_ratio;
        let is_worse = |class: ClassId| self.classes[class].served_ratio + CLASS_GAIN < served;
        let weight = if capacity_ratio < 1.0 { worker.weight / SLOW_START_LOAD } else { worker.weight };
        let load = (1.0 + worker.fleet_in_flight / cores) / weight;
        let is_full = worker.fleet_in_flight + 0.5 > cores;
        let yields_capacity =
            is_full && settings.worst_class_weight > 0.0 && settings.offered_classes().any(is_worse);
        Some(load).filter(|_| !yields_capacity)
    }

    /// Load based on the capacity estimated from reports of any age: the older the report, the closer the
    /// estimate is to the fleet's mean. The longer a request has waited, the less certain the capacity that
    /// it accepts.
    fn estimated_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let slots = self.slots_with(worker, request);
        let age_s = self.now.saturating_sub(worker.load.received_at) as f64 / SECOND as f64;
        let mean = self.reports.mean_capacity;
        let capacity = mean + (worker.concurrency.limit() - mean) / (1.0 + age_s);
        let risk = request.slots * (CAPACITY_RISK + request.waited_ratio(self.now));
        Some(slots / capacity.max(MIN_CAPACITY)).filter(|_| slots <= capacity + risk)
    }

    /// Returns whether live weights show a worker to be filled by other dispatchers' requests, which explains
    /// why a request waits there.
    pub fn is_saturated_by_others(&self, index: WorkerIndex) -> bool {
        let worker = &self.endpoints.workers[index];
        self.chooses_at_random && worker.fleet_in_flight >= self.live_weights.cores(worker.kind)
    }

    /// Returns whether a request would exceed this dispatcher's share of the slow-start budget of a
    /// warming-up worker.
    pub fn exceeds_slow_start(&self, index: WorkerIndex, request: &RequestState) -> bool {
        let worker = &self.endpoints.workers[index];
        self.capacity_ratio(worker) < 1.0 && !self.slow_start_allows(worker, request)
    }

    fn capacity_ratio(&self, worker: &Worker) -> f64 {
        slow_start::capacity_ratio(&self.settings.rules, worker.started_at, self.now)
    }

    fn slow_start_allows(&self, worker: &Worker, request: &RequestState) -> bool {
        let capacity_per_s = self.fleet.worker_capacity_per_s(self.settings, worker.weight);
        let start = WorkerStart { worker: worker.id, started_at: worker.started_at, capacity_per_s };
        let size = request.work_us / SECOND as f64 / self.fleet.mean_work_s;
        slow_start::may_send(&self.settings.rules, self.sender, start, worker.slow_start, self.now, size)
    }
}

/// Prices of sending to a worker, converted to load.
struct SendPrice {
    zone: f64,
    connection: f64,
}
