//! Rate limit of the datagrams that the membership task reads.

use tokio::time::Instant;

/// Refill rate. Limits the CPU time that a flood of datagrams takes from requests; the kernel drops the excess.
const DATAGRAMS_PER_SECOND: f64 = 2000.0;
/// Capacity of the bucket.
const BURST_DATAGRAMS: f64 = 512.0;

/// Token bucket with one token per datagram. Protects request processing from a flood of datagrams.
pub(super) struct DatagramBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl DatagramBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> DatagramBudget {
        DatagramBudget { tokens: BURST_DATAGRAMS, refilled_at: now }
    }

    /// Whether a datagram may be read now.
    pub fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of one datagram.
    pub fn consume(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * DATAGRAMS_PER_SECOND).min(BURST_DATAGRAMS);
        self.refilled_at = now;
    }
}
