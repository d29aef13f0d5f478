//! A simulated fleet of workers, clients, other dispatchers and a discovery service round one policy: queues,
//! restarts, drains, faults of workers, requests that break them, lists that fail, settings that change. Every
//! figure is drawn from the seed.

use super::property_harness::Rng;
use super::*;
use std::collections::{BTreeMap, VecDeque};

/// The time from a decision to its arrival at a worker, and back.
const WAY: Micros = MS;
/// Between two steps of the discovery service.
const LIST_PERIOD: Micros = 700 * MS;
/// Between two faults of workers.
const FAULT_PERIOD: Micros = 900 * MS;
/// Requests with this key fail at every worker; ones with the next break their connection.
const BAD_KEY: u64 = 5;

/// What a stream consists of.
pub struct Plan {
    pub seed: u64,
    pub workers: u64,
    pub zones: u64,
    /// Requests a second.
    pub rate: u64,
    /// How many events the stream has at least.
    pub events: usize,
    /// Whether workers acknowledge requests, and say what runs there.
    pub acknowledges: bool,
    /// Whether answers carry load reports.
    pub reports: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Well,
    Hung,
    Refuses,
    Fails,
    TurnsAway,
}

struct Machine {
    entry: Endpoint,
    cores: usize,
    /// Work done in a microsecond, in 16ths.
    speed: u64,
    size: f64,
    /// Requests of other dispatchers that it holds.
    others: usize,
    running: Vec<(RequestId, u32)>,
    queue: VecDeque<(RequestId, u32)>,
    health: Health,
}

#[derive(Clone, Copy)]
struct Job {
    class: usize,
    key: u64,
    work: Micros,
    deadline: Micros,
    /// The last attempt, and where it is while it is out.
    attempt: u32,
    at: Option<usize>,
    answered: bool,
}

#[derive(Clone, Copy)]
enum Step {
    Arrival,
    Timer,
    Reaches(RequestId, u32, usize),
    Note(RequestId, u32),
    Done(RequestId, u32, usize),
    Deadline(RequestId),
    Leaves(RequestId),
    CallOff(RequestId, u32),
    Probe(usize),
    List,
    Watch,
    Fault,
    Recovery(usize),
    Peer,
    NewSettings,
}

/// The simulation.
pub struct Fleet {
    plan: Plan,
    set: Settings,
    policy: Policy,
    rng: Rng,
    now: Micros,
    steps: BTreeMap<(Micros, u64), Step>,
    planned: u64,
    machines: Vec<Machine>,
    jobs: BTreeMap<RequestId, Job>,
    next: RequestId,
    pub recorded: Recording,
}

impl Fleet {
    /// Runs a stream and returns its actions.
    pub fn run(plan: Plan, set: Settings) -> Recording {
        let mut rng = Rng(plan.seed);
        let policy = Policy::new(set.clone(), plan.seed, S).expect("valid settings");
        let machines = (0..plan.workers).map(|i| machine(i, plan.zones, &mut rng)).collect();
        let (steps, jobs, recorded) = Default::default();
        let (now, planned, next) = (S, 0, 1);
        let mut fleet = Fleet { plan, set, policy, rng, now, steps, planned, machines, jobs, next, recorded };
        fleet.start();
        while fleet.recorded.events() < fleet.plan.events {
            let Some(((at, _), step)) = fleet.steps.pop_first() else { break };
            fleet.now = fleet.now.max(at);
            fleet.step(step);
        }
        let faults = fleet.policy.slow_start_violations();
        assert_eq!(faults, 0, "jobs beyond the budget of a cold worker");
        fleet.recorded
    }

    fn start(&mut self) {
        let list = self.list();
        self.tell(Event::EndpointList(list));
        for _ in 0..3 {
            let worker = self.machines[self.rng.below(self.plan.workers) as usize].entry.worker;
            self.adopt(worker);
        }
        self.adopt(WorkerId(9_999));
        for (after, step) in [
            (0, Step::Arrival),
            (LIST_PERIOD, Step::List),
            (FAULT_PERIOD, Step::Fault),
            (S, Step::Peer),
            (4 * S, Step::NewSettings),
        ] {
            self.plan(after, step);
        }
    }

    fn plan(&mut self, after: Micros, step: Step) {
        self.planned += 1;
        self.steps.insert((self.now + after, self.planned), step);
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.policy.handle(self.now, &event, &mut out);
        out.iter().for_each(|action| self.carry_out(action));
        self.recorded.add(self.now, out);
    }

    fn index(&self, worker: WorkerId) -> usize {
        self.machines.iter().position(|m| m.entry.worker == worker).expect("a listed worker")
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Send { id, worker } => {
                let at = self.index(*worker);
                let job = self.jobs.get_mut(id).expect("a known request");
                assert!(!job.answered, "sent after its answer");
                job.attempt += 1;
                job.at = Some(at);
                let attempt = job.attempt - 1;
                self.plan(WAY, Step::Reaches(*id, attempt, at));
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let job = self.jobs.get_mut(id).expect("a known request");
                assert!(!std::mem::replace(&mut job.answered, true), "a second answer");
            }
            Action::Cancel { id, attempt } => self.plan(WAY, Step::CallOff(*id, *attempt)),
            Action::SetTimer { after_us } => self.plan(*after_us, Step::Timer),
            Action::Probe { worker } => {
                let at = self.index(*worker);
                self.plan(2 * WAY, Step::Probe(at));
            }
            Action::WatchEndpoints => self.plan(300 * MS, Step::Watch),
            Action::CloseIdleConnections { .. } | Action::SendPeerMessage { .. } | Action::Notify(_) => {}
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrival(),
            Step::Timer => self.tell(Event::TimerExpired),
            Step::Reaches(id, attempt, at) => self.reaches(id, attempt, at),
            Step::Note(id, attempt) => self.note(id, attempt),
            Step::Done(id, attempt, at) => self.done(id, attempt, at),
            Step::Deadline(id) => self.deadline(id),
            Step::Leaves(id) => self.leaves(id),
            Step::CallOff(id, attempt) => self.call_off(id, attempt),
            Step::Probe(at) => self.probe(at),
            Step::List => self.change_list(),
            Step::Watch => self.watch(),
            Step::Fault => self.fault(),
            Step::Recovery(at) => self.recovery(at),
            Step::Peer => self.peer(),
            Step::NewSettings => self.new_settings(),
        }
    }

    fn request(&mut self) -> (Request, Micros) {
        let classes = self.set.classes.len() as u64;
        let mut class = self.rng.below(classes) as usize;
        if self.set.retired_classes.contains(&class) {
            class = classes as usize - 1;
        }
        let c = &self.set.classes[class];
        let (deadline, usual) = (c.deadline_us, c.objective_us.min(400 * MS) / 2);
        let work = (20 * MS).max(usual / 4 + self.rng.below(usual * 3 / 2));
        let again = self.rng.below(12) == 0;
        let request = Request {
            id: self.next,
            class,
            tenant: self.rng.below(1 + self.set.tenants.len() as u64) as usize,
            time_left_us: deadline - if again && self.set.unmarked_retries { 60 * MS } else { 0 },
            work_hint_us: (self.rng.below(2) == 0).then_some(work),
            is_retry: again && !self.set.unmarked_retries,
            affinity_key: self.rng.below(3).min(1) * self.rng.below(30),
            slots: self.rng.below(5) as f64 / 2.0,
            memory: if self.rng.below(9) == 0 { 2.5 } else { 0.0 },
        };
        self.next += 1;
        (request, work)
    }

    fn enter(&mut self, request: &Request, work: Micros, attempt: u32, at: Option<usize>) {
        let Request { id, class, affinity_key: key, time_left_us, .. } = *request;
        let deadline = self.now + time_left_us;
        let job = Job { class, key, work, deadline, attempt, at, answered: false };
        self.jobs.insert(id, job);
        self.plan(time_left_us, Step::Deadline(id));
        if self.rng.below(40) == 0 {
            let after = self.rng.below(time_left_us);
            self.plan(after, Step::Leaves(id));
        }
    }

    fn arrival(&mut self) {
        let burst = if self.now / (3 * S) % 3 == 2 { 3 } else { 1 };
        let gap = 2 * S / self.plan.rate / burst;
        let after = self.rng.below(gap);
        self.plan(after, Step::Arrival);
        let (request, work) = self.request();
        self.enter(&request, work, 0, None);
        self.tell(Event::RequestReceived(request));
    }

    fn adopt(&mut self, worker: WorkerId) {
        let (request, work) = self.request();
        let at = self.machines.iter().position(|m| m.entry.worker == worker);
        self.enter(&request, work, 1, at);
        let since_sent_us = self.rng.below(300 * MS);
        let since_started_us = (self.rng.below(2) == 0).then_some(since_sent_us / 2);
        self.tell(Event::RequestAdopted { request, worker, since_sent_us, since_started_us });
        if let Some(at) = at {
            self.machines[at].running.push((request.id, 0));
            self.plan(work, Step::Done(request.id, 0, at));
        }
    }

    /// Whether this attempt is out.
    fn is_out(&self, id: RequestId, attempt: u32) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.at.is_some() && job.attempt == attempt + 1)
    }

    fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome, kept: bool) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.attempt == attempt + 1) else { return };
        let Some(at) = job.at.take() else { return };
        job.answered |= outcome == Outcome::Success;
        let last = job.answered;
        let report = matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::Error)
            .then(|| self.report(at))
            .filter(|_| self.plan.reports);
        self.remove(at, id);
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: last,
            not_attributable: kept,
            report,
        }));
        self.fill(at);
    }

    fn remove(&mut self, at: usize, id: RequestId) {
        self.machines[at].running.retain(|held| held.0 != id);
        self.machines[at].queue.retain(|held| held.0 != id);
    }

    fn report(&mut self, at: usize) -> LoadReport {
        let m = &self.machines[at];
        let held = m.running.len() + m.others;
        let free = m.cores.saturating_sub(held) as f64;
        LoadReport {
            free_slots: Some(free),
            free_memory: Some(free + 0.25),
            queued: (at != 0 && at != 3).then_some(m.queue.len() as f64),
            in_flight: Some((held + m.queue.len()) as f64),
        }
    }

    fn reaches(&mut self, id: RequestId, attempt: u32, at: usize) {
        if !self.is_out(id, attempt) {
            return;
        }
        let luck = self.rng.below(150);
        match self.machines[at].health {
            _ if luck == 0 => return self.end(id, attempt, Outcome::NotSent, false),
            _ if luck == 1 => return self.end(id, attempt, Outcome::ConnectionLost, true),
            _ if luck == 2 => return self.end(id, attempt, Outcome::ConnectFailed, true),
            Health::Hung => return,
            Health::Refuses => return self.end(id, attempt, Outcome::ConnectFailed, false),
            Health::Fails => return self.end(id, attempt, Outcome::Error, false),
            Health::TurnsAway => return self.end(id, attempt, Outcome::Rejected, false),
            Health::Well => {}
        }
        if self.machines[at].queue.len() > 2 * self.machines[at].cores {
            return self.end(id, attempt, Outcome::Rejected, false);
        }
        if self.plan.acknowledges && luck > 5 {
            self.tell(Event::Acknowledged { id, attempt });
        }
        self.machines[at].queue.push_back((id, attempt));
        self.fill(at);
    }

    /// Starts what fits.
    fn fill(&mut self, at: usize) {
        while self.machines[at].running.len() + self.machines[at].others < self.machines[at].cores
            && self.machines[at].health == Health::Well
        {
            let Some((id, attempt)) = self.machines[at].queue.pop_front() else { return };
            if !self.is_out(id, attempt) {
                continue;
            }
            self.machines[at].running.push((id, attempt));
            let run = self.jobs[&id].work * 16 / self.machines[at].speed;
            self.plan(run, Step::Done(id, attempt, at));
            if self.set.reports_start {
                self.tell(Event::Started { id, attempt });
            }
            if self.set.progress_interval_us > 0 {
                self.plan(self.set.progress_interval_us, Step::Note(id, attempt));
            }
        }
    }

    fn note(&mut self, id: RequestId, attempt: u32) {
        let Some(at) = self.jobs.get(&id).and_then(|job| job.at) else { return };
        let runs = self.machines[at].running.contains(&(id, attempt));
        if runs && self.machines[at].health == Health::Well {
            self.tell(Event::Progress { id, attempt, done: 0.5 });
            self.plan(self.set.progress_interval_us, Step::Note(id, attempt));
        }
    }

    fn done(&mut self, id: RequestId, attempt: u32, at: usize) {
        if !self.is_out(id, attempt) || !self.machines[at].running.contains(&(id, attempt)) {
            return;
        }
        if self.machines[at].health == Health::Hung {
            return self.plan(500 * MS, Step::Done(id, attempt, at));
        }
        let luck = self.rng.below(80);
        if luck == 0 {
            self.tell(Event::ResponseStreaming { id, attempt });
            return self.plan(600 * MS, Step::Done(id, attempt, at));
        }
        let outcome = match self.jobs[&id].key {
            BAD_KEY => Outcome::Error,
            key if key == BAD_KEY + 1 => Outcome::ConnectionLost,
            _ if luck == 1 => Outcome::Error,
            _ if luck == 2 => Outcome::ConnectionLost,
            _ => Outcome::Success,
        };
        self.end(id, attempt, outcome, false);
    }

    fn deadline(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id).copied() else { return };
        debug_assert!(self.now >= job.deadline);
        if job.at.is_some() {
            self.end(id, job.attempt - 1, Outcome::Timeout, false);
        }
        self.jobs.remove(&id);
    }

    fn leaves(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.answered) else { return };
        job.answered = true;
        self.tell(Event::ClientDisconnected { id });
    }

    fn call_off(&mut self, id: RequestId, attempt: u32) {
        if self.is_out(id, attempt) {
            self.end(id, attempt, Outcome::Cancelled, false);
        }
    }

    fn probe(&mut self, at: usize) {
        let ok = matches!(self.machines[at].health, Health::Well | Health::TurnsAway);
        let report = ok.then(|| self.report(at));
        let worker = self.machines[at].entry.worker;
        self.tell(Event::ProbeEnded { worker, responded: ok, report });
    }

    /// The list as it stands, with live weights where the settings have them.
    fn list(&mut self) -> Vec<Endpoint> {
        let live = self.set.live_weights;
        let dispatchers = u64::from(self.set.dispatchers);
        for m in &mut self.machines {
            m.others = if dispatchers > 1 {
                (self.rng.below(m.cores as u64 + 1) * self.rng.below(2)) as usize
            } else {
                0
            };
            let held = m.others + m.running.len() + m.queue.len();
            let weight = m.size / (1.0 + held as f64 / m.cores as f64);
            m.entry.weight = if live { (weight * 100.0).round() / 100.0 } else { m.size };
        }
        self.machines.iter().map(|m| m.entry.clone()).collect()
    }

    fn change_list(&mut self) {
        self.plan(LIST_PERIOD, Step::List);
        let at = self.rng.below(self.plan.workers) as usize;
        let (now, kind) = (self.now, self.rng.below(8));
        let entry = &mut self.machines[at].entry;
        let restarts = entry.availability == Availability::Gone || kind == 0;
        match kind {
            _ if restarts => (entry.started_at, entry.availability) = (now - 50 * MS, Availability::Ready),
            1 | 2 => entry.availability = Availability::Draining,
            3 => entry.availability = Availability::Gone,
            _ => entry.availability = Availability::Ready,
        }
        if restarts {
            self.machines[at].health = Health::Well;
            let lost: Vec<_> = self.machines[at].running.drain(..).collect();
            lost.into_iter().for_each(|(id, attempt)| self.end(id, attempt, Outcome::ConnectionLost, false));
        }
        let list = self.list();
        if self.rng.below(6) == 0 {
            return self.tell(Event::EndpointWatchFailed);
        }
        match self.rng.below(4) {
            0 => self.tell(Event::EndpointList(list)),
            1 => self.tell(Event::EndpointChanges(vec![list[at].clone()])),
            2 => self.tell(Event::EndpointList(list.into_iter().filter(|e| e.worker.0 % 11 != 3).collect())),
            _ => self.tell(Event::EndpointChanges(list)),
        }
        (0..self.machines.len()).for_each(|at| self.fill(at));
    }

    fn watch(&mut self) {
        if self.rng.below(3) == 0 {
            return self.tell(Event::EndpointWatchFailed);
        }
        let list = self.list();
        self.tell(Event::EndpointList(list));
    }

    fn fault(&mut self) {
        self.plan(FAULT_PERIOD, Step::Fault);
        let at = self.rng.below(self.plan.workers) as usize;
        let health = [Health::Hung, Health::Refuses, Health::Fails, Health::TurnsAway];
        self.machines[at].health = health[self.rng.below(4) as usize];
        let after = 300 * MS + self.rng.below(3 * S);
        self.plan(after, Step::Recovery(at));
    }

    fn recovery(&mut self, at: usize) {
        self.machines[at].health = Health::Well;
        self.fill(at);
    }

    fn peer(&mut self) {
        self.plan(S / 2, Step::Peer);
        if !self.set.peer_messages {
            return;
        }
        let from = self.rng.below(u64::from(self.set.dispatchers) + 1) as u32;
        let bytes = (0..2 * self.set.tenants.len()).map(|i| (i % 2 * self.rng.below(256) as usize) as u8);
        let bytes = bytes.collect();
        self.tell(Event::PeerMessage { from, bytes });
    }

    /// Another order of the dispatchers, one more of them, and the first class under other rules.
    fn new_settings(&mut self) {
        self.plan(4 * S, Step::NewSettings);
        self.set.membership_epoch += 1;
        self.set.dispatchers += 1;
        self.set.max_senders = self.set.dispatchers + 1;
        let mut inherits_from = vec![None; self.set.classes.len()];
        if self.set.retired_classes.is_empty() {
            let first = ClassSettings {
                priority_weight: 3.0,
                objective_per_work: 1.0,
                ..self.set.classes[0].clone()
            };
            self.set.classes.push(first);
            self.set.retired_classes.push(0);
            inherits_from.push(Some(0));
        }
        let settings = Box::new(self.set.clone());
        self.tell(Event::SettingsChanged { settings, inherits_from });
    }
}

fn machine(i: u64, zones: u64, rng: &mut Rng) -> Machine {
    let kind = i % 3;
    let cores = [2, 4, 6][kind as usize];
    let speed = [12, 16, 20][kind as usize] + rng.below(3);
    let size = [1.6, 4.0, 7.2][kind as usize];
    let since = if rng.below(5) == 0 { S / 2 } else { 0 };
    let mut entry = worker(i + 1, (i % zones) as u8, (i % 5) as u32);
    (entry.kind, entry.weight, entry.started_at) = (kind as u8, size, since);
    let (running, queue) = Default::default();
    Machine { entry, cores, speed, size, others: 0, running, queue, health: Health::Well }
}
