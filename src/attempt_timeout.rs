//! Timeout of an attempt: how long its worker may report nothing of it.

use crate::api::{Micros, Settings};
use crate::requests::{Attempt, RequestState};
use crate::run_time::ClassHistory;

/// Time within which a worker that acknowledges requests has done so.
const ACKNOWLEDGEMENT: Micros = 250_000;
/// Time within which a request that finds room has started; a tenth of a typical run time, if that is longer.
const PROMPT_START: Micros = 25_000;
const PROMPT_START_PART: Micros = 10;
/// Typical run times without a report, where workers report no progress.
const SILENT_RUNS: Micros = 5;

/// Whether an attempt's worker owes an acknowledgement.
pub fn is_unacknowledged(settings: &Settings, attempt: &Attempt) -> bool {
    settings.acknowledges && !attempt.acknowledged && attempt.started_at.is_none()
}

/// How long the worker may report nothing of a request's attempt. `others_wait` says that other dispatchers'
/// requests are known to fill the worker, `estimates_capacity` that its room is estimated from load reports.
pub fn timeout(
    settings: &Settings,
    request: &RequestState,
    class: &ClassHistory,
    others_wait: bool,
    estimates_capacity: bool,
) -> Micros {
    let attempt = &request.attempt;
    if is_unacknowledged(settings, attempt) {
        return ACKNOWLEDGEMENT;
    }
    if settings.reports_start && attempt.started_at.is_none() {
        return start_timeout(request, class, others_wait);
    }
    match settings.progress_interval_us {
        0 => class.median_run_us as Micros * SILENT_RUNS,
        interval => {
            let long = if estimates_capacity { class.p98_run_us as Micros } else { 0 };
            (interval + interval / 2).max(long)
        }
    }
}

/// A request that has not started promptly seems to wait at its worker. It is lost after a typical run time
/// more. Where that is too late for a retry all the same, it is lost after a long one; where others' requests
/// are before it, once it can't be in time.
fn start_timeout(request: &RequestState, class: &ClassHistory, others_wait: bool) -> Micros {
    let attempt = &request.attempt;
    let typical = class.median_run_us as Micros;
    let prompt = PROMPT_START.max(typical / PROMPT_START_PART);
    if !attempt.overdue {
        return prompt;
    }
    let wait = if others_wait {
        request.send_by.saturating_sub(attempt.sent_at)
    } else if attempt.sent_at + typical < request.send_by {
        typical
    } else {
        class.median_run_us.max(class.p98_run_us) as Micros
    };
    prompt + wait
}
