//! Requests that come in, and those that another process of this dispatcher hands over.

use super::{Due, Policy};
use crate::api::{Action, Micros, Reason, Request, WorkerId};
use crate::concurrency_limit::MAX_LIMIT;
use crate::latency_objective::{head_start, slack_us};
use crate::requests::{Attempt, Phase, RequestState};
use crate::run_time::KindHistory;
use crate::table::{ClassId, KindId, RowId, TenantId};

/// Time before the client gives up by which a request that waits gets its answer.
const ANSWER_MARGIN: Micros = 30_000;
/// Time by which a client must wait less long than others did, to count as retrying.
const RETRY_MARGIN: Micros = 5_000;

impl Policy {
    /// Takes a request into its tenant's queue, or answers it at once.
    pub(super) fn receive(&mut self, received: &Request, out: &mut Vec<Action>) {
        let class = ClassId::new(received.class.min(self.classes.len() - 1));
        let tenant = TenantId::new(received.tenant.min(self.admission.tenants() - 1));
        let work_us = received.work_hint_us.map_or(self.classes[class].median_run_us, |hint| hint as f64);
        self.mean_work.record(work_us);
        let settings = self.settings.class(class);
        let slack = slack_us(settings, work_us, self.settings.late_penalty_weight > 0.0);
        let late_answers_count = settings.late_weight > 0.0;
        let spent = self.time_spent(class, received.time_left_us);
        // A client that waits less long than others did has tried before: a part of its objective is gone.
        let retries_unmarked = self.settings.unmarked_retries && spent >= RETRY_MARGIN;
        let slack = if retries_unmarked { (slack - spent as f64).max(0.0) } else { slack };
        // A marked retry has missed its objective already: it is worth what a late answer is worth.
        let is_late = received.is_retry && late_answers_count;
        let is_worthless = received.is_retry && !late_answers_count;
        let deadline = self.now + received.time_left_us.saturating_sub(ANSWER_MARGIN);
        let send_by = self.now + if is_late { received.time_left_us } else { slack as Micros };
        let request = RequestState {
            class,
            tenant,
            affinity_key: received.affinity_key,
            work_us,
            // 1 for what is no number
            slots: f64::min(received.slots.max(received.memory).max(1.0), MAX_LIMIT),
            admitted_at: self.now,
            deadline,
            send_by: send_by.min(deadline),
            is_late,
            head_start: head_start(class, &self.settings, &self.classes),
            max_attempts: self.settings.max_attempts,
            ..RequestState::default()
        };
        self.enqueue(received, request, is_worthless || retries_unmarked, out);
    }

    fn enqueue(&mut self, received: &Request, request: RequestState, is_retry: bool, out: &mut Vec<Action>) {
        let id = received.id;
        self.retries.record_received(self.now);
        self.requests.insert(id, request);
        if self.poison.is_quarantined(&request, self.now) {
            return self.give_up(id, Reason::Quarantined, out);
        }
        self.timers.add(request.send_by, Due::SendBy { id });
        if is_retry {
            return self.admission.enqueue_retry(request.tenant, id);
        }
        self.probes.record_received();
        self.admission.enqueue(request.tenant, id);
        self.rate.record_received(self.now);
    }

    /// By how much less the client waits than others of its class did.
    fn time_spent(&mut self, class: ClassId, time_left: Micros) -> Micros {
        let longest = &mut self.classes[class].longest_time_left;
        *longest = time_left.max(*longest);
        *longest - time_left
    }

    /// Takes a request that is in flight already: it occupies its place at its worker, and its times are
    /// those it had.
    pub(super) fn adopt(
        &mut self,
        received: &Request,
        worker: WorkerId,
        sent: Micros,
        started: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        self.receive(received, out);
        let index = self.endpoints.find_or_add(worker);
        self.kinds.grow_to(KindId::default(), KindHistory::default);
        let now = self.now;
        let Some(request) = self.requests.get_mut(received.id) else { return };
        let sent_at = now.saturating_sub(sent);
        let started_at = started.map(|ago| now.saturating_sub(ago));
        request.phase = Phase::InFlight;
        request.attempts = 1;
        request.admitted_at = sent_at;
        request.attempt =
            Attempt { worker: index, sent_at, started_at, last_report_at: now, ..Attempt::default() };
        let slots = request.slots;
        let worker = &mut self.endpoints.workers[index];
        worker.concurrency.in_flight += slots;
        worker.last_used_at = now;
        self.window.record_sent(slots);
        self.schedule(self.attempt_timeout(received.id), Due::AttemptTimeout { id: received.id, attempt: 0 });
    }
}
