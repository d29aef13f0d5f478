//! Wire ids of requests in flight. Workers identify a request by this id, so two requests in flight must not
//! share one.

use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Set of the ids of requests in flight.
#[derive(Clone, Default)]
pub struct InFlightIds(Arc<Mutex<HashSet<HeaderValue>>>);

impl InFlightIds {
    /// Inserts an id; `None` if it is in flight already.
    pub fn insert(&self, value: HeaderValue) -> Option<Arc<InFlightId>> {
        let is_new = self.ids().insert(value.clone());
        is_new.then(|| Arc::new(InFlightId { value, ids: self.clone() }))
    }

    /// Number of ids in flight.
    pub fn len(&self) -> usize {
        self.ids().len()
    }

    /// All ids in flight, without those that are not ASCII.
    pub fn to_strings(&self) -> Vec<String> {
        self.ids().iter().filter_map(|id| id.to_str().ok().map(String::from)).collect()
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<HeaderValue>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Id in flight. It is removed from the set when its last reference is dropped: once the request is answered
/// and none of its attempts is in flight.
pub struct InFlightId {
    /// The id as the client sent it.
    pub value: HeaderValue,
    ids: InFlightIds,
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        self.ids.ids().remove(&self.value);
    }
}
