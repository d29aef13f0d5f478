//! A small dispatcher's surroundings: settings, lists, and a driver that keeps time.
#![allow(dead_code)]

pub mod fleet_simulation;
pub mod property_harness;
pub mod recording;

use dispatch_policy::api::*;
use dispatch_policy::Policy;
use recording::Recording;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        objective_us: 200 * MS,
        objective_per_work: 2.0,
        deadline_us: 5 * S,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        deduplication_window_us: 2 * S,
        required_kind: None,
    }
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        dispatchers: 1,
        max_attempts: 3,
        can_cancel: true,
        reports_start: true,
        max_retry_after_us: 2 * S,
        over_quota_weight: 0.1,
        clock_resolution_us: MS,
        rules: Rules {
            poll_interval_us: 10 * S,
            cold_capacity_ratio: 0.2,
            warm_up_us: 20 * S,
            overload_multiple: 3.0,
            overload_window_us: S,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

pub fn worker(i: u64, zone: u8, cell: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(i),
        kind: 0,
        zone,
        cell,
        availability: Availability::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

pub struct Desk {
    pub policy: Policy,
    pub now: Micros,
    pub timers: Vec<Micros>,
    pub throttled: usize,
    pub released: usize,
    pub told: Vec<u32>,
}

impl Desk {
    pub fn new(settings: Settings, list: Vec<Endpoint>) -> Desk {
        let mut desk = Desk {
            policy: Policy::new(settings, 7, S).expect("valid settings"),
            now: S,
            timers: vec![],
            throttled: 0,
            released: 0,
            told: vec![],
        };
        desk.tell(Event::EndpointList(list));
        desk
    }

    /// One event now; timers asked for are kept and not returned.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, &event, &mut out);
        out.iter().for_each(|a| {
            if let Action::SetTimer { after_us } = a {
                self.timers.push(self.now + after_us);
            }
        });
        self.released += out.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count();
        self.told.extend(out.iter().filter_map(|a| {
            if let Action::SendPeerMessage { to, .. } = a {
                Some(*to)
            } else {
                None
            }
        }));
        self.throttled +=
            out.iter().filter(|a| matches!(a, Action::Notify(Notice::Throttling { .. }))).count();
        out.retain(|a| {
            !matches!(
                a,
                Action::SetTimer { .. }
                    | Action::Notify(_)
                    | Action::SendPeerMessage { .. }
                    | Action::CloseIdleConnections { .. }
            )
        });
        out
    }

    /// Runs the timers that come due within this time.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut out) = (self.now + span, Vec::new());
        while let Some(at) = self.timers.iter().copied().filter(|&t| t <= end).min() {
            let due = self.timers.iter().position(|&t| t == at).unwrap_or(0);
            self.timers.swap_remove(due); // one event for each timer, as an embedder gives
            self.now = self.now.max(at);
            out.extend(self.tell(Event::TimerExpired));
        }
        self.now = end;
        out
    }

    pub fn accept(&mut self, id: RequestId, class: usize) -> Vec<Action> {
        let time_left_us = 5 * S;
        let mut out =
            self.tell(Event::RequestReceived(Request { id, class, time_left_us, ..Request::default() }));
        out.extend(self.pass(25 * MS));
        out
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let last = outcome == Outcome::Success;
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: last,
            not_attributable: false,
            report: None,
        }))
    }

    /// A job that is served after 100 ms; returns the worker.
    pub fn serve(&mut self, id: RequestId, class: usize) -> Option<WorkerId> {
        let to = sent(&self.accept(id, class), id)?;
        self.tell(Event::Started { id, attempt: 0 });
        self.pass(100 * MS);
        self.ended(id, 0, Outcome::Success);
        Some(to)
    }
}

pub fn sent(actions: &[Action], id: RequestId) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { id: i, worker } if *i == id => Some(*worker),
        _ => None,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { id })
}
