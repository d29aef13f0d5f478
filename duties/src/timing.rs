//! Durations of leases and elections.

use std::time::Duration;

/// Durations of leases and elections. All voters and clients of a fleet must agree on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a lease by the leader's clock.
    pub lease: Duration,
    /// Shortest time without a leader after which a voter calls an election; the longest is twice this.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { lease: Duration::from_secs(10), election: Duration::from_secs(1) }
    }
}

impl Timing {
    /// Returns the time for which a holder may act from the moment of its request. The leader counts the whole lease from a
    /// later moment; the difference covers two clocks of which one runs 5% fast and the other 5% slow.
    pub fn holder_validity(&self) -> Duration {
        self.lease * 17 / 20
    }

    /// Interval between a holder's requests.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease / 5
    }
}
