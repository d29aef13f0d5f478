//! Guards whatever is acted on against a holder that stood still in the middle of an act and goes on after its lease.

use crate::lease_table::LEASES_MAX;
use std::collections::BTreeMap;

/// The highest token seen of each duty.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    highest: BTreeMap<String, u64>,
}

/// An act under a token that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the token {token} is over: {highest} was seen")]
pub struct StaleToken {
    /// The act's token.
    pub token: u64,
    /// The highest one seen.
    pub highest: u64,
}

impl FencingGuard {
    /// Lets an act pass, unless a later holder has been seen.
    pub fn check(&mut self, lease: &str, token: u64) -> Result<(), StaleToken> {
        let full = self.highest.len() >= LEASES_MAX;
        match self.highest.get_mut(lease) {
            Some(highest) if token < *highest => Err(StaleToken { token, highest: *highest }),
            Some(highest) => {
                *highest = token;
                Ok(())
            }
            // Bounds the table against a peer that makes names up: the voters know no more duties than this.
            None if full => Err(StaleToken { token, highest: u64::MAX }),
            None => {
                self.highest.insert(lease.to_string(), token);
                Ok(())
            }
        }
    }

    /// The highest token seen of a duty; 0 where none was.
    pub fn highest(&self, lease: &str) -> u64 {
        self.highest.get(lease).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_older_token_never_passes_again() {
        let mut fence = FencingGuard::default();
        assert_eq!(fence.check("a", 5), Ok(()));
        assert_eq!(fence.check("a", 5), Ok(()));
        assert_eq!(fence.check("b", 1), Ok(()), "each duty by itself");
        assert_eq!(fence.check("a", 7), Ok(()));
        assert_eq!(fence.check("a", 6), Err(StaleToken { token: 6, highest: 7 }));
        assert_eq!((fence.highest("a"), fence.highest("c")), (7, 0));
        for i in 0..200 {
            let _ = fence.check(&format!("x{i}"), 1); // refused once the table is full
        }
        assert!(fence.highest.len() <= LEASES_MAX);
    }
}
