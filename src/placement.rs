//! Placement: which worker a request is sent to.
//!
//! Requests are bound late: one that was admitted waits until a worker has room. Of those that have, the one
//! with the least cost is chosen: its load, weighted by its run times, and the prices of crossing zones,
//! opening a connection and fetching data. In a large fleet under live weights it is a weighted random choice
//! instead, since all dispatchers see the same weights and would flood the best worker.

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

/// Load over price: 0.04 of a request's value is a whole worker's load.
const LOAD_A_PRICE: f64 = 25.0;
/// Weight of prices in a random choice: a worker that costs 0.04 counts as one of 20.
const PRICE_IN_CHOICE: f64 = 3.0;
/// Bound of the random part of a cost, which decides between equal workers.
const TIE_BREAK: f64 = 0.02;
/// One over the part of the fleet that may hold a key's data, from the key's first worker on.
const KEY_SPREAD: f64 = 5.0;
/// The part of a fetch up to which a worker is taken to hold the data.
const LIKELY_CACHED: f64 = 0.2;
/// Fetches that a request would pay for rather than wait for its whole slack.
const FETCHES_A_SLACK: f64 = 1.0;
/// The part of a request that may lack room where it is sent at once.
const ROOM_RISK: f64 = 0.3;
/// Load of a worker that warms up, over what it would be: a slot in which this dispatcher may send to it is
/// its alone.
const SLOW_START_LOAD: f64 = 0.1;
/// The least part of a kind's reports that counts as showing room.
const MIN_ROOM_RATIO: f64 = 0.1;
/// The least estimate of room, in slots.
const MIN_ROOM: f64 = 0.5;

/// What placement looks at.
pub struct Placement<'a> {
    /// Settings.
    pub settings: &'a Settings,
    /// The time.
    pub now: Micros,
    /// Seed of the random choices of this moment.
    pub seed: u64,
    /// The workers.
    pub endpoints: &'a Endpoints,
    /// What is known of the classes.
    pub classes: &'a Table<ClassId, ClassHistory>,
    /// What is known of the kinds of worker.
    pub kinds: &'a KindHistories,
    /// What live weights tell.
    pub live_weights: &'a LiveWeights,
    /// What load reports tell together.
    pub reports: &'a ReportQuality,
    /// Which classes stay away from which workers.
    pub backoff: &'a ClassBackoff,
    /// Who this dispatcher is to workers that warm up.
    pub sender: Sender,
    /// What the fleet can do.
    pub fleet: FleetCapacity,
    /// Where loads come from.
    pub load_source: LoadSource,
    /// Whether workers are chosen at random, by their loads as weights.
    pub chooses_at_random: bool,
}

/// Where the loads of workers come from that are not ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// Load reports, of which only fresh ones count.
    FreshReports,
    /// Live weights: there are so many dispatchers that one sees little of a worker by itself.
    LiveWeights,
    /// Load reports of any age.
    EstimatedRoom,
    /// This dispatcher's own requests in flight.
    OwnRequests,
}

impl LoadSource {
    /// The source under these settings.
    pub fn of(settings: &Settings, reports: &ReportQuality) -> LoadSource {
        if reports.requires_fresh_reports(settings) {
            LoadSource::FreshReports
        } else if relies_on_live_weights(settings) {
            LoadSource::LiveWeights
        } else if reports.estimates_capacity(settings) {
            LoadSource::EstimatedRoom
        } else {
            LoadSource::OwnRequests
        }
    }
}

impl Placement<'_> {
    /// The worker with the least cost among the candidates, if any has room.
    pub fn select(
        &self,
        request: &RequestState,
        candidates: impl IntoIterator<Item = WorkerIndex>,
    ) -> Option<WorkerIndex> {
        let costs = candidates.into_iter().filter_map(|index| Some((self.cost(request, index)?, index)));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, index)| index)
    }

    /// The candidates that may be sent the request, whose load reports are too old, by cost.
    pub fn select_to_probe(&self, request: &RequestState, candidates: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
        let unknown = candidates.into_iter().filter(|&index| !self.is_known(index));
        let mut costs: Vec<(f64, WorkerIndex)> =
            unknown.filter_map(|index| Some((self.cost(request, index)?, index))).collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        costs.into_iter().map(|(_, index)| index).collect()
    }

    /// Whether a worker's load is known well enough to send to it.
    pub fn is_known(&self, index: WorkerIndex) -> bool {
        self.load_source != LoadSource::FreshReports || self.endpoints.workers[index].load.is_fresh(self.now)
    }

    /// All workers that have room for a small request of any class.
    pub fn with_room(&self) -> Vec<WorkerIndex> {
        let smallest = RequestState::default();
        let workers = self.endpoints.workers.iter();
        workers.filter(|(_, worker)| self.load(worker, &smallest).is_some()).map(|(index, _)| index).collect()
    }

    /// Cost of sending a request to a worker; none where it may not be sent there, or there is no room.
    fn cost(&self, request: &RequestState, index: WorkerIndex) -> Option<f64> {
        let worker = &self.endpoints.workers[index];
        if !self.is_eligible(request, worker) || self.backoff.excludes(request, index, self.now) {
            return None;
        }
        let price = self.price(worker);
        if self.chooses_at_random {
            let draw = -unit_hash(self.seed ^ worker.id.0 ^ self.now).ln();
            let draw = draw * (PRICE_IN_CHOICE * (price.zone + price.connection)).exp();
            return self.load(worker, request).map(|load| draw * load * load);
        }
        let tie_break = unit_hash(self.seed ^ worker.id.0) * TIE_BREAK;
        let crowding = if self.load_source == LoadSource::EstimatedRoom {
            0.0
        } else {
            worker.concurrency.rejection_ratio + f64::from(worker.concurrency.overdue)
        };
        let load = self.load(worker, request)? + crowding;
        let fetch = self.fetch_price(request, worker)?;
        Some(load * self.run_time_and_room(worker).0 + price.zone + price.connection + fetch + tie_break)
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
            self.endpoints.workers[first.worker].locality,
            worker.locality,
        )
    }

    fn price(&self, worker: &Worker) -> Price {
        let settings = self.settings;
        let is_near = worker.locality.zone == settings.zone;
        let has_connection =
            worker.last_used_at > 0 && self.now < worker.last_used_at + settings.idle_timeout_us;
        Price {
            zone: if is_near { 0.0 } else { settings.cross_zone_price * LOAD_A_PRICE },
            connection: if has_connection { 0.0 } else { settings.handshake_price * LOAD_A_PRICE },
        }
    }

    /// Price of a fetch, if the worker may lack the data that the request needs. All dispatchers rank workers
    /// in the same way by key (rendezvous hashing); a key goes down its ranks as far as room requires, so
    /// that a popular one has more workers. None where the request rather waits for a worker that surely
    /// holds the data.
    fn fetch_price(&self, request: &RequestState, worker: &Worker) -> Option<f64> {
        if request.affinity_key == 0 || self.settings.origin_fetch_price <= 0.0 {
            return Some(0.0);
        }
        let fetched = (unit_hash(request.affinity_key ^ mix(worker.id.0)) * KEY_SPREAD).min(1.0);
        let waits = fetched > FETCHES_A_SLACK * request.waited_ratio(self.now) + LIKELY_CACHED;
        if waits {
            None
        } else {
            Some(fetched * self.settings.origin_fetch_price * LOAD_A_PRICE)
        }
    }

    /// A worker's run times over the typical ones, and how often it has room. In a large fleet its kind
    /// stands in.
    fn run_time_and_room(&self, worker: &Worker) -> (f64, f64) {
        let settings = self.settings;
        if self.endpoints.is_large() && settings.reports_free_slots && !settings.reports_start {
            let kind = &self.kinds[worker.kind];
            (kind.relative_run_time, kind.free_slots_ratio.max(MIN_ROOM_RATIO))
        } else {
            (worker.relative_run_time.get(), 1.0)
        }
    }

    /// How full a worker would be with this request; none where it has no room for it.
    fn load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let is_ejected = worker.health.is_ejected();
        let requests_wait =
            worker.concurrency.overdue > 0 && !worker.health.is_unresponsive() && self.settings.reports_start;
        let warmth = self.warmth(worker);
        let is_barred = warmth < 1.0 && !self.slow_start_allows(worker, request);
        if requests_wait || worker.health.is_paused(self.now) || is_barred {
            return None;
        }
        if is_ejected {
            return self.probing_load(worker, request);
        }
        match self.load_source {
            LoadSource::FreshReports => self.reported_load(worker, request),
            LoadSource::LiveWeights => self.weighted_load(worker, request, warmth),
            LoadSource::EstimatedRoom => self.estimated_load(worker, request),
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

    /// Load of an ejected worker: it is sent one request at a time, which can be sent again if it is lost.
    /// Such a probe comes first, unless workers are chosen at random.
    fn probing_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let settings = self.settings;
        let is_idempotent = |class| settings.class(class).idempotency == Idempotency::Idempotent;
        let may_be_lost = is_idempotent(request.class) || !settings.offered_classes().any(is_idempotent);
        let load = if self.chooses_at_random { 1.0 / worker.weight.max(0.1) } else { 0.0 };
        let is_due = worker.concurrency.is_idle() && worker.health.is_probe_due(self.now);
        Some(load).filter(|_| may_be_lost && is_due)
    }

    /// Load by a fresh report; without one, a guess by which workers are probed.
    fn reported_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        if worker.load.is_fresh(self.now) {
            return Some(1.0 / (1.0 + worker.load.free_slots))
                .filter(|_| worker.load.free_slots >= MIN_FREE_SLOTS);
        }
        let load = self.slots_with(worker, request) / worker.concurrency.limit().max(MIN_LIMIT);
        Some((1.0 + load) / self.run_time_and_room(worker).1)
    }

    /// Load by live weights. Where the class that is served worst counts, better served ones leave it the
    /// full workers.
    fn weighted_load(&self, worker: &Worker, request: &RequestState, warmth: f64) -> Option<f64> {
        let settings = self.settings;
        let cores = self.live_weights.cores(worker.kind) * warmth;
        let served = self.classes[request.class].served_ratio;
        let is_worse = |class: ClassId| self.classes[class].served_ratio + CLASS_GAIN < served;
        let weight = if warmth < 1.0 { worker.weight / SLOW_START_LOAD } else { worker.weight };
        let load = (1.0 + worker.fleet_in_flight / cores) / weight;
        let is_full = worker.fleet_in_flight + 0.5 > cores;
        let yields = is_full && settings.worst_class_weight > 0.0 && settings.offered_classes().any(is_worse);
        Some(load).filter(|_| !yields)
    }

    /// Load by the room estimated from reports of any age: the older the report, the more like the fleet's
    /// mean it is. A request accepts less certain room the longer it has waited.
    fn estimated_load(&self, worker: &Worker, request: &RequestState) -> Option<f64> {
        let slots = self.slots_with(worker, request);
        let age_s = self.now.saturating_sub(worker.load.received_at) as f64 / SECOND as f64;
        let mean = self.reports.mean_capacity;
        let room = mean + (worker.concurrency.limit() - mean) / (1.0 + age_s);
        let risk = request.slots * (ROOM_RISK + request.waited_ratio(self.now));
        Some(slots / room.max(MIN_ROOM)).filter(|_| slots <= room + risk)
    }

    /// Whether live weights tell that requests of other dispatchers fill a worker, so that a request waits
    /// there for a reason.
    pub fn is_filled_by_others(&self, index: WorkerIndex) -> bool {
        let worker = &self.endpoints.workers[index];
        self.chooses_at_random && worker.fleet_in_flight >= self.live_weights.cores(worker.kind)
    }

    /// Whether a request would exceed this dispatcher's part of the budget of a worker that warms up.
    pub fn exceeds_slow_start(&self, index: WorkerIndex, request: &RequestState) -> bool {
        let worker = &self.endpoints.workers[index];
        self.warmth(worker) < 1.0 && !self.slow_start_allows(worker, request)
    }

    fn warmth(&self, worker: &Worker) -> f64 {
        slow_start::capacity_ratio(&self.settings.rules, worker.started_at, self.now)
    }

    fn slow_start_allows(&self, worker: &Worker, request: &RequestState) -> bool {
        let capacity_per_s = self.fleet.worker_capacity_per_s(self.settings, worker.weight);
        let start = WorkerStart { worker: worker.id, started_at: worker.started_at, capacity_per_s };
        let size = request.work_us / SECOND as f64 / self.fleet.mean_work_s;
        slow_start::may_send(&self.settings.rules, self.sender, start, worker.slow_start, self.now, size)
    }
}

/// Prices of sending to a worker, as load.
struct Price {
    zone: f64,
    connection: f64,
}
