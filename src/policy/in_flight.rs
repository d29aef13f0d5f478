//! Handles worker reports about attempts in flight, and timeouts of attempts without reports.

use super::{Policy, TimerKind};
use crate::api::{Action, Idempotency, Micros, Notice, RequestId};
use crate::attempt_timeout::{is_unacknowledged, timeout};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{Attempt, FirstExecution, RequestState, RequestStatus};
use crate::table::WorkerIndex;

/// Context of an attempt whose report timeout has passed.
struct ReportTimeout {
    /// Time of the worker's last report about the attempt.
    since: Micros,
    timeout: Micros,
    /// Whether the acknowledgement is missing: the connection is unresponsive, which says nothing about the
    /// worker.
    is_unacknowledged: bool,
    /// Whether the worker has responded to other requests since then.
    worker_responded_since: bool,
    /// Whether the attempt is queued at the worker behind other dispatchers' requests.
    is_queued_behind_others: bool,
}

impl Policy {
    pub(super) fn acknowledged(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.in_flight_mut(id, number) else { return };
        request.attempt.acknowledged = true;
        request.attempt.last_report_at = now;
        let worker = request.attempt.worker;
        self.worker_responded(worker, false, actions);
        self.schedule(self.attempt_timeout(id), TimerKind::AttemptTimeout { id, attempt: number });
    }

    pub(super) fn progressed(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.in_flight_mut(id, number) else { return };
        request.attempt.last_report_at = now;
        let worker = request.attempt.worker;
        self.worker_responded(worker, false, actions);
    }

    pub(super) fn started(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
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
        self.worker_responded(worker, false, actions);
        if is_first && !was_overdue {
            self.record_capacity(worker, true);
        }
    }

    pub(super) fn streaming(&mut self, id: RequestId, number: u32) {
        if let Some(request) = self.requests.in_flight_mut(id, number) {
            request.is_streaming = true;
        }
    }

    /// Records a response of any kind from a worker.
    pub(super) fn worker_responded(&mut self, index: WorkerIndex, served: bool, actions: &mut Vec<Action>) {
        let worker = &mut self.endpoints.workers[index];
        let (id, recovered) = (worker.id, worker.health.record_response(self.now, served));
        if recovered {
            self.notify(Notice::WorkerRecovered { worker: id }, actions);
        }
    }

    /// Records whether the worker had capacity for an attempt.
    pub(super) fn record_capacity(&mut self, index: WorkerIndex, has_capacity: bool) {
        let concurrency = &mut self.endpoints.workers[index].concurrency;
        self.saturation.record_capacity(has_capacity);
        concurrency.record_capacity(has_capacity);
        self.window.record_start(has_capacity);
        concurrency.adjust(has_capacity);
    }

    /// Returns how long the worker may send no report about a request's attempt.
    pub(super) fn attempt_timeout(&self, id: RequestId) -> Micros {
        let request = &self.requests[id];
        let placement = self.placement();
        let is_filled_by_others = placement.is_saturated_by_others(request.attempt.worker);
        let estimates_capacity = self.reports.estimates_capacity(&self.settings);
        timeout(
            &self.settings,
            request,
            &self.classes[request.class],
            is_filled_by_others,
            estimates_capacity,
        )
    }

    /// Checks whether an attempt's report timeout has passed, because its worker or its connection may hang.
    pub(super) fn check_attempt_timeout(&mut self, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).copied() else { return };
        let is_in_flight = request.status == RequestStatus::InFlight && request.attempts == number + 1;
        if !is_in_flight || request.is_streaming || request.attempt.cancelled {
            return;
        }
        let (attempt, timer) = (request.attempt, TimerKind::AttemptTimeout { id, attempt: number });
        let since = attempt.sent_at.max(attempt.last_report_at);
        let timeout = self.attempt_timeout(id);
        if since + timeout > self.now {
            return self.add_timer(since + timeout, timer);
        }
        let is_unacknowledged = is_unacknowledged(&self.settings, &attempt);
        let start_unreported = self.settings.reports_start && attempt.started_at.is_none();
        if !is_unacknowledged && start_unreported && !attempt.overdue {
            self.mark_overdue(id, attempt.worker);
            let timeout = self.attempt_timeout(id);
            return self.add_timer(since + timeout, timer);
        }
        let report_timeout = self.report_timeout(&attempt, since, timeout, is_unacknowledged);
        self.attribute_timeout(id, &request, &report_timeout, actions);
        if (self.now - request.admitted_at) as f64 > LATE_LATENCY_RATIO * self.objective_us(request.class) {
            self.record_latency(id, LATE_LATENCY_RATIO);
        }
        if self.should_cancel_for_retry(id, &report_timeout) {
            if let Some(request) = self.requests.get_mut(id) {
                request.attempt.cancelled = true;
            }
            return actions.push(Action::Cancel { id, attempt: number });
        }
        self.schedule(timeout, timer);
    }

    fn report_timeout(
        &self,
        attempt: &Attempt,
        since: Micros,
        timeout: Micros,
        is_unacknowledged: bool,
    ) -> ReportTimeout {
        let worker = &self.endpoints.workers[attempt.worker];
        let is_filled = self.placement().is_saturated_by_others(attempt.worker);
        ReportTimeout {
            since,
            timeout,
            is_unacknowledged,
            worker_responded_since: worker.health.last_response_at() > since,
            is_queued_behind_others: is_filled && attempt.started_at.is_none() && !is_unacknowledged,
        }
    }

    /// Marks an attempt that has not started in time and is probably queued at its worker. Nothing more is
    /// sent to the worker until the attempt starts.
    fn mark_overdue(&mut self, id: RequestId, worker: WorkerIndex) {
        self.endpoints.workers[worker].concurrency.overdue += 1;
        self.record_capacity(worker, false);
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt.overdue = true;
        }
    }

    /// Attributes a timeout to the connection, to the worker for this class only, or to the worker as a
    /// whole.
    fn attribute_timeout(
        &mut self,
        id: RequestId,
        request: &RequestState,
        report_timeout: &ReportTimeout,
        actions: &mut Vec<Action>,
    ) {
        let (worker, has_responded) = (request.attempt.worker, report_timeout.worker_responded_since);
        let is_queued = report_timeout.is_queued_behind_others;
        let is_confirmed = !has_responded || report_timeout.since + 2 * report_timeout.timeout <= self.now;
        if report_timeout.is_unacknowledged {
            self.release_slots_early(id);
        } else if self.settings.reports_start && !is_queued && is_confirmed {
            // A worker may leave some classes unanswered: this class backs off, and the attempt's slots are
            // released.
            self.backoff.record_unanswered(worker, request.class, self.now);
            if has_responded {
                self.release_slots_early(id);
            }
        }
        let worker = &mut self.endpoints.workers[worker];
        if !has_responded && !is_queued && !worker.health.is_unresponsive() {
            worker.health.eject_unresponsive(self.now);
            let notice = Notice::WorkerUnresponsive { worker: worker.id };
            self.notify(notice, actions);
        }
    }

    /// Releases an attempt's slots at its worker before the attempt has ended.
    fn release_slots_early(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.attempt.slots_released)
        else {
            return;
        };
        let was_overdue = std::mem::take(&mut request.attempt.overdue);
        request.attempt.slots_released = true;
        let concurrency = &mut self.endpoints.workers[request.attempt.worker].concurrency;
        concurrency.in_flight -= request.slots;
        concurrency.overdue -= u32::from(was_overdue);
        self.window.release(request.slots);
    }

    /// Returns whether to cancel an attempt and retry its request at another worker: only if the request may
    /// be executed again and a retry can still succeed.
    fn should_cancel_for_retry(&mut self, id: RequestId, report_timeout: &ReportTimeout) -> bool {
        let request = self.requests[id];
        let attempt = request.attempt;
        let class = self.settings.class(request.class);
        let may_reexecute = self.settings.can_cancel && class.idempotency != Idempotency::NotIdempotent;
        let is_presumed_lost = self.endpoints.workers[attempt.worker].health.is_unresponsive()
            || attempt.slots_released
            || report_timeout.is_queued_behind_others
            || self.reports.estimates_capacity(&self.settings);
        let deduplicated_until = attempt.sent_at + class.deduplication_window_us;
        if !may_reexecute || !is_presumed_lost || request.attempts >= request.max_attempts {
            return false;
        }
        if !self.retries.allows(&self.settings, self.now) {
            return false;
        }
        if report_timeout.is_unacknowledged || report_timeout.is_queued_behind_others {
            return true;
        }
        let executed = FirstExecution { locality: attempt.locality, deduplicated_until };
        let first_execution = request.first_execution.or(Some(executed));
        self.select_worker(&RequestState { first_execution, ..request }).is_some()
    }
}
