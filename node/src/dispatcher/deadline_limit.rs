//! Earlier deadlines for requests in a process that is to end before their own.

use super::{Answer, Dispatcher, Frontend};
use dispatch_policy::api::{Event, RequestId};
use tokio::time::Instant;

/// Time by which requests of some classes are answered.
pub(super) struct DeadlineLimit {
    /// Numbers of the classes.
    pub classes: Vec<usize>,
    pub until: Instant,
}

impl<F: Frontend> Dispatcher<F> {
    /// Limits the deadlines of the open requests of some classes, and of those that follow.
    pub(super) fn limit_deadlines(&mut self, limit: DeadlineLimit) {
        let outlasting = self
            .requests
            .iter_mut()
            .filter(|(_, entry)| entry.deadline > limit.until && limit.classes.contains(&entry.class));
        for (id, entry) in outlasting {
            self.timers.cancel_deadline(entry.deadline, *id);
            entry.deadline = limit.until;
            entry.is_deadline_limited = true;
            self.timers.schedule_deadline(entry.deadline, *id);
        }
        self.deadline_limit = Some(limit);
    }

    /// The deadline of a new request of this class with this deadline.
    pub(super) fn limited_deadline(&self, class: usize, deadline: Instant) -> Instant {
        let limit = self.deadline_limit.as_ref().filter(|limit| limit.classes.contains(&class));
        limit.map_or(deadline, |limit| deadline.min(limit.until))
    }

    /// Answers a request before the deadline that the decision module knows. An attempt in flight is left to its end.
    pub(super) fn fail_before_deadline(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(job) = entry.job.take() else { return };
        if let Some(attempt) = entry.attempt.running() {
            self.frontend.abandon(attempt);
        }
        log::debug!(event = "request_failed", request = id; "request failed: the process is to end before its deadline");
        self.counters.failed.add();
        self.frontend.answer(job, Answer::Failed);
        self.notify_policy(Event::ClientDisconnected { id });
        self.remove_if_finished(id);
    }
}
