//! Decisions of one dispatcher. Each stage of request processing uses these modules:
//!
//! - Received and queued by tenant (`policy/receiving.rs`): [`latency_objective`], [`poison`](crate::poison).
//! - Admitted: [`admission`](crate::admission), [`rate_control`](crate::rate_control).
//! - Assigned to a worker and sent (`policy/sending.rs`): [`placement`](crate::placement),
//!   [`slow_start`](crate::slow_start), [`in_flight_window`](crate::in_flight_window),
//!   [`probe`](crate::probe).
//! - In flight (`policy/in_flight.rs`): [`attempt_timeout`](crate::attempt_timeout),
//!   [`outlier`](crate::outlier).
//! - Attempt ended (`policy/completion.rs`): [`concurrency_limit`](crate::concurrency_limit),
//!   [`class_backoff`](crate::class_backoff), [`outlier`](crate::outlier), [`run_time`](crate::run_time).
//! - Answered, retried or given up (`policy/retrying.rs`): [`retry`](crate::retry),
//!   [`poison`](crate::poison).
//!
//! `policy/maintenance.rs` applies endpoint lists and new settings, and updates rates, quotas and the
//! admission rate at the end of each one-second period.

mod completion;
mod in_flight;
mod maintenance;
mod receiving;
mod retrying;
mod sending;

use crate::admission::Admission;
use crate::api::{Action, Event, InvalidSettings, Micros, Notice, Reason, RequestId, Settings, SECOND};
use crate::class_backoff::ClassBackoff;
use crate::concurrency_limit::Saturation;
use crate::endpoints::{relies_on_live_weights, Endpoints};
use crate::gossip::Gossip;
use crate::in_flight_window::InFlightWindow;
use crate::latency_objective;
use crate::live_weights::LiveWeights;
use crate::load_report::ReportQuality;
use crate::placement::{LoadSource, Placement};
use crate::poison::PoisonDetector;
use crate::probe::ProbeBudget;
use crate::rate_control::RateControl;
use crate::requests::{Rank, Requests};
use crate::retry::RetryUsage;
use crate::rng::Rng;
use crate::run_time::{ClassHistory, KindHistories, MeanWork};
use crate::slow_start::{FleetCapacity, Sender};
use crate::table::{ClassId, Table, WorkerIndex};
use crate::timer_queue::TimerQueue;
use receiving::AdoptedAttempt;

/// Interval of capacity checks while requests are pending: well below a typical run time, and cheap.
const CAPACITY_CHECK_INTERVAL: Micros = 20_000;
/// Unplaced requests after which the search for workers stops for this event; the second limit applies where
/// fetches have a price.
const MAX_UNPLACED: u32 = 4;
const MAX_UNPLACED_WITH_FETCH_PRICE: u32 = 16;

/// Timer types. Timers due at the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    PeriodEnd,
    CheckCapacity,
    WatchEndpoints,
    SendBy { id: RequestId },
    AttemptTimeout { id: RequestId, attempt: u32 },
}

/// Makes the decisions of one dispatcher.
pub struct Policy {
    settings: Settings,
    rng: Rng,
    now: Micros,
    started_at: Micros,
    first_event_handled: bool,
    last_notified_at: Micros,
    timers: TimerQueue<TimerKind>,
    capacity_check_scheduled: bool,

    requests: Requests,
    admission: Admission,
    rate_control: RateControl,
    gossip: Gossip,
    retries: RetryUsage,
    poison: PoisonDetector,

    classes: Table<ClassId, ClassHistory>,
    kinds: KindHistories,
    mean_work: MeanWork,

    endpoints: Endpoints,
    /// Workers with capacity at the current time; only filled where fetches have a price.
    workers_with_capacity: Vec<WorkerIndex>,
    live_weights: LiveWeights,
    reports: ReportQuality,
    probes: ProbeBudget,
    saturation: Saturation,
    window: InFlightWindow,
    backoff: ClassBackoff,
    slow_start_violations: u64,
}

impl Policy {
    /// Creates a dispatcher's policy from its settings, with no other state.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Policy, InvalidSettings> {
        settings.validate()?;
        let mut policy = Policy {
            settings: Settings::default(),
            rng: Rng::new(seed),
            now,
            started_at: now,
            first_event_handled: false,
            last_notified_at: 0,
            timers: TimerQueue::default(),
            capacity_check_scheduled: false,
            requests: Requests::default(),
            admission: Admission::new(now),
            rate_control: RateControl::new(now),
            gossip: Gossip::default(),
            retries: RetryUsage::default(),
            poison: PoisonDetector::default(),
            classes: Table::default(),
            kinds: KindHistories::default(),
            mean_work: MeanWork::default(),
            endpoints: Endpoints::default(),
            workers_with_capacity: Vec::new(),
            live_weights: LiveWeights::default(),
            reports: ReportQuality::default(),
            probes: ProbeBudget::default(),
            saturation: Saturation::default(),
            window: InFlightWindow::default(),
            backoff: ClassBackoff::default(),
            slow_start_violations: 0,
        };
        policy.configure(settings, &[]);
        let phase = policy.rng.below(SECOND);
        policy.schedule(SECOND / 2 + phase, TimerKind::PeriodEnd);
        Ok(policy)
    }

    /// Number of requests sent to warming-up workers beyond this dispatcher's share of their slow-start
    /// budget. Any value above 0 indicates a bug.
    pub fn slow_start_violations(&self) -> u64 {
        self.slow_start_violations
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.first_event_handled, true) && self.settings.polls_endpoints {
            actions.push(Action::WatchEndpoints);
        }
        if matches!(event, Event::TimerExpired) && !self.timers.expired(self.now) {
            return; // superseded by an earlier timer
        }
        self.apply_event(event, actions);
        if may_free_capacity(event) {
            self.admit();
            self.place_waiting(actions);
        }
        if let Some(after_us) = self.timers.timer_to_set(self.now) {
            actions.push(Action::SetTimer { after_us });
        }
    }

    fn apply_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::RequestReceived(request) => self.receive(request, actions),
            Event::RequestAdopted { request, worker, max_attempts, since_sent_us, since_started_us } => {
                let sent = AdoptedAttempt {
                    worker: *worker,
                    since_sent_us: *since_sent_us,
                    since_started_us: *since_started_us,
                };
                self.adopt(request, *max_attempts, sent, actions);
            }
            Event::Acknowledged { id, attempt } => self.acknowledged(*id, *attempt, actions),
            Event::Started { id, attempt } => self.started(*id, *attempt, actions),
            Event::Progress { id, attempt, .. } => self.progressed(*id, *attempt, actions),
            Event::ResponseStreaming { id, attempt } => self.streaming(*id, *attempt),
            Event::AttemptEnded(end) => self.attempt_ended(end, actions),
            Event::ClientDisconnected { id } => self.client_disconnected(*id, actions),
            Event::EndpointList(endpoints) => self.update_endpoints(endpoints, true),
            Event::EndpointChanges(endpoints) => self.update_endpoints(endpoints, false),
            Event::EndpointWatchFailed => self.endpoint_watch_failed(actions),
            Event::SettingsChanged { settings, inherits_from } => {
                self.configure((**settings).clone(), inherits_from);
            }
            Event::ProbeEnded { worker, responded, report } => self.probe_ended(*worker, *responded, *report),
            Event::PeerMessage { from, bytes } => {
                self.gossip.receive(*from, bytes, self.admission.tenants(), &self.settings, self.now);
            }
            Event::TimerExpired => self.run_due_timers(actions),
        }
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                TimerKind::PeriodEnd => self.end_period(actions),
                TimerKind::CheckCapacity => self.capacity_check_scheduled = false,
                TimerKind::WatchEndpoints => actions.push(Action::WatchEndpoints),
                TimerKind::SendBy { id } => self.send_by_passed(id, actions),
                TimerKind::AttemptTimeout { id, attempt } => self.check_attempt_timeout(id, attempt, actions),
            }
        }
    }

    /// Admits requests from the tenants' queues.
    fn admit(&mut self) {
        let limit = self.rate_control.limit_per_s();
        self.admission.admit(self.now, limit, self.saturation.is_saturated(), &mut self.requests);
    }

    /// Sends waiting requests, in rank order, to workers with capacity; the others keep waiting.
    fn place_waiting(&mut self, actions: &mut Vec<Action>) {
        let prices_fetches = self.settings.origin_fetch_price > 0.0;
        if prices_fetches {
            self.workers_with_capacity = self.placement().workers_with_capacity();
        }
        let max_unplaced = if prices_fetches { MAX_UNPLACED_WITH_FETCH_PRICE } else { MAX_UNPLACED };
        let (mut previous, mut unplaced) = (Rank::default(), 0);
        while let Some(rank) = self.requests.next_waiting(previous).filter(|_| unplaced < max_unplaced) {
            previous = rank;
            let request = self.requests[rank.id];
            if request.attempts > 0 && !self.retries.allows(&self.settings, self.now) {
                self.give_up(rank.id, Reason::RetryBudgetExhausted, actions);
                continue;
            }
            match self.select_worker(&request).filter(|&worker| self.placement().has_known_load(worker)) {
                Some(worker) => self.send(rank, worker, actions),
                None => {
                    self.probe_workers(&request, actions);
                    unplaced += 1;
                }
            }
        }
        let has_pending = self.requests.any_waiting() || self.admission.any_queued();
        if has_pending && !self.capacity_check_scheduled {
            self.capacity_check_scheduled = true;
            self.schedule(CAPACITY_CHECK_INTERVAL, TimerKind::CheckCapacity);
        }
    }

    /// Returns a view of the current worker state for placement decisions.
    fn placement(&self) -> Placement<'_> {
        Placement {
            settings: &self.settings,
            now: self.now,
            seed: self.rng.state(),
            endpoints: &self.endpoints,
            classes: &self.classes,
            kinds: &self.kinds,
            live_weights: &self.live_weights,
            reports: &self.reports,
            backoff: &self.backoff,
            sender: Sender::of(&self.settings, self.started_at),
            fleet: FleetCapacity {
                served_per_s: self.rate_control.served_per_s(),
                mean_work_s: self.mean_work.seconds(),
                total_weight: self.endpoints.peak_weight(),
            },
            load_source: LoadSource::of(&self.settings, &self.reports),
            chooses_at_random: relies_on_live_weights(&self.settings),
        }
    }

    /// Reports a request's latency, relative to its objective, to rate control; at most once per request.
    fn record_latency(&mut self, id: RequestId, latency: f64) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.latency_recorded) else {
            return;
        };
        request.latency_recorded = true;
        self.rate_control.record_latency(request.class, latency);
    }

    fn objective_us(&self, class: ClassId) -> f64 {
        latency_objective::objective_us(self.settings.class(class), &self.classes[class])
    }

    fn schedule(&mut self, delay: Micros, timer: TimerKind) {
        self.add_timer(self.now + delay, timer);
    }

    /// Adds a timer; removes those of ended requests once there are many.
    fn add_timer(&mut self, at: Micros, timer: TimerKind) {
        if self.timers.needs_pruning() {
            let requests = &self.requests;
            self.timers.prune(|timer| match timer {
                TimerKind::SendBy { id } | TimerKind::AttemptTimeout { id, .. } => {
                    requests.get(*id).is_some()
                }
                TimerKind::PeriodEnd | TimerKind::CheckCapacity | TimerKind::WatchEndpoints => true,
            });
        }
        self.timers.add(at, timer);
    }

    /// Notifies on-call staff, at most once per second.
    fn notify(&mut self, notice: Notice, actions: &mut Vec<Action>) {
        if self.now < self.last_notified_at + SECOND && self.last_notified_at > 0 {
            return;
        }
        self.last_notified_at = self.now;
        actions.push(Action::Notify(notice));
    }
}

/// Returns whether this event can allow further requests to be admitted or placed. Progress reports of
/// running requests and peer messages free no capacity.
fn may_free_capacity(event: &Event) -> bool {
    let is_report =
        matches!(event, Event::Acknowledged { .. } | Event::Started { .. } | Event::Progress { .. });
    !is_report && !matches!(event, Event::PeerMessage { .. })
}
