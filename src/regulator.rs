//! The self-tuning regulator of the paper (Triage): one loop for each class of jobs.
//!
//! It fits w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2) by recursive least squares with forgetting, where w is the mean
//! job time over the class's aim and u the throughput admitted, as a part of the largest; then it sets u so that w
//! becomes 1.

use crate::support::LeastSquares;

/// The forgetting factor: about 20 periods count.
const LAMBDA: f64 = 0.95;
/// The first model: w is 1 at the largest throughput.
const PRIOR: [f64; 3] = [0.3, 0.7, 0.0];
/// The covariance of a new model ...
const P_START: f64 = 0.2;
/// ... and its bound, where nothing excites the loop.
const P_MAX: f64 = 10.0;
/// The reset law: a parameter that moves by this part of itself, and of at least this, drops the model.
const MOVED: f64 = 0.3;
/// Periods after a reset without another.
const SETTLING: u32 = 3;
/// A model must say that more throughput means more latency, by at least this.
const R1_MIN: f64 = 0.02;

/// The regulator of one class.
pub struct Regulator {
    model: LeastSquares,
    /// The last w.
    w1: f64,
    /// The last u.
    u1: f64,
    /// The one before.
    u2: f64,
    /// Periods until the next reset may come.
    settling: u32,
}

impl Default for Regulator {
    fn default() -> Self {
        Regulator { model: LeastSquares::new(PRIOR, P_START), w1: 0.0, u1: 1.0, u2: 1.0, settling: SETTLING }
    }
}

impl Regulator {
    /// Drops the model; u goes to u_max, which excites the next one.
    pub fn reset(&mut self) -> f64 {
        *self = Regulator { w1: self.w1, u2: self.u1, ..Regulator::default() };
        1.0
    }

    /// The parameters s1, r1, r2.
    pub fn model(&self) -> [f64; 3] {
        self.model.theta
    }

    /// One period: takes its mean w and returns the next u, in [0, 1] of u_max.
    pub fn step(&mut self, w: f64) -> f64 {
        let new = self.model.estimate(w, [self.w1, self.u1, self.u2], LAMBDA, P_MAX);
        self.w1 = w;
        let old = self.model.theta;
        let moved = |i: usize| (new[i] - old[i]).abs() > MOVED * old[i].abs().max(MOVED);
        if self.settling == 0 && (0..3).any(moved) {
            return self.reset();
        }
        self.settling = self.settling.saturating_sub(1);
        if new[1] > R1_MIN {
            self.model.theta = new;
        }
        let [s1, r1, r2] = self.model.theta;
        let u = (1.0 - s1 * w - r2 * self.u1) / r1;
        (self.u2, self.u1) = (self.u1, if u.is_finite() { u.clamp(0.0, 1.0) } else { 1.0 });
        self.u1
    }
}
