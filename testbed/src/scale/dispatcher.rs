//! The decision module of a dispatching node in emulated time, with simulated workers and clients: requests
//! arrive as a Poisson process, run for about a mean time and succeed, and the live weights of all workers
//! change each second.

use super::limits::{Limits, NotRun};
use super::list::ListBody;
use super::processor::timed;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use super::wire_size::WireSizeMeter;
use crate::allocation::Memory;
use dispatch_policy::api::{
    Action, AttemptEnd, ClassSettings, Event, Idempotency, Micros, Outcome, Request, RequestId, Rules,
    Settings, TenantSettings,
};
use dispatch_policy::Policy;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Delay from the decision to send to the worker's report that the request has started.
const START_DELAY: Micros = 5_000;
/// Interval between two versions of the list.
const LIST_CHANGE_INTERVAL: Micros = SECOND;
/// Deadline of a request, as a multiple of the mean run time.
const DEADLINE_RUN_TIMES: f64 = 20.0;
/// Price of a peer message, relative to a request's priority weight; low enough that the module sends to the
/// maximum number of siblings.
const PEER_MESSAGE_PRICE: f64 = 1e-6;
/// Quota of a tenant, as a multiple of its request rate.
const QUOTA_MARGIN: f64 = 1.25;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Load {
    /// Number of dispatching nodes in the fleet.
    pub nodes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Number of zones.
    pub zones: usize,
    /// Requests started per second, over all nodes.
    pub requests_per_s: f64,
    /// Mean run time of a request.
    pub run_time: Duration,
    /// Number of dispatchers that are measured.
    pub dispatchers: usize,
    /// Duration of the measurement of each dispatcher.
    pub duration: Duration,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Measures several dispatchers under this load; records the decision module and its messages to siblings.
pub fn measure(load: &Load, limits: &Limits, recorder: &mut Recorder) {
    let reports: Result<Vec<Report>, NotRun> =
        (0..load.dispatchers).map(|ordinal| Dispatcher::new(load, ordinal).run(limits)).collect();
    match reports {
        Ok(reports) => record(load, &reports, recorder),
        Err(reason) => {
            recorder.not_run(Role::Dispatcher, Condition::LiveWeights, &reason);
            recorder.not_run(Role::RatePublisher, Condition::Steady, &reason);
            recorder.not_run(Role::Discovery, Condition::LiveWeights, &reason);
        }
    }
}

fn record(load: &Load, reports: &[Report], recorder: &mut Recorder) {
    let over = |quantity, of: &dyn Fn(&Report) -> f64| {
        let value = Value::of(reports.iter().map(of).collect());
        value.map(|value| (quantity, value))
    };
    let seconds = load.duration.as_secs_f64();
    let dispatcher = [
        over(Quantity::StateBytes, &|r| r.state_bytes as f64),
        over(Quantity::ListStateBytes, &|r| r.list_state_bytes as f64),
        over(Quantity::ListBytes, &|r| r.list_bytes as f64 / seconds),
        over(Quantity::ListProcessorUs, &|r| micros(r.list_time) / r.lists.max(1) as f64),
        over(Quantity::RequestProcessorUs, &|r| micros(r.request_time) / r.sends.max(1) as f64),
        over(Quantity::ProcessorShare, &|r| (r.list_time + r.request_time).as_secs_f64() / seconds),
        over(Quantity::Sends, &|r| r.sends as f64 / seconds),
    ];
    let dispatcher = dispatcher.into_iter().flatten().collect();
    recorder.measured(Role::Dispatcher, Condition::LiveWeights, dispatcher);
    let per_message = WireSizeMeter::new().rates(load.tenants).bytes as f64;
    let publishers = [
        over(Quantity::MessagesOut, &|r| r.peer_messages as f64 / seconds),
        over(Quantity::BytesOut, &|r| r.peer_messages as f64 * per_message / seconds),
        // All nodes publish the same number of messages, so each receives as many as it sends.
        over(Quantity::MessagesIn, &|r| r.peer_messages as f64 / seconds),
        over(Quantity::BytesIn, &|r| r.peer_messages as f64 * per_message / seconds),
    ];
    recorder.measured(Role::RatePublisher, Condition::Steady, publishers.into_iter().flatten().collect());
    let to_all_nodes = over(Quantity::BytesOut, &|r| r.list_bytes as f64 / seconds * load.nodes as f64);
    let discovery: Figures = to_all_nodes.into_iter().collect();
    recorder.measured(Role::Discovery, Condition::LiveWeights, discovery);
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Counts and times of one dispatcher.
#[derive(Clone, Debug, Default)]
struct Report {
    state_bytes: usize,
    list_state_bytes: usize,
    list_bytes: usize,
    lists: u64,
    list_time: Duration,
    request_time: Duration,
    sends: u64,
    peer_messages: u64,
}

/// Event of the emulation, scheduled for a time.
#[derive(Clone, Copy, Debug)]
enum DueEvent {
    RequestArrives,
    ListChanged,
    TimerExpires,
    AttemptStarts(RequestId, u32),
    AttemptEnds(RequestId, u32),
}

/// Decision module with an emulated clock, requests, workers and peers.
struct Dispatcher<'a> {
    load: &'a Load,
    policy: Policy,
    rng: SmallRng,
    now: Micros,
    due: BTreeMap<(Micros, u64), DueEvent>,
    /// Number of events scheduled so far.
    scheduled: u64,
    next_request: RequestId,
    /// Number of the last attempt of each open request.
    attempts: HashMap<RequestId, u32>,
    list: ListBody,
    report: Report,
}

impl<'a> Dispatcher<'a> {
    fn new(load: &'a Load, ordinal: usize) -> Dispatcher<'a> {
        let mut rng = SmallRng::seed_from_u64(load.seed.wrapping_add(ordinal as u64));
        let settings = settings(load, ordinal);
        let policy = Policy::new(settings, rng.random(), 0).expect("the settings are valid");
        let list = ListBody::random(1, load.workers, load.zones, &mut rng);
        let mut dispatcher = Dispatcher {
            load,
            policy,
            rng,
            now: 0,
            due: BTreeMap::new(),
            scheduled: 0,
            next_request: 0,
            attempts: HashMap::new(),
            list,
            report: Report::default(),
        };
        dispatcher.schedule(0, DueEvent::ListChanged);
        dispatcher.schedule(SECOND, DueEvent::RequestArrives);
        dispatcher
    }

    /// Runs for the duration of the load, then measures the state by dropping it.
    fn run(mut self, limits: &Limits) -> Result<Report, NotRun> {
        let end = self.load.duration.as_micros() as Micros;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle_due(event);
            limits.check()?;
        }
        Ok(self.measure_state(limits.memory()))
    }

    fn measure_state(self, memory: Memory) -> Report {
        let Dispatcher { policy, list, mut report, .. } = self;
        report.state_bytes = memory.freed_by(|| drop(policy));
        report.list_state_bytes = memory.freed_by(|| drop(list));
        report
    }

    fn schedule(&mut self, delay: Micros, event: DueEvent) {
        self.scheduled += 1;
        self.due.insert((self.now + delay, self.scheduled), event);
    }

    fn handle_due(&mut self, event: DueEvent) {
        match event {
            DueEvent::RequestArrives => self.request_arrives(),
            DueEvent::ListChanged => self.change_list(),
            DueEvent::TimerExpires => self.handle(&Event::TimerExpired),
            DueEvent::AttemptStarts(id, attempt) => self.attempt_starts(id, attempt),
            DueEvent::AttemptEnds(id, attempt) => self.attempt_ends(id, attempt, Outcome::Success),
        }
    }

    fn request_arrives(&mut self) {
        let rate = self.load.requests_per_s / self.load.nodes as f64;
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / rate;
        self.schedule((gap * SECOND as f64) as Micros + 1, DueEvent::RequestArrives);
        self.next_request += 1;
        let run_time = self.load.run_time.as_micros() as f64;
        let request = Request {
            id: self.next_request,
            tenant: self.rng.random_range(0..self.load.tenants),
            time_left_us: (DEADLINE_RUN_TIMES * run_time) as Micros,
            slots: 1.0,
            ..Request::default()
        };
        self.handle(&Event::RequestReceived(request));
    }

    fn change_list(&mut self) {
        self.schedule(LIST_CHANGE_INTERVAL, DueEvent::ListChanged);
        let revision = self.report.lists + 1;
        let new_list = ListBody::random(revision, self.load.workers, self.load.zones, &mut self.rng);
        let body = new_list.to_json();
        drop(new_list);
        let mut actions = Vec::new();
        let (now, policy) = (self.now, &mut self.policy);
        let (list, time) = timed(|| {
            let list = ListBody::from_json(&body).expect("the body was serialized above");
            let endpoints = list.endpoints();
            let event = if list.complete {
                Event::EndpointList(endpoints)
            } else {
                Event::EndpointChanges(endpoints)
            };
            policy.handle(now, &event, &mut actions);
            list
        });
        self.list = list;
        self.report.lists += 1;
        self.report.list_bytes += body.len();
        self.report.list_time += time;
        self.execute_actions(actions);
    }

    fn attempt_starts(&mut self, id: RequestId, attempt: u32) {
        if self.attempts.get(&id) == Some(&attempt) {
            self.handle(&Event::Acknowledged { id, attempt });
            self.handle(&Event::Started { id, attempt });
        }
    }

    fn attempt_ends(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        if self.attempts.get(&id) != Some(&attempt) {
            return;
        }
        let is_final = outcome == Outcome::Success;
        if is_final {
            self.attempts.remove(&id);
        }
        let end = AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: is_final,
            not_attributable: false,
            report: None,
        };
        self.handle(&Event::AttemptEnded(end));
    }

    fn handle(&mut self, event: &Event) {
        let mut actions = Vec::new();
        let (now, policy) = (self.now, &mut self.policy);
        let ((), time) = timed(|| policy.handle(now, event, &mut actions));
        self.report.request_time += time;
        self.execute_actions(actions);
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, .. } => self.send(id),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.attempts.remove(&id);
                }
                Action::Cancel { id, attempt } => self.attempt_ends(id, attempt, Outcome::Cancelled),
                Action::SetTimer { after_us } => self.schedule(after_us, DueEvent::TimerExpires),
                Action::SendPeerMessage { bytes, .. } => self.exchange_peer_message(bytes),
                Action::Probe { .. }
                | Action::WatchEndpoints
                | Action::CloseIdleConnections { .. }
                | Action::Notify(_) => {}
            }
        }
    }

    fn send(&mut self, id: RequestId) {
        self.report.sends += 1;
        let attempt = self.attempts.get(&id).map_or(0, |last| last + 1);
        self.attempts.insert(id, attempt);
        let run_time = self.load.run_time.as_micros() as f64 * self.rng.random_range(0.5..1.5);
        self.schedule(START_DELAY, DueEvent::AttemptStarts(id, attempt));
        self.schedule(START_DELAY + run_time as Micros, DueEvent::AttemptEnds(id, attempt));
    }

    /// All nodes publish to as many others as this one does, so each message sent implies one received.
    fn exchange_peer_message(&mut self, bytes: Vec<u8>) {
        self.report.peer_messages += 1;
        let from = self.rng.random_range(0..self.load.nodes) as u32;
        self.handle(&Event::PeerMessage { from, bytes });
    }
}

fn settings(load: &Load, ordinal: usize) -> Settings {
    let run_time = load.run_time.as_micros() as Micros;
    let class = ClassSettings {
        objective_us: run_time,
        objective_per_work: 2.0,
        deadline_us: (DEADLINE_RUN_TIMES * run_time as f64) as Micros,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
        deduplication_window_us: 0,
        required_kind: None,
    };
    let quota_per_s = QUOTA_MARGIN * load.requests_per_s / load.tenants as f64;
    let tenant = TenantSettings { quota_per_s, share: 1.0 / load.tenants as f64 };
    Settings {
        classes: vec![class],
        tenants: vec![tenant; load.tenants],
        dispatchers: load.nodes as u32,
        ordinal: ordinal as u32,
        zone: (ordinal % load.zones) as u8,
        max_attempts: 3,
        can_cancel: true,
        peer_messages: true,
        peer_message_price: PEER_MESSAGE_PRICE,
        live_weights: true,
        acknowledges: true,
        reports_start: true,
        over_quota_weight: 0.2,
        clock_resolution_us: 1000,
        rules: Rules {
            poll_interval_us: 10 * SECOND,
            cold_capacity_ratio: 0.2,
            warm_up_us: 20 * SECOND,
            overload_multiple: 3.0,
            overload_window_us: SECOND,
            ..Rules::default()
        },
        ..Settings::default()
    }
}
