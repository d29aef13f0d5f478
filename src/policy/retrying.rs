//! Handles requests that are retried, marked late, or given up.

use super::{Policy, TimerKind};
use crate::api::{Action, Idempotency, Micros, Notice, Outcome, Reason, RequestId};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{FirstExecution, RequestState, RequestStatus};
use crate::retry;

/// Suggested retry delay where a late answer has no value: a longer delay would make the retry miss its
/// objective.
const PROMPT_RETRY_DELAY: Micros = 10_000;

impl Policy {
    /// Retries or gives up a request whose attempt failed.
    pub(super) fn retry_or_give_up(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if !outcome.proves_not_executed() && request.first_execution.is_none() {
            let window = self.settings.class(request.class).deduplication_window_us;
            let deduplicated_until = request.attempt.sent_at + window;
            let locality = request.attempt.locality;
            request.first_execution = Some(FirstExecution { locality, deduplicated_until });
        }
        let request = *request;
        if let Some(reason) = self.give_up_reason(id, &request, outcome) {
            return self.give_up(id, reason, actions);
        }
        self.add_timer(request.send_by, TimerKind::SendBy { id });
        self.requests.mark_waiting(id);
    }

    fn give_up_reason(&mut self, id: RequestId, request: &RequestState, outcome: Outcome) -> Option<Reason> {
        let may_attempt_again = request.attempts < request.max_attempts
            && outcome != Outcome::NotSent
            && self.now < request.deadline;
        if !may_attempt_again {
            return Some(Reason::AttemptsExhausted);
        }
        let may_have_executed = request.first_execution.is_some();
        let idempotency = self.settings.class(request.class).idempotency;
        if may_have_executed && idempotency == Idempotency::NotIdempotent {
            return Some(Reason::MayHaveExecuted);
        }
        if self.poison.is_quarantined(request, self.now) {
            return Some(Reason::Quarantined);
        }
        if !self.retries.allows_after(&self.settings, self.now, may_have_executed) {
            return Some(Reason::RetryBudgetExhausted);
        }
        if self.now >= request.send_by && !self.try_mark_late(id) {
            return Some(Reason::TooLate);
        }
        None
    }

    /// Handles a pending request that can no longer meet its objective: marks it late, so that it ranks
    /// behind those that can, or gives it up.
    pub(super) fn send_by_passed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_pending =
            |request: &RequestState| matches!(request.status, RequestStatus::Queued | RequestStatus::Waiting);
        let passed = |request: &RequestState| is_pending(request) && self.now >= request.send_by;
        if self.requests.get(id).is_some_and(passed) && !self.try_mark_late(id) {
            self.give_up(id, Reason::TooLate, actions);
        }
    }

    /// Marks a request as late, at most once, if a late answer has value and there is time left for one.
    fn try_mark_late(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        // Where capacity is estimated, a request may wait at its worker for up to one run time.
        let run_count = if self.reports.estimates_capacity(&self.settings) { 2 } else { 1 };
        let run_us = self.classes[request.class].median_run_us as Micros;
        let send_by = request.deadline.saturating_sub(run_count * run_us);
        let late_has_no_value = self.settings.class(request.class).late_weight <= 0.0;
        if request.is_late || late_has_no_value || self.now >= send_by {
            return false;
        }
        self.requests.mark_late(id, send_by);
        self.add_timer(send_by, TimerKind::SendBy { id });
        true
    }

    /// Sends a final answer for a request that was not served: a rejection if the client may retry it,
    /// otherwise a failure.
    pub(super) fn give_up(&mut self, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        if self.requests.get(id).is_some_and(|request| request.status != RequestStatus::Queued) {
            self.record_latency(id, LATE_LATENCY_RATIO);
        }
        let Some(request) = self.requests.remove(id) else { return };
        actions.push(Action::Notify(Notice::RequestGivenUp { request: id, reason }));
        self.classes[request.class].record_unserved();
        let class = self.settings.class(request.class);
        let max_delay = if class.late_weight > 0.0 { Micros::MAX } else { PROMPT_RETRY_DELAY };
        let may_retry = request.first_execution.is_none() || retry::client_may_retry(class);
        actions.push(if may_retry {
            Action::Reject { id, retry_after_us: self.settings.max_retry_after_us.min(max_delay) }
        } else {
            Action::Fail { id }
        });
    }
}
