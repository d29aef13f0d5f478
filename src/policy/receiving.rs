//! Handles newly received requests, and requests adopted from another process of this dispatcher.

use super::{Policy, TimerKind};
use crate::api::{Action, Micros, Reason, Request, WorkerId};
use crate::concurrency_limit::MAX_LIMIT;
use crate::latency_objective::{head_start, slack_us};
use crate::requests::{Attempt, RequestState, RequestStatus};
use crate::run_time::KindHistory;
use crate::table::{ClassId, KindId, RowId, TenantId};

/// Time before the client's deadline by which a waiting request gets its answer.
const ANSWER_MARGIN: Micros = 30_000;
/// Minimum difference by which a client must have less time left than others of its class to be treated as
/// retrying.
const UNMARKED_RETRY_MARGIN: Micros = 5_000;

/// The attempt of a request that another process sent.
pub(super) struct AdoptedAttempt {
    pub worker: WorkerId,
    pub since_sent_us: Micros,
    pub since_started_us: Option<Micros>,
}

impl Policy {
    /// Adds a request to its tenant's queue, or answers it at once.
    pub(super) fn receive(&mut self, received: &Request, actions: &mut Vec<Action>) {
        let class = ClassId::new(received.class.min(self.classes.len() - 1));
        let tenant = TenantId::new(received.tenant.min(self.admission.tenants() - 1));
        let work_us = received.work_hint_us.map_or(self.classes[class].median_run_us, |hint| hint as f64);
        self.mean_work.record(work_us);
        let settings = self.settings.class(class);
        let slack = slack_us(settings, work_us, self.settings.late_penalty_weight > 0.0);
        let late_answers_have_value = settings.late_weight > 0.0;
        let already_waited = self.time_already_waited(class, received.time_left_us);
        // A client with less time left than others has sent the request before: part of its objective has
        // passed.
        let is_unmarked_retry = self.settings.unmarked_retries && already_waited >= UNMARKED_RETRY_MARGIN;
        let slack = if is_unmarked_retry { (slack - already_waited as f64).max(0.0) } else { slack };
        // A marked retry has already missed its objective, so it is worth only what a late answer is worth.
        let is_late = received.is_retry && late_answers_have_value;
        let has_no_value = received.is_retry && !late_answers_have_value;
        let deadline = self.now + received.time_left_us.saturating_sub(ANSWER_MARGIN);
        let send_by = self.now + if is_late { received.time_left_us } else { slack as Micros };
        let request = RequestState {
            class,
            tenant,
            affinity_key: received.affinity_key,
            work_us,
            // `max` replaces NaN by 1
            slots: f64::min(received.slots.max(received.memory).max(1.0), MAX_LIMIT),
            admitted_at: self.now,
            deadline,
            send_by: send_by.min(deadline),
            is_late,
            head_start: head_start(class, &self.settings, &self.classes),
            max_attempts: self.settings.max_attempts,
            ..RequestState::default()
        };
        self.enqueue(received, request, has_no_value || is_unmarked_retry, actions);
    }

    fn enqueue(
        &mut self,
        received: &Request,
        request: RequestState,
        is_retry: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = received.id;
        self.retries.record_received(&self.settings, self.now);
        self.requests.insert(id, request);
        if self.poison.is_quarantined(&request, self.now) {
            return self.give_up(id, Reason::Quarantined, actions);
        }
        self.add_timer(request.send_by, TimerKind::SendBy { id });
        if is_retry {
            return self.admission.enqueue_retry(request.tenant, id, &self.requests);
        }
        self.probes.record_received();
        self.admission.enqueue(request.tenant, id, &self.requests);
        self.rate_control.record_received(self.now);
    }

    /// Returns how much less time the client has left than the longest seen in its class.
    fn time_already_waited(&mut self, class: ClassId, time_left: Micros) -> Micros {
        let longest_time_left_seen = &mut self.classes[class].longest_time_left;
        *longest_time_left_seen = time_left.max(*longest_time_left_seen);
        *longest_time_left_seen - time_left
    }

    /// Adopts a request that is already in flight: it occupies its slots at the worker and keeps its original
    /// send and start times.
    pub(super) fn adopt(
        &mut self,
        received: &Request,
        max_attempts: u32,
        sent: AdoptedAttempt,
        actions: &mut Vec<Action>,
    ) {
        self.receive(received, actions);
        let index = self.endpoints.find_or_add(sent.worker);
        self.kinds.grow_to(KindId::default(), KindHistory::default);
        let now = self.now;
        let locality = self.endpoints.workers[index].locality;
        let Some(request) = self.requests.get_mut(received.id) else { return };
        let sent_at = now.saturating_sub(sent.since_sent_us);
        let started_at = sent.since_started_us.map(|elapsed| now.saturating_sub(elapsed));
        request.status = RequestStatus::InFlight;
        request.attempts = 1;
        request.max_attempts = max_attempts;
        request.admitted_at = sent_at;
        request.attempt = Attempt {
            worker: index,
            locality,
            sent_at,
            started_at,
            last_report_at: now,
            ..Attempt::default()
        };
        let slots = request.slots;
        let worker = &mut self.endpoints.workers[index];
        worker.concurrency.in_flight += slots;
        worker.last_used_at = now;
        self.window.record_sent(slots);
        self.schedule(
            self.attempt_timeout(received.id),
            TimerKind::AttemptTimeout { id: received.id, attempt: 0 },
        );
    }
}
