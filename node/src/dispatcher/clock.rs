//! Clock of the dispatcher.

use dispatch_policy::api::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time at the start plus the monotonic time since then, so that it never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_us: Micros,
    start: Instant,
}

impl Clock {
    /// Starts at the current time of the wall clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// Current Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Unix time at this instant, in microseconds.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_us + instant.saturating_duration_since(self.start).as_micros() as Micros
    }
}
