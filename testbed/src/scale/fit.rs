//! Least-squares fits of a figure over size, and estimates with a prediction interval.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// Probability that a new value lies within the prediction interval, if the model holds.
const CONFIDENCE: f64 = 0.95;
/// Minimum number of points for a fit with an interval: two parameters and one degree of freedom.
pub const POINTS_MIN: usize = 3;

/// Figure measured at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// Regression model of a figure over size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// `intercept + slope * size`.
    Linear,
    /// `exp(intercept) * size ^ slope`.
    Power,
}

/// Model fitted to points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The model.
    pub model: Model,
    /// Intercept on the model's own scale.
    pub intercept: f64,
    /// Slope, or the exponent of a power law.
    pub slope: f64,
    points: f64,
    mean: f64,
    /// Sum of squared deviations of the sizes from their mean.
    sum_of_squares: f64,
    /// Standard deviation of the residuals.
    deviation: f64,
    /// Sum of squared relative errors at the points.
    error: f64,
}

/// Estimated figure at a size that may not have been measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Most likely value.
    pub value: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

impl Fit {
    /// Fits the model that is closer to these points; `None` for fewer than [`POINTS_MIN`] sizes.
    pub fn of(points: &[Point]) -> Option<Fit> {
        let linear = Fit::with(Model::Linear, points)?;
        let power = Fit::with(Model::Power, points);
        Some(power.filter(|power| power.error < linear.error).unwrap_or(linear))
    }

    /// Fits one model; `None` for too few sizes, and for a power law if a figure is not positive.
    pub fn with(model: Model, points: &[Point]) -> Option<Fit> {
        let positive = points.iter().all(|p| p.size > 0.0 && p.value > 0.0);
        if points.len() < POINTS_MIN || (model == Model::Power && !positive) {
            return None;
        }
        let scaled: Vec<Point> = points.iter().map(|point| model.scale(*point)).collect();
        let count = scaled.len() as f64;
        let mean = scaled.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_value = scaled.iter().map(|p| p.value).sum::<f64>() / count;
        let sum_of_squares = scaled.iter().map(|p| (p.size - mean).powi(2)).sum::<f64>();
        if sum_of_squares <= 0.0 {
            return None;
        }
        let product = scaled.iter().map(|p| (p.size - mean) * (p.value - mean_value)).sum::<f64>();
        let slope = product / sum_of_squares;
        let intercept = mean_value - slope * mean;
        let residual = |p: &Point| p.value - intercept - slope * p.size;
        let residuals = scaled.iter().map(|p| residual(p).powi(2)).sum::<f64>();
        let deviation = (residuals / (count - 2.0)).sqrt();
        let mut fit =
            Fit { model, intercept, slope, points: count, mean, sum_of_squares, deviation, error: 0.0 };
        fit.error = points.iter().map(|p| fit.relative_error(p).powi(2)).sum();
        Some(fit)
    }

    /// Returns the figure at a size with its prediction interval.
    pub fn estimate(&self, size: f64) -> Estimate {
        let scaled = self.model.scale(Point { size, value: 1.0 }).size;
        let center = self.intercept + self.slope * scaled;
        let distance = (scaled - self.mean).powi(2) / self.sum_of_squares;
        let error = self.deviation * (1.0 + 1.0 / self.points + distance).sqrt();
        let half_width = student_quantile(self.points - 2.0) * error;
        let value = |at: f64| self.model.unscale(at);
        Estimate { value: value(center), low: value(center - half_width), high: value(center + half_width) }
    }

    fn relative_error(&self, point: &Point) -> f64 {
        let fitted = self.estimate(point.size).value;
        (fitted - point.value) / point.value.abs().max(f64::MIN_POSITIVE)
    }
}

impl Model {
    fn scale(self, point: Point) -> Point {
        match self {
            Model::Linear => point,
            Model::Power => Point { size: point.size.ln(), value: point.value.ln() },
        }
    }

    fn unscale(self, value: f64) -> f64 {
        match self {
            Model::Linear => value,
            Model::Power => value.exp(),
        }
    }
}

/// Returns the half-width of a prediction interval, in standard errors.
fn student_quantile(degrees_of_freedom: f64) -> f64 {
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom).expect("there is a degree of freedom");
    distribution.inverse_cdf(1.0 - (1.0 - CONFIDENCE) / 2.0)
}
