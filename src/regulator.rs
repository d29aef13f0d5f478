//! Self-tuning regulator of the admission rate, as in Triage: one control loop for each request class.
//!
//! It fits the model w(k) = s1 w(k-1) + r1 u(k-1) + r2 u(k-2) by recursive least squares with forgetting,
//! where w is the ratio of the mean latency to the class's objective and u the admitted rate as a fraction of
//! the maximum. Then it sets u so that the predicted w is 1.

use crate::least_squares::LeastSquares;

/// Forgetting factor, equivalent to a memory of about 20 periods.
const FORGETTING_FACTOR: f64 = 0.95;
/// Initial model parameters s1, r1, r2, with which w is 1 at the maximum rate.
const INITIAL_PARAMETERS: [f64; 3] = [0.3, 0.7, 0.0];
/// Initial variance of the parameters.
const INITIAL_VARIANCE: f64 = 0.2;
/// Upper bound of the covariance's trace, for times without excitation.
const MAX_TRACE: f64 = 10.0;
/// Relative change of a parameter beyond which the model is reset. The parameter's magnitude counts as at
/// least this value.
const RESET_CHANGE_RATIO: f64 = 0.3;
/// Number of periods after a reset before the next one is allowed.
const SETTLING_PERIODS: u32 = 3;
/// Lower bound of r1: a higher rate must increase latency.
const MIN_R1: f64 = 0.02;

/// Regulator of one request class.
pub struct Regulator {
    model: LeastSquares,
    /// w of the previous period.
    previous_w: f64,
    /// u of the previous period.
    previous_u: f64,
    /// u of the period before the previous one.
    earlier_u: f64,
    /// Periods until the next reset is allowed.
    settling_periods_left: u32,
}

impl Default for Regulator {
    fn default() -> Self {
        Regulator {
            model: LeastSquares::new(INITIAL_PARAMETERS, INITIAL_VARIANCE),
            previous_w: 0.0,
            previous_u: 1.0,
            earlier_u: 1.0,
            settling_periods_left: SETTLING_PERIODS,
        }
    }
}

impl Regulator {
    /// Resets the model. Returns the maximum rate, which provides excitation for the new model.
    pub fn reset(&mut self) -> f64 {
        *self = Regulator { previous_w: self.previous_w, earlier_u: self.previous_u, ..Regulator::default() };
        1.0
    }

    /// The model parameters s1, r1, r2.
    pub fn model(&self) -> [f64; 3] {
        self.model.parameters
    }

    /// Ends a period with a mean w and returns the next u, between 0 and 1.
    pub fn step(&mut self, w: f64) -> f64 {
        let phi = [self.previous_w, self.previous_u, self.earlier_u];
        let new = self.model.estimate(w, phi, FORGETTING_FACTOR, MAX_TRACE);
        self.previous_w = w;
        let old = self.model.parameters;
        let has_changed =
            |i: usize| (new[i] - old[i]).abs() > RESET_CHANGE_RATIO * old[i].abs().max(RESET_CHANGE_RATIO);
        if self.settling_periods_left == 0 && (0..3).any(has_changed) {
            return self.reset();
        }
        self.settling_periods_left = self.settling_periods_left.saturating_sub(1);
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
