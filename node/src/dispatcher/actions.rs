//! Execution of the actions of the decision module.

use super::request_table::{AttemptState, RequestEntry};
use super::{Answer, AttemptId, AttemptStart, Dispatcher, Frontend};
use crate::invariants::Invariant;
use dispatch_policy::api::{Action, AttemptEnd, Event, Notice, Outcome, RequestId, WorkerId};
use std::time::Duration;
use tokio::time::Instant;

impl<F: Frontend> Dispatcher<F> {
    /// Passes an event to the decision module and executes the resulting actions.
    pub(super) fn notify_policy(&mut self, event: Event) {
        self.notify_policy_at(event, Instant::now());
    }

    /// Passes an event that happened at this time to the decision module and executes the resulting actions.
    pub(super) fn notify_policy_at(&mut self, event: Event, at: Instant) {
        let mut actions = Vec::new();
        self.handle_by_policy(&event, at, &mut actions);
        while let Some(event) = self.events.pop_front() {
            self.handle_by_policy(&event, Instant::now(), &mut actions);
        }
        let violations = self.policy.slow_start_violations();
        if violations > self.counted_slow_start_violations {
            self.counted_slow_start_violations = violations;
            self.counters.violations.add(Invariant::SlowStartBudget, violations);
        }
    }

    fn handle_by_policy(&mut self, event: &Event, at: Instant, actions: &mut Vec<Action>) {
        self.policy.handle(self.clock.at(at), event, actions);
        for action in actions.drain(..) {
            self.execute(action, at);
        }
    }

    /// Executes an action of the decision module, which counts its delays from this time.
    fn execute(&mut self, action: Action, at: Instant) {
        match action {
            Action::Send { id, worker } => self.send(id, worker),
            Action::Reject { id, retry_after_us } => {
                self.reject(id, Duration::from_micros(retry_after_us));
            }
            Action::Fail { id } => self.fail(id),
            Action::Cancel { id, attempt } => self.cancel(AttemptId { request: id, attempt }),
            Action::SetTimer { after_us } => {
                // Not from the current time: if the process was held up since, the timer would come too late.
                self.timers.schedule_policy(at + Duration::from_micros(after_us));
            }
            Action::WatchEndpoints => self.frontend.refresh_endpoints(),
            Action::CloseIdleConnections { worker } => self.frontend.close_idle(worker),
            Action::Notify(notice) => log_notice(&notice),
            Action::SendPeerMessage { to, bytes } => self.frontend.send_to_peer(to, &bytes),
            Action::Probe { worker } => self.probe(worker),
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        log::debug!(event = "request_rejected", request = id; "request rejected");
        if let Some(job) = self.take_job(id) {
            self.counters.shed.add();
            self.frontend.answer(job, Answer::Shed(retry_after));
        }
    }

    fn fail(&mut self, id: RequestId) {
        log::debug!(event = "request_failed", request = id; "request failed");
        if let Some(job) = self.take_job(id) {
            self.counters.failed.add();
            self.frontend.answer(job, Answer::Failed);
        }
    }

    fn cancel(&mut self, attempt_id: AttemptId) {
        let entry =
            self.requests.get_mut(attempt_id.request).filter(|e| e.attempts == attempt_id.attempt + 1);
        if let Some(attempt) = entry.and_then(|e| e.attempt.begin_stop()) {
            self.frontend.stop(attempt, Outcome::Cancelled);
        }
    }

    fn probe(&mut self, worker: WorkerId) {
        self.counters.probes.add();
        // Requests may wait for the result: a frontend that can't probe counts as a failed probe.
        if !self.frontend.probe(worker) {
            self.events.push_back(Event::ProbeEnded { worker, responded: false, report: None });
        }
    }

    /// Takes the job of a request that is about to be answered.
    fn take_job(&mut self, id: RequestId) -> Option<F::Job> {
        let job = self.requests.get_mut(id).and_then(|e| e.job.take());
        self.remove_if_finished(id);
        job
    }

    /// Starts an attempt unless it would break an invariant, which a fault in the decision module may cause.
    fn send(&mut self, id: RequestId, worker: WorkerId) {
        let Some(entry) = self.requests.get_mut(id) else { return self.abort_unsent(id) };
        if let Some(invariant) = broken_invariant(entry) {
            self.counters.violations.add(invariant, id);
            return self.abort_unsent(id);
        }
        let Some(job) = entry.job.as_ref().filter(|_| entry.deadline > Instant::now()) else {
            return self.abort_unsent(id);
        };
        // The client may have left unnoticed, for example while its socket was frozen for a handover.
        if !self.frontend.is_client_waiting(job) {
            return self.abort_without_client(id);
        }
        let attempt_id = AttemptId { request: id, attempt: entry.attempts };
        log::debug!(
            event = "attempt_sent", request = id, attempt = attempt_id.attempt,
            worker:% = format_args!("{:016x}", worker.0); "attempt sent"
        );
        let deadline = entry.deadline;
        entry.attempts += 1;
        let (sent_at, max_attempts) = (Instant::now(), entry.max_attempts);
        entry.last_attempt = Some(AttemptStart { worker, sent_at, started_at: None, deadline, max_attempts });
        entry.attempt = AttemptState::Running(self.frontend.send(attempt_id, job, worker, deadline));
        self.counters.attempts_sent.add();
        self.add_in_flight();
    }

    /// Drops a request whose client left before it was sent. The decision module is told that first, then that
    /// nothing was sent.
    fn abort_without_client(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.job = None;
        self.counters.client_left.add();
        self.events.push_back(Event::ClientDisconnected { id });
        self.abort_unsent(id);
        self.remove_if_finished(id);
    }

    /// Reports to the decision module that an attempt was not sent.
    fn abort_unsent(&mut self, id: RequestId) {
        self.counters.not_sent.add();
        let Some(entry) = self.requests.get_mut(id).filter(|e| !e.attempt.is_in_flight()) else { return };
        let (attempt, request_done) = (entry.attempts, entry.job.is_none());
        entry.attempts += 1;
        let end = AttemptEnd {
            id,
            attempt,
            outcome: Outcome::NotSent,
            request_done,
            not_attributable: false,
            report: None,
        };
        self.events.push_back(Event::AttemptEnded(end));
    }
}

/// The invariant that sending this request now would break, if any.
fn broken_invariant<F: Frontend>(entry: &RequestEntry<F>) -> Option<Invariant> {
    if entry.attempt.is_in_flight() {
        Some(Invariant::SingleAttempt)
    } else if entry.attempts >= entry.max_attempts {
        Some(Invariant::AttemptLimit)
    } else if !entry.retry_rules.allows(entry.first_possible_execution) {
        Some(Invariant::RetryAllowed)
    } else {
        None
    }
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::RequestGivenUp { request: id, reason } => {
            log::debug!(event = "request_given_up", request = id, reason:?; "request given up; no further attempt");
        }
        Notice::WorkerUnresponsive { worker } => log_ejected(*worker, "no_response"),
        Notice::WorkerFailing { worker } => log_ejected(*worker, "failed_job"),
        Notice::WorkerRecovered { worker } => log::info!(
            event = "endpoint_readmitted", worker:% = format_args!("{:016x}", worker.0); "endpoint readmitted"
        ),
        Notice::Throttling { admitted_per_s: admitted, offered_per_s: offered } => log::info!(
            event = "admission_limited", admitted_per_s:% = format_args!("{admitted:.1}"),
            offered_per_s:% = format_args!("{offered:.1}"); "admission limited"
        ),
        Notice::EndpointListUnavailable => {
            log::warn!(event = "endpoint_list_unavailable"; "endpoint list unavailable; requesting it again");
        }
    }
}

fn log_ejected(worker: WorkerId, reason: &str) {
    log::warn!(
        event = "endpoint_ejected", worker:% = format_args!("{:016x}", worker.0), reason;
        "endpoint ejected; it gets only occasional requests"
    );
}
