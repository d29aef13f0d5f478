//! Requests that are retried, answered late, or given up.

use super::{Due, Policy};
use crate::api::{Action, Idempotency, Micros, Notice, Outcome, Reason, RequestId};
use crate::rate_control::LATE_LATENCY_RATIO;
use crate::requests::{FirstExecution, Phase, RequestState};
use crate::retry;

/// Suggested wait where a late answer has no value: a longer one would make the retry miss its objective.
const PROMPT_RETRY: Micros = 10_000;

impl Policy {
    /// Decides what becomes of a request whose attempt failed.
    pub(super) fn retry_or_give_up(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if !outcome.proves_not_executed() && request.first_execution.is_none() {
            let window = self.settings.class(request.class).deduplication_window_us;
            let deduplicated_until = request.attempt.sent_at + window;
            let worker = request.attempt.worker;
            request.first_execution = Some(FirstExecution { worker, deduplicated_until });
        }
        let request = *request;
        if let Some(reason) = self.reason_to_give_up(id, &request, outcome) {
            return self.give_up(id, reason, out);
        }
        self.timers.add(request.send_by, Due::SendBy { id });
        self.requests.wait(id);
    }

    fn reason_to_give_up(
        &mut self,
        id: RequestId,
        request: &RequestState,
        outcome: Outcome,
    ) -> Option<Reason> {
        let has_attempts = request.attempts < request.max_attempts
            && outcome != Outcome::NotSent
            && self.now < request.deadline;
        if !has_attempts {
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
        if self.now >= request.send_by && !self.may_be_late(id) {
            return Some(Reason::TooLate);
        }
        None
    }

    /// A request that waits can't be in time any more: it waits on behind those that can, or is rejected.
    pub(super) fn send_by_passed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let is_held = |request: &RequestState| matches!(request.phase, Phase::Queued | Phase::Waiting);
        let passed = |request: &RequestState| is_held(request) && self.now >= request.send_by;
        if self.requests.get(id).is_some_and(passed) && !self.may_be_late(id) {
            self.give_up(id, Reason::TooLate, out);
        }
    }

    /// Lets a request be late, once, where a late answer has a value and there is time for it.
    fn may_be_late(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        // Where room is estimated, a request may wait at its worker for as long as it runs.
        let runs = if self.reports.estimates_capacity(&self.settings) { 2 } else { 1 };
        let run = self.classes[request.class].median_run_us as Micros;
        let send_by = request.deadline.saturating_sub(runs * run);
        let is_worthless = self.settings.class(request.class).late_weight <= 0.0;
        if request.is_late || is_worthless || self.now >= send_by {
            return false;
        }
        self.requests.mark_late(id, send_by);
        self.timers.add(send_by, Due::SendBy { id });
        true
    }

    /// Gives a request its final answer unserved: a rejection where its client may retry it, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        if self.requests.get(id).is_some_and(|request| request.phase != Phase::Queued) {
            self.record_latency(id, LATE_LATENCY_RATIO);
        }
        let Some(request) = self.requests.remove(id) else { return };
        out.push(Action::Notify(Notice::RequestGivenUp { request: id, reason }));
        self.classes[request.class].record_unserved();
        let class = self.settings.class(request.class);
        let longest_wait = if class.late_weight > 0.0 { Micros::MAX } else { PROMPT_RETRY };
        let is_rejection = request.first_execution.is_none() || retry::client_may_retry(class);
        out.push(if is_rejection {
            Action::Reject { id, retry_after_us: self.settings.max_retry_after_us.min(longest_wait) }
        } else {
            Action::Fail { id }
        });
    }
}
