//! Decisions of a dispatcher, in the order of a request's life.
//!
//! - Received and queued by tenant (`policy/receiving.rs`): [`latency_objective`],
//!   [`poison`](crate::poison).
//! - Admitted: [`admission`](crate::admission), [`rate_control`](crate::rate_control).
//! - Placed on a worker and sent (`policy/sending.rs`): [`placement`](crate::placement),
//!   [`slow_start`](crate::slow_start), [`in_flight_window`](crate::in_flight_window), [`probe`](crate::probe).
//! - In flight (`policy/in_flight.rs`): [`attempt_timeout`](crate::attempt_timeout),
//!   [`outlier`](crate::outlier).
//! - Attempt ended (`policy/ending.rs`): [`concurrency_limit`](crate::concurrency_limit),
//!   [`class_backoff`](crate::class_backoff), [`outlier`](crate::outlier), [`run_time`](crate::run_time).
//! - Answered, retried or given up (`policy/retrying.rs`): [`retry`](crate::retry),
//!   [`poison`](crate::poison).
//!
//! Beside it, `policy/upkeep.rs` takes endpoint lists and new settings and ends a period each second, in
//! which rates, quotas and the admission rate are set anew.

mod ending;
mod in_flight;
mod receiving;
mod retrying;
mod sending;
mod upkeep;

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

/// Interval at which room is looked for while requests wait: well under a run time, and cheap.
const ROOM_INTERVAL: Micros = 20_000;
/// Waiting requests without a worker after which an event's search ends, and the same where fetches are
/// charged for.
const MAX_MISSES: u32 = 4;
const MAX_MISSES_BY_KEY: u32 = 16;

/// What is due at some time; what is due at the same time is done in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    PeriodEnd,
    LookForRoom,
    WatchEndpoints,
    SendBy { id: RequestId },
    AttemptTimeout { id: RequestId, attempt: u32 },
}

/// Decisions of one dispatcher.
pub struct Policy {
    settings: Settings,
    rng: Rng,
    now: Micros,
    started_at: Micros,
    /// Whether the first event was handled.
    has_begun: bool,
    last_notice_at: Micros,
    timers: TimerQueue<Due>,
    looks_for_room: bool,

    requests: Requests,
    admission: Admission,
    rate: RateControl,
    gossip: Gossip,
    retries: RetryUsage,
    poison: PoisonDetector,

    classes: Table<ClassId, ClassHistory>,
    kinds: KindHistories,
    mean_work: MeanWork,

    endpoints: Endpoints,
    /// Workers with room at this moment, where fetches are charged for.
    with_room: Vec<WorkerIndex>,
    live_weights: LiveWeights,
    reports: ReportQuality,
    probes: ProbeBudget,
    saturation: Saturation,
    window: InFlightWindow,
    backoff: ClassBackoff,
    slow_start_violations: u64,
}

impl Policy {
    /// A dispatcher that knows its settings and nothing else.
    ///
    /// # Errors
    ///
    /// Settings that can't be used.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Policy, InvalidSettings> {
        settings.validate()?;
        let mut policy = Policy {
            settings: Settings::default(),
            rng: Rng::new(seed),
            now,
            started_at: now,
            has_begun: false,
            last_notice_at: 0,
            timers: TimerQueue::default(),
            looks_for_room: false,
            requests: Requests::default(),
            admission: Admission::new(now),
            rate: RateControl::new(now),
            gossip: Gossip::default(),
            retries: RetryUsage::default(),
            poison: PoisonDetector::default(),
            classes: Table::default(),
            kinds: KindHistories::default(),
            mean_work: MeanWork::default(),
            endpoints: Endpoints::default(),
            with_room: Vec::new(),
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
        policy.schedule(SECOND / 2 + phase, Due::PeriodEnd);
        Ok(policy)
    }

    /// Requests sent to workers that warm up beyond this dispatcher's part of their budget. Any is a fault.
    pub fn slow_start_violations(&self) -> u64 {
        self.slow_start_violations
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.has_begun, true) && self.settings.polls_endpoints {
            out.push(Action::WatchEndpoints);
        }
        if matches!(event, Event::TimerExpired) && !self.timers.expired(self.now) {
            return; // an earlier timer has replaced it
        }
        self.apply(event, out);
        if may_make_room(event) {
            self.admit();
            self.place(out);
        }
        if let Some(after_us) = self.timers.timer_to_set(self.now) {
            out.push(Action::SetTimer { after_us });
        }
    }

    fn apply(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::RequestReceived(request) => self.receive(request, out),
            Event::RequestAdopted { request, worker, since_sent_us, since_started_us } => {
                self.adopt(request, *worker, *since_sent_us, *since_started_us, out);
            }
            Event::Acknowledged { id, attempt } => self.acknowledged(*id, *attempt, out),
            Event::Started { id, attempt } => self.started(*id, *attempt, out),
            Event::Progress { id, attempt, .. } => self.progressed(*id, *attempt, out),
            Event::ResponseStreaming { id, attempt } => self.streaming(*id, *attempt),
            Event::AttemptEnded(end) => self.attempt_ended(end, out),
            Event::ClientDisconnected { id } => self.client_disconnected(*id, out),
            Event::EndpointList(endpoints) => self.update_endpoints(endpoints, true),
            Event::EndpointChanges(endpoints) => self.update_endpoints(endpoints, false),
            Event::EndpointWatchFailed => self.endpoint_watch_failed(out),
            Event::SettingsChanged { settings, inherits_from } => {
                self.configure((**settings).clone(), inherits_from);
            }
            Event::ProbeEnded { worker, responded, report } => self.probe_ended(*worker, *responded, *report),
            Event::PeerMessage { from, bytes } => {
                self.gossip.receive(*from, bytes, self.admission.tenants(), &self.settings, self.now);
            }
            Event::TimerExpired => self.do_what_is_due(out),
        }
    }

    fn do_what_is_due(&mut self, out: &mut Vec<Action>) {
        while let Some(due) = self.timers.pop_due(self.now) {
            match due {
                Due::PeriodEnd => self.end_period(out),
                Due::LookForRoom => self.looks_for_room = false,
                Due::WatchEndpoints => out.push(Action::WatchEndpoints),
                Due::SendBy { id } => self.send_by_passed(id, out),
                Due::AttemptTimeout { id, attempt } => self.check_attempt(id, attempt, out),
            }
        }
    }

    /// Lets requests out of their tenants' queues.
    fn admit(&mut self) {
        let limit = self.rate.limit_per_s();
        self.admission.admit(self.now, limit, self.saturation.is_saturated(), &mut self.requests);
    }

    /// Sends admitted requests, in their order, to workers with room; the others wait on.
    fn place(&mut self, out: &mut Vec<Action>) {
        let by_key = self.settings.origin_fetch_price > 0.0;
        if by_key {
            self.with_room = self.placement().with_room();
        }
        let max_misses = if by_key { MAX_MISSES_BY_KEY } else { MAX_MISSES };
        let (mut last, mut misses) = (Rank::default(), 0);
        while let Some(rank) = self.requests.next_waiting(last).filter(|_| misses < max_misses) {
            last = rank;
            let request = self.requests[rank.id];
            if request.attempts > 0 && !self.retries.allows(&self.settings, self.now) {
                self.give_up(rank.id, Reason::RetryBudgetExhausted, out);
                continue;
            }
            match self.select_worker(&request).filter(|&worker| self.placement().is_known(worker)) {
                Some(worker) => self.send(rank, worker, out),
                None => {
                    self.probe_workers(&request, out);
                    misses += 1;
                }
            }
        }
        let holds = self.requests.any_waiting() || self.admission.any_queued();
        if holds && !self.looks_for_room {
            self.looks_for_room = true;
            self.schedule(ROOM_INTERVAL, Due::LookForRoom);
        }
    }

    /// What is known of workers at this moment.
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
                served_per_s: self.rate.served_per_s(),
                mean_work_s: self.mean_work.seconds(),
                total_weight: self.endpoints.peak_weight(),
            },
            load_source: LoadSource::of(&self.settings, &self.reports),
            chooses_at_random: relies_on_live_weights(&self.settings),
        }
    }

    /// Passes a request's latency, over its objective, to rate control; once for each request.
    fn record_latency(&mut self, id: RequestId, latency: f64) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.latency_recorded) else {
            return;
        };
        request.latency_recorded = true;
        self.rate.record_latency(request.class, latency);
    }

    fn objective_us(&self, class: ClassId) -> f64 {
        latency_objective::objective_us(self.settings.class(class), &self.classes[class])
    }

    fn schedule(&mut self, after: Micros, due: Due) {
        self.timers.add(self.now + after, due);
    }

    /// Notifies on-call staff, once a second at most.
    fn notify(&mut self, notice: Notice, out: &mut Vec<Action>) {
        if self.now < self.last_notice_at + SECOND && self.last_notice_at > 0 {
            return;
        }
        self.last_notice_at = self.now;
        out.push(Action::Notify(notice));
    }
}

/// Whether requests may be admitted or placed after this event. Reports of running requests and of peers free
/// nothing.
fn may_make_room(event: &Event) -> bool {
    let is_report =
        matches!(event, Event::Acknowledged { .. } | Event::Started { .. } | Event::Progress { .. });
    !is_report && !matches!(event, Event::PeerMessage { .. })
}
