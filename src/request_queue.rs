//! Queue of a tenant's requests, of which many end before they are admitted.

use crate::api::RequestId;
use std::collections::VecDeque;

/// Number of entries from which on those of ended requests are removed.
const PRUNE_LEN_MIN: usize = 64;

/// Identifiers of queued requests, and of ended ones until they are popped or pruned. The length stays within
/// a multiple of the number of queued requests.
pub struct RequestQueue {
    ids: VecDeque<RequestId>,
    /// Length at which the entries of ended requests are removed.
    prune_len: usize,
}

impl Default for RequestQueue {
    fn default() -> Self {
        RequestQueue { ids: VecDeque::new(), prune_len: PRUNE_LEN_MIN }
    }
}

impl RequestQueue {
    /// Adds a request. If the queue has grown long, the entries for which `is_queued` is false are removed.
    pub fn push(&mut self, id: RequestId, is_queued: impl Fn(RequestId) -> bool) {
        if self.ids.len() >= self.prune_len {
            self.ids.retain(|id| is_queued(*id));
            self.prune_len = PRUNE_LEN_MIN.max(2 * self.ids.len());
        }
        self.ids.push_back(id);
    }

    /// Removes and returns the newest entry.
    pub fn pop_newest(&mut self) -> Option<RequestId> {
        self.ids.pop_back()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
