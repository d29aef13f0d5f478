//! Events in the life of a request: submission, the end of an attempt, its deadline, the client's leaving and the
//! transfer to another process.

use super::queue::AttemptReport;
use super::request_table::{AttemptState, RequestEntry, RetryRules};
use super::timers::Timer;
use super::{Answer, AttemptId, AttemptStart, Dispatcher, Frontend};
use dispatch_policy::api::{AttemptEnd, Event, Micros, Outcome, Request, RequestId};
use std::time::Duration;
use tokio::time::Instant;

impl<F: Frontend> Dispatcher<F> {
    /// Enters a request into the table and hands it to the decision module.
    pub(super) fn submit(&mut self, request: Request, job: F::Job) {
        self.counters.requests_accepted.add();
        let deadline = Instant::now() + Duration::from_micros(request.time_left_us);
        let entry = RequestEntry {
            job: Some(job),
            deadline,
            attempts: 0,
            max_attempts: self.settings.max_attempts,
            last_attempt: None,
            retry_rules: RetryRules::of(&self.settings, request.class),
            may_have_run: None,
            attempt: AttemptState::Idle,
        };
        self.requests.insert(request.id, entry);
        self.timers.schedule(deadline, Timer::Deadline(request.id));
        self.notify_policy(Event::RequestReceived(request));
        if let Some(job) = self.requests.get(request.id).and_then(|e| e.job.as_ref()) {
            self.frontend.accepted(job);
        }
    }

    /// Enters a request whose first attempt another process of this node has sent.
    pub(super) fn adopt(&mut self, request: Request, job: F::Job, sent: AttemptStart) {
        self.counters.transferred_in.add();
        self.add_in_flight();
        let id = request.id;
        let attempt =
            self.frontend.send(AttemptId { request: id, attempt: 0 }, &job, sent.worker, sent.deadline);
        let entry = RequestEntry {
            job: Some(job),
            deadline: sent.deadline,
            attempts: 1,
            max_attempts: self.settings.max_attempts,
            last_attempt: Some(sent),
            retry_rules: RetryRules::of(&self.settings, request.class),
            may_have_run: None,
            attempt: AttemptState::Running(attempt),
        };
        self.requests.insert(id, entry);
        self.timers.schedule(sent.deadline, Timer::Deadline(id));
        let us_since = |at: Instant| at.elapsed().as_micros() as Micros;
        let (since_sent_us, since_started_us) = (us_since(sent.sent_at), sent.started_at.map(us_since));
        self.notify_policy(Event::RequestAdopted {
            request,
            worker: sent.worker,
            since_sent_us,
            since_started_us,
        });
    }

    /// The client has left; after the answer this changes nothing.
    pub(super) fn client_left(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id).filter(|e| e.job.is_some()) else { return };
        entry.job = None;
        self.counters.client_left.add();
        log::debug!(event = "client_left", request = id; "client left before its answer");
        // Whether the decision module may cancel the attempt or not.
        if let Some(attempt) = entry.attempt.running() {
            self.frontend.abandon(attempt);
        }
        self.notify_policy(Event::ClientDisconnected { id });
        self.remove_if_done(id);
    }

    /// The worker has started the job of this attempt.
    pub(super) fn attempt_started(&mut self, tag: AttemptId) {
        if let Some(last) = self.requests.get_mut(tag.request).and_then(|e| e.last_attempt.as_mut()) {
            last.started_at = last.started_at.or(Some(Instant::now()));
        }
        self.notify_policy(Event::Started { id: tag.request, attempt: tag.attempt });
    }

    /// An attempt has ended. Of two outcomes of one attempt, the first one counts.
    pub(super) fn attempt_ended(&mut self, end: AttemptReport) {
        let AttemptReport { id: AttemptId { request: id, attempt }, outcome, report, result, blameless } =
            end;
        if !self.requests.is_in_flight(end.id) {
            log::warn!(event = "attempt_ended_twice", request = id, attempt = attempt; "second end of an attempt ignored");
            return;
        }
        self.counters.count_outcome(outcome);
        log::debug!(event = "attempt_ended", request = id, attempt = attempt, outcome:?, blameless; "attempt ended");
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.attempt = AttemptState::Idle;
        if !outcome.proves_not_executed() {
            entry.may_have_run = entry.may_have_run.or(entry.last_attempt.map(|sent| sent.sent_at));
        }
        self.counters.in_flight.set(self.counters.in_flight.get() - 1);
        if outcome == Outcome::Success {
            if let Some(job) = entry.job.take() {
                self.counters.served.add();
                self.frontend.answer(job, Answer::Served(result));
            }
        }
        let last = entry.job.is_none();
        self.notify_policy(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: last,
            not_attributable: blameless,
            report,
        }));
        self.remove_if_done(id);
    }

    /// The client stops waiting now: an attempt in flight has timed out, and the decision module fails the request.
    pub(super) fn deadline_reached(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.attempt.is_in_flight() {
            if let Some(attempt) = entry.attempt.begin_stop() {
                self.frontend.stop(attempt, Outcome::Timeout);
            }
            return;
        }
        // The decision module answers before this what it holds; if it does not, the client gets its one answer here.
        if let Some(job) = entry.job.take() {
            log::error!(event = "request_unanswered_at_deadline", request = id; "request held up to its deadline: failed");
            self.counters.failed.add();
            self.frontend.answer(job, Answer::Failed);
            self.notify_policy(Event::ClientDisconnected { id });
        }
        self.remove_if_done(id);
    }

    /// Has the front end freeze the running jobs that can move to another process.
    pub(super) fn freeze_transferable(&mut self) {
        for (id, entry) in self.requests.iter() {
            // Of a request that was sent more than once, the decision module knows more than is transferred.
            let (Some(job), Some(attempt), Some(sent), 1) =
                (&entry.job, entry.attempt.running(), &entry.last_attempt, entry.attempts)
            else {
                continue;
            };
            self.frontend.freeze_for_transfer(AttemptId { request: *id, attempt: 0 }, sent, job, attempt);
        }
    }

    /// Another process continues this attempt: its request is removed here without an answer.
    pub(super) fn transferred(&mut self, tag: AttemptId) {
        let Some(entry) = self.remove(tag.request) else { return };
        self.counters.transferred_out.add();
        if let AttemptState::Running(attempt) = entry.attempt {
            self.frontend.stop(attempt, Outcome::Cancelled);
        }
        let (id, attempt, outcome) = (tag.request, tag.attempt, Outcome::Cancelled);
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

    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.is_done(id) {
            self.remove(id);
        }
    }

    /// Removes a request with its deadline: as a client may state a whole day, a deadline that outlived its request
    /// would hold memory for as long.
    fn remove(&mut self, id: RequestId) -> Option<RequestEntry<F>> {
        let entry = self.requests.remove(id)?;
        self.timers.cancel(entry.deadline, Timer::Deadline(id));
        let in_flight = usize::from(entry.attempt.is_in_flight());
        self.counters.in_flight.set(self.counters.in_flight.get() - in_flight);
        Some(entry)
    }

    pub(super) fn add_in_flight(&self) {
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }
}
