//! Settings and endpoints for the tests, and a driver of one policy with a simulated clock.
#![allow(dead_code)]

pub mod fleet_simulation;
pub mod property_harness;
pub mod recording;

use dispatch_policy::api::*;
use dispatch_policy::Policy;
use recording::Recording;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class_settings(idempotency: Idempotency) -> ClassSettings {
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

pub fn policy_settings(classes: Vec<ClassSettings>) -> Settings {
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

pub fn ready_endpoint(id: u64, zone: u8, cell: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(id),
        kind: 0,
        zone,
        cell,
        availability: Availability::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

/// Passes events to a policy, and timers when the simulated clock reaches them.
pub struct PolicyDriver {
    pub policy: Policy,
    pub now: Micros,
    /// Expiry times of the timers that are set.
    pub timers: Vec<Micros>,
    pub throttling_notices: usize,
    pub idle_connections_closed: usize,
    /// Ordinals of the dispatchers to which messages were sent.
    pub peer_message_receivers: Vec<u32>,
}

impl PolicyDriver {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> PolicyDriver {
        let mut driver = PolicyDriver {
            policy: Policy::new(settings, 7, S).expect("valid settings"),
            now: S,
            timers: vec![],
            throttling_notices: 0,
            idle_connections_closed: 0,
            peer_message_receivers: vec![],
        };
        driver.handle(Event::EndpointList(endpoints));
        driver
    }

    /// Passes an event to the policy. Returns the actions, except for timers, notices, peer messages and
    /// closed connections, which are recorded in the fields.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, &event, &mut actions);
        actions.iter().for_each(|a| {
            if let Action::SetTimer { after_us } = a {
                self.timers.push(self.now + after_us);
            }
        });
        self.idle_connections_closed +=
            actions.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count();
        self.peer_message_receivers.extend(actions.iter().filter_map(|a| {
            if let Action::SendPeerMessage { to, .. } = a {
                Some(*to)
            } else {
                None
            }
        }));
        self.throttling_notices +=
            actions.iter().filter(|a| matches!(a, Action::Notify(Notice::Throttling { .. }))).count();
        actions.retain(|a| {
            !matches!(
                a,
                Action::SetTimer { .. }
                    | Action::Notify(_)
                    | Action::SendPeerMessage { .. }
                    | Action::CloseIdleConnections { .. }
            )
        });
        actions
    }

    /// Advances the clock by this duration and runs the timers that expire.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + duration, Vec::new());
        while let Some(expires_at) = self.timers.iter().copied().filter(|&t| t <= end).min() {
            let index = self.timers.iter().position(|&t| t == expires_at).unwrap_or(0);
            self.timers.swap_remove(index); // one event per timer, as an embedder passes them
            self.now = self.now.max(expires_at);
            actions.extend(self.handle(Event::TimerExpired));
        }
        self.now = end;
        actions
    }

    /// Passes a request to the policy, and advances the clock by 25 ms.
    pub fn submit(&mut self, id: RequestId, class: usize) -> Vec<Action> {
        let time_left_us = 5 * S;
        let mut actions =
            self.handle(Event::RequestReceived(Request { id, class, time_left_us, ..Request::default() }));
        actions.extend(self.advance(25 * MS));
        actions
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request_done = outcome == Outcome::Success;
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done,
            not_attributable: false,
            report: None,
        }))
    }

    /// Submits a request that is served 100 ms after it was sent; returns its worker.
    pub fn serve(&mut self, id: RequestId, class: usize) -> Option<WorkerId> {
        let worker = sent_to(&self.submit(id, class), id)?;
        self.handle(Event::Started { id, attempt: 0 });
        self.advance(100 * MS);
        self.end_attempt(id, 0, Outcome::Success);
        Some(worker)
    }
}

/// The worker to which these actions send the request, if any.
pub fn sent_to(actions: &[Action], request: RequestId) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, worker } if *id == request => Some(*worker),
        _ => None,
    })
}

/// Whether the request was shed: answered as not executed, or as safe to retry.
pub fn is_shed(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if *id == request))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { id })
}
