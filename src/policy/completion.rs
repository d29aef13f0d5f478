//! Handles ended attempts and disconnected clients.

use super::Policy;
use crate::api::{Action, AttemptEnd, LoadReport, Notice, Outcome, RequestId};
use crate::class_backoff::{backoff_jitter, backoff_us};
use crate::endpoints::{has_many_senders, probe_interval_factor};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{RequestState, RequestStatus};
use crate::table::WorkerIndex;

/// Fraction of a typical run time after which a lost connection no longer counts as a quick failure.
const LATE_CONNECTION_LOSS: f64 = 0.5;
/// A successful run within this multiple of the typical run time shows that the worker had capacity.
const PROMPT_RUN_RATIO: f64 = 2.0;

impl Policy {
    /// Handles the end of an attempt: releases its slots, records its outcome, and finishes or retries its
    /// request.
    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.in_flight_mut(end.id, end.attempt).copied() else { return };
        self.release_slots(&request, actions);
        self.record_outcome(&request, end, actions);
        if request.status == RequestStatus::Abandoned {
            self.requests.remove(end.id);
            return;
        }
        if end.request_done || end.outcome == Outcome::Success {
            let latency = (self.now - request.admitted_at) as f64 / self.objective_us(request.class);
            self.record_latency(end.id, latency.min(LATE_LATENCY_RATIO));
            self.requests.remove(end.id);
            return;
        }
        if !end.outcome.proves_not_executed() {
            self.record_latency(end.id, LATE_LATENCY_RATIO);
        }
        self.retry_or_give_up(end.id, end.outcome, actions);
    }

    fn release_slots(&mut self, request: &RequestState, actions: &mut Vec<Action>) {
        let attempt = request.attempt;
        let worker = &mut self.endpoints.workers[attempt.worker];
        let released = if attempt.slots_released { 0.0 } else { request.slots };
        worker.concurrency.overdue -= u32::from(attempt.overdue);
        worker.concurrency.in_flight -= released;
        worker.fleet_in_flight = (worker.fleet_in_flight - request.slots).max(0.0);
        worker.last_used_at = self.now;
        self.window.release(released);
        // Idle connections from many dispatchers would exhaust the workers' connection tables; where new
        // connections cost nothing, none are kept.
        let closes_idle = self.settings.handshake_price <= 0.0 && has_many_senders(&self.settings);
        if worker.concurrency.is_idle() && closes_idle {
            actions.push(Action::CloseIdleConnections { worker: worker.id });
        }
    }

    fn record_outcome(&mut self, request: &RequestState, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (attempt, median_run_us) = (request.attempt, self.classes[request.class].median_run_us);
        let is_poison = self.record_poison_failure(request, end);
        let ran_long = (self.now - attempt.sent_at) as f64 > LATE_CONNECTION_LOSS * median_run_us;
        match end.outcome {
            Outcome::Success => self.served(request, end.report, actions),
            Outcome::Rejected => self.rejected(request, actions),
            // A connection lost after the work was done is not a quick failure, which would attract more
            // requests.
            Outcome::ConnectionLost if ran_long => self.worker_responded(attempt.worker, false, actions),
            Outcome::Error if is_poison => {}
            Outcome::ConnectionLost | Outcome::ConnectFailed if end.not_attributable => {}
            Outcome::ConnectionLost => self.connection_lost(attempt.worker, actions),
            Outcome::Error | Outcome::ConnectFailed => self.worker_failed(attempt.worker, actions),
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records a failure by the request's attributes, and returns whether the request itself caused it.
    fn record_poison_failure(&mut self, request: &RequestState, end: &AttemptEnd) -> bool {
        let is_failure = matches!(end.outcome, Outcome::Error | Outcome::ConnectionLost);
        if !is_failure || end.not_attributable {
            return false;
        }
        let connection_lost = end.outcome == Outcome::ConnectionLost;
        let others_served = self.rate_control.is_serving();
        self.poison.record_failure(request, request.attempt.worker, connection_lost, others_served, self.now)
    }

    fn served(&mut self, request: &RequestState, report: Option<LoadReport>, actions: &mut Vec<Action>) {
        let attempt = request.attempt;
        self.worker_responded(attempt.worker, true, actions);
        self.backoff.record_success(attempt.worker, request);
        self.poison.record_success(request, attempt.sent_at);
        self.rate_control.record_served();
        let started_at = attempt.started_at.unwrap_or(attempt.sent_at);
        let run_us = (self.now - started_at).max(1) as f64;
        let relative_run_time = self.classes[request.class].record_run(run_us);
        let worker = &mut self.endpoints.workers[attempt.worker];
        worker.relative_run_time.record_run(relative_run_time);
        self.kinds[worker.kind].record_run(relative_run_time);
        if self.settings.reports_start {
            return; // capacity was recorded when the attempt started
        }
        if report.is_some_and(|report| report.free_slots.is_some()) {
            self.load_reported(attempt.worker, report);
        } else {
            let median_run_us = self.classes[request.class].median_run_us;
            self.record_capacity(attempt.worker, run_us < PROMPT_RUN_RATIO * median_run_us);
        }
    }

    /// Backs off after a rejection, for longer the more attempts are rejected. Only the class or tenant backs
    /// off if its rejection ratio at this worker is much higher than that of all requests; otherwise the
    /// whole worker is paused.
    fn rejected(&mut self, request: &RequestState, actions: &mut Vec<Action>) {
        let index = request.attempt.worker;
        let median_run_us = self.classes[request.class].median_run_us;
        self.worker_responded(index, false, actions);
        let backoff_start = self.now + self.rng.below(backoff_jitter(median_run_us));
        let until = |rejection_ratio: f64| backoff_start + backoff_us(median_run_us, rejection_ratio);
        let rejection_ratio = self.endpoints.workers[index].concurrency.rejection_ratio;
        if self.backoff.record_rejection(index, request, rejection_ratio, until) {
            return;
        }
        self.record_capacity(index, false);
        let worker = &mut self.endpoints.workers[index];
        worker.health.pause_until(until(worker.concurrency.rejection_ratio));
        worker.load.free_slots = worker.load.free_slots.min(0.0);
    }

    fn connection_lost(&mut self, index: WorkerIndex, actions: &mut Vec<Action>) {
        if self.endpoints.workers[index].health.record_connection_lost(self.now) {
            self.worker_failed(index, actions);
        }
    }

    /// Ejects a worker that failed: one that fails quickly, for whatever reason, would attract requests.
    fn worker_failed(&mut self, index: WorkerIndex, actions: &mut Vec<Action>) {
        let factor = probe_interval_factor(&self.settings);
        let worker = &mut self.endpoints.workers[index];
        worker.health.record_failure(self.now, worker.is_listed, factor);
        let notice = Notice::WorkerFailing { worker: worker.id };
        self.notify(notice, actions);
    }

    /// Removes a request whose client has disconnected. If an attempt is in flight, the request is marked
    /// abandoned and the attempt is cancelled first.
    pub(super) fn client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.status != RequestStatus::InFlight {
            self.requests.remove(id);
            return;
        }
        request.status = RequestStatus::Abandoned;
        let attempt = &request.attempt;
        if self.settings.can_cancel && !attempt.cancelled && !request.is_streaming {
            actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
        }
    }
}
