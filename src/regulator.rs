//! Self-tuning regulator of the admission rate (Triage): one control loop for each class of requests.
//!
//! It fits w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2) by recursive least squares with forgetting, where w is
//! the mean latency over the class's objective and u the rate admitted, as a part of the largest; then it
//! sets u so that w becomes 1.

use crate::least_squares::LeastSquares;

/// Forgetting factor: about 20 periods count.
const LAMBDA: f64 = 0.95;
/// Parameters of a new model: w is 1 at the largest rate.
const INITIAL_PARAMETERS: [f64; 3] = [0.3, 0.7, 0.0];
/// Variance of a new model's parameters.
const INITIAL_VARIANCE: f64 = 0.2;
/// Bound of the covariance's trace, where nothing excites the loop.
const MAX_TRACE: f64 = 10.0;
/// Change of a parameter, as a part of itself, beyond which the model is dropped. It is at least this part of
/// itself.
const RESET_CHANGE: f64 = 0.3;
/// Periods after a reset in which there is no other.
const SETTLING_PERIODS: u32 = 3;
/// The least r1 of a model: a higher rate must mean more latency.
const MIN_R1: f64 = 0.02;

/// Regulator of one class.
pub struct Regulator {
    model: LeastSquares,
    /// w of the last period.
    previous_w: f64,
    /// u of the last period.
    previous_u: f64,
    /// u of the period before.
    earlier_u: f64,
    /// Periods until the next reset is allowed.
    settling: u32,
}

impl Default for Regulator {
    fn default() -> Self {
        Regulator {
            model: LeastSquares::new(INITIAL_PARAMETERS, INITIAL_VARIANCE),
            previous_w: 0.0,
            previous_u: 1.0,
            earlier_u: 1.0,
            settling: SETTLING_PERIODS,
        }
    }
}

impl Regulator {
    /// Drops the model. The rate goes to its largest, which excites the next model.
    pub fn reset(&mut self) -> f64 {
        *self = Regulator { previous_w: self.previous_w, earlier_u: self.previous_u, ..Regulator::default() };
        1.0
    }

    /// The parameters s1, r1, r2.
    pub fn model(&self) -> [f64; 3] {
        self.model.parameters
    }

    /// Ends a period with this mean w and returns the next u, within 0 and 1 of the largest rate.
    pub fn step(&mut self, w: f64) -> f64 {
        let phi = [self.previous_w, self.previous_u, self.earlier_u];
        let new = self.model.estimate(w, phi, LAMBDA, MAX_TRACE);
        self.previous_w = w;
        let old = self.model.parameters;
        let has_changed = |i: usize| (new[i] - old[i]).abs() > RESET_CHANGE * old[i].abs().max(RESET_CHANGE);
        if self.settling == 0 && (0..3).any(has_changed) {
            return self.reset();
        }
        self.settling = self.settling.saturating_sub(1);
        if new[1] > MIN_R1 {
            self.model.parameters = new;
        }
        let [s1, r1, r2] = self.model.parameters;
        let u = (1.0 - s1 * w - r2 * self.previous_u) / r1;
        self.earlier_u = self.previous_u;
        self.previous_u = if u.is_finite() { u.clamp(0.0, 1.0) } else { 1.0 };
        self.previous_u
    }
}
