//! Requirements at their planned sizes: measured or extrapolated.

use super::fit::{Estimate, Fit, Model, Point};
use super::requirement::{planned_size, Requirement};
use super::result::{Outcome, Run};
use super::table::number;

/// Requirement with its estimate from the results.
#[derive(Clone, Debug)]
pub struct Row {
    /// The requirement.
    pub requirement: Requirement,
    /// Size that the operators plan for.
    pub planned_size: f64,
    /// Sizes at which it was measured.
    pub sizes: Vec<f64>,
    /// Figure at the planned size, or `None` if there are too few measurements.
    pub estimate: Option<Estimate>,
    /// Whether the planned size itself was measured.
    pub is_measured: bool,
    /// Model fitted to the measurements.
    pub fit: Option<Fit>,
}

impl Row {
    /// Returns the figure as a multiple of its budget, or `None` without a bound or a figure.
    pub fn budget_ratio(&self) -> Option<f64> {
        Some(self.estimate?.value / self.requirement.budget.bound()?)
    }

    /// Returns whether the figure exceeds its bound.
    pub fn is_over_budget(&self) -> bool {
        self.budget_ratio().is_some_and(|ratio| ratio > 1.0)
    }

    /// Returns the ratio of the planned size to the largest measured one, at least 1.
    pub fn extrapolation_factor(&self) -> f64 {
        let largest = self.sizes.iter().copied().fold(0.0, f64::max);
        if largest > 0.0 {
            (self.planned_size / largest).max(1.0)
        } else {
            1.0
        }
    }

    /// Returns a short form of the fitted model.
    pub fn model(&self) -> String {
        match self.fit {
            Some(Fit { model: Model::Power, slope, .. }) => format!("size^{slope:.2}"),
            Some(Fit { model: Model::Linear, intercept, slope, .. }) => {
                let sign = if slope < 0.0 { "−" } else { "+" };
                format!("{} {sign} {} × size", number(intercept), number(slope.abs()))
            }
            None => "none".to_string(),
        }
    }
}

/// Returns all requirements, furthest over their budgets first.
pub fn estimates(requirements: &[Requirement], runs: &[Run]) -> Vec<Row> {
    let mut rows: Vec<Row> = requirements.iter().map(|requirement| estimate_row(requirement, runs)).collect();
    let ratio = |row: &Row| row.budget_ratio().unwrap_or(f64::NEG_INFINITY);
    rows.sort_by(|a, b| ratio(b).total_cmp(&ratio(a)));
    rows
}

fn estimate_row(requirement: &Requirement, runs: &[Run]) -> Row {
    let points = points(requirement, runs);
    let planned_size = planned_size(requirement.axis) as f64;
    let measured = points.iter().find(|point| point.size == planned_size);
    let fit = Fit::of(&points);
    let exact = measured.map(|point| Estimate { value: point.value, low: point.value, high: point.value });
    Row {
        requirement: *requirement,
        planned_size,
        sizes: points.iter().map(|point| point.size).collect(),
        estimate: exact.or_else(|| fit.map(|fit| fit.estimate(planned_size))),
        is_measured: measured.is_some(),
        fit,
    }
}

/// Returns the worst process' figure at each measured size.
fn points(requirement: &Requirement, runs: &[Run]) -> Vec<Point> {
    let measurements = runs.iter().flat_map(|run| &run.measurements);
    let wanted = measurements.filter(|m| {
        m.axis == requirement.axis && m.role == requirement.role && m.condition == requirement.condition
    });
    let point = wanted.filter_map(|m| match &m.outcome {
        Outcome::Measured(figures) => {
            let value = figures.get(&requirement.quantity)?.worst;
            Some(Point { size: m.size as f64, value })
        }
        Outcome::NotRun(_) => None,
    });
    point.collect()
}
