//! The wire ids of requests that are open: workers know a request by its id, so two at once must not share one.

use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

/// The ids that are open.
#[derive(Clone, Default)]
pub struct Ids(Arc<Mutex<HashSet<HeaderValue>>>);

impl Ids {
    /// Opens an id; `None` where it is open already.
    pub fn open(&self, value: HeaderValue) -> Option<Arc<Id>> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert(value.clone()).then(|| Arc::new(Id { value, all: self.clone() }))
    }
}

impl Ids {
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
pub struct Id {
    /// As it came.
    pub value: HeaderValue,
    all: Ids,
}

impl Drop for Id {
    fn drop(&mut self) {
        self.all.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.value);
    }
}
