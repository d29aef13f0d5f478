//! Fencing guard: protects a resource from a lease holder that stalls in the middle of an operation and resumes it after
//! its lease has expired.

use crate::lease_table::LEASES_MAX;
use std::collections::BTreeMap;

/// Records the highest fencing token of each lease and rejects lower ones.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: BTreeMap<String, u64>,
}

/// Error for an operation whose fencing token is lower than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {token} is stale: the highest token seen is {highest}")]
pub struct StaleToken {
    /// Token of the rejected operation.
    pub token: u64,
    /// Highest token seen for the lease; `u64::MAX` if the guard is full.
    pub highest: u64,
}

impl FencingGuard {
    /// Checks the fencing token of an operation under a lease, and records it.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a higher token was seen, or if the lease is unknown and the guard is full.
    pub fn check(&mut self, lease: &str, token: u64) -> Result<(), StaleToken> {
        let is_full = self.highest.len() >= LEASES_MAX;
        match self.highest.get_mut(lease) {
            Some(highest) if token < *highest => Err(StaleToken { token, highest: *highest }),
            Some(highest) => {
                *highest = token;
                Ok(())
            }
            // Bounds memory against a peer that invents lease names: the voters grant no more leases than this.
            None if is_full => Err(StaleToken { token, highest: u64::MAX }),
            None => {
                self.highest.insert(lease.to_string(), token);
                Ok(())
            }
        }
    }

    /// Returns the highest token seen for a lease; 0 if there was none.
    pub fn highest(&self, lease: &str) -> u64 {
        self.highest.get(lease).copied().unwrap_or(0)
    }
}
