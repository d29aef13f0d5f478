//! Outlier detection: a worker that fails requests or does not respond is ejected, and receives only single
//! probe requests until it responds.

use crate::api::{Micros, SECOND};

/// Initial interval between probes; it doubles with each failure.
pub const PROBE_INTERVAL: Micros = 300_000;
/// Upper bound of the failure count, and so of the doublings of the interval.
pub const MAX_FAILURES: u32 = 4;
/// Failures counted for each failed request.
const FAILURES_PER_REQUEST: u32 = 2;
/// Maximum interval between probes, and the interval for workers that are no longer listed.
pub const MAX_PROBE_INTERVAL: Micros = 10 * SECOND;
/// Maximum age of the last response at which a worker that is removed from the list is not ejected.
const MAX_RESPONSE_AGE: Micros = 2 * SECOND;

/// State of a worker's circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Breaker {
    /// Requests are sent.
    #[default]
    Closed,
    /// The worker failed requests: only probes are sent. Each served probe decrements the failure count.
    Failing { failures: u32 },
    /// A response is overdue: only probes are sent. Any response ends this state; the failures were counted
    /// before.
    Unresponsive { failures: u32 },
}

/// Health of a worker, judged by the outcomes of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    breaker: Breaker,
    /// When the next probe may be sent; keeps its value while the breaker is closed.
    probe_at: Micros,
    /// Until when no requests are sent.
    paused_until: Micros,
    last_response_at: Micros,
    last_connection_lost_at: Micros,
}

impl Health {
    /// Returns whether only probes are sent.
    pub fn is_ejected(&self) -> bool {
        self.breaker != Breaker::Closed
    }

    /// Returns whether the worker is ejected because a response is overdue.
    pub fn is_unresponsive(&self) -> bool {
        matches!(self.breaker, Breaker::Unresponsive { .. })
    }

    /// Returns whether the next probe may be sent to an ejected worker.
    pub fn is_probe_due(&self, now: Micros) -> bool {
        now >= self.probe_at
    }

    /// Returns whether sending is paused.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Returns the time of the last response of any kind.
    pub fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Pauses sending until this time.
    pub fn pause_until(&mut self, until: Micros) {
        self.paused_until = until;
    }

    fn failures(&self) -> u32 {
        match self.breaker {
            Breaker::Closed => 0,
            Breaker::Failing { failures } | Breaker::Unresponsive { failures } => failures,
        }
    }

    fn set_failures(&mut self, failures: u32) {
        self.breaker = match self.breaker {
            Breaker::Unresponsive { .. } => Breaker::Unresponsive { failures },
            _ if failures > 0 => Breaker::Failing { failures },
            _ => Breaker::Closed,
        };
    }

    /// Records a response, and whether it reports a served request. Returns whether the worker is readmitted.
    pub fn record_response(&mut self, now: Micros, served: bool) -> bool {
        let was_ejected = self.is_ejected();
        let mut failures = self.failures();
        self.last_response_at = now;
        if served && failures > 0 {
            failures -= 1;
            self.probe_at = now;
        }
        self.breaker = if failures > 0 { Breaker::Failing { failures } } else { Breaker::Closed };
        was_ejected && failures == 0
    }

    /// Ejects the worker after a failed request.
    pub fn record_failure(&mut self, now: Micros, is_listed: bool, interval_factor: Micros) {
        self.set_failures((self.failures() + FAILURES_PER_REQUEST).min(MAX_FAILURES));
        self.schedule_probe(now, is_listed, interval_factor);
    }

    /// Records a lost connection. The first one since the last response only pauses sending, because a single
    /// connection says little about the worker. Returns whether there was an earlier one, so that it counts
    /// as a failure.
    pub fn record_connection_lost(&mut self, now: Micros) -> bool {
        let previous = std::mem::replace(&mut self.last_connection_lost_at, now);
        if previous > self.last_response_at {
            return true;
        }
        self.paused_until = self.paused_until.max(now + PROBE_INTERVAL / 3);
        false
    }

    /// Ejects the worker because a response is overdue.
    pub fn eject_unresponsive(&mut self, now: Micros) {
        self.breaker = Breaker::Unresponsive { failures: self.failures() };
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Ejects a worker that was removed from the list if it has not responded recently.
    pub fn eject_if_silent(&mut self, now: Micros) {
        if now > self.last_response_at + MAX_RESPONSE_AGE {
            self.set_failures(self.failures().max(1));
        }
    }

    /// Records a sent request, which is a probe if the worker is ejected.
    pub fn record_sent(&mut self, now: Micros, is_listed: bool, interval_factor: Micros) {
        if self.is_ejected() {
            self.schedule_probe(now, is_listed, interval_factor);
        }
    }

    fn schedule_probe(&mut self, now: Micros, is_listed: bool, interval_factor: Micros) {
        let doublings = self.failures().min(MAX_FAILURES);
        let interval = if is_listed { PROBE_INTERVAL << doublings } else { MAX_PROBE_INTERVAL };
        self.probe_at = now + (interval * interval_factor).min(MAX_PROBE_INTERVAL);
    }
}
