//! Concurrency limit of each worker, learned from prompt and late starts, and saturation of the whole fleet.

/// The first limit, in slots.
pub const INITIAL_LIMIT: f64 = 2.0;
/// The least limit.
pub const MIN_LIMIT: f64 = 1.0;
/// The largest limit, and the most slots that a request counts for.
pub const MAX_LIMIT: f64 = 64.0;
/// What a prompt start at the limit adds to it.
const INCREASE: f64 = 0.25;
/// The part of the limit that a late start or a rejection leaves.
const DECREASE: f64 = 0.8;
/// The part of the way that the limit goes to what a load report shows.
const REPORT_GAIN: f64 = 0.5;
/// Gain of a worker's average of attempts that found no room: over about 5.
pub const REJECTION_GAIN: f64 = 0.2;
/// Gain of the fleet's averages: over about 20.
pub const FLEET_GAIN: f64 = 0.05;
/// The part of attempts without room above which the fleet is saturated.
const SATURATED: f64 = 0.35;

/// Requests of this dispatcher at a worker, and how many there may be.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Slots of the requests in flight.
    pub in_flight: f64,
    /// Requests that have not started in time, so that they seem to wait there.
    pub overdue: u32,
    /// The most slots.
    limit: f64,
    /// The part of attempts that found no room.
    pub rejection_ratio: f64,
}

impl ConcurrencyLimit {
    /// The limit of a worker that has started. Requests that are in flight there stay so.
    pub fn restarted(self) -> ConcurrencyLimit {
        let ConcurrencyLimit { in_flight, overdue, .. } = self;
        ConcurrencyLimit { in_flight, overdue, limit: INITIAL_LIMIT, rejection_ratio: 0.0 }
    }

    /// The most slots.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight < 0.5
    }

    /// Records whether an attempt found room.
    pub fn record_room(&mut self, has_room: bool) {
        self.rejection_ratio += REJECTION_GAIN * (rejection(has_room) - self.rejection_ratio);
    }

    /// Raises the limit where an attempt found room at it, and lowers it where one found none.
    pub fn adjust(&mut self, has_room: bool) {
        if !has_room {
            let in_use = self.limit.min(self.in_flight.max(MIN_LIMIT));
            self.limit = (in_use * DECREASE).max(MIN_LIMIT);
        } else if self.in_flight + 1.0 >= self.limit {
            self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        }
    }

    /// Moves the limit towards the room that a load report shows.
    pub fn adjust_to_report(&mut self, room: f64) {
        self.limit += REPORT_GAIN * (room - self.limit);
    }
}

/// The part of all attempts that found no room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Saturation(f64);

impl Saturation {
    /// Records whether an attempt found room.
    pub fn record_room(&mut self, has_room: bool) {
        self.0 += FLEET_GAIN * (rejection(has_room) - self.0);
    }

    /// Whether so many attempts find none that requests over the quotas wait: other dispatchers fill the
    /// fleet too.
    pub fn is_saturated(&self) -> bool {
        self.0 > SATURATED
    }
}

fn rejection(has_room: bool) -> f64 {
    if has_room {
        0.0
    } else {
        1.0
    }
}
