//! Checks whether a worker that is warming up receives more load than allowed.

use super::settings::{worker_capacity, COLD_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Load of a cold worker within the last [`OVERLOAD_WINDOW`].
pub(super) struct ColdLoad {
    started: Instant,
    recent_work: VecDeque<(Instant, f64)>,
    is_overloaded: bool,
}

impl ColdLoad {
    /// Starts to count the load of a worker that starts now.
    pub(super) fn new() -> ColdLoad {
        ColdLoad { started: Instant::now(), recent_work: VecDeque::new(), is_overloaded: false }
    }

    /// Adds the work of a request, in multiples of the mean. Returns the received and the allowed work on the
    /// first overload.
    pub(super) fn add(&mut self, work: f64) -> Option<(f64, f64)> {
        let now = Instant::now();
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| now - *at > OVERLOAD_WINDOW) {
            self.recent_work.pop_front();
        }
        let warm_up_progress = (now - self.started).as_secs_f64() / WARM_UP.as_secs_f64();
        if warm_up_progress >= 1.0 || self.is_overloaded {
            return None;
        }
        let warm_share = COLD_SHARE + (1.0 - COLD_SHARE) * warm_up_progress;
        let mean_limit = OVERLOAD_MULTIPLE * worker_capacity() * warm_share * OVERLOAD_WINDOW.as_secs_f64();
        let allowed = if mean_limit < 30.0 {
            mean_limit + 3.0 * mean_limit.sqrt() + 3.0
        } else {
            mean_limit + 2.0 * mean_limit.sqrt() + 2.0
        };
        let received: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        self.is_overloaded = received > allowed;
        self.is_overloaded.then_some((received, allowed))
    }
}
