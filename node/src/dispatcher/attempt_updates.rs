//! What workers have reported about running attempts and the dispatcher has not read yet. It is state of the attempt and
//! not a series of events, so its size does not depend on how much a worker sends.

use super::AttemptId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Reports about one attempt since the dispatcher read them last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AttemptUpdates {
    /// The worker has acknowledged the attempt.
    pub is_acknowledged: bool,
    /// The worker has started the execution.
    pub is_started: bool,
    /// Newest progress of the execution, from 0 to 1.
    pub progress: Option<f64>,
}

/// Unread reports by attempt. All clones share them.
#[derive(Clone, Default)]
pub(super) struct UnreadUpdates(Arc<Mutex<HashMap<AttemptId, AttemptUpdates>>>);

impl UnreadUpdates {
    /// Adds a report. Returns whether the attempt had no unread one before, so that the dispatcher has to be notified.
    pub fn add(&self, attempt_id: AttemptId, report: impl FnOnce(&mut AttemptUpdates)) -> bool {
        let mut unread = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count_before = unread.len();
        report(unread.entry(attempt_id).or_default());
        unread.len() > count_before
    }

    /// Removes and returns the unread reports about an attempt.
    pub fn take(&self, attempt_id: AttemptId) -> AttemptUpdates {
        let mut unread = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        unread.remove(&attempt_id).unwrap_or_default()
    }
}
