//! Events of a request: submission, end of an attempt, deadline, departure of the client, and transfer to another
//! process.

use super::attempt_updates::AttemptUpdates;
use super::queue::AttemptReport;
use super::request_table::{AttemptState, RequestEntry, RetryRules};
use super::{Answer, AttemptId, AttemptStart, Dispatcher, Frontend};
use dispatch_policy::api::{AttemptEnd, Event, Micros, Outcome, Request, RequestId};
use std::time::Duration;
use tokio::time::Instant;

/// Time that a request waits in the queue from which on the decision module is told: less is within the margin before the
/// deadline in which it answers.
const NOTABLE_WAIT: Duration = Duration::from_millis(10);

impl<F: Frontend> Dispatcher<F> {
    /// Adds a request to the table and passes it to the decision module, which gets the time that is left now if the request
    /// has waited.
    pub(super) fn submit(&mut self, mut request: Request, job: F::Job, submitted_at: Instant) {
        self.counters.requests_accepted.add();
        let now = Instant::now();
        let requested = submitted_at + Duration::from_micros(request.time_left_us);
        let deadline = self.limited_deadline(request.class, requested);
        if deadline < requested || now.saturating_duration_since(submitted_at) >= NOTABLE_WAIT {
            request.time_left_us = deadline.saturating_duration_since(now).as_micros() as Micros;
        }
        let entry = RequestEntry {
            job: Some(job),
            class: request.class,
            deadline,
            is_deadline_limited: false,
            attempts: 0,
            max_attempts: self.settings.max_attempts,
            last_attempt: None,
            retry_rules: RetryRules::for_class(&self.settings, request.class),
            first_possible_execution: None,
            attempt: AttemptState::Idle,
        };
        self.requests.insert(request.id, entry);
        self.timers.schedule_deadline(deadline, request.id);
        self.notify_policy_at(Event::RequestReceived(request), now);
        if let Some(job) = self.requests.get(request.id).and_then(|e| e.job.as_ref()) {
            self.frontend.accepted(job);
        }
    }

    /// Adds a request whose first attempt was sent by the predecessor process. The decision module gets the time that is left
    /// now, as the request may have waited since its offer.
    pub(super) fn adopt(&mut self, mut request: Request, job: F::Job, sent: AttemptStart) {
        self.counters.transferred_in.add();
        self.add_in_flight();
        let id = request.id;
        let deadline = self.limited_deadline(request.class, sent.deadline);
        request.time_left_us = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let attempt =
            self.frontend.send(AttemptId { request: id, attempt: 0 }, &job, sent.worker, sent.deadline);
        let entry = RequestEntry {
            job: Some(job),
            class: request.class,
            deadline,
            is_deadline_limited: false,
            attempts: 1,
            max_attempts: sent.max_attempts,
            last_attempt: Some(sent),
            retry_rules: RetryRules::for_class(&self.settings, request.class),
            first_possible_execution: None,
            attempt: AttemptState::Running(attempt),
        };
        self.requests.insert(id, entry);
        self.timers.schedule_deadline(deadline, id);
        let us_since = |at: Instant| at.elapsed().as_micros() as Micros;
        let (since_sent_us, since_started_us) = (us_since(sent.sent_at), sent.started_at.map(us_since));
        self.notify_policy(Event::RequestAdopted {
            request,
            worker: sent.worker,
            max_attempts: sent.max_attempts,
            since_sent_us,
            since_started_us,
        });
    }

    /// Handles the departure of the client; no effect after the answer.
    pub(super) fn client_left(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id).filter(|e| e.job.is_some()) else { return };
        entry.job = None;
        self.counters.client_left.add();
        log::debug!(event = "client_left", request = id; "client left before its answer");
        // Done even if the settings don't let the decision module cancel attempts.
        if let Some(attempt) = entry.attempt.running() {
            self.frontend.abandon(attempt);
        }
        self.notify_policy(Event::ClientDisconnected { id });
        self.remove_if_finished(id);
    }

    /// Handles the reports of a worker about an attempt; no effect after the attempt's end.
    pub(super) fn attempt_updated(&mut self, attempt_id: AttemptId, updates: AttemptUpdates) {
        if !self.requests.is_in_flight(attempt_id) {
            return;
        }
        let AttemptId { request: id, attempt } = attempt_id;
        if updates.is_acknowledged {
            self.counters.acknowledged.add();
            self.notify_policy(Event::Acknowledged { id, attempt });
        }
        if updates.is_started {
            self.attempt_started(attempt_id);
        }
        if let Some(done) = updates.progress {
            self.notify_policy(Event::Progress { id, attempt, done });
        }
    }

    /// Handles the start of the execution at the worker.
    fn attempt_started(&mut self, attempt_id: AttemptId) {
        if let Some(last) = self.requests.get_mut(attempt_id.request).and_then(|e| e.last_attempt.as_mut()) {
            last.started_at = last.started_at.or(Some(Instant::now()));
        }
        self.notify_policy(Event::Started { id: attempt_id.request, attempt: attempt_id.attempt });
    }

    /// Handles the end of an attempt. Of two outcomes of one attempt, only the first counts.
    pub(super) fn attempt_ended(&mut self, end: AttemptReport) {
        let AttemptReport {
            attempt_id: AttemptId { request: id, attempt },
            outcome,
            report,
            result,
            not_attributable,
        } = end;
        if !self.requests.is_in_flight(end.attempt_id) {
            log::warn!(
                event = "attempt_ended_twice", request = id, attempt = attempt; "second outcome of an attempt ignored"
            );
            return;
        }
        self.counters.count_outcome(outcome);
        log::debug!(
            event = "attempt_ended", request = id, attempt = attempt, outcome:?, blameless = not_attributable;
            "attempt ended"
        );
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.attempt = AttemptState::Idle;
        if !outcome.proves_not_executed() {
            entry.first_possible_execution =
                entry.first_possible_execution.or(entry.last_attempt.map(|sent| sent.sent_at));
        }
        self.counters.in_flight.set(self.counters.in_flight.get() - 1);
        if outcome == Outcome::Success {
            if let Some(job) = entry.job.take() {
                self.counters.served.add();
                self.frontend.answer(job, Answer::Served(result));
            }
        }
        let request_done = entry.job.is_none();
        self.notify_policy(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done,
            not_attributable,
            report,
        }));
        self.remove_if_finished(id);
    }

    /// Handles the deadline, when the client stops waiting: an attempt in flight times out, and the decision module
    /// fails the request.
    pub(super) fn deadline_reached(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.is_deadline_limited {
            return self.fail_before_deadline(id);
        }
        if entry.attempt.is_in_flight() {
            if let Some(attempt) = entry.attempt.begin_stop() {
                self.frontend.stop(attempt, Outcome::Timeout);
            }
            return;
        }
        // The decision module answers queued requests before their deadline; if it did not, the answer is sent here.
        if let Some(job) = entry.job.take() {
            log::error!(
                event = "request_unanswered_at_deadline", request = id; "request not answered by its deadline; failed"
            );
            self.counters.failed.add();
            self.frontend.answer(job, Answer::Failed);
            self.notify_policy(Event::ClientDisconnected { id });
        }
        self.remove_if_finished(id);
    }

    /// Running attempts whose requests may be transferred to another process. The transfer carries no more than a
    /// first attempt: after a retry, the decision module's state would be lost.
    pub(super) fn transferable(&self) -> Vec<AttemptId> {
        let first_attempts = self.requests.iter().filter(|(_, entry)| {
            entry.attempts == 1 && entry.job.is_some() && entry.attempt.running().is_some()
        });
        first_attempts.map(|(id, _)| AttemptId { request: *id, attempt: 0 }).collect()
    }

    /// Lets the frontend freeze the request of an attempt that still runs.
    pub(super) fn freeze_for_transfer(&mut self, attempt_id: AttemptId) {
        if !self.requests.is_in_flight(attempt_id) {
            return;
        }
        let Some(entry) = self.requests.get(attempt_id.request) else { return };
        let (Some(job), Some(attempt), Some(sent)) =
            (&entry.job, entry.attempt.running(), &entry.last_attempt)
        else {
            return;
        };
        self.frontend.freeze_for_transfer(sent, job, attempt);
    }

    /// Removes a request without an answer because another process continues this attempt.
    pub(super) fn transferred(&mut self, attempt_id: AttemptId) {
        if !self.requests.is_in_flight(attempt_id) {
            let AttemptId { request, attempt } = attempt_id;
            log::error!(event = "ended_attempt_transferred", request, attempt;
                "transfer of an attempt that has ended; its request stays");
            return;
        }
        let Some(entry) = self.remove(attempt_id.request) else { return };
        // A client that has left is already counted.
        if entry.job.is_some() {
            self.counters.transferred_out.add();
        }
        if let AttemptState::Running(attempt) = entry.attempt {
            self.frontend.stop(attempt, Outcome::Cancelled);
        }
        let (id, attempt, outcome) = (attempt_id.request, attempt_id.attempt, Outcome::Cancelled);
        self.notify_policy(Event::ClientDisconnected { id });
        self.notify_policy(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: true,
            not_attributable: false,
            report: None,
        }));
    }

    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.is_finished(id) {
            self.remove(id);
        }
    }

    /// Removes a request and its deadline timer, which would otherwise hold memory until the deadline, up to a day
    /// later.
    fn remove(&mut self, id: RequestId) -> Option<RequestEntry<F>> {
        let entry = self.requests.remove(id)?;
        self.timers.cancel_deadline(entry.deadline, id);
        let in_flight = usize::from(entry.attempt.is_in_flight());
        self.counters.in_flight.set(self.counters.in_flight.get() - in_flight);
        Some(entry)
    }

    pub(super) fn add_in_flight(&self) {
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }
}
