//! Attempts that ended, and requests whose client disconnected.

use super::Policy;
use crate::api::{Action, AttemptEnd, LoadReport, Notice, Outcome, RequestId};
use crate::class_backoff::{backoff_jitter, backoff_us};
use crate::endpoints::{has_many_senders, probe_interval_factor};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{Phase, RequestState};
use crate::table::WorkerIndex;

/// The part of a typical run time after which a lost connection is no quick failure any more.
const LATE_LOSS: f64 = 0.5;
/// Typical run times within which a served request found room.
const PROMPT_RUN: f64 = 2.0;

impl Policy {
    /// Takes an attempt's end: frees its place, learns from its outcome, and ends or retries its request.
    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(request) = self.requests.in_flight_mut(end.id, end.attempt).copied() else { return };
        self.free_place(&request, out);
        self.learn_from(&request, end, out);
        if request.phase == Phase::Abandoned {
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
        self.retry_or_give_up(end.id, end.outcome, out);
    }

    fn free_place(&mut self, request: &RequestState, out: &mut Vec<Action>) {
        let attempt = request.attempt;
        let worker = &mut self.endpoints.workers[attempt.worker];
        let freed = if attempt.given_up { 0.0 } else { request.slots };
        worker.concurrency.overdue -= u32::from(attempt.overdue);
        worker.concurrency.in_flight -= freed;
        worker.fleet_in_flight = (worker.fleet_in_flight - request.slots).max(0.0);
        worker.last_used_at = self.now;
        self.window.release(freed);
        // Idle connections of many dispatchers would fill the workers' tables; where new ones cost nothing,
        // none stays.
        let closes = self.settings.handshake_price <= 0.0 && has_many_senders(&self.settings);
        if worker.concurrency.is_idle() && closes {
            out.push(Action::CloseIdleConnections { worker: worker.id });
        }
    }

    fn learn_from(&mut self, request: &RequestState, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (attempt, typical_us) = (request.attempt, self.classes[request.class].median_run_us);
        let is_poison = self.is_poison(request, end);
        let ran_long = (self.now - attempt.sent_at) as f64 > LATE_LOSS * typical_us;
        match end.outcome {
            Outcome::Success => self.served(request, end.report, out),
            Outcome::Rejected => self.rejected(request, out),
            // A connection that is lost after the work was done is no quick failure, which would draw more
            // requests.
            Outcome::ConnectionLost if ran_long => self.worker_responded(attempt.worker, false, out),
            Outcome::Error if is_poison => {}
            Outcome::ConnectionLost | Outcome::ConnectFailed if end.not_attributable => {}
            Outcome::ConnectionLost => self.connection_lost(attempt.worker, out),
            Outcome::Error | Outcome::ConnectFailed => self.worker_failed(attempt.worker, out),
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Whether a failure is the request's own.
    fn is_poison(&mut self, request: &RequestState, end: &AttemptEnd) -> bool {
        let is_failure = matches!(end.outcome, Outcome::Error | Outcome::ConnectionLost);
        if !is_failure || end.not_attributable {
            return false;
        }
        let crashed = end.outcome == Outcome::ConnectionLost;
        let others_served = self.rate.is_serving();
        self.poison.record_failure(request, request.attempt.worker, crashed, others_served, self.now)
    }

    fn served(&mut self, request: &RequestState, report: Option<LoadReport>, out: &mut Vec<Action>) {
        let attempt = request.attempt;
        self.worker_responded(attempt.worker, true, out);
        self.backoff.record_success(attempt.worker, request);
        self.poison.record_success(request, attempt.sent_at);
        self.rate.record_served();
        let began = attempt.started_at.unwrap_or(attempt.sent_at);
        let run_us = (self.now - began).max(1) as f64;
        let relative = self.classes[request.class].record_run(run_us);
        let worker = &mut self.endpoints.workers[attempt.worker];
        worker.relative_run_time.record_run(relative);
        self.kinds[worker.kind].record_run(relative);
        if self.settings.reports_start {
            return; // its start told whether there was room
        }
        if report.is_some_and(|report| report.free_slots.is_some()) {
            self.load_reported(attempt.worker, report);
        } else {
            let typical_us = self.classes[request.class].median_run_us;
            self.record_room(attempt.worker, run_us < PROMPT_RUN * typical_us);
        }
    }

    /// A rejection makes a pause, the longer the more attempts are rejected: for the class or tenant alone
    /// where that is rejected there much more often than all requests are, else for the worker.
    fn rejected(&mut self, request: &RequestState, out: &mut Vec<Action>) {
        let index = request.attempt.worker;
        let typical_us = self.classes[request.class].median_run_us;
        self.worker_responded(index, false, out);
        let from = self.now + self.rng.below(backoff_jitter(typical_us));
        let until = |rejection_ratio: f64| from + backoff_us(typical_us, rejection_ratio);
        let rejection_ratio = self.endpoints.workers[index].concurrency.rejection_ratio;
        if self.backoff.record_rejection(index, request, rejection_ratio, until) {
            return;
        }
        self.record_room(index, false);
        let worker = &mut self.endpoints.workers[index];
        worker.health.pause_until(until(worker.concurrency.rejection_ratio));
        worker.load.free_slots = worker.load.free_slots.min(0.0);
    }

    fn connection_lost(&mut self, index: WorkerIndex, out: &mut Vec<Action>) {
        if self.endpoints.workers[index].health.record_connection_lost(self.now) {
            self.worker_failed(index, out);
        }
    }

    /// A worker that fails quickly, whatever the cause, would draw requests: it is ejected.
    fn worker_failed(&mut self, index: WorkerIndex, out: &mut Vec<Action>) {
        let factor = probe_interval_factor(&self.settings);
        let worker = &mut self.endpoints.workers[index];
        worker.health.record_failure(self.now, worker.is_listed, factor);
        let notice = Notice::WorkerFailing { worker: worker.id };
        self.notify(notice, out);
    }

    /// Ends a request whose client disconnected, or cancels its attempt first.
    pub(super) fn client_disconnected(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.phase != Phase::InFlight {
            self.requests.remove(id);
            return;
        }
        request.phase = Phase::Abandoned;
        let attempt = &request.attempt;
        if self.settings.can_cancel && !attempt.cancelled && !request.is_streaming {
            out.push(Action::Cancel { id, attempt: request.attempts - 1 });
        }
    }
}
