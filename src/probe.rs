//! Budget of load probes.

/// Maximum number of probes in flight, all of which are sent for one request.
const MAX_PROBES_AT_ONCE: usize = 6;
/// Probes that each received request adds to the budget.
const PROBES_PER_REQUEST: f64 = 10.0;
/// Maximum budget, in requests.
const MAX_SAVED_REQUESTS: f64 = 10.0;

/// Number of probes that may be sent, and number in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    available: f64,
    in_flight: u32,
}

impl ProbeBudget {
    /// Adds a received request's probes to the budget.
    pub fn record_received(&mut self) {
        let max_available = MAX_SAVED_REQUESTS * PROBES_PER_REQUEST;
        self.available = (self.available + PROBES_PER_REQUEST).min(max_available);
    }

    /// Whether probes are in flight, which may still find capacity.
    pub fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Number of probes that may be sent now.
    pub fn available(&self) -> usize {
        MAX_PROBES_AT_ONCE.min(self.available as usize)
    }

    /// Records a sent probe.
    pub fn record_sent(&mut self) {
        self.available -= 1.0;
        self.in_flight += 1;
    }

    /// Records the end of a probe.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
