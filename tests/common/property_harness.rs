//! Random but legal event orders, with the rules checked on every action.

use super::*;
use dispatch_policy::api::*;
use dispatch_policy::Policy;
use std::collections::BTreeMap;

/// A seeded sequence of numbers.
pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
pub struct Held {
    class: usize,
    deadline: Micros,
    pub over: bool,
    attempts: Vec<(WorkerId, Micros, Option<Outcome>)>,
}

pub struct World {
    set: Settings,
    policy: Policy,
    pub rng: Rng,
    now: Micros,
    pub jobs: BTreeMap<RequestId, Held>,
    barred: BTreeMap<WorkerId, Micros>,
    list: Vec<Endpoint>,
    timers: Vec<Micros>,
    next: RequestId,
    /// Jobs sent to workers that started lately, with the time of the send.
    cold: Vec<(WorkerId, Micros)>,
    /// When requests were taken, and attempts beyond a request's first made.
    taken: Vec<Micros>,
    further: Vec<Micros>,
    /// Every event's actions.
    pub recorded: Recording,
}

/// Settings that differ widely.
pub fn widely(rng: &mut Rng) -> Settings {
    let kinds = [
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
            ..class(kinds[rng.below(5) as usize])
        })
        .collect();
    let mut s = settings(classes);
    s.tenants =
        (0..rng.below(5)).map(|_| TenantSettings { quota_per_s: rng.below(30) as f64, share: 0.2 }).collect();
    s.dispatchers = 1 + rng.below(6) as u32;
    s.max_attempts = 1 + rng.below(5) as u32;
    s.can_cancel = rng.below(2) == 0;
    s.peer_messages = rng.below(2) == 0;
    s.can_probe = rng.below(2) == 0;
    s.reports_free_slots = rng.below(2) == 0;
    s.reports_start = rng.below(2) == 0;
    s.progress_interval_us = rng.below(2) * S;
    s.polls_endpoints = rng.below(2) == 0;
    s.unmarked_retries = rng.below(2) == 0;
    s.origin_fetch_price = rng.below(2) as f64 * 0.15;
    s.rules.soft_removal = rng.below(2) == 0;
    let ration = RetryBudget {
        min_retries: rng.below(3) as f64,
        ratio: rng.below(3) as f64 * 0.05,
        window_us: 500 * MS + rng.below(3) * S,
    };
    s.rules.retry_budget = Some(ration).filter(|_| rng.below(2) == 0);
    s.max_send_delay_us = rng.below(2) * rng.below(400) * MS;
    s
}

impl World {
    /// Settings, and up to eight workers, by the seed.
    pub fn new(seed: u64) -> World {
        let mut rng = Rng(seed);
        let set = widely(&mut rng);
        let workers = rng.below(9);
        World::with(seed, rng, set, workers)
    }

    /// Given settings and a given number of workers; `rng` draws the steps.
    pub fn with(seed: u64, rng: Rng, set: Settings, workers: u64) -> World {
        let entry = |i| Endpoint { kind: (i % 2) as u8, ..worker(i, (i % 2) as u8, (i % 4) as u32) };
        let policy = Policy::new(set.clone(), seed, S).expect("valid settings");
        let list: Vec<Endpoint> = (0..workers).map(entry).collect();
        let (jobs, barred) = Default::default();
        let (timers, cold, taken, further, recorded) = Default::default();
        let (now, next) = (S, 0);
        let mut w =
            World { set, policy, rng, now, jobs, barred, list, timers, next, cold, taken, further, recorded };
        w.tell(Event::EndpointList(w.list.clone()));
        w
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.policy.handle(self.now, &event, &mut out);
        out.iter().for_each(|a| self.check(a));
        self.recorded.add(self.now, out);
    }

    /// The most jobs within the fall time that leave a cold worker standing.
    fn cold_budget(&self, entry: &Endpoint) -> f64 {
        let rules = &self.set.rules;
        let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_s).sum();
        let age = (self.now.saturating_sub(entry.started_at) as f64 / rules.warm_up_us as f64).min(1.0);
        let warmth = rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio) * age;
        let sizes: f64 = self.list.iter().map(|e| e.weight).sum();
        let most =
            self.taken.iter().map(|at| self.taken.iter().filter(|t| *at <= **t && **t < at + S).count());
        let served = most.max().unwrap_or(0) as f64 * f64::from(self.set.senders());
        let fleet = if quotas > 0.0 { quotas } else { served };
        let mean =
            rules.overload_multiple * fleet * entry.weight / sizes * warmth * rules.overload_window_us as f64
                / S as f64;
        mean + 2.0 * mean.sqrt() + 2.0
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, worker } => self.check_send(*id, *worker),
            Action::Reject { id, .. } => {
                let job = self.jobs.get_mut(id).expect("a known request");
                assert!(!std::mem::replace(&mut job.over, true), "a second final answer");
                let may_run = job.attempts.iter().any(|a| a.2.is_none_or(|o| !o.proves_not_executed()));
                let idempotency = self.set.classes[job.class].idempotency;
                assert!(
                    !may_run
                        || matches!(
                            idempotency,
                            Idempotency::Idempotent | Idempotency::WithKey(KeyScope::Fleet)
                        )
                );
            }
            Action::Fail { id } => {
                let job = self.jobs.get_mut(id).expect("a known request");
                assert!(!std::mem::replace(&mut job.over, true), "a second final answer");
            }
            Action::Cancel { id, attempt } => {
                assert!(self.set.can_cancel);
                assert!((*attempt as usize) < self.jobs[id].attempts.len());
            }
            Action::Probe { .. } => assert!(self.set.can_probe),
            Action::SendPeerMessage { .. } => assert!(self.set.peer_messages),
            Action::SetTimer { after_us } => self.timers.push(self.now + after_us),
            Action::WatchEndpoints | Action::Notify(_) | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn check_send(&mut self, id: RequestId, to: WorkerId) {
        assert!(!self.barred.contains_key(&to), "sent to a worker that drains or is gone");
        let entry = self.list.iter().find(|e| e.worker == to).expect("a listed worker").clone();
        if entry.started_at > 0 && self.now < entry.started_at + self.set.rules.warm_up_us {
            self.cold.push((to, self.now));
        }
        let burst = self
            .cold
            .iter()
            .filter(|c| c.0 == to && c.1 + self.set.rules.overload_window_us > self.now)
            .count();
        let allowed = self.cold_budget(&entry);
        assert!(burst as f64 <= allowed, "a cold worker got {burst} jobs where the rule allows {allowed}");
        let job = self.jobs.get_mut(&id).expect("a known request");
        assert!(!job.over, "sent after the final answer");
        if let Some(a) = self.set.rules.retry_budget.filter(|_| !job.attempts.is_empty()) {
            self.further.push(self.now);
            let from = self.now.saturating_sub(a.window_us);
            let made = self.further.iter().filter(|&&at| at >= from).count();
            let taken = self.taken.iter().filter(|&&at| at > from).count();
            let allowed = a.min_retries + a.ratio * taken as f64;
            assert!(made as f64 <= allowed, "{made} further attempts where {taken} requests allow {allowed}");
        }
        assert!(job.attempts.len() < self.set.max_attempts as usize);
        assert!(job.attempts.iter().all(|a| a.2.is_some()), "two attempts at once");
        let c = &self.set.classes[job.class];
        if let Some(first) = job.attempts.iter().find(|a| a.2.is_some_and(|o| !o.proves_not_executed())) {
            let mate = self.list.iter().find(|e| e.worker == first.0).expect("listed before");
            match c.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("an unsafe job was repeated"),
                Idempotency::WithKey(group) => {
                    let begins = self.now + self.set.max_send_delay_us;
                    assert!(begins < first.1 + c.deduplication_window_us, "past the repeat window");
                    assert!(group != KeyScope::Zone || mate.zone == entry.zone);
                    assert!(group != KeyScope::Cell || mate.cell == entry.cell);
                }
            }
        }
        job.attempts.push((to, self.now, None));
    }

    fn open(&mut self) -> Option<(RequestId, u32)> {
        let open: Vec<(RequestId, u32)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.attempts.last().is_some_and(|a| a.2.is_none()))
            .map(|(id, j)| (*id, j.attempts.len() as u32 - 1))
            .collect();
        (!open.is_empty()).then(|| open[self.rng.below(open.len() as u64) as usize])
    }

    fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let job = self.jobs.get_mut(&id).expect("an open request");
        job.attempts[attempt as usize].2 = Some(outcome);
        job.over |= outcome == Outcome::Success;
        let last = job.over;
        let free = Some(self.rng.below(4) as f64);
        let report = Some(LoadReport { free_slots: free, queued: Some(0.0), ..LoadReport::default() });
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: last,
            not_attributable: false,
            report,
        }));
    }

    /// One random step.
    #[allow(clippy::too_many_lines, reason = "one arm for each kind of step")]
    pub fn act(&mut self) {
        match self.rng.below(12) {
            0..=3 => {
                let class = self.rng.below(self.set.classes.len() as u64) as usize;
                let time_left_us = self.set.classes[class].deadline_us;
                let (id, tenant) = (self.next, self.rng.below(5) as usize);
                self.next += 1;
                let deadline = self.now + time_left_us;
                self.taken.push(self.now);
                let key = self.rng.below(6);
                let slots = self.rng.below(5) as f64;
                let memory = [0.0, 0.5, 3.0, f64::NAN, f64::INFINITY][self.rng.below(5) as usize];
                self.jobs.insert(id, Held { class, deadline, ..Held::default() });
                let retry = self.rng.below(5) == 0;
                self.tell(Event::RequestReceived(Request {
                    id,
                    class,
                    tenant,
                    time_left_us,
                    is_retry: retry,
                    affinity_key: key,
                    slots,
                    memory,
                    ..Request::default()
                }));
            }
            4..=7 => {
                use Outcome::*;
                let all =
                    [Success, Success, Success, Error, Rejected, ConnectFailed, ConnectionLost, Cancelled];
                if let Some((id, attempt)) = self.open() {
                    let outcome = all[self.rng.below(8) as usize];
                    self.end(id, attempt, outcome);
                }
            }
            8 => {
                if let Some((id, attempt)) = self.open() {
                    self.tell(Event::Started { id, attempt });
                    self.tell(Event::Progress { id, attempt, done: 0.5 });
                }
            }
            9 if !self.list.is_empty() => {
                let i = self.rng.below(self.list.len() as u64) as usize;
                let (since, availability) = match self.rng.below(3) {
                    0 => (self.list[i].started_at, Availability::Draining),
                    1 => (self.list[i].started_at, Availability::Gone),
                    _ => (self.now, Availability::Ready),
                };
                self.list[i] = Endpoint { started_at: since, availability, ..self.list[i].clone() };
                let worker = self.list[i].worker;
                match availability {
                    Availability::Ready => drop(self.barred.remove(&worker)),
                    Availability::Gone if self.set.rules.soft_removal => {}
                    _ => drop(self.barred.insert(worker, self.now)),
                }
                self.tell(Event::EndpointChanges(vec![self.list[i].clone()]));
            }
            10 => {
                let ids: Vec<RequestId> = self.jobs.iter().filter(|j| !j.1.over).map(|j| *j.0).collect();
                if let (Some(&id), 0) = (ids.first(), self.rng.below(4)) {
                    self.jobs.get_mut(&id).expect("an open request").over = true;
                    self.tell(Event::ClientDisconnected { id });
                }
            }
            _ => self.tell(Event::PeerMessage { from: 1, bytes: vec![1, 2, 3, 4, 5] }),
        }
    }

    /// Timers run on time; attempts still out at the deadline end as timed out; none may then be open.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let due = self.jobs.iter().filter(|(_, j)| j.attempts.last().is_some_and(|a| a.2.is_none()));
            let limit = due.map(|(id, j)| (j.deadline, *id)).min();
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let next = timer.min(limit.map_or(Micros::MAX, |l| l.0));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            match limit {
                Some((at, id)) if at <= timer => {
                    let attempt = self.jobs[&id].attempts.len() as u32 - 1;
                    self.end(id, attempt, Outcome::Timeout);
                }
                _ => {
                    self.timers.retain(|&t| t != timer);
                    self.tell(Event::TimerExpired);
                }
            }
            let now = self.now;
            self.jobs
                .iter()
                .for_each(|(id, j)| assert!(j.over || now <= j.deadline + 20 * MS, "{id} unanswered"));
        }
        self.now = end;
    }
}
