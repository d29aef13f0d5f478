//! Simulates workers, clients, other dispatchers and discovery around one policy: queues, restarts, draining,
//! worker faults, poison requests, failing endpoint lists and changes of settings. All random values derive
//! from the seed.

use super::property_harness::Rng;
use super::*;
use std::collections::{BTreeMap, VecDeque};

/// Network delay in each direction between the dispatcher and a worker.
const NETWORK_DELAY: Micros = MS;
/// Interval between changes of the endpoint list.
const LIST_CHANGE_INTERVAL: Micros = 700 * MS;
/// Interval between worker faults.
const FAULT_INTERVAL: Micros = 900 * MS;
/// Requests with this affinity key fail at every worker; those with the next higher key lose their
/// connection.
const POISON_KEY: u64 = 5;

/// Parameters of a simulated event stream.
pub struct SimulationPlan {
    pub seed: u64,
    pub workers: u64,
    pub zones: u64,
    /// Requests per second.
    pub rate: u64,
    /// Minimum number of events in the stream.
    pub events: usize,
    /// Whether workers acknowledge requests.
    pub acknowledges: bool,
    /// Whether responses contain load reports.
    pub reports: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Healthy,
    Hung,
    RefusesConnections,
    FailsRequests,
    RejectsRequests,
}

struct SimulatedWorker {
    endpoint: Endpoint,
    cores: usize,
    /// Work done per microsecond, in units of 1/16.
    speed: u64,
    idle_weight: f64,
    /// Requests of other dispatchers that occupy its cores.
    other_requests: usize,
    running: Vec<(RequestId, u32)>,
    queue: VecDeque<(RequestId, u32)>,
    health: Health,
}

#[derive(Clone, Copy)]
struct SimulatedRequest {
    class: usize,
    key: u64,
    work: Micros,
    deadline: Micros,
    /// Number of attempts sent, and the worker of the one in flight, if any.
    attempt: u32,
    worker_index: Option<usize>,
    answered: bool,
}

#[derive(Clone, Copy)]
enum Step {
    RequestArrival,
    TimerExpiry,
    WorkerReceives(RequestId, u32, usize),
    ProgressReport(RequestId, u32),
    Completion(RequestId, u32, usize),
    Deadline(RequestId),
    ClientDisconnect(RequestId),
    CancelArrival(RequestId, u32),
    ProbeEnd(usize),
    ListChange,
    WatchEnd,
    Fault,
    Recovery(usize),
    PeerMessage,
    SettingsChange,
}

/// The simulated fleet and its policy.
pub struct FleetSimulation {
    plan: SimulationPlan,
    settings: Settings,
    policy: Policy,
    rng: Rng,
    now: Micros,
    schedule: BTreeMap<(Micros, u64), Step>,
    scheduled_count: u64,
    workers: Vec<SimulatedWorker>,
    requests: BTreeMap<RequestId, SimulatedRequest>,
    next_id: RequestId,
    pub recording: Recording,
}

impl FleetSimulation {
    /// Runs the simulation and returns the recorded actions.
    pub fn run(plan: SimulationPlan, settings: Settings) -> Recording {
        let mut rng = Rng(plan.seed);
        let policy = Policy::new(settings.clone(), plan.seed, S).expect("valid settings");
        let workers = (0..plan.workers).map(|index| simulated_worker(index, plan.zones, &mut rng)).collect();
        let (schedule, requests, recording) = Default::default();
        let (now, scheduled_count, next_id) = (S, 0, 1);
        let mut simulation = FleetSimulation {
            plan,
            settings,
            policy,
            rng,
            now,
            schedule,
            scheduled_count,
            workers,
            requests,
            next_id,
            recording,
        };
        simulation.start();
        while simulation.recording.events() < simulation.plan.events {
            let Some(((due_at, _), step)) = simulation.schedule.pop_first() else { break };
            simulation.now = simulation.now.max(due_at);
            simulation.run_step(step);
        }
        let violations = simulation.policy.slow_start_violations();
        assert_eq!(violations, 0, "requests sent beyond the slow start budget of a cold worker");
        simulation.recording
    }

    fn start(&mut self) {
        let list = self.endpoint_list();
        self.handle(Event::EndpointList(list));
        for _ in 0..3 {
            let worker = self.workers[self.rng.below(self.plan.workers) as usize].endpoint.worker;
            self.adopt_request(worker);
        }
        self.adopt_request(WorkerId(9_999));
        for (delay, step) in [
            (0, Step::RequestArrival),
            (LIST_CHANGE_INTERVAL, Step::ListChange),
            (FAULT_INTERVAL, Step::Fault),
            (S, Step::PeerMessage),
            (4 * S, Step::SettingsChange),
        ] {
            self.schedule_after(delay, step);
        }
    }

    fn schedule_after(&mut self, delay: Micros, step: Step) {
        self.scheduled_count += 1;
        self.schedule.insert((self.now + delay, self.scheduled_count), step);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, &event, &mut actions);
        actions.iter().for_each(|action| self.carry_out_action(action));
        self.recording.add(self.now, actions);
    }

    fn worker_index(&self, worker: WorkerId) -> usize {
        self.workers.iter().position(|w| w.endpoint.worker == worker).expect("a listed worker")
    }

    fn carry_out_action(&mut self, action: &Action) {
        match action {
            Action::Send { id, worker } => {
                let index = self.worker_index(*worker);
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(!request.answered, "request {id} was sent after its final answer");
                request.attempt += 1;
                request.worker_index = Some(index);
                let attempt = request.attempt - 1;
                self.schedule_after(NETWORK_DELAY, Step::WorkerReceives(*id, attempt, index));
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(
                    !std::mem::replace(&mut request.answered, true),
                    "request {id} got a second final answer"
                );
            }
            Action::Cancel { id, attempt } => {
                self.schedule_after(NETWORK_DELAY, Step::CancelArrival(*id, *attempt))
            }
            Action::SetTimer { after_us } => self.schedule_after(*after_us, Step::TimerExpiry),
            Action::Probe { worker } => {
                let index = self.worker_index(*worker);
                self.schedule_after(2 * NETWORK_DELAY, Step::ProbeEnd(index));
            }
            Action::WatchEndpoints => self.schedule_after(300 * MS, Step::WatchEnd),
            Action::CloseIdleConnections { .. } | Action::SendPeerMessage { .. } | Action::Notify(_) => {}
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::RequestArrival => self.receive_request(),
            Step::TimerExpiry => self.handle(Event::TimerExpired),
            Step::WorkerReceives(id, attempt, index) => self.deliver_request(id, attempt, index),
            Step::ProgressReport(id, attempt) => self.report_progress(id, attempt),
            Step::Completion(id, attempt, index) => self.complete_request(id, attempt, index),
            Step::Deadline(id) => self.pass_deadline(id),
            Step::ClientDisconnect(id) => self.disconnect_client(id),
            Step::CancelArrival(id, attempt) => self.deliver_cancel(id, attempt),
            Step::ProbeEnd(index) => self.end_probe(index),
            Step::ListChange => self.change_list(),
            Step::WatchEnd => self.end_watch(),
            Step::Fault => self.cause_fault(),
            Step::Recovery(index) => self.recover(index),
            Step::PeerMessage => self.receive_peer_message(),
            Step::SettingsChange => self.change_settings(),
        }
    }

    fn random_request(&mut self) -> (Request, Micros) {
        let classes = self.settings.classes.len() as u64;
        let mut class = self.rng.below(classes) as usize;
        if self.settings.retired_classes.contains(&class) {
            class = classes as usize - 1;
        }
        let class_settings = &self.settings.classes[class];
        let (deadline, typical_work) =
            (class_settings.deadline_us, class_settings.objective_us.min(400 * MS) / 2);
        let work = (20 * MS).max(typical_work / 4 + self.rng.below(typical_work * 3 / 2));
        let is_retry = self.rng.below(12) == 0;
        let request = Request {
            id: self.next_id,
            class,
            tenant: self.rng.below(1 + self.settings.tenants.len() as u64) as usize,
            time_left_us: deadline - if is_retry && self.settings.unmarked_retries { 60 * MS } else { 0 },
            work_hint_us: (self.rng.below(2) == 0).then_some(work),
            is_retry: is_retry && !self.settings.unmarked_retries,
            affinity_key: self.rng.below(3).min(1) * self.rng.below(30),
            slots: self.rng.below(5) as f64 / 2.0,
            memory: if self.rng.below(9) == 0 { 2.5 } else { 0.0 },
        };
        self.next_id += 1;
        (request, work)
    }

    fn track(&mut self, request: &Request, work: Micros, attempt: u32, worker_index: Option<usize>) {
        let Request { id, class, affinity_key: key, time_left_us, .. } = *request;
        let deadline = self.now + time_left_us;
        let request = SimulatedRequest { class, key, work, deadline, attempt, worker_index, answered: false };
        self.requests.insert(id, request);
        self.schedule_after(time_left_us, Step::Deadline(id));
        if self.rng.below(40) == 0 {
            let delay = self.rng.below(time_left_us);
            self.schedule_after(delay, Step::ClientDisconnect(id));
        }
    }

    fn receive_request(&mut self) {
        let rate_factor = if self.now / (3 * S) % 3 == 2 { 3 } else { 1 };
        let max_gap = 2 * S / self.plan.rate / rate_factor;
        let delay = self.rng.below(max_gap);
        self.schedule_after(delay, Step::RequestArrival);
        let (request, work) = self.random_request();
        self.track(&request, work, 0, None);
        self.handle(Event::RequestReceived(request));
    }

    fn adopt_request(&mut self, worker: WorkerId) {
        let (request, work) = self.random_request();
        let index = self.workers.iter().position(|w| w.endpoint.worker == worker);
        self.track(&request, work, 1, index);
        let since_sent_us = self.rng.below(300 * MS);
        let since_started_us = (self.rng.below(2) == 0).then_some(since_sent_us / 2);
        let max_attempts = self.settings.max_attempts;
        self.handle(Event::RequestAdopted { request, worker, max_attempts, since_sent_us, since_started_us });
        if let Some(index) = index {
            self.workers[index].running.push((request.id, 0));
            self.schedule_after(work, Step::Completion(request.id, 0, index));
        }
    }

    /// Whether this attempt is in flight.
    fn is_in_flight(&self, id: RequestId, attempt: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.worker_index.is_some() && request.attempt == attempt + 1)
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome, not_attributable: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.attempt == attempt + 1)
        else {
            return;
        };
        let Some(index) = request.worker_index.take() else { return };
        request.answered |= outcome == Outcome::Success;
        let request_done = request.answered;
        let report = matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::Error)
            .then(|| self.load_report(index))
            .filter(|_| self.plan.reports);
        self.remove_request(index, id);
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done,
            not_attributable,
            report,
        }));
        self.start_queued(index);
    }

    fn remove_request(&mut self, index: usize, id: RequestId) {
        self.workers[index].running.retain(|attempt| attempt.0 != id);
        self.workers[index].queue.retain(|attempt| attempt.0 != id);
    }

    fn load_report(&mut self, index: usize) -> LoadReport {
        let worker = &self.workers[index];
        let occupied = worker.running.len() + worker.other_requests;
        let free_cores = worker.cores.saturating_sub(occupied) as f64;
        LoadReport {
            free_slots: Some(free_cores),
            free_memory: Some(free_cores + 0.25),
            queued: (index != 0 && index != 3).then_some(worker.queue.len() as f64),
            in_flight: Some((occupied + worker.queue.len()) as f64),
        }
    }

    fn deliver_request(&mut self, id: RequestId, attempt: u32, index: usize) {
        if !self.is_in_flight(id, attempt) {
            return;
        }
        let draw = self.rng.below(150);
        match self.workers[index].health {
            _ if draw == 0 => return self.end_attempt(id, attempt, Outcome::NotSent, false),
            _ if draw == 1 => return self.end_attempt(id, attempt, Outcome::ConnectionLost, true),
            _ if draw == 2 => return self.end_attempt(id, attempt, Outcome::ConnectFailed, true),
            Health::Hung => return,
            Health::RefusesConnections => {
                return self.end_attempt(id, attempt, Outcome::ConnectFailed, false)
            }
            Health::FailsRequests => return self.end_attempt(id, attempt, Outcome::Error, false),
            Health::RejectsRequests => return self.end_attempt(id, attempt, Outcome::Rejected, false),
            Health::Healthy => {}
        }
        if self.workers[index].queue.len() > 2 * self.workers[index].cores {
            return self.end_attempt(id, attempt, Outcome::Rejected, false);
        }
        if self.plan.acknowledges && draw > 5 {
            self.handle(Event::Acknowledged { id, attempt });
        }
        self.workers[index].queue.push_back((id, attempt));
        self.start_queued(index);
    }

    /// Starts queued requests while the worker has free cores.
    fn start_queued(&mut self, index: usize) {
        while self.workers[index].running.len() + self.workers[index].other_requests
            < self.workers[index].cores
            && self.workers[index].health == Health::Healthy
        {
            let Some((id, attempt)) = self.workers[index].queue.pop_front() else { return };
            if !self.is_in_flight(id, attempt) {
                continue;
            }
            self.workers[index].running.push((id, attempt));
            let run_time = self.requests[&id].work * 16 / self.workers[index].speed;
            self.schedule_after(run_time, Step::Completion(id, attempt, index));
            if self.settings.reports_start {
                self.handle(Event::Started { id, attempt });
            }
            if self.settings.progress_interval_us > 0 {
                self.schedule_after(self.settings.progress_interval_us, Step::ProgressReport(id, attempt));
            }
        }
    }

    fn report_progress(&mut self, id: RequestId, attempt: u32) {
        let Some(index) = self.requests.get(&id).and_then(|request| request.worker_index) else { return };
        let is_running = self.workers[index].running.contains(&(id, attempt));
        if is_running && self.workers[index].health == Health::Healthy {
            self.handle(Event::Progress { id, attempt, done: 0.5 });
            self.schedule_after(self.settings.progress_interval_us, Step::ProgressReport(id, attempt));
        }
    }

    fn complete_request(&mut self, id: RequestId, attempt: u32, index: usize) {
        if !self.is_in_flight(id, attempt) || !self.workers[index].running.contains(&(id, attempt)) {
            return;
        }
        if self.workers[index].health == Health::Hung {
            return self.schedule_after(500 * MS, Step::Completion(id, attempt, index));
        }
        let draw = self.rng.below(80);
        if draw == 0 {
            self.handle(Event::ResponseStreaming { id, attempt });
            return self.schedule_after(600 * MS, Step::Completion(id, attempt, index));
        }
        let outcome = match self.requests[&id].key {
            POISON_KEY => Outcome::Error,
            key if key == POISON_KEY + 1 => Outcome::ConnectionLost,
            _ if draw == 1 => Outcome::Error,
            _ if draw == 2 => Outcome::ConnectionLost,
            _ => Outcome::Success,
        };
        self.end_attempt(id, attempt, outcome, false);
    }

    fn pass_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).copied() else { return };
        debug_assert!(self.now >= request.deadline);
        if request.worker_index.is_some() {
            self.end_attempt(id, request.attempt - 1, Outcome::Timeout, false);
        }
        self.requests.remove(&id);
    }

    fn disconnect_client(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.answered) else { return };
        request.answered = true;
        self.handle(Event::ClientDisconnected { id });
    }

    fn deliver_cancel(&mut self, id: RequestId, attempt: u32) {
        if self.is_in_flight(id, attempt) {
            self.end_attempt(id, attempt, Outcome::Cancelled, false);
        }
    }

    fn end_probe(&mut self, index: usize) {
        let responded = matches!(self.workers[index].health, Health::Healthy | Health::RejectsRequests);
        let report = responded.then(|| self.load_report(index));
        let worker = self.workers[index].endpoint.worker;
        self.handle(Event::ProbeEnded { worker, responded, report });
    }

    /// The current endpoint list, with live weights if the settings enable them.
    fn endpoint_list(&mut self) -> Vec<Endpoint> {
        let live = self.settings.live_weights;
        let dispatchers = u64::from(self.settings.dispatchers);
        for worker in &mut self.workers {
            worker.other_requests = if dispatchers > 1 {
                (self.rng.below(worker.cores as u64 + 1) * self.rng.below(2)) as usize
            } else {
                0
            };
            let in_flight = worker.other_requests + worker.running.len() + worker.queue.len();
            let weight = worker.idle_weight / (1.0 + in_flight as f64 / worker.cores as f64);
            worker.endpoint.weight = if live { (weight * 100.0).round() / 100.0 } else { worker.idle_weight };
        }
        self.workers.iter().map(|worker| worker.endpoint.clone()).collect()
    }

    fn change_list(&mut self) {
        self.schedule_after(LIST_CHANGE_INTERVAL, Step::ListChange);
        let index = self.rng.below(self.plan.workers) as usize;
        let (now, kind) = (self.now, self.rng.below(8));
        let endpoint = &mut self.workers[index].endpoint;
        let restarts = endpoint.availability == Availability::Gone || kind == 0;
        match kind {
            _ if restarts => {
                (endpoint.started_at, endpoint.availability) = (now - 50 * MS, Availability::Ready)
            }
            1 | 2 => endpoint.availability = Availability::Draining,
            3 => endpoint.availability = Availability::Gone,
            _ => endpoint.availability = Availability::Ready,
        }
        if restarts {
            self.workers[index].health = Health::Healthy;
            let lost: Vec<_> = self.workers[index].running.drain(..).collect();
            lost.into_iter()
                .for_each(|(id, attempt)| self.end_attempt(id, attempt, Outcome::ConnectionLost, false));
        }
        let list = self.endpoint_list();
        if self.rng.below(6) == 0 {
            return self.handle(Event::EndpointWatchFailed);
        }
        match self.rng.below(4) {
            0 => self.handle(Event::EndpointList(list)),
            1 => self.handle(Event::EndpointChanges(vec![list[index].clone()])),
            2 => {
                self.handle(Event::EndpointList(list.into_iter().filter(|e| e.worker.0 % 11 != 3).collect()))
            }
            _ => self.handle(Event::EndpointChanges(list)),
        }
        (0..self.workers.len()).for_each(|index| self.start_queued(index));
    }

    fn end_watch(&mut self) {
        if self.rng.below(3) == 0 {
            return self.handle(Event::EndpointWatchFailed);
        }
        let list = self.endpoint_list();
        self.handle(Event::EndpointList(list));
    }

    fn cause_fault(&mut self) {
        self.schedule_after(FAULT_INTERVAL, Step::Fault);
        let index = self.rng.below(self.plan.workers) as usize;
        let faults =
            [Health::Hung, Health::RefusesConnections, Health::FailsRequests, Health::RejectsRequests];
        self.workers[index].health = faults[self.rng.below(4) as usize];
        let delay = 300 * MS + self.rng.below(3 * S);
        self.schedule_after(delay, Step::Recovery(index));
    }

    fn recover(&mut self, index: usize) {
        self.workers[index].health = Health::Healthy;
        self.start_queued(index);
    }

    fn receive_peer_message(&mut self) {
        self.schedule_after(S / 2, Step::PeerMessage);
        if !self.settings.peer_messages {
            return;
        }
        let from = self.rng.below(u64::from(self.settings.dispatchers) + 1) as u32;
        let bytes =
            (0..2 * self.settings.tenants.len()).map(|i| (i % 2 * self.rng.below(256) as usize) as u8);
        let bytes = bytes.collect();
        self.handle(Event::PeerMessage { from, bytes });
    }

    /// Starts a new membership epoch with one more dispatcher. The first time, a class with other rules
    /// replaces the first one.
    fn change_settings(&mut self) {
        self.schedule_after(4 * S, Step::SettingsChange);
        self.settings.membership_epoch += 1;
        self.settings.dispatchers += 1;
        self.settings.max_senders = self.settings.dispatchers + 1;
        let mut inherits_from = vec![None; self.settings.classes.len()];
        if self.settings.retired_classes.is_empty() {
            let replacement = ClassSettings {
                priority_weight: 3.0,
                objective_per_work: 1.0,
                ..self.settings.classes[0].clone()
            };
            self.settings.classes.push(replacement);
            self.settings.retired_classes.push(0);
            inherits_from.push(Some(0));
        }
        let settings = Box::new(self.settings.clone());
        self.handle(Event::SettingsChanged { settings, inherits_from });
    }
}

fn simulated_worker(index: u64, zones: u64, rng: &mut Rng) -> SimulatedWorker {
    let kind = index % 3;
    let cores = [2, 4, 6][kind as usize];
    let speed = [12, 16, 20][kind as usize] + rng.below(3);
    let idle_weight = [1.6, 4.0, 7.2][kind as usize];
    let started_at = if rng.below(5) == 0 { S / 2 } else { 0 };
    let mut endpoint = ready_endpoint(index + 1, (index % zones) as u8, (index % 5) as u32);
    (endpoint.kind, endpoint.weight, endpoint.started_at) = (kind as u8, idle_weight, started_at);
    let (running, queue) = Default::default();
    SimulatedWorker {
        endpoint,
        cores,
        speed,
        idle_weight,
        other_requests: 0,
        running,
        queue,
        health: Health::Healthy,
    }
}
