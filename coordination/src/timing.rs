//! Durations of leases and elections.

use std::time::Duration;

/// Durations of leases and elections. All voters and clients of a fleet must use the same lease duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a lease by the leader's clock.
    pub lease: Duration,
    /// Minimum election timeout: time without a leader after which a voter starts an election. The maximum is twice this.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { lease: Duration::from_secs(10), election: Duration::from_secs(1) }
    }
}

impl Timing {
    /// Returns the time for which a holder may use its lease, counted from its request. The leader counts the full duration
    /// from a later moment; the margin covers two clocks of which one runs 5% fast and the other 5% slow.
    pub fn holder_validity(&self) -> Duration {
        self.lease * 17 / 20
    }

    /// Interval between renewals by a holder.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease / 5
    }
}
