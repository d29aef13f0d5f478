//! Requests that are sent to workers, and workers that are probed for room.

use super::{Due, Policy};
use crate::api::{Action, Idempotency, KeyScope, LoadReport, WorkerId};
use crate::concurrency_limit::MAX_LIMIT;
use crate::endpoints::{has_many_senders, probe_interval_factor, relies_on_live_weights};
use crate::latency_objective::latest_start;
use crate::load_report::{ReportedCapacity, MAX_FRESH_AGE_US};
use crate::requests::{Attempt, Phase, Rank, RequestState};
use crate::table::WorkerIndex;

impl Policy {
    /// The worker that suits a request best, if any has room.
    pub(super) fn select_worker(&mut self, request: &RequestState) -> Option<WorkerIndex> {
        let is_windowed = self.settings.reports_start && !self.settings.live_weights;
        if is_windowed && !self.window.has_capacity(request.slots) {
            return None;
        }
        let candidates = self.candidates(request);
        self.placement().select(request, candidates)
    }

    /// Workers that are looked at for a request: all of a small fleet; of a large one a sample, unless those
    /// that may execute it again are too few for a sample to find them, or all are alike by live weights.
    fn candidates(&mut self, request: &RequestState) -> Vec<WorkerIndex> {
        if self.settings.origin_fetch_price > 0.0 {
            return self.with_room.clone();
        }
        let idempotency = self.settings.class(request.class).idempotency;
        let is_bound_to_cell = idempotency == Idempotency::WithKey(KeyScope::Cell);
        let few_suit = is_bound_to_cell && request.first_execution.is_some();
        if !self.endpoints.is_large() || few_suit || relies_on_live_weights(&self.settings) {
            return self.endpoints.workers.ids().collect();
        }
        let charges_connections = self.settings.handshake_price > 0.0;
        let idle_timeout = if charges_connections { self.settings.idle_timeout_us } else { 0 };
        // Those that are probed come first.
        let waits_for_probes =
            self.reports.requires_fresh_reports(&self.settings) && self.probes.any_in_flight();
        self.endpoints.sample(!waits_for_probes, idle_timeout, &mut self.rng, self.now)
    }

    /// Probes the workers that suit a request best and whose load is not known.
    pub(super) fn probe_workers(&mut self, request: &RequestState, out: &mut Vec<Action>) {
        if !self.reports.requires_fresh_reports(&self.settings) || self.probes.any_in_flight() {
            return;
        }
        let candidates = self.candidates(request);
        let best = self.placement().select_to_probe(request, candidates);
        for index in best.into_iter().take(self.probes.available()) {
            self.probes.record_sent();
            out.push(Action::Probe { worker: self.endpoints.workers[index].id });
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

    /// Takes a worker's load report.
    pub(super) fn load_reported(&mut self, index: WorkerIndex, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        let Some(room_report) = ReportedCapacity::from_report(report) else { return };
        let worker = &mut self.endpoints.workers[index];
        let in_flight = worker.concurrency.in_flight;
        self.reports.record(&worker.load, report, in_flight, self.now);
        self.saturation.record_room(room_report.has_capacity);
        worker.concurrency.record_room(room_report.has_capacity);
        self.kinds[worker.kind].record_free_slots(room_report.has_free_slots());
        worker.load = room_report.to_reported_load(report, in_flight, self.now);
        let room = (in_flight + worker.load.free_slots).clamp(0.0, MAX_LIMIT);
        worker.concurrency.adjust_to_report(room);
        self.reports.record_capacity(room);
        self.endpoints.keep_in_samples(index);
    }

    /// Sends a waiting request to a worker.
    pub(super) fn send(&mut self, rank: Rank, index: WorkerIndex, out: &mut Vec<Action>) {
        let overdraws = self.placement().exceeds_slow_start(index, &self.requests[rank.id]);
        self.slow_start_violations += u64::from(overdraws);
        let Some(request) = self.requests.take(rank) else { return };
        let worker = &mut self.endpoints.workers[index];
        worker.slow_start = worker.slow_start.record(&self.settings.rules, worker.started_at, self.now);
        worker.concurrency.in_flight += request.slots;
        worker.load.free_slots -= request.slots;
        worker.last_used_at = self.now;
        worker.fleet_in_flight += request.slots; // the next list counts it
        worker.health.record_sent(self.now, worker.is_listed, probe_interval_factor(&self.settings));
        self.window.record_sent(request.slots);
        if self.settings.live_weights && has_many_senders(&self.settings) {
            let class = self.settings.class(request.class);
            let speed = self.live_weights.speed(worker.kind);
            let latest = latest_start(class, request.admitted_at, request.work_us, speed);
            request.send_by = latest.min(request.deadline);
        }
        if request.attempts > 0 {
            self.retries.record_retry(self.now);
        }
        let attempt = request.attempts;
        request.phase = Phase::InFlight;
        request.attempts += 1;
        request.attempt =
            Attempt { worker: index, sent_at: self.now, last_report_at: self.now, ..Attempt::default() };
        out.push(Action::Send { id: rank.id, worker: worker.id });
        self.rng.below(1); // the next choice is another one
        if self.settings.handshake_price > 0.0 {
            self.endpoints.keep_in_samples(index);
        }
        self.schedule(self.attempt_timeout(rank.id), Due::AttemptTimeout { id: rank.id, attempt });
    }
}
