//! Sends requests to workers, and probes workers for their capacity.

use super::{Policy, TimerKind};
use crate::api::{Action, Idempotency, KeyScope, LoadReport, WorkerId};
use crate::concurrency_limit::MAX_LIMIT;
use crate::endpoints::{has_many_senders, probe_interval_factor, relies_on_live_weights};
use crate::latency_objective::latest_start;
use crate::load_report::{ReportedCapacity, MAX_FRESH_AGE_US};
use crate::requests::{Attempt, Rank, RequestState, RequestStatus};
use crate::table::WorkerIndex;

impl Policy {
    /// Returns the best worker for a request, or `None` if none has capacity.
    pub(super) fn select_worker(&mut self, request: &RequestState) -> Option<WorkerIndex> {
        let uses_window = self.settings.reports_start && !self.settings.live_weights;
        if uses_window && !self.window.has_capacity(request.slots) {
            return None;
        }
        let candidates = self.candidates(request);
        self.placement().select(request, candidates)
    }

    /// Returns the workers to consider for a request: all in a small fleet, a sample in a large one. All are
    /// also considered if so few may execute the request again that a sample could miss them, or if live
    /// weights describe all of them alike.
    fn candidates(&mut self, request: &RequestState) -> Vec<WorkerIndex> {
        if self.settings.origin_fetch_price > 0.0 {
            return self.workers_with_capacity.clone();
        }
        let idempotency = self.settings.class(request.class).idempotency;
        let is_cell_scoped = idempotency == Idempotency::WithKey(KeyScope::Cell);
        let few_eligible = is_cell_scoped && request.first_execution.is_some();
        if !self.endpoints.is_large() || few_eligible || relies_on_live_weights(&self.settings) {
            return self.endpoints.workers.ids().collect();
        }
        let charges_connections = self.settings.handshake_price > 0.0;
        let idle_timeout = if charges_connections { self.settings.idle_timeout_us } else { 0 };
        // Probed workers come first: while probes are in flight, no random workers are added to the sample.
        let awaits_probes =
            self.reports.requires_fresh_reports(&self.settings) && self.probes.any_in_flight();
        self.endpoints.sample(!awaits_probes, idle_timeout, &mut self.rng, self.now)
    }

    /// Probes the best workers for a request among those whose load is unknown.
    pub(super) fn probe_workers(&mut self, request: &RequestState, actions: &mut Vec<Action>) {
        if !self.reports.requires_fresh_reports(&self.settings) || self.probes.any_in_flight() {
            return;
        }
        let candidates = self.candidates(request);
        let best = self.placement().probe_candidates(request, candidates);
        for index in best.into_iter().take(self.probes.available()) {
            self.probes.record_sent();
            actions.push(Action::Probe { worker: self.endpoints.workers[index].id });
        }
    }

    pub(super) fn probe_ended(&mut self, worker: WorkerId, responded: bool, report: Option<LoadReport>) {
        let Some(index) = self.endpoints.find(worker) else { return };
        self.probes.record_ended();
        if !responded {
            self.endpoints.workers[index].health.pause_until(self.now + MAX_FRESH_AGE_US);
        }
        self.load_reported(index, report);
    }

    /// Applies a worker's load report.
    pub(super) fn load_reported(&mut self, index: WorkerIndex, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        let Some(reported) = ReportedCapacity::from_report(report) else { return };
        let worker = &mut self.endpoints.workers[index];
        let in_flight = worker.concurrency.in_flight;
        self.reports.record(&worker.load, report, in_flight, self.now);
        self.saturation.record_capacity(reported.has_capacity);
        worker.concurrency.record_capacity(reported.has_capacity);
        self.kinds[worker.kind].record_free_slots(reported.has_free_slots());
        worker.load = reported.to_reported_load(report, in_flight, self.now);
        let capacity = (in_flight + worker.load.free_slots).clamp(0.0, MAX_LIMIT);
        worker.concurrency.adjust_to_report(capacity);
        self.reports.record_capacity(capacity);
        self.endpoints.keep_in_samples(index);
    }

    /// Sends a waiting request to a worker.
    pub(super) fn send(&mut self, rank: Rank, index: WorkerIndex, actions: &mut Vec<Action>) {
        let violates_slow_start = self.placement().exceeds_slow_start(index, &self.requests[rank.id]);
        self.slow_start_violations += u64::from(violates_slow_start);
        let Some(request) = self.requests.take_waiting(rank) else { return };
        let worker = &mut self.endpoints.workers[index];
        worker.slow_start = worker.slow_start.record(&self.settings.rules, worker.started_at, self.now);
        worker.concurrency.in_flight += request.slots;
        worker.load.free_slots -= request.slots;
        worker.last_used_at = self.now;
        worker.fleet_in_flight += request.slots; // the next endpoint list includes it
        worker.health.record_sent(self.now, worker.is_listed, probe_interval_factor(&self.settings));
        self.window.record_sent(request.slots);
        if self.settings.live_weights && has_many_senders(&self.settings) {
            let class = self.settings.class(request.class);
            let speed = self.live_weights.speed(worker.kind);
            let latest = latest_start(class, request.admitted_at, request.work_us, speed);
            request.send_by = latest.min(request.deadline);
        }
        if request.attempts > 0 {
            self.retries.record_retry(&self.settings, self.now);
        }
        let attempt = request.attempts;
        request.status = RequestStatus::InFlight;
        request.attempts += 1;
        let locality = worker.locality;
        request.attempt = Attempt {
            worker: index,
            locality,
            sent_at: self.now,
            last_report_at: self.now,
            ..Attempt::default()
        };
        actions.push(Action::Send { id: rank.id, worker: worker.id });
        self.rng.below(1); // advances the sequence, so that the next random choice differs
        if self.settings.handshake_price > 0.0 {
            self.endpoints.keep_in_samples(index);
        }
        self.schedule(self.attempt_timeout(rank.id), TimerKind::AttemptTimeout { id: rank.id, attempt });
    }
}
