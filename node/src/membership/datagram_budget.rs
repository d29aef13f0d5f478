//! Budget of the datagrams that the membership task reads.

use tokio::time::Instant;

/// Datagrams read per second, in the long run. Bounds the processor time that a flood takes from the jobs; the kernel
/// drops the excess.
const DATAGRAMS_PER_SECOND: f64 = 2000.0;
/// Datagrams read at once, above that rate.
const BURST_DATAGRAMS: f64 = 512.0;

/// Token bucket of the datagrams that may be read. Guards the jobs against a flood of datagrams.
pub(super) struct DatagramBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl DatagramBudget {
    /// A full budget.
    pub fn new(now: Instant) -> DatagramBudget {
        DatagramBudget { tokens: BURST_DATAGRAMS, refilled_at: now }
    }

    /// Whether a datagram may be read.
    pub fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Uses up one datagram.
    pub fn consume(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the tokens of the time since the last call.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * DATAGRAMS_PER_SECOND).min(BURST_DATAGRAMS);
        self.refilled_at = now;
    }
}
