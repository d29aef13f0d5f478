//! Budget of load probes.

/// Probes in flight at most, and probes sent for a request at a time.
const MAX_AT_ONCE: usize = 6;
/// Probes that a request may cost.
const PROBES_A_REQUEST: f64 = 10.0;
/// Requests whose probes are saved up at most.
const SAVED_REQUESTS: f64 = 10.0;

/// Probes that may be sent, and those in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    available: f64,
    in_flight: u32,
}

impl ProbeBudget {
    /// Adds the probes of a request that was received.
    pub fn record_received(&mut self) {
        let most = SAVED_REQUESTS * PROBES_A_REQUEST;
        self.available = (self.available + PROBES_A_REQUEST).min(most);
    }

    /// Whether probes are in flight, which may yet show room.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Probes that may be sent now.
    pub fn available(&self) -> usize {
        MAX_AT_ONCE.min(self.available as usize)
    }

    /// Records a probe that was sent.
    pub fn record_sent(&mut self) {
        self.available -= 1.0;
        self.in_flight += 1;
    }

    /// Records a probe that has ended.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
