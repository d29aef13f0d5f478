//! Latency objectives: until when a request may wait, and how much before others.

use crate::api::{ClassSettings, Micros, Settings};
use crate::run_time::ClassHistory;
use crate::table::{ClassId, Table};

/// The part of the objective after which a waiting request is rejected, where late answers spoil others'
/// value.
const PROMPT_REJECTION: f64 = 0.4;
/// The part of its work that a request's objective grows by. Run times are of workers of all speeds, while
/// the objective counts work on a standard core.
const TRUST_IN_WORK: f64 = 0.5;
/// The least slack, as a part of the objective.
const MIN_SLACK: f64 = 0.25;
/// Head start of a class for each doubling of its value for a worker's time.
const HEAD_START: Micros = 300_000;
/// The least value of a class that counts.
const MIN_WEIGHT: f64 = 1e-3;

/// How long a request of this class can wait before it is sent and still be in time, in microseconds.
pub fn slack_us(class: &ClassSettings, work_us: f64, late_answers_cost: bool) -> f64 {
    let objective = class.objective_us as f64;
    let slack = objective + (class.objective_per_work - 1.0) * work_us * TRUST_IN_WORK;
    let slack = slack.max(objective * MIN_SLACK);
    if late_answers_cost {
        slack.min(PROMPT_REJECTION * objective)
    } else {
        slack
    }
}

/// The objective of a typical request of this class, in microseconds.
pub fn objective_us(class: &ClassSettings, history: &ClassHistory) -> f64 {
    (class.objective_us as f64 + class.objective_per_work * history.median_run_us).max(1.0)
}

/// The last time at which a request that was sent to a worker of this speed can start there and be in time.
pub fn latest_start(class: &ClassSettings, admitted_at: Micros, work_us: f64, speed: f64) -> Micros {
    let per_work = (class.objective_per_work - 1.0 / speed.max(0.1)).max(0.0);
    admitted_at + class.objective_us + (per_work * work_us) as Micros
}

/// A class's head start over the class with the least value for a worker's time.
pub fn head_start(class: ClassId, settings: &Settings, classes: &Table<ClassId, ClassHistory>) -> Micros {
    let density = |class: ClassId| {
        settings.class(class).priority_weight.max(MIN_WEIGHT) / classes[class].median_run_us.max(1.0)
    };
    let least = settings.offered_classes().map(density).fold(f64::INFINITY, f64::min);
    ((density(class) / least).log2() * HEAD_START as f64) as Micros
}
