//! Wire ids of requests in flight, and of those that went to a worker before. Workers identify a request by this id, so two
//! requests in flight must not share one, and one that may have run must not be sent again for a client that repeats it.

use super::recent_ids::{digest_text, RecentIds, REPORTED_MAX};
use crate::counters::Counters;
use hyper::header::HeaderValue;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a request with an id is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdConflict {
    /// A request with this id is in flight.
    InFlight,
    /// A request with this id went to a worker before.
    MayHaveRun,
}

struct State {
    in_flight: HashSet<HeaderValue>,
    recent: RecentIds,
    /// Ids that were accepted since the last report, once there was a first one.
    accepted: Option<Vec<HeaderValue>>,
}

impl State {
    fn record_accepted(&mut self, value: &HeaderValue) {
        if let Some(accepted) = self.accepted.as_mut().filter(|accepted| accepted.len() < REPORTED_MAX) {
            accepted.push(value.clone());
        }
    }
}

/// Set of the ids of requests in flight, and those that went to a worker.
#[derive(Clone)]
pub struct InFlightIds {
    state: Arc<Mutex<State>>,
    counters: Arc<Counters>,
}

impl InFlightIds {
    /// Creates a set that remembers this many ids of ended requests.
    pub fn new(recent_capacity: usize, counters: Arc<Counters>) -> InFlightIds {
        let state =
            State { in_flight: HashSet::new(), recent: RecentIds::new(recent_capacity), accepted: None };
        InFlightIds { state: Arc::new(Mutex::new(state)), counters }
    }

    /// Inserts the id of a client's request.
    ///
    /// # Errors
    /// [`IdConflict`] if it is in flight already, or went to a worker before.
    pub fn insert(&self, value: &HeaderValue) -> Result<Arc<InFlightId>, IdConflict> {
        if self.state().recent.contains(value.as_bytes()) {
            self.counters.ids_repeated.add();
            return Err(IdConflict::MayHaveRun);
        }
        let id = self.insert_transferred(value).ok_or(IdConflict::InFlight)?;
        self.state().record_accepted(&id.value);
        Ok(id)
    }

    /// Inserts the id of a request that another process has accepted; `None` if it is in flight already.
    pub fn insert_transferred(&self, value: &HeaderValue) -> Option<Arc<InFlightId>> {
        // A copy, because the value is a slice of the whole head.
        let value = HeaderValue::from_bytes(value.as_bytes()).ok()?;
        let is_new = self.state().in_flight.insert(value.clone());
        is_new
            .then(|| Arc::new(InFlightId { value, may_have_run: AtomicBool::new(false), ids: self.clone() }))
    }

    /// Number of ids in flight.
    pub fn len(&self) -> usize {
        self.state().in_flight.len()
    }

    /// Number of ids of ended requests.
    pub fn recent_len(&self) -> usize {
        self.state().recent.len()
    }

    /// All ids in flight, without those that are not ASCII.
    pub fn to_strings(&self) -> Vec<String> {
        self.state().in_flight.iter().filter_map(|id| id.to_str().ok().map(String::from)).collect()
    }

    /// Ids of ended requests, for another process, which gets those in flight separately.
    pub fn report_recent(&self) -> Vec<String> {
        let mut state = self.state();
        state.accepted = Some(Vec::new());
        state.recent.report()
    }

    /// Ids of requests that were accepted or have ended since the last report, for another process.
    pub fn report_new(&self) -> Vec<String> {
        let mut state = self.state();
        let mut ids = state.recent.report_new();
        let accepted = state.accepted.as_mut().map(std::mem::take).unwrap_or_default();
        ids.extend(accepted.iter().map(|id| digest_text(id.as_bytes())));
        ids
    }

    /// Remembers the ids of ended requests of another process.
    pub fn insert_reported(&self, ids: &[String]) {
        self.state().recent.insert_reported(ids);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Id in flight. It leaves the set when its last reference is dropped: once the request is answered and none of its
/// attempts is in flight.
pub struct InFlightId {
    /// The id as the client sent it.
    pub value: HeaderValue,
    may_have_run: AtomicBool,
    ids: InFlightIds,
}

impl InFlightId {
    /// Records that the request went to a worker that may have run it.
    pub fn mark_may_have_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        let mut state = self.ids.state();
        state.in_flight.remove(&self.value);
        if self.may_have_run.load(Ordering::Relaxed) && state.recent.insert(self.value.as_bytes()) {
            self.ids.counters.ids_forgotten.add();
        }
    }
}
