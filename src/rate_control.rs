//! Rate control: the limit on admitted requests per second.
//!
//! For each class, a control loop ([`crate::regulator`]) sets a fraction of the maximum useful rate so that
//! the class's mean latency meets its objective. The smallest fraction applies. The limit never falls below
//! the rate that workers currently serve.

use crate::api::{Micros, Notice, SECOND};
use crate::regulator::Regulator;
use crate::table::{ClassId, Table};

/// Ratio of the maximum limit to the offered rate: headroom for excitation and bursts.
const MAX_LIMIT_RATIO: f64 = 1.5;
/// Ratio of the minimum limit to the served rate.
const MIN_LIMIT_RATIO: f64 = 0.9;
/// Minimum number of latency samples for a control step (the value from the Triage paper).
const MIN_SAMPLES_PER_STEP: u32 = 6;
/// Maximum number of periods over which samples of a class with little traffic are pooled.
const MAX_POOLED_PERIODS: u32 = 5;
/// Minimum weight of a new period in the smoothed rates.
const MIN_RATE_GAIN: f64 = 0.1;
/// Time after the first request during which rates are too uncertain to divide quotas.
const RATES_NEW_FOR_US: Micros = 3 * SECOND;
/// Ratio of latency to objective that is recorded for late and failed requests, and the maximum for all
/// requests.
pub const LATE_LATENCY_RATIO: f64 = 2.0;
/// Ratio of the limit to the offered rate below which on-call operators are notified.
const THROTTLING_NOTICE_RATIO: f64 = 0.7;

/// Control loop of a class, with the latency samples since its last step.
struct ClassControl {
    regulator: Regulator,
    /// Fraction of the maximum limit.
    limit_fraction: f64,
    /// Sum of the ratios of latency to objective.
    latency_ratio_sum: f64,
    samples: u32,
    /// Periods since the last step.
    periods_since_step: u32,
}

impl Default for ClassControl {
    fn default() -> Self {
        ClassControl {
            regulator: Regulator::default(),
            limit_fraction: 1.0,
            latency_ratio_sum: 0.0,
            samples: 0,
            periods_since_step: 0,
        }
    }
}

impl ClassControl {
    fn step(&mut self) {
        self.periods_since_step += 1;
        // After some periods with little traffic, the loop continues with the available samples (Triage
        // paper, section 4.2), so that it does not freeze.
        let waited_long = self.periods_since_step >= MAX_POOLED_PERIODS;
        if self.samples >= MIN_SAMPLES_PER_STEP || (waited_long && self.samples > 0) {
            self.limit_fraction = self.regulator.step(self.latency_ratio_sum / f64::from(self.samples));
            (self.periods_since_step, self.latency_ratio_sum, self.samples) = (0, 0.0, 0);
        } else if waited_long {
            self.limit_fraction = self.regulator.reset();
            self.periods_since_step = 0;
        }
    }
}

/// Smoothed rates, and the rate limit derived from them, in requests per second.
pub struct RateControl {
    classes: Table<ClassId, ClassControl>,
    limit_per_s: f64,
    max_limit_per_s: f64,
    min_limit_per_s: f64,
    offered_per_s: f64,
    /// Requests received in the current period.
    received_in_period: f64,
    served_per_s: f64,
    /// Requests served in the current period.
    served_in_period: f64,
    /// Time of the first request after the start or after an idle time.
    active_since: Micros,
}

impl RateControl {
    /// Creates rate control with zero rates and no limit.
    pub fn new(now: Micros) -> RateControl {
        RateControl {
            classes: Table::default(),
            limit_per_s: f64::INFINITY,
            max_limit_per_s: 0.0,
            min_limit_per_s: 0.0,
            offered_per_s: 0.0,
            received_in_period: 0.0,
            served_per_s: 0.0,
            served_in_period: 0.0,
            active_since: now,
        }
    }

    /// Adds a control loop for the next class.
    pub fn add_class(&mut self) {
        self.classes.push(ClassControl::default());
    }

    /// Rate limit, in requests per second.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// Rate of served requests, per second.
    pub fn served_per_s(&self) -> f64 {
        self.served_per_s
    }

    /// Whether any requests are being served.
    pub fn is_serving(&self) -> bool {
        self.served_per_s + self.served_in_period >= 1.0
    }

    /// Whether the rates are too new to divide quotas by them.
    pub fn is_new(&self, now: Micros) -> bool {
        now - self.active_since < RATES_NEW_FOR_US
    }

    /// Records a received request.
    pub fn record_received(&mut self, now: Micros) {
        if self.offered_per_s + self.received_in_period == 0.0 {
            self.active_since = now;
        }
        self.received_in_period += 1.0;
    }

    /// Records a served request.
    pub fn record_served(&mut self) {
        self.served_in_period += 1.0;
    }

    /// Records a ratio of latency to objective.
    pub fn record_latency(&mut self, class: ClassId, latency_ratio: f64) {
        let class = &mut self.classes[class];
        class.latency_ratio_sum += latency_ratio;
        class.samples += 1;
    }

    /// Ends a period and returns the gain of the smoothed rates; `None` if there are no requests yet, or the
    /// first one is too recent to compute a rate.
    pub fn end_period(&mut self, now: Micros) -> Option<f64> {
        let is_early = self.received_in_period == 0.0 || now < self.active_since + SECOND / 2;
        if is_early && self.offered_per_s == 0.0 {
            return None;
        }
        let periods = ((now - self.active_since) / SECOND).max(1);
        let gain = (1.0 / periods as f64).max(MIN_RATE_GAIN);
        self.offered_per_s += gain * (self.received_in_period - self.offered_per_s);
        self.max_limit_per_s =
            MAX_LIMIT_RATIO * self.offered_per_s.max(std::mem::take(&mut self.received_in_period)) + 2.0;
        self.served_per_s += gain * (self.served_in_period - self.served_per_s);
        self.min_limit_per_s =
            MIN_LIMIT_RATIO * self.served_per_s.max(std::mem::take(&mut self.served_in_period)) + 1.0;
        Some(gain)
    }

    /// Steps all control loops and sets the limit. Returns a notice if it is far below the offered rate.
    pub fn step(&mut self) -> Option<Notice> {
        let mut limit_fraction = 1.0_f64;
        for class in self.classes.rows_mut() {
            class.step();
            limit_fraction = limit_fraction.min(class.limit_fraction);
        }
        self.limit_per_s = (limit_fraction * self.max_limit_per_s).max(self.min_limit_per_s);
        let throttles = self.limit_per_s < THROTTLING_NOTICE_RATIO * self.offered_per_s;
        throttles.then_some(Notice::Throttling {
            admitted_per_s: self.limit_per_s,
            offered_per_s: self.offered_per_s,
        })
    }
}
