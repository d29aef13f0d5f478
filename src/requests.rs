//! Table of open requests, and the order in which admitted requests are sent.

use crate::api::{Micros, RequestId};
use crate::retry::Locality;
use crate::table::{ClassId, TenantId, WorkerIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, Index};

/// Processing state of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestStatus {
    /// In its tenant's queue.
    #[default]
    Queued,
    /// Admitted and waiting for a worker.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// The client has disconnected while an attempt is in flight.
    Abandoned,
}

/// The most recent attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// Worker that it was sent to.
    pub worker: WorkerIndex,
    /// Where that worker was then, as far as is known.
    pub locality: Option<Locality>,
    /// When it was sent.
    pub sent_at: Micros,
    /// When the worker reported its start, if it did.
    pub started_at: Option<Micros>,
    /// When the worker last reported anything about it; initially the time of sending.
    pub last_report_at: Micros,
    /// Whether the worker acknowledged it.
    pub acknowledged: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether its slots were released before it ended, so that it no longer occupies any at its worker.
    pub slots_released: bool,
    /// Whether it has not started in time and is probably queued at its worker.
    pub overdue: bool,
}

/// The first attempt that may have been executed.
#[derive(Clone, Copy, Debug)]
pub struct FirstExecution {
    /// Where its worker was when it was sent, as far as is known.
    pub locality: Option<Locality>,
    /// Until when workers drop duplicates of it.
    pub deduplicated_until: Micros,
}

/// State of an open request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestState {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its processing state.
    pub status: RequestStatus,
    /// Affinity key of the data that it needs; 0 for none.
    pub affinity_key: u64,
    /// Expected work, in microseconds on a standard core.
    pub work_us: f64,
    /// Slots that it occupies, or units of memory if it needs more of those.
    pub slots: f64,
    /// When it was admitted; until then, when it was received.
    pub admitted_at: Micros,
    /// When it must have its final answer.
    pub deadline: Micros,
    /// Latest time at which it can be sent and still meet its objective, or its deadline if it is late.
    pub send_by: Micros,
    /// Head start that its class gives it in the order of waiting requests.
    pub head_start: Micros,
    /// Whether it can only be answered after its objective has passed.
    pub is_late: bool,
    /// Whether it was admitted within its tenant's quota.
    pub within_quota: bool,
    /// Whether its response has started to reach the client.
    pub is_streaming: bool,
    /// Whether its latency was reported to rate control.
    pub latency_recorded: bool,
    /// Number of attempts made.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// The most recent attempt.
    pub attempt: Attempt,
    /// The first attempt that may have been executed.
    pub first_execution: Option<FirstExecution>,
}

impl RequestState {
    /// Fraction of its slack that has passed since it was admitted.
    pub fn waited_ratio(&self, now: Micros) -> f64 {
        let slack = self.send_by.saturating_sub(self.admitted_at).max(1);
        (now - self.admitted_at) as f64 / slack as f64
    }

    fn rank(&self, id: RequestId) -> Rank {
        let band = u8::from(!self.within_quota) * OVER_QUOTA_BAND + u8::from(self.is_late);
        Rank { band, send_by: self.send_by.saturating_sub(self.head_start), id }
    }
}

/// First priority band of requests over their tenants' quotas.
const OVER_QUOTA_BAND: u8 = 2;

/// Sort key of admitted requests. The bands, in the order of sending: within the quota and on time, within
/// the quota and late, over the quota and on time, over the quota and late. Within a band, requests are
/// ordered by their latest send time less their head start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    band: u8,
    send_by: Micros,
    /// Identifier of the request.
    pub id: RequestId,
}

/// Open requests by identifier, with the order of the waiting ones.
#[derive(Default)]
pub struct Requests {
    states: BTreeMap<RequestId, RequestState>,
    /// Contains exactly the requests in [`RequestStatus::Waiting`].
    waiting: BTreeSet<Rank>,
}

impl Index<RequestId> for Requests {
    type Output = RequestState;

    fn index(&self, id: RequestId) -> &RequestState {
        &self.states[&id]
    }
}

impl Requests {
    /// Adds a request that is not waiting yet.
    pub fn insert(&mut self, id: RequestId, request: RequestState) {
        self.states.insert(id, request);
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.states.get(&id)
    }

    /// Returns an open request for modification. Fields that determine the rank must not be changed through
    /// it while the request is waiting.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.states.get_mut(&id)
    }

    /// Whether this request is open and in its tenant's queue.
    pub fn is_queued(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.status == RequestStatus::Queued)
    }

    /// Returns the request if its most recent attempt has this number and is in flight.
    pub fn in_flight_mut(&mut self, id: RequestId, attempt: u32) -> Option<&mut RequestState> {
        let in_flight = |request: &&mut RequestState| {
            let is_in_flight = matches!(request.status, RequestStatus::InFlight | RequestStatus::Abandoned);
            request.attempts == attempt + 1 && is_in_flight
        };
        self.states.get_mut(&id).filter(in_flight)
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.states.remove(&id)?;
        if request.status == RequestStatus::Waiting {
            self.waiting.remove(&request.rank(id));
        }
        Some(request)
    }

    /// Marks a request as waiting for a worker, and adds it to the order.
    pub fn mark_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.states.get_mut(&id) {
            request.status = RequestStatus::Waiting;
            self.waiting.insert(request.rank(id));
        }
    }

    /// Removes a request from the order of waiting ones, to be sent.
    pub fn take_waiting(&mut self, rank: Rank) -> Option<&mut RequestState> {
        self.waiting.remove(&rank);
        self.states.get_mut(&rank.id)
    }

    /// Marks a request as late and sets its new latest send time; its rank changes accordingly.
    pub fn mark_late(&mut self, id: RequestId, send_by: Micros) {
        let Some(request) = self.states.get_mut(&id) else { return };
        let was_waiting = self.waiting.remove(&request.rank(id));
        request.is_late = true;
        request.send_by = send_by;
        if was_waiting {
            self.waiting.insert(request.rank(id));
        }
    }

    /// Returns the first waiting request that ranks after this one.
    pub fn next_waiting(&self, after: Rank) -> Option<Rank> {
        self.waiting.range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }

    /// Returns whether any request is waiting for a worker.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether any request that was admitted over its tenant's quota is waiting.
    pub fn any_waiting_over_quota(&self) -> bool {
        let first = Rank { band: OVER_QUOTA_BAND, ..Rank::default() };
        self.waiting.range(first..).next().is_some()
    }
}
