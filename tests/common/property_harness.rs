//! Random but legal event sequences. Every action is checked: requests get one final answer and only safe
//! retries, unavailable workers get no requests, and workers that are warming up are not overloaded.

use super::*;
use dispatch_policy::api::*;
use dispatch_policy::Policy;
use std::collections::BTreeMap;

/// A seeded linear congruential generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
pub struct TrackedRequest {
    class: usize,
    deadline: Micros,
    pub answered: bool,
    attempts: Vec<(WorkerId, Micros, Option<Outcome>)>,
}

pub struct PropertyHarness {
    settings: Settings,
    policy: Policy,
    pub rng: Rng,
    now: Micros,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    unavailable: BTreeMap<WorkerId, Micros>,
    endpoints: Vec<Endpoint>,
    timers: Vec<Micros>,
    next_id: RequestId,
    /// Requests sent to workers that were warming up, with the time at which they were sent.
    cold_sends: Vec<(WorkerId, Micros)>,
    /// When requests were received, and when retries were sent.
    received_at: Vec<Micros>,
    retries_at: Vec<Micros>,
    /// The actions of every event.
    pub recording: Recording,
}

/// Random settings from wide ranges.
pub fn random_settings(rng: &mut Rng) -> Settings {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        Idempotency::WithKey(KeyScope::Fleet),
        Idempotency::WithKey(KeyScope::Zone),
        Idempotency::WithKey(KeyScope::Cell),
    ];
    let classes = (0..1 + rng.below(4))
        .map(|_| ClassSettings {
            objective_us: 10 * MS + rng.below(2000) * MS,
            objective_per_work: rng.below(4) as f64,
            deadline_us: S + rng.below(10) * S,
            late_weight: rng.below(2) as f64 * 0.5,
            deduplication_window_us: 300 * MS + rng.below(5) * S,
            required_kind: [None, None, Some(0), Some(1)][rng.below(4) as usize],
            ..class_settings(idempotencies[rng.below(5) as usize])
        })
        .collect();
    let mut settings = policy_settings(classes);
    settings.tenants =
        (0..rng.below(5)).map(|_| TenantSettings { quota_per_s: rng.below(30) as f64, share: 0.2 }).collect();
    settings.dispatchers = 1 + rng.below(6) as u32;
    settings.max_attempts = 1 + rng.below(5) as u32;
    settings.can_cancel = rng.below(2) == 0;
    settings.peer_messages = rng.below(2) == 0;
    settings.can_probe = rng.below(2) == 0;
    settings.reports_free_slots = rng.below(2) == 0;
    settings.reports_start = rng.below(2) == 0;
    settings.progress_interval_us = rng.below(2) * S;
    settings.polls_endpoints = rng.below(2) == 0;
    settings.unmarked_retries = rng.below(2) == 0;
    settings.origin_fetch_price = rng.below(2) as f64 * 0.15;
    settings.rules.soft_removal = rng.below(2) == 0;
    let retry_budget = RetryBudget {
        min_retries: rng.below(3) as f64,
        ratio: rng.below(3) as f64 * 0.05,
        window_us: 500 * MS + rng.below(3) * S,
    };
    settings.rules.retry_budget = Some(retry_budget).filter(|_| rng.below(2) == 0);
    settings.max_send_delay_us = rng.below(2) * rng.below(400) * MS;
    settings
}

impl PropertyHarness {
    /// Draws the settings and up to eight workers from the seed.
    pub fn new(seed: u64) -> PropertyHarness {
        let mut rng = Rng(seed);
        let settings = random_settings(&mut rng);
        let workers = rng.below(9);
        PropertyHarness::with_settings(seed, rng, settings, workers)
    }

    /// Uses the given settings and number of workers; `rng` draws the steps.
    pub fn with_settings(seed: u64, rng: Rng, settings: Settings, workers: u64) -> PropertyHarness {
        let endpoint =
            |i| Endpoint { kind: (i % 2) as u8, ..ready_endpoint(i, (i % 2) as u8, (i % 4) as u32) };
        let policy = Policy::new(settings.clone(), seed, S).expect("valid settings");
        let endpoints: Vec<Endpoint> = (0..workers).map(endpoint).collect();
        let (requests, unavailable) = Default::default();
        let (timers, cold_sends, received_at, retries_at, recording) = Default::default();
        let (now, next_id) = (S, 0);
        let mut harness = PropertyHarness {
            settings,
            policy,
            rng,
            now,
            requests,
            unavailable,
            endpoints,
            timers,
            next_id,
            cold_sends,
            received_at,
            retries_at,
            recording,
        };
        harness.handle(Event::EndpointList(harness.endpoints.clone()));
        harness
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, &event, &mut actions);
        actions.iter().for_each(|a| self.check_action(a));
        self.recording.add(self.now, actions);
    }

    /// Maximum number of requests within the overload window that don't overload a worker that is warming up.
    fn cold_budget(&self, endpoint: &Endpoint) -> f64 {
        let rules = &self.settings.rules;
        let quotas: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let warm_up_progress =
            (self.now.saturating_sub(endpoint.started_at) as f64 / rules.warm_up_us as f64).min(1.0);
        let capacity_ratio = rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio) * warm_up_progress;
        let total_weight: f64 = self.endpoints.iter().map(|e| e.weight).sum();
        let received_per_s = self
            .received_at
            .iter()
            .map(|at| self.received_at.iter().filter(|t| *at <= **t && **t < at + S).count());
        let served_per_s = received_per_s.max().unwrap_or(0) as f64 * f64::from(self.settings.senders());
        let fleet_per_s = if quotas > 0.0 { quotas } else { served_per_s };
        let mean_requests = rules.overload_multiple * fleet_per_s * endpoint.weight / total_weight
            * capacity_ratio
            * rules.overload_window_us as f64
            / S as f64;
        mean_requests + 2.0 * mean_requests.sqrt() + 2.0
    }

    fn check_action(&mut self, action: &Action) {
        match action {
            Action::Send { id, worker } => self.check_send(*id, *worker),
            Action::Reject { id, .. } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(
                    !std::mem::replace(&mut request.answered, true),
                    "request {id} got a second final answer"
                );
                let may_have_executed =
                    request.attempts.iter().any(|a| a.2.is_none_or(|o| !o.proves_not_executed()));
                let idempotency = self.settings.classes[request.class].idempotency;
                assert!(
                    !may_have_executed
                        || matches!(
                            idempotency,
                            Idempotency::Idempotent | Idempotency::WithKey(KeyScope::Fleet)
                        )
                );
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(
                    !std::mem::replace(&mut request.answered, true),
                    "request {id} got a second final answer"
                );
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.can_cancel);
                assert!((*attempt as usize) < self.requests[id].attempts.len());
            }
            Action::Probe { .. } => assert!(self.settings.can_probe),
            Action::SendPeerMessage { .. } => assert!(self.settings.peer_messages),
            Action::SetTimer { after_us } => self.timers.push(self.now + after_us),
            Action::WatchEndpoints | Action::Notify(_) | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn check_send(&mut self, id: RequestId, worker: WorkerId) {
        assert!(!self.unavailable.contains_key(&worker), "sent to a worker that is draining or gone");
        let endpoint = self.endpoints.iter().find(|e| e.worker == worker).expect("a listed worker").clone();
        if endpoint.started_at > 0 && self.now < endpoint.started_at + self.settings.rules.warm_up_us {
            self.cold_sends.push((worker, self.now));
        }
        let recent_sends = self
            .cold_sends
            .iter()
            .filter(|c| c.0 == worker && c.1 + self.settings.rules.overload_window_us > self.now)
            .count();
        let allowed = self.cold_budget(&endpoint);
        assert!(
            recent_sends as f64 <= allowed,
            "sent {recent_sends} requests to a cold worker within the overload window, {allowed} are allowed"
        );
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.answered, "request {id} was sent after its final answer");
        if let Some(budget) = self.settings.rules.retry_budget.filter(|_| !request.attempts.is_empty()) {
            self.retries_at.push(self.now);
            let window_start = self.now.saturating_sub(budget.window_us);
            let retries = self.retries_at.iter().filter(|&&at| at >= window_start).count();
            let received = self.received_at.iter().filter(|&&at| at > window_start).count();
            let allowed = budget.min_retries + budget.ratio * received as f64;
            assert!(retries as f64 <= allowed, "{retries} retries, {received} requests allow {allowed}");
        }
        assert!(request.attempts.len() < self.settings.max_attempts as usize);
        assert!(request.attempts.iter().all(|a| a.2.is_some()), "request {id} has two attempts in flight");
        let class = &self.settings.classes[request.class];
        if let Some(first) = request.attempts.iter().find(|a| a.2.is_some_and(|o| !o.proves_not_executed())) {
            let first_endpoint = self.endpoints.iter().find(|e| e.worker == first.0).expect("listed before");
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    panic!("a non-idempotent request that may have been executed was retried")
                }
                Idempotency::WithKey(scope) => {
                    let latest_arrival = self.now + self.settings.max_send_delay_us;
                    assert!(
                        latest_arrival < first.1 + class.deduplication_window_us,
                        "sent after the deduplication window"
                    );
                    assert!(scope != KeyScope::Zone || first_endpoint.zone == endpoint.zone);
                    assert!(scope != KeyScope::Cell || first_endpoint.cell == endpoint.cell);
                }
            }
        }
        request.attempts.push((worker, self.now, None));
    }

    fn random_attempt_in_flight(&mut self) -> Option<(RequestId, u32)> {
        let in_flight: Vec<(RequestId, u32)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.attempts.last().is_some_and(|a| a.2.is_none()))
            .map(|(id, request)| (*id, request.attempts.len() as u32 - 1))
            .collect();
        (!in_flight.is_empty()).then(|| in_flight[self.rng.below(in_flight.len() as u64) as usize])
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let request = self.requests.get_mut(&id).expect("a known request");
        request.attempts[attempt as usize].2 = Some(outcome);
        request.answered |= outcome == Outcome::Success;
        let request_done = request.answered;
        let free_slots = Some(self.rng.below(4) as f64);
        let report = Some(LoadReport { free_slots, queued: Some(0.0), ..LoadReport::default() });
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done,
            not_attributable: false,
            report,
        }));
    }

    /// Carries out one random step.
    #[allow(clippy::too_many_lines, reason = "one arm per kind of step")]
    pub fn random_step(&mut self) {
        match self.rng.below(12) {
            0..=3 => {
                let class = self.rng.below(self.settings.classes.len() as u64) as usize;
                let time_left_us = self.settings.classes[class].deadline_us;
                let (id, tenant) = (self.next_id, self.rng.below(5) as usize);
                self.next_id += 1;
                let deadline = self.now + time_left_us;
                self.received_at.push(self.now);
                let affinity_key = self.rng.below(6);
                let slots = self.rng.below(5) as f64;
                let memory = [0.0, 0.5, 3.0, f64::NAN, f64::INFINITY][self.rng.below(5) as usize];
                self.requests.insert(id, TrackedRequest { class, deadline, ..TrackedRequest::default() });
                let is_retry = self.rng.below(5) == 0;
                self.handle(Event::RequestReceived(Request {
                    id,
                    class,
                    tenant,
                    time_left_us,
                    is_retry,
                    affinity_key,
                    slots,
                    memory,
                    ..Request::default()
                }));
            }
            4..=7 => {
                use Outcome::*;
                let outcomes =
                    [Success, Success, Success, Error, Rejected, ConnectFailed, ConnectionLost, Cancelled];
                if let Some((id, attempt)) = self.random_attempt_in_flight() {
                    let outcome = outcomes[self.rng.below(8) as usize];
                    self.end_attempt(id, attempt, outcome);
                }
            }
            8 => {
                if let Some((id, attempt)) = self.random_attempt_in_flight() {
                    self.handle(Event::Started { id, attempt });
                    self.handle(Event::Progress { id, attempt, done: 0.5 });
                }
            }
            9 if !self.endpoints.is_empty() => {
                let i = self.rng.below(self.endpoints.len() as u64) as usize;
                let (started_at, availability) = match self.rng.below(3) {
                    0 => (self.endpoints[i].started_at, Availability::Draining),
                    1 => (self.endpoints[i].started_at, Availability::Gone),
                    _ => (self.now, Availability::Ready),
                };
                self.endpoints[i] = Endpoint { started_at, availability, ..self.endpoints[i].clone() };
                let worker = self.endpoints[i].worker;
                match availability {
                    Availability::Ready => drop(self.unavailable.remove(&worker)),
                    Availability::Gone if self.settings.rules.soft_removal => {}
                    _ => drop(self.unavailable.insert(worker, self.now)),
                }
                self.handle(Event::EndpointChanges(vec![self.endpoints[i].clone()]));
            }
            10 => {
                let ids: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|request| !request.1.answered)
                    .map(|request| *request.0)
                    .collect();
                if let (Some(&id), 0) = (ids.first(), self.rng.below(4)) {
                    self.requests.get_mut(&id).expect("a known request").answered = true;
                    self.handle(Event::ClientDisconnected { id });
                }
            }
            _ => self.handle(Event::PeerMessage { from: 1, bytes: vec![1, 2, 3, 4, 5] }),
        }
    }

    /// Advances the clock: timers expire on time, and attempts in flight at the deadline time out. Every
    /// request must have its answer shortly after its deadline.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let in_flight = self
                .requests
                .iter()
                .filter(|(_, request)| request.attempts.last().is_some_and(|a| a.2.is_none()));
            let timeout = in_flight.map(|(id, request)| (request.deadline, *id)).min();
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let next_at = timer.min(timeout.map_or(Micros::MAX, |t| t.0));
            if next_at > end {
                break;
            }
            self.now = self.now.max(next_at);
            match timeout {
                Some((at, id)) if at <= timer => {
                    let attempt = self.requests[&id].attempts.len() as u32 - 1;
                    self.end_attempt(id, attempt, Outcome::Timeout);
                }
                _ => {
                    self.timers.retain(|&t| t != timer);
                    self.handle(Event::TimerExpired);
                }
            }
            let now = self.now;
            self.requests.iter().for_each(|(id, request)| {
                assert!(
                    request.answered || now <= request.deadline + 20 * MS,
                    "request {id} has no answer after its deadline"
                )
            });
        }
        self.now = end;
    }
}
