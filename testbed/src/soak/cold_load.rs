//! Load of a worker while it warms up, and whether it is more than such a worker may be sent.

use super::settings::{worker_capacity, COLD_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, WARM_UP};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Load of a cold worker within the last [`OVERLOAD_WINDOW`].
pub(super) struct ColdLoad {
    since: Instant,
    lately: VecDeque<(Instant, f64)>,
    has_fallen: bool,
}

impl ColdLoad {
    /// Load of a worker that starts now.
    pub(super) fn new() -> ColdLoad {
        ColdLoad { since: Instant::now(), lately: VecDeque::new(), has_fallen: false }
    }

    /// Adds a job's work, in mean jobs; returns what came and what is allowed where that is too much.
    pub(super) fn add(&mut self, work: f64) -> Option<(f64, f64)> {
        let now = Instant::now();
        self.lately.push_back((now, work));
        while self.lately.front().is_some_and(|(at, _)| now - *at > OVERLOAD_WINDOW) {
            self.lately.pop_front();
        }
        let grown = (now - self.since).as_secs_f64() / WARM_UP.as_secs_f64();
        if grown >= 1.0 || self.has_fallen {
            return None;
        }
        let warmth = COLD_SHARE + (1.0 - COLD_SHARE) * grown;
        let n = OVERLOAD_MULTIPLE * worker_capacity() * warmth * OVERLOAD_WINDOW.as_secs_f64();
        let allowed = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let came: f64 = self.lately.iter().map(|(_, work)| work).sum();
        self.has_fallen = came > allowed;
        self.has_fallen.then_some((came, allowed))
    }
}
