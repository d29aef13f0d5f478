//! SVG charts of the measured figures over size.

use super::requirement::{requirements, Requirement};
use super::result::{Axis, Condition, Measurement, Outcome, Quantity, Role, Run, Value};
use super::table::{axis_name, condition_name, quantity_name, role_name};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Number of charts in a row.
const COLUMNS: usize = 3;
/// Size of a chart and of its texts, in pixels.
const CHART_WIDTH: u32 = 440;
const CHART_HEIGHT: u32 = 240;
const TITLE_HEIGHT: i32 = 11;
const LABEL_HEIGHT: i32 = 11;
/// Approximate number of labels on each axis.
const LABELS: usize = 4;
/// Margin below the smallest and above the largest value, as a factor.
const MARGIN: f64 = 1.5;

/// Error while drawing the charts.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw the chart: {0}")]
pub struct ChartError(String);

/// Subject of a chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    axis: Axis,
    role: Role,
    condition: Condition,
    quantity: Quantity,
}

impl Series {
    fn matches(&self, row: &Requirement) -> bool {
        let Requirement { axis, role, condition, quantity, .. } = *row;
        *self == Series { axis, role, condition, quantity }
    }
}

/// Figure at a size.
#[derive(Clone, Copy)]
struct Sample {
    size: f64,
    value: Value,
}

/// Draws each row of the capacity page that was measured at more than one size, on logarithmic scales: the
/// median process and the worst.
///
/// # Errors
/// [`ChartError`] if the file cannot be written.
pub fn draw(path: &Path, runs: &[Run]) -> Result<(), ChartError> {
    let charts = series(runs);
    let rows = charts.len().div_ceil(COLUMNS).max(1);
    let size = (CHART_WIDTH * COLUMNS as u32, CHART_HEIGHT * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(chart_error)?;
    for (area, (series, samples)) in root.split_evenly((rows, COLUMNS)).iter().zip(&charts) {
        draw_series(area, series, samples)?;
    }
    root.present().map_err(chart_error)
}

fn chart_error(e: impl std::fmt::Display) -> ChartError {
    ChartError(e.to_string())
}

fn series(runs: &[Run]) -> BTreeMap<Series, Vec<Sample>> {
    let mut charts: BTreeMap<Series, Vec<Sample>> = BTreeMap::new();
    for measurement in runs.iter().flat_map(|run| &run.measurements) {
        add_measurement(&mut charts, measurement);
    }
    let rows = requirements();
    charts.retain(|series, samples| samples.len() > 1 && rows.iter().any(|row| series.matches(row)));
    charts
}

fn add_measurement(charts: &mut BTreeMap<Series, Vec<Sample>>, measurement: &Measurement) {
    let Outcome::Measured(figures) = &measurement.outcome else { return };
    let Measurement { axis, role, condition, .. } = *measurement;
    for (quantity, value) in figures.iter().filter(|(_, value)| value.median > 0.0) {
        let key = Series { axis, role, condition, quantity: *quantity };
        charts.entry(key).or_default().push(Sample { size: measurement.size as f64, value: *value });
    }
}

fn draw_series(
    area: &DrawingArea<SVGBackend, Shift>,
    series: &Series,
    samples: &[Sample],
) -> Result<(), ChartError> {
    let sizes = range(samples.iter().map(|s| s.size));
    let values = range(samples.iter().flat_map(|s| [s.value.median, s.value.worst]));
    let (role, quantity) = (role_name(series.role), quantity_name(series.quantity));
    let title = format!("{role}, {}: {quantity}", condition_name(series.condition));
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", TITLE_HEIGHT))
        .margin(4)
        .x_label_area_size(30)
        .y_label_area_size(56)
        .build_cartesian_2d(sizes.log_scale(), values.log_scale())
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_labels(LABELS)
        .y_labels(LABELS)
        .x_desc(axis_name(series.axis))
        .label_style(("sans-serif", LABEL_HEIGHT))
        .x_label_formatter(&|size| format!("{size:.0}"))
        .y_label_formatter(&|value| short_label(*value))
        .draw()
        .map_err(chart_error)?;
    let median = samples.iter().map(|s| (s.size, s.value.median));
    let worst = samples.iter().map(|s| (s.size, s.value.worst));
    chart.draw_series(LineSeries::new(median, &BLUE).point_size(2)).map_err(chart_error)?;
    chart.draw_series(LineSeries::new(worst, &RED).point_size(2)).map_err(chart_error)?;
    Ok(())
}

fn range(values: impl Iterator<Item = f64> + Clone) -> std::ops::Range<f64> {
    let smallest = values.clone().fold(f64::INFINITY, f64::min);
    let largest = values.fold(0.0, f64::max);
    smallest / MARGIN..largest * MARGIN
}

fn short_label(value: f64) -> String {
    match value {
        v if v >= 1e6 => format!("{:.1}M", v / 1e6),
        v if v >= 1e3 => format!("{:.0}k", v / 1e3),
        v if v >= 1.0 => format!("{v:.0}"),
        v => format!("{v:.0e}"),
    }
}
