//! Timeout of an attempt: the maximum time without a report from its worker.

use crate::api::{Micros, Settings};
use crate::requests::{Attempt, RequestState};
use crate::run_time::ClassHistory;

/// Timeout of the acknowledgement, for workers that acknowledge requests.
const ACKNOWLEDGEMENT_TIMEOUT_US: Micros = 250_000;
/// Timeout of the start where a worker has capacity: at least this time, or this fraction (one over the
/// divisor) of the median run time.
const MIN_START_TIMEOUT_US: Micros = 25_000;
const START_TIMEOUT_DIVISOR: Micros = 10;
/// Timeout where workers report no progress, in median run times.
const MEDIAN_RUNS_WITHOUT_PROGRESS: Micros = 5;

/// Whether the acknowledgement of an attempt is still outstanding.
pub fn is_unacknowledged(settings: &Settings, attempt: &Attempt) -> bool {
    settings.acknowledges && !attempt.acknowledged && attempt.started_at.is_none()
}

/// The maximum time without a report on a request's attempt. `filled_by_others` means that requests of other
/// dispatchers are known to fill the worker, `estimates_capacity` that its capacity is estimated from load
/// reports.
pub fn timeout(
    settings: &Settings,
    request: &RequestState,
    class: &ClassHistory,
    filled_by_others: bool,
    estimates_capacity: bool,
) -> Micros {
    let attempt = &request.attempt;
    if is_unacknowledged(settings, attempt) {
        return ACKNOWLEDGEMENT_TIMEOUT_US;
    }
    if settings.reports_start && attempt.started_at.is_none() {
        return start_timeout(request, class, filled_by_others);
    }
    match settings.progress_interval_us {
        0 => class.median_run_us as Micros * MEDIAN_RUNS_WITHOUT_PROGRESS,
        interval_us => {
            let p98_us = if estimates_capacity { class.p98_run_us as Micros } else { 0 };
            (interval_us + interval_us / 2).max(p98_us)
        }
    }
}

/// A request that has not started promptly is assumed to be queued at its worker, and to be lost after
/// another median run time. If a retry would then be too late anyway, it is assumed to be lost after a 98th
/// percentile run time; if requests of other dispatchers are ahead of it, after its `send_by` time.
fn start_timeout(request: &RequestState, class: &ClassHistory, filled_by_others: bool) -> Micros {
    let attempt = &request.attempt;
    let median_us = class.median_run_us as Micros;
    let start_timeout_us = MIN_START_TIMEOUT_US.max(median_us / START_TIMEOUT_DIVISOR);
    if !attempt.overdue {
        return start_timeout_us;
    }
    let queueing_us = if filled_by_others {
        request.send_by.saturating_sub(attempt.sent_at)
    } else if attempt.sent_at + median_us < request.send_by {
        median_us
    } else {
        class.median_run_us.max(class.p98_run_us) as Micros
    };
    start_timeout_us + queueing_us
}
