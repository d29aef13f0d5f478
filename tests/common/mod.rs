//! A small dispatcher's surroundings: settings, lists, and a driver that keeps time.
#![allow(dead_code)]

pub mod fleet;
pub mod recording;
pub mod world;

use dispatch_policy::api::*;
use dispatch_policy::Policy;
use recording::Recording;

pub const MS: Time = 1_000;
pub const S: Time = 1_000_000;

pub fn class(semantics: Semantics) -> ClassSettings {
    ClassSettings {
        aim_us: 200 * MS,
        stretch: 2.0,
        deadline_us: 5 * S,
        worth: 1.0,
        late_worth: 0.0,
        semantics,
        repeat_window_us: 2 * S,
        kind: None,
    }
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        siblings: 1,
        max_attempts: 3,
        cancelling: true,
        tells_start: true,
        max_retry_after_us: 2 * S,
        over_share_worth: 0.1,
        resolution_us: MS,
        rules: Rules {
            ask_every_us: 10 * S,
            cold_share: 0.2,
            warm_up_us: 20 * S,
            fall_multiple: 3.0,
            fall_us: S,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

pub fn worker(i: u64, zone: u8, cell: u32) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(i),
        kind: 0,
        zone,
        cell,
        availability: Availability::Ready,
        scale: 1.0,
        since: 0,
    }
}

pub struct Desk {
    pub policy: Policy,
    pub now: Time,
    pub timers: Vec<Time>,
    pub throttled: usize,
    pub released: usize,
    pub told: Vec<u32>,
}

impl Desk {
    pub fn new(settings: Settings, list: Vec<WorkerEntry>) -> Desk {
        let mut desk = Desk {
            policy: Policy::new(settings, 7, S).unwrap(),
            now: S,
            timers: vec![],
            throttled: 0,
            released: 0,
            told: vec![],
        };
        desk.tell(Event::FullList(list));
        desk
    }

    /// One event now; timers asked for are kept and not returned.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, &event, &mut out);
        out.iter().for_each(|a| {
            if let Action::Timer { after_us } = a {
                self.timers.push(self.now + after_us);
            }
        });
        self.released += out.iter().filter(|a| matches!(a, Action::Release { .. })).count();
        self.told.extend(out.iter().filter_map(|a| {
            if let Action::Tell { to, .. } = a {
                Some(*to)
            } else {
                None
            }
        }));
        self.throttled += out.iter().filter(|a| matches!(a, Action::Trace(Trace::Throttled(..)))).count();
        out.retain(|a| {
            !matches!(
                a,
                Action::Timer { .. } | Action::Trace(_) | Action::Tell { .. } | Action::Release { .. }
            )
        });
        out
    }

    /// Runs the timers that come due within this time.
    pub fn pass(&mut self, span: Time) -> Vec<Action> {
        let (end, mut out) = (self.now + span, Vec::new());
        while let Some(at) = self.timers.iter().copied().filter(|&t| t <= end).min() {
            let due = self.timers.iter().position(|&t| t == at).unwrap_or(0);
            self.timers.swap_remove(due); // one event for each timer, as an embedder gives
            self.now = self.now.max(at);
            out.extend(self.tell(Event::Timer));
        }
        self.now = end;
        out
    }

    pub fn accept(&mut self, id: RequestId, class: usize) -> Vec<Action> {
        let left_us = 5 * S;
        let mut out = self.tell(Event::Accept(Request { id, class, left_us, ..Request::default() }));
        out.extend(self.pass(25 * MS));
        out
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let last = outcome == Outcome::Ok;
        self.tell(Event::Ended(Ending { id, attempt, outcome, last, kept: false, report: None }))
    }

    /// A job that is served after 100 ms; returns the worker.
    pub fn serve(&mut self, id: RequestId, class: usize) -> Option<WorkerId> {
        let to = sent(&self.accept(id, class), id)?;
        self.tell(Event::Started { id, attempt: 0 });
        self.pass(100 * MS);
        self.ended(id, 0, Outcome::Ok);
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
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { id })
}
