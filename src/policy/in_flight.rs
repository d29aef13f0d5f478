//! Attempts in flight: what their workers report, and what happens when they report nothing.

use super::{Due, Policy};
use crate::api::{Action, Idempotency, Micros, Notice, RequestId};
use crate::attempt_timeout::{is_unacknowledged, timeout};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{Attempt, FirstExecution, Phase, RequestState};
use crate::table::WorkerIndex;

/// What a timeout of an attempt tells.
struct Silence {
    /// When its worker last reported anything of it.
    since: Micros,
    timeout: Micros,
    /// Whether its worker owes the acknowledgement: its connection has fallen silent, which tells nothing of
    /// the worker.
    is_unacknowledged: bool,
    /// Whether its worker responded to other requests since.
    worker_responds: bool,
    /// Whether it waits behind other dispatchers' requests.
    waits_for_others: bool,
}

impl Policy {
    pub(super) fn acknowledged(&mut self, id: RequestId, number: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.in_flight_mut(id, number) else { return };
        request.attempt.acknowledged = true;
        request.attempt.last_report_at = now;
        let worker = request.attempt.worker;
        self.worker_responded(worker, false, out);
        self.schedule(self.attempt_timeout(id), Due::AttemptTimeout { id, attempt: number });
    }

    pub(super) fn progressed(&mut self, id: RequestId, number: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.in_flight_mut(id, number) else { return };
        request.attempt.last_report_at = now;
        let worker = request.attempt.worker;
        self.worker_responded(worker, false, out);
    }

    pub(super) fn started(&mut self, id: RequestId, number: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.in_flight_mut(id, number) else { return };
        let class = request.class;
        let attempt = &mut request.attempt;
        let (worker, was_overdue, is_first) = (attempt.worker, attempt.overdue, attempt.started_at.is_none());
        attempt.last_report_at = now;
        attempt.started_at = attempt.started_at.or(Some(now));
        attempt.overdue = false;
        self.backoff.record_started(worker, class);
        self.endpoints.workers[worker].concurrency.overdue -= u32::from(was_overdue);
        self.worker_responded(worker, false, out);
        if is_first && !was_overdue {
            self.record_room(worker, true);
        }
    }

    pub(super) fn streaming(&mut self, id: RequestId, number: u32) {
        if let Some(request) = self.requests.in_flight_mut(id, number) {
            request.is_streaming = true;
        }
    }

    /// Records a sign of life of a worker.
    pub(super) fn worker_responded(&mut self, index: WorkerIndex, served: bool, out: &mut Vec<Action>) {
        let worker = &mut self.endpoints.workers[index];
        let (id, recovered) = (worker.id, worker.health.record_response(self.now, served));
        if recovered {
            self.notify(Notice::WorkerRecovered { worker: id }, out);
        }
    }

    /// Records whether an attempt found room at a worker.
    pub(super) fn record_room(&mut self, index: WorkerIndex, has_room: bool) {
        let concurrency = &mut self.endpoints.workers[index].concurrency;
        self.saturation.record_room(has_room);
        concurrency.record_room(has_room);
        self.window.record_start(has_room);
        concurrency.adjust(has_room);
    }

    /// How long the worker of a request's attempt may report nothing of it.
    pub(super) fn attempt_timeout(&self, id: RequestId) -> Micros {
        let request = &self.requests[id];
        let placement = self.placement();
        let others_wait = placement.is_filled_by_others(request.attempt.worker);
        let estimates_capacity = self.reports.estimates_capacity(&self.settings);
        timeout(&self.settings, request, &self.classes[request.class], others_wait, estimates_capacity)
    }

    /// Looks after an attempt whose timeout may have passed: its worker or its connection may hang.
    pub(super) fn check_attempt(&mut self, id: RequestId, number: u32, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).copied() else { return };
        let is_out = request.phase == Phase::InFlight && request.attempts == number + 1;
        if !is_out || request.is_streaming || request.attempt.cancelled {
            return;
        }
        let (attempt, again) = (request.attempt, Due::AttemptTimeout { id, attempt: number });
        let since = attempt.sent_at.max(attempt.last_report_at);
        let timeout = self.attempt_timeout(id);
        if since + timeout > self.now {
            return self.timers.add(since + timeout, again);
        }
        let is_unacknowledged = is_unacknowledged(&self.settings, &attempt);
        let owes_start = self.settings.reports_start && attempt.started_at.is_none();
        if !is_unacknowledged && owes_start && !attempt.overdue {
            self.mark_overdue(id, attempt.worker);
            let timeout = self.attempt_timeout(id);
            return self.timers.add(since + timeout, again);
        }
        let silence = self.silence(&attempt, since, timeout, is_unacknowledged);
        self.blame_silence(id, &request, &silence, out);
        if (self.now - request.admitted_at) as f64 > LATE_LATENCY_RATIO * self.objective_us(request.class) {
            self.record_latency(id, LATE_LATENCY_RATIO);
        }
        if self.should_move(id, &silence) {
            if let Some(request) = self.requests.get_mut(id) {
                request.attempt.cancelled = true;
            }
            return out.push(Action::Cancel { id, attempt: number });
        }
        self.schedule(timeout, again);
    }

    fn silence(&self, attempt: &Attempt, since: Micros, timeout: Micros, is_unacknowledged: bool) -> Silence {
        let worker = &self.endpoints.workers[attempt.worker];
        let is_filled = self.placement().is_filled_by_others(attempt.worker);
        Silence {
            since,
            timeout,
            is_unacknowledged,
            worker_responds: worker.health.last_response_at() > since,
            waits_for_others: is_filled && attempt.started_at.is_none() && !is_unacknowledged,
        }
    }

    /// A request that has not started in time seems to wait at its worker: nothing more goes there until it
    /// starts.
    fn mark_overdue(&mut self, id: RequestId, worker: WorkerIndex) {
        self.endpoints.workers[worker].concurrency.overdue += 1;
        self.record_room(worker, false);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt.overdue = true;
        }
    }

    /// Holds a timeout against the connection, the worker for this class, or the worker.
    fn blame_silence(
        &mut self,
        id: RequestId,
        request: &RequestState,
        silence: &Silence,
        out: &mut Vec<Action>,
    ) {
        let (worker, responds) = (request.attempt.worker, silence.worker_responds);
        let waits = silence.waits_for_others;
        let is_certain = !responds || silence.since + 2 * silence.timeout <= self.now;
        if silence.is_unacknowledged {
            self.give_up_attempt(id);
        } else if self.settings.reports_start && !waits && is_certain {
            // A worker may leave some classes unanswered: this one stays away, and frees its place.
            self.backoff.record_unanswered(worker, request.class, self.now);
            if responds {
                self.give_up_attempt(id);
            }
        }
        let worker = &mut self.endpoints.workers[worker];
        if !responds && !waits && !worker.health.is_unresponsive() {
            worker.health.eject_unresponsive(self.now);
            let notice = Notice::WorkerUnresponsive { worker: worker.id };
            self.notify(notice, out);
        }
    }

    /// Frees the place of an attempt at its worker before it has ended.
    fn give_up_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.attempt.given_up) else {
            return;
        };
        let was_overdue = std::mem::take(&mut request.attempt.overdue);
        request.attempt.given_up = true;
        let concurrency = &mut self.endpoints.workers[request.attempt.worker].concurrency;
        concurrency.in_flight -= request.slots;
        concurrency.overdue -= u32::from(was_overdue);
        self.window.release(request.slots);
    }

    /// Whether an attempt is cancelled, so that its request is sent elsewhere: where the request may be
    /// executed again, and that still helps.
    fn should_move(&mut self, id: RequestId, silence: &Silence) -> bool {
        let request = self.requests[id];
        let attempt = request.attempt;
        let class = self.settings.class(request.class);
        let may_move = self.settings.can_cancel && class.idempotency != Idempotency::NotIdempotent;
        let is_lost = self.endpoints.workers[attempt.worker].health.is_unresponsive()
            || attempt.given_up
            || silence.waits_for_others
            || self.reports.estimates_capacity(&self.settings);
        let deduplicated_until = attempt.sent_at + class.deduplication_window_us;
        if !may_move || !is_lost || request.attempts >= request.max_attempts {
            return false;
        }
        if !self.retries.allows(&self.settings, self.now) {
            return false;
        }
        if silence.is_unacknowledged || silence.waits_for_others {
            return true;
        }
        let executed = FirstExecution { worker: attempt.worker, deduplicated_until };
        let first_execution = request.first_execution.or(Some(executed));
        self.select_worker(&RequestState { first_execution, ..request }).is_some()
    }
}
