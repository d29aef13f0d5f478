//! Recursive least squares (RLS) with three parameters and exponential forgetting.

/// Parameter estimate with its covariance.
pub struct LeastSquares {
    /// The current parameters.
    pub parameters: [f64; 3],
    covariance: [[f64; 3]; 3],
}

impl LeastSquares {
    /// Creates an estimator with initial parameters and the variance of each.
    pub fn new(parameters: [f64; 3], variance: f64) -> LeastSquares {
        let mut covariance = [[0.0; 3]; 3];
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = variance;
        }
        LeastSquares { parameters, covariance }
    }

    /// Updates the covariance and returns the new parameters for an output `y` with regressor `phi` and the
    /// forgetting factor `lambda`. The trace of the covariance is bounded by `max_trace`, to prevent windup
    /// without excitation. The caller decides whether to adopt the parameters.
    pub fn estimate(&mut self, y: f64, phi: [f64; 3], lambda: f64, max_trace: f64) -> [f64; 3] {
        let p = &mut self.covariance;
        let p_phi = [dot(&p[0], &phi), dot(&p[1], &phi), dot(&p[2], &phi)];
        let gain = 1.0 / (lambda + dot(&phi, &p_phi));
        let error = y - dot(&self.parameters, &phi);
        let mut parameters = self.parameters;
        for i in 0..3 {
            parameters[i] += gain * p_phi[i] * error;
            for j in 0..3 {
                p[i][j] = (p[i][j] - gain * p_phi[i] * p_phi[j]) / lambda;
            }
        }
        let trace = p[0][0] + p[1][1] + p[2][2];
        if trace > max_trace {
            p.iter_mut().flatten().for_each(|x| *x *= max_trace / trace);
        }
        parameters
    }
}

fn dot(a: &[f64; 3], b: &[f64; 3]) -> f64 {
    a[0] * b[0] + a[1] * b[1] + a[2] * b[2]
}
