//! Load reports of workers: the capacity that they show, their age, and whether they are reliable.

use crate::api::{LoadReport, Micros, Settings};
use crate::concurrency_limit::{FLEET_GAIN, INITIAL_LIMIT, REJECTION_GAIN};

/// Age up to which a report's free slots are used.
pub const MAX_FRESH_AGE_US: Micros = 80_000;
/// Ratio of unchanged reports above which reports are considered unreliable.
const MAX_STALE_RATIO: f64 = 0.4;
/// Change of the slots in flight that should change a report.
const MIN_VISIBLE_CHANGE_SLOTS: f64 = 0.5;
/// Free slots that a worker needs to receive a request.
pub const MIN_FREE_SLOTS: f64 = 0.9;
/// A mean capacity below one slot is raised in each period, so that a full fleet is tried again: to this
/// fraction of it plus these slots.
const FULL_FLEET_KEPT_RATIO: f64 = 0.9;
const FULL_FLEET_ADDED_SLOTS: f64 = 0.1;

/// The last load report of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    /// Reported free slots, minus those of requests queued there and of requests sent since.
    pub free_slots: f64,
    /// When it was received.
    pub received_at: Micros,
    report: LoadReport,
    /// Slots of this dispatcher's requests in flight at that time.
    in_flight_slots: f64,
}

impl ReportedLoad {
    /// Whether it is recent enough to be used.
    pub fn is_fresh(&self, now: Micros) -> bool {
        now < self.received_at + MAX_FRESH_AGE_US
    }
}

/// Capacity that a load report shows.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCapacity {
    free_slots: f64,
    queued: f64,
    /// Whether the worker has capacity, judged by its queue if reported, else by its free slots.
    pub has_capacity: bool,
}

impl ReportedCapacity {
    /// The capacity that a report shows; `None` if it lacks free slots.
    pub fn from_report(report: LoadReport) -> Option<ReportedCapacity> {
        let free_slots = report.free_slots?;
        let queued = report.queued.unwrap_or(0.0).max(0.0);
        let free_slots = free_slots.min(report.free_memory.unwrap_or(free_slots));
        let has_capacity = if report.queued.is_some() { queued < 0.5 } else { free_slots >= 0.5 };
        Some(ReportedCapacity { free_slots, queued, has_capacity })
    }

    /// Whether slots are free beyond those needed by queued requests.
    pub fn has_free_slots(&self) -> bool {
        self.free_slots - self.queued >= MIN_FREE_SLOTS
    }

    /// The load to store for the worker.
    pub fn to_reported_load(&self, report: LoadReport, in_flight_slots: f64, now: Micros) -> ReportedLoad {
        ReportedLoad {
            free_slots: self.free_slots.max(0.0) - self.queued,
            received_at: now,
            report,
            in_flight_slots,
        }
    }
}

/// Reliability of all workers' reports, and the mean capacity that they show.
pub struct ReportQuality {
    /// Ratio of reports that did not change although requests in flight did.
    stale_ratio: f64,
    /// Mean slots per worker that are available to this dispatcher.
    pub mean_capacity: f64,
}

impl Default for ReportQuality {
    fn default() -> Self {
        ReportQuality { stale_ratio: 0.0, mean_capacity: INITIAL_LIMIT }
    }
}

impl ReportQuality {
    /// Whether requests are sent only to workers whose fresh report shows capacity. This requires reliable
    /// reports of free slots, load probes, and workers that do not report starts.
    pub fn requires_fresh_reports(&self, settings: &Settings) -> bool {
        let reports_only = settings.reports_free_slots && !settings.reports_start;
        settings.can_probe && reports_only && self.stale_ratio < MAX_STALE_RATIO
    }

    /// Whether capacity is estimated from reports of any age.
    pub fn estimates_capacity(&self, settings: &Settings) -> bool {
        let reports_only = settings.reports_free_slots && !settings.reports_start;
        reports_only && !self.requires_fresh_reports(settings)
    }

    /// Compares a report with the previous one if requests in flight have changed in between.
    pub fn record(&mut self, previous: &ReportedLoad, report: LoadReport, in_flight_slots: f64, now: Micros) {
        let has_changed = (previous.in_flight_slots - in_flight_slots).abs() > MIN_VISIBLE_CHANGE_SLOTS;
        if has_changed && now < previous.received_at + 4 * MAX_FRESH_AGE_US {
            let unchanged = f64::from(u8::from(previous.report == report));
            self.stale_ratio += REJECTION_GAIN / 2.0 * (unchanged - self.stale_ratio);
        }
    }

    /// Records the capacity of a worker, in slots.
    pub fn record_capacity(&mut self, capacity_slots: f64) {
        self.mean_capacity += FLEET_GAIN * (capacity_slots - self.mean_capacity);
    }

    /// Ends a period: slightly raises the mean capacity if the fleet is full.
    pub fn end_period(&mut self) {
        let raised = self.mean_capacity * FULL_FLEET_KEPT_RATIO + FULL_FLEET_ADDED_SLOTS;
        self.mean_capacity = self.mean_capacity.max(raised);
    }
}
