//! The wire ids of requests that are open: workers know a request by its id, so two at once must not share one.

use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

/// The ids that are open.
#[derive(Clone, Default)]
pub struct InFlightIds(Arc<Mutex<HashSet<HeaderValue>>>);

impl InFlightIds {
    /// Opens an id; `None` where it is open already.
    pub fn open(&self, value: HeaderValue) -> Option<Arc<InFlightId>> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(value.clone()).then(|| Arc::new(InFlightId { value, all: self.clone() }))
    }
}

impl InFlightIds {
    /// How many are open.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// All that are open.
    pub fn all(&self) -> Vec<String> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().filter_map(|id| id.to_str().ok().map(String::from)).collect()
    }
}

/// An open id. It closes once the request is answered and no attempt is out: when the last hold on it goes.
pub struct InFlightId {
    /// As it came.
    pub value: HeaderValue,
    all: InFlightIds,
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        self.all.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.value);
    }
}
