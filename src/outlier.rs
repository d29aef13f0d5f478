//! Outlier detection: a worker that fails requests or does not respond is ejected, and only probed by single
//! requests until it responds.

use crate::api::{Micros, SECOND};

/// First interval between probes; it doubles with each failure.
pub const PROBE_INTERVAL: Micros = 300_000;
/// Failures that count at most, and doublings of the interval.
pub const MAX_FAILURES: u32 = 4;
/// Failures that one failed request counts for.
const FAILURE_STEP: u32 = 2;
/// The longest interval between probes, and that of a worker that is not listed any more.
pub const MAX_PROBE_INTERVAL: Micros = 10 * SECOND;
/// Time without a response after which a worker that is removed from the list is ejected.
const QUIET_TIME: Micros = 2 * SECOND;

/// Whether requests are sent to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Breaker {
    /// They are.
    #[default]
    Closed,
    /// It failed requests: only probes are sent. Each probe that is served takes a failure back.
    Failing { failures: u32 },
    /// It owes a response: only probes are sent. Any response ends that; the failures are from before.
    Unresponsive { failures: u32 },
}

/// Health of a worker as its requests show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    breaker: Breaker,
    /// When the next probe may be sent; kept while the breaker is closed.
    probe_at: Micros,
    /// Until when nothing is sent.
    paused_until: Micros,
    last_response_at: Micros,
    last_connection_lost_at: Micros,
}

impl Health {
    /// Whether only probes are sent.
    pub fn is_ejected(&self) -> bool {
        self.breaker != Breaker::Closed
    }

    /// Whether it is ejected because it owes a response.
    pub fn is_unresponsive(&self) -> bool {
        matches!(self.breaker, Breaker::Unresponsive { .. })
    }

    /// Whether the next probe may be sent, where it is ejected.
    pub fn is_probe_due(&self, now: Micros) -> bool {
        now >= self.probe_at
    }

    /// Whether nothing is sent for now.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// When it last responded to anything.
    pub fn last_response_at(&self) -> Micros {
        self.last_response_at
    }

    /// Sends nothing until this time.
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

    /// Records a response, which may be that a request was served. Returns whether the worker is no longer
    /// ejected.
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

    /// Ejects it for a failed request.
    pub fn record_failure(&mut self, now: Micros, is_listed: bool, interval_factor: Micros) {
        self.set_failures((self.failures() + FAILURE_STEP).min(MAX_FAILURES));
        self.schedule_probe(now, is_listed, interval_factor);
    }

    /// Records a lost connection. The first one since its last response makes a pause only, since one
    /// connection says little of the worker. Returns whether it was not the first, so that it is a failure.
    pub fn record_connection_lost(&mut self, now: Micros) -> bool {
        let previous = std::mem::replace(&mut self.last_connection_lost_at, now);
        if previous > self.last_response_at {
            return true;
        }
        self.paused_until = self.paused_until.max(now + PROBE_INTERVAL / 3);
        false
    }

    /// Ejects it because it owes a response.
    pub fn eject_unresponsive(&mut self, now: Micros) {
        self.breaker = Breaker::Unresponsive { failures: self.failures() };
        self.probe_at = now + PROBE_INTERVAL;
    }

    /// Ejects it, removed from the list as it is, where it has not responded for a while.
    pub fn eject_if_quiet(&mut self, now: Micros) {
        if now > self.last_response_at + QUIET_TIME {
            self.set_failures(self.failures().max(1));
        }
    }

    /// Records a request that was sent, which is a probe where it is ejected.
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
