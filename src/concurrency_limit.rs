//! Adaptive concurrency limit of each worker, learned from prompt and late starts, and saturation of the
//! fleet.

/// Initial limit, in slots.
pub const INITIAL_LIMIT: f64 = 2.0;
/// Minimum limit.
pub const MIN_LIMIT: f64 = 1.0;
/// Maximum limit, and the maximum number of slots that a request counts for.
pub const MAX_LIMIT: f64 = 64.0;
/// Additive increase after a prompt start at the limit.
const INCREASE: f64 = 0.25;
/// Multiplicative decrease after a late start or a rejection.
const DECREASE: f64 = 0.8;
/// Smoothing factor with which the limit follows load reports.
const REPORT_GAIN: f64 = 0.5;
/// Smoothing factor of a worker's rejection ratio: averages about 5 attempts.
pub const REJECTION_GAIN: f64 = 0.2;
/// Smoothing factor of fleet-wide averages: about 20 samples.
pub const FLEET_GAIN: f64 = 0.05;
/// Rejection ratio above which the fleet is considered saturated.
const SATURATION_THRESHOLD: f64 = 0.35;

/// This dispatcher's requests at a worker, and their limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Slots of the requests in flight.
    pub in_flight: f64,
    /// Number of requests that have not started in time and are probably queued at the worker.
    pub overdue: u32,
    /// Limit, in slots.
    limit: f64,
    /// Fraction of attempts for which the worker had no capacity.
    pub rejection_ratio: f64,
}

impl ConcurrencyLimit {
    /// Returns the initial state for a restarted worker, keeping the requests in flight.
    pub fn restarted(self) -> ConcurrencyLimit {
        let ConcurrencyLimit { in_flight, overdue, .. } = self;
        ConcurrencyLimit { in_flight, overdue, limit: INITIAL_LIMIT, rejection_ratio: 0.0 }
    }

    /// Returns the limit, in slots.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight < 0.5
    }

    /// Records whether the worker had capacity for an attempt.
    pub fn record_capacity(&mut self, has_capacity: bool) {
        self.rejection_ratio += REJECTION_GAIN * (rejection_sample(has_capacity) - self.rejection_ratio);
    }

    /// Raises the limit if an attempt at the limit found capacity, and lowers it if an attempt found none.
    pub fn adjust(&mut self, has_capacity: bool) {
        if !has_capacity {
            let in_use = self.limit.min(self.in_flight.max(MIN_LIMIT));
            self.limit = (in_use * DECREASE).max(MIN_LIMIT);
        } else if self.in_flight + 1.0 >= self.limit {
            self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        }
    }

    /// Moves the limit towards the capacity shown by a load report.
    pub fn adjust_to_report(&mut self, capacity: f64) {
        self.limit += REPORT_GAIN * (capacity - self.limit);
    }
}

/// Fraction of all attempts for which the worker had no capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Saturation(f64);

impl Saturation {
    /// Records whether the worker had capacity for an attempt.
    pub fn record_capacity(&mut self, has_capacity: bool) {
        self.0 += FLEET_GAIN * (rejection_sample(has_capacity) - self.0);
    }

    /// Returns whether requests over the quotas must wait because too many attempts find no capacity, as
    /// other dispatchers fill the fleet too.
    pub fn is_saturated(&self) -> bool {
        self.0 > SATURATION_THRESHOLD
    }
}

fn rejection_sample(has_capacity: bool) -> f64 {
    if has_capacity {
        0.0
    } else {
        1.0
    }
}
