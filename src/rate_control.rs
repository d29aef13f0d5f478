//! Rate control: how many requests a second are admitted.
//!
//! A control loop for each class ([`crate::regulator`]) sets a part of the largest useful rate, so that the
//! class's mean latency meets its objective. The lowest of the parts counts. The limit never falls below what
//! workers just served.

use crate::api::{Micros, Notice, SECOND};
use crate::regulator::Regulator;
use crate::table::{ClassId, Table};

/// The largest limit over the rate offered: room for excitation and bursts.
const HEADROOM: f64 = 1.5;
/// The least limit over the rate served.
const FLOOR: f64 = 0.9;
/// Requests in a period that make a mean latency worth a step (the paper's figure).
const MIN_SAMPLES: u32 = 6;
/// Periods over which a quiet class's samples are pooled at most.
const MAX_POOLED_PERIODS: u32 = 5;
/// The weight of a new period in smoothed rates, once there were enough of them.
const MIN_GAIN: f64 = 0.1;
/// Time after the first request for which rates tell too little to divide quotas by.
const NEW_FOR: Micros = 3 * SECOND;
/// Latency over the objective at which a late or failed request counts, and the largest that counts.
pub const LATE_LATENCY_RATIO: f64 = 2.0;
/// Limit over the offered rate below which on-call staff are notified.
const THROTTLING: f64 = 0.7;

/// Control loop of a class, with the latencies of its present period.
struct ClassLoop {
    regulator: Regulator,
    /// Part of the largest limit.
    part: f64,
    /// Sum of latencies, each over its objective.
    latencies: f64,
    samples: u32,
    /// Periods since the last step.
    pooled: u32,
}

impl Default for ClassLoop {
    fn default() -> Self {
        ClassLoop { regulator: Regulator::default(), part: 1.0, latencies: 0.0, samples: 0, pooled: 0 }
    }
}

impl ClassLoop {
    fn step(&mut self) {
        self.pooled += 1;
        // After some quiet periods the loop goes on with what there is (paper, 4.2): silence must not freeze
        // it.
        let waited_long = self.pooled >= MAX_POOLED_PERIODS;
        if self.samples >= MIN_SAMPLES || (waited_long && self.samples > 0) {
            self.part = self.regulator.step(self.latencies / f64::from(self.samples));
            (self.pooled, self.latencies, self.samples) = (0, 0.0, 0);
        } else if waited_long {
            self.part = self.regulator.reset();
            self.pooled = 0;
        }
    }
}

/// Rates in requests a second, and the limit that follows from them.
pub struct RateControl {
    classes: Table<ClassId, ClassLoop>,
    limit: f64,
    largest_limit: f64,
    least_limit: f64,
    offered: f64,
    /// Requests received in this period.
    received: f64,
    served: f64,
    /// Requests served in this period.
    served_now: f64,
    /// When the first request came after the start, or after a time in which none came.
    active_since: Micros,
}

impl RateControl {
    /// Rates of nothing, and no limit.
    pub fn new(now: Micros) -> RateControl {
        RateControl {
            classes: Table::default(),
            limit: f64::INFINITY,
            largest_limit: 0.0,
            least_limit: 0.0,
            offered: 0.0,
            received: 0.0,
            served: 0.0,
            served_now: 0.0,
            active_since: now,
        }
    }

    /// Adds a loop for the next class.
    pub fn add_class(&mut self) {
        self.classes.push(ClassLoop::default());
    }

    /// Requests a second that may be admitted.
    pub fn limit_per_s(&self) -> f64 {
        self.limit
    }

    /// Requests a second that were served.
    pub fn served_per_s(&self) -> f64 {
        self.served
    }

    /// Whether anything is served.
    pub fn is_serving(&self) -> bool {
        self.served + self.served_now >= 1.0
    }

    /// Whether the rates are too new to divide quotas by.
    pub fn is_new(&self, now: Micros) -> bool {
        now - self.active_since < NEW_FOR
    }

    /// Counts a request that was received.
    pub fn record_received(&mut self, now: Micros) {
        if self.offered + self.received == 0.0 {
            self.active_since = now;
        }
        self.received += 1.0;
    }

    /// Counts a request that was served.
    pub fn record_served(&mut self) {
        self.served_now += 1.0;
    }

    /// Records a latency over its objective.
    pub fn record_latency(&mut self, class: ClassId, latency: f64) {
        let class = &mut self.classes[class];
        class.latencies += latency;
        class.samples += 1;
    }

    /// Ends a period and returns the gain of smoothed rates; none where the first requests came so short ago
    /// that they are no rate yet.
    pub fn end_period(&mut self, now: Micros) -> Option<f64> {
        let is_early = self.received == 0.0 || now < self.active_since + SECOND / 2;
        if is_early && self.offered == 0.0 {
            return None;
        }
        let periods = ((now - self.active_since) / SECOND).max(1);
        let gain = (1.0 / periods as f64).max(MIN_GAIN);
        self.offered += gain * (self.received - self.offered);
        self.largest_limit = HEADROOM * self.offered.max(std::mem::take(&mut self.received)) + 2.0;
        self.served += gain * (self.served_now - self.served);
        self.least_limit = FLOOR * self.served.max(std::mem::take(&mut self.served_now)) + 1.0;
        Some(gain)
    }

    /// Steps all loops and sets the limit. Notifies where it is far below what is offered.
    pub fn step(&mut self) -> Option<Notice> {
        let mut part = 1.0_f64;
        for class in self.classes.rows_mut() {
            class.step();
            part = part.min(class.part);
        }
        self.limit = (part * self.largest_limit).max(self.least_limit);
        let throttles = self.limit < THROTTLING * self.offered;
        throttles.then_some(Notice::Throttling { admitted_per_s: self.limit, offered_per_s: self.offered })
    }
}
