//! Guards whatever is acted on against a holder that stood still in the middle of an act and goes on after its lease.

use crate::table::DUTIES_MAX;
use std::collections::BTreeMap;

/// The highest token seen of each duty.
#[derive(Clone, Debug, Default)]
pub struct Fence {
    seen: BTreeMap<String, u64>,
}

/// An act under a token that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the token {token} is over: {seen} was seen")]
pub struct Stale {
    /// The act's token.
    pub token: u64,
    /// The highest one seen.
    pub seen: u64,
}

impl Fence {
    /// Lets an act pass, unless a later holder has been seen.
    pub fn pass(&mut self, duty: &str, token: u64) -> Result<(), Stale> {
        let full = self.seen.len() >= DUTIES_MAX;
        match self.seen.get_mut(duty) {
            Some(seen) if token < *seen => Err(Stale { token, seen: *seen }),
            Some(seen) => {
                *seen = token;
                Ok(())
            }
            // Bounds the table against a peer that makes names up: the voters know no more duties than this.
            None if full => Err(Stale { token, seen: u64::MAX }),
            None => {
                self.seen.insert(duty.to_string(), token);
                Ok(())
            }
        }
    }

    /// The highest token seen of a duty; 0 where none was.
    pub fn seen(&self, duty: &str) -> u64 {
        self.seen.get(duty).copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_older_token_never_passes_again() {
        let mut fence = Fence::default();
        assert_eq!(fence.pass("a", 5), Ok(()));
        assert_eq!(fence.pass("a", 5), Ok(()));
        assert_eq!(fence.pass("b", 1), Ok(()), "each duty by itself");
        assert_eq!(fence.pass("a", 7), Ok(()));
        assert_eq!(fence.pass("a", 6), Err(Stale { token: 6, seen: 7 }));
        assert_eq!((fence.seen("a"), fence.seen("c")), (7, 0));
        for i in 0..200 {
            let _ = fence.pass(&format!("x{i}"), 1); // refused once the table is full
        }
        assert!(fence.seen.len() <= DUTIES_MAX);
    }
}
