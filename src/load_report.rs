//! Load reports of workers: how much room they show, how old they are, and whether they can be relied on.

use crate::api::{LoadReport, Micros, Settings};
use crate::concurrency_limit::{FLEET_GAIN, INITIAL_LIMIT, REJECTION_GAIN};

/// Age up to which a report's free slots count.
pub const MAX_FRESH_AGE_US: Micros = 80_000;
/// Ratio of reports that only repeat the one before above which they can't be relied on.
const STALE: f64 = 0.4;
/// Change of requests in flight, in slots, that a report should show.
const VISIBLE_CHANGE: f64 = 0.5;
/// Free slots that are room for a request.
pub const MIN_FREE_SLOTS: f64 = 0.9;
/// The part of the mean capacity that stays in a period where it is below one slot, and the slots that are
/// added, so that a full fleet is looked at again.
const FULL_FLEET_KEPT: f64 = 0.9;
const FULL_FLEET_ADDED: f64 = 0.1;

/// The last load report of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    /// Free slots as reported, less those waiting there and those sent since.
    pub free_slots: f64,
    /// When it was received.
    pub received_at: Micros,
    report: LoadReport,
    /// Slots of this dispatcher's requests in flight then.
    in_flight: f64,
}

impl ReportedLoad {
    /// Whether it still counts.
    pub fn is_fresh(&self, now: Micros) -> bool {
        now < self.received_at + MAX_FRESH_AGE_US
    }
}

/// What a load report shows.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCapacity {
    free: f64,
    queued: f64,
    /// Whether the worker has room, as far as its queue tells, or else its free slots.
    pub has_capacity: bool,
}

impl ReportedCapacity {
    /// What a report shows; nothing where it lacks free slots.
    pub fn from_report(report: LoadReport) -> Option<ReportedCapacity> {
        let free = report.free_slots?;
        let queued = report.queued.unwrap_or(0.0).max(0.0);
        let free = free.min(report.free_memory.unwrap_or(free));
        let has_capacity = if report.queued.is_some() { queued < 0.5 } else { free >= 0.5 };
        Some(ReportedCapacity { free, queued, has_capacity })
    }

    /// Whether slots are free beside those that waiting requests will take.
    pub fn has_free_slots(&self) -> bool {
        self.free - self.queued >= MIN_FREE_SLOTS
    }

    /// The report as it is kept of its worker.
    pub fn to_reported_load(&self, report: LoadReport, in_flight: f64, now: Micros) -> ReportedLoad {
        ReportedLoad { free_slots: self.free.max(0.0) - self.queued, received_at: now, report, in_flight }
    }
}

/// What all workers' reports tell together.
pub struct ReportQuality {
    /// The part of reports that repeat the one before though requests in flight have changed.
    stale_ratio: f64,
    /// Mean slots for this dispatcher's requests at a worker.
    pub mean_capacity: f64,
}

impl Default for ReportQuality {
    fn default() -> Self {
        ReportQuality { stale_ratio: 0.0, mean_capacity: INITIAL_LIMIT }
    }
}

impl ReportQuality {
    /// Whether requests are sent only to workers whose fresh report shows room: workers report free slots,
    /// can be probed for them, and do not report starts.
    pub fn requires_fresh_reports(&self, settings: &Settings) -> bool {
        let reports_only = settings.reports_free_slots && !settings.reports_start;
        settings.can_probe && reports_only && self.stale_ratio < STALE
    }

    /// Whether room is estimated from reports of any age.
    pub fn estimates_capacity(&self, settings: &Settings) -> bool {
        let reports_only = settings.reports_free_slots && !settings.reports_start;
        reports_only && !self.requires_fresh_reports(settings)
    }

    /// Compares a report with the one before, where requests in flight have changed in between.
    pub fn record(&mut self, before: &ReportedLoad, report: LoadReport, in_flight: f64, now: Micros) {
        let has_changed = (before.in_flight - in_flight).abs() > VISIBLE_CHANGE;
        if has_changed && now < before.received_at + 4 * MAX_FRESH_AGE_US {
            let repeats = f64::from(u8::from(before.report == report));
            self.stale_ratio += REJECTION_GAIN / 2.0 * (repeats - self.stale_ratio);
        }
    }

    /// Records the room that a report shows.
    pub fn record_capacity(&mut self, room: f64) {
        self.mean_capacity += FLEET_GAIN * (room - self.mean_capacity);
    }

    /// Raises the mean capacity of a full fleet a little, once a period.
    pub fn end_period(&mut self) {
        let raised = self.mean_capacity * FULL_FLEET_KEPT + FULL_FLEET_ADDED;
        self.mean_capacity = self.mean_capacity.max(raised);
    }
}
