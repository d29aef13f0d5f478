//! Fencing guard: protects whatever is acted on from a holder that was stalled in the middle of an act and goes on after its
//! lease has expired.

use crate::lease_table::LEASES_MAX;
use std::collections::BTreeMap;

/// Highest fencing token seen of each lease.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: BTreeMap<String, u64>,
}

/// Rejection of an act under a token that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the token {token} is over: {highest} was seen")]
pub struct StaleToken {
    /// Token of the act.
    pub token: u64,
    /// Highest token seen.
    pub highest: u64,
}

impl FencingGuard {
    /// Checks the token of an act on a lease, and remembers it.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if a higher token was seen, or if the guard knows as many leases as the voters may grant.
    pub fn check(&mut self, lease: &str, token: u64) -> Result<(), StaleToken> {
        let is_full = self.highest.len() >= LEASES_MAX;
        match self.highest.get_mut(lease) {
            Some(highest) if token < *highest => Err(StaleToken { token, highest: *highest }),
            Some(highest) => {
                *highest = token;
                Ok(())
            }
            // A peer that makes up names must not fill the memory: the voters grant no more leases than this.
            None if is_full => Err(StaleToken { token, highest: u64::MAX }),
            None => {
                self.highest.insert(lease.to_string(), token);
                Ok(())
            }
        }
    }

    /// Returns the highest token seen of a lease; 0 if there was none.
    pub fn highest(&self, lease: &str) -> u64 {
        self.highest.get(lease).copied().unwrap_or(0)
    }
}
