//! Latency objectives: how long a request may wait, and its priority over requests of other classes.

use crate::api::{ClassSettings, Micros, Settings};
use crate::run_time::ClassHistory;
use crate::table::{ClassId, Table};

/// Fraction of the objective after which a waiting request is rejected, if late answers reduce the value of
/// others.
const MAX_SLACK_RATIO: f64 = 0.4;
/// Fraction of the work-dependent part of the objective that counts as slack. Run times are measured on
/// workers of all speeds, but the objective assumes a standard core.
const WORK_SLACK_RATIO: f64 = 0.5;
/// Minimum slack as a fraction of the objective.
const MIN_SLACK_RATIO: f64 = 0.25;
/// Head start of a class for each doubling of its value density.
const HEAD_START_PER_DOUBLING_US: Micros = 300_000;
/// Lower bound of a class's priority weight.
const MIN_PRIORITY_WEIGHT: f64 = 1e-3;

/// Slack of a request: how long it can wait to be sent and still meet its objective, in microseconds.
pub fn slack_us(class: &ClassSettings, work_us: f64, penalizes_late_answers: bool) -> f64 {
    let objective = class.objective_us as f64;
    let slack = objective + (class.objective_per_work - 1.0) * work_us * WORK_SLACK_RATIO;
    let slack = slack.max(objective * MIN_SLACK_RATIO);
    if penalizes_late_answers {
        slack.min(MAX_SLACK_RATIO * objective)
    } else {
        slack
    }
}

/// The objective of a typical request of this class, in microseconds.
pub fn objective_us(class: &ClassSettings, history: &ClassHistory) -> f64 {
    (class.objective_us as f64 + class.objective_per_work * history.median_run_us).max(1.0)
}

/// The latest time at which a request can start at a worker of this speed and meet its objective.
pub fn latest_start(class: &ClassSettings, admitted_at: Micros, work_us: f64, speed: f64) -> Micros {
    let per_work = (class.objective_per_work - 1.0 / speed.max(0.1)).max(0.0);
    admitted_at + class.objective_us + (per_work * work_us) as Micros
}

/// Head start of a class over the class with the lowest value density (priority weight per run time).
pub fn head_start(class: ClassId, settings: &Settings, classes: &Table<ClassId, ClassHistory>) -> Micros {
    let value_density = |class: ClassId| {
        settings.class(class).priority_weight.max(MIN_PRIORITY_WEIGHT) / classes[class].median_run_us.max(1.0)
    };
    let lowest_density = settings.offered_classes().map(value_density).fold(f64::INFINITY, f64::min);
    ((value_density(class) / lowest_density).log2() * HEAD_START_PER_DOUBLING_US as f64) as Micros
}
