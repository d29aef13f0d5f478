//! Table of open requests, and the order in which those that were admitted are sent.

use crate::api::{Micros, RequestId};
use crate::table::{ClassId, TenantId, WorkerIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, Index};

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// In its tenant's queue.
    #[default]
    Queued,
    /// Admitted; it waits for a worker.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// Its client has disconnected, and its last attempt is still in flight.
    Abandoned,
}

/// The last attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// Where it was sent.
    pub worker: WorkerIndex,
    /// When it was sent.
    pub sent_at: Micros,
    /// When its worker reported its start.
    pub started_at: Option<Micros>,
    /// The last time at which its worker reported anything of it; the time of sending before.
    pub last_report_at: Micros,
    /// Whether its worker acknowledged it.
    pub acknowledged: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it was given up, so that it occupies nothing at its worker any more.
    pub given_up: bool,
    /// Whether it has not started in time, so that it seems to wait at its worker.
    pub overdue: bool,
}

/// The first attempt that may have been executed.
#[derive(Clone, Copy, Debug)]
pub struct FirstExecution {
    /// Where it was sent.
    pub worker: WorkerIndex,
    /// Until when workers drop duplicates of it.
    pub deduplicated_until: Micros,
}

/// An open request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestState {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Where it stands.
    pub phase: Phase,
    /// Key of the data that it needs; 0 for none.
    pub affinity_key: u64,
    /// Expected work, in microseconds of a standard core.
    pub work_us: f64,
    /// Slots that it takes; where it takes more memory than that, units of memory.
    pub slots: f64,
    /// When it was admitted; before, when it was received.
    pub admitted_at: Micros,
    /// When it must have its final answer.
    pub deadline: Micros,
    /// The last time at which it can be sent and be in time.
    pub send_by: Micros,
    /// Head start of its class while it waits.
    pub head_start: Micros,
    /// Whether it can only be answered after its objective.
    pub is_late: bool,
    /// Whether it was admitted within its tenant's quota.
    pub within_quota: bool,
    /// Whether its response has begun to reach the client.
    pub is_streaming: bool,
    /// Whether its latency was passed to rate control.
    pub latency_recorded: bool,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts allowed.
    pub max_attempts: u32,
    /// The last attempt.
    pub attempt: Attempt,
    /// The first attempt that may have been executed.
    pub first_execution: Option<FirstExecution>,
}

impl RequestState {
    /// The part of its slack that has passed since it was admitted.
    pub fn waited_ratio(&self, now: Micros) -> f64 {
        let slack = self.send_by.saturating_sub(self.admitted_at).max(1);
        (now - self.admitted_at) as f64 / slack as f64
    }

    fn rank(&self, id: RequestId) -> Rank {
        let band = u8::from(!self.within_quota) * OVER_QUOTA_BAND + u8::from(self.is_late);
        Rank { band, send_by: self.send_by.saturating_sub(self.head_start), id }
    }
}

/// The first band of requests over their tenants' quotas.
const OVER_QUOTA_BAND: u8 = 2;

/// Place in the order in which admitted requests are sent: within the quota and in time, within the quota and
/// late, then the others in the same way; in a band, by the time by which they must be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    band: u8,
    send_by: Micros,
    /// The request.
    pub id: RequestId,
}

/// Open requests by their identifiers.
#[derive(Default)]
pub struct Requests {
    states: BTreeMap<RequestId, RequestState>,
    /// Exactly those in [`Phase::Waiting`].
    waiting: BTreeSet<Rank>,
}

impl Index<RequestId> for Requests {
    type Output = RequestState;

    fn index(&self, id: RequestId) -> &RequestState {
        &self.states[&id]
    }
}

impl Requests {
    /// Adds a request that is in no order yet.
    pub fn insert(&mut self, id: RequestId, request: RequestState) {
        self.states.insert(id, request);
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.states.get(&id)
    }

    /// An open request. What decides on its rank must not be changed here while it waits.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.states.get_mut(&id)
    }

    /// The request whose last attempt has this number and is in flight.
    pub fn in_flight_mut(&mut self, id: RequestId, attempt: u32) -> Option<&mut RequestState> {
        let in_flight = |request: &&mut RequestState| {
            let is_out = matches!(request.phase, Phase::InFlight | Phase::Abandoned);
            request.attempts == attempt + 1 && is_out
        };
        self.states.get_mut(&id).filter(in_flight)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.states.remove(&id)?;
        if request.phase == Phase::Waiting {
            self.waiting.remove(&request.rank(id));
        }
        Some(request)
    }

    /// Puts a request into the order of those that wait for a worker.
    pub fn wait(&mut self, id: RequestId) {
        if let Some(request) = self.states.get_mut(&id) {
            request.phase = Phase::Waiting;
            self.waiting.insert(request.rank(id));
        }
    }

    /// Takes a request out of the order, to be sent.
    pub fn take(&mut self, rank: Rank) -> Option<&mut RequestState> {
        self.waiting.remove(&rank);
        self.states.get_mut(&rank.id)
    }

    /// Marks a request as late, with a new time by which it must be sent, at which its place in the order
    /// changes.
    pub fn mark_late(&mut self, id: RequestId, send_by: Micros) {
        let Some(request) = self.states.get_mut(&id) else { return };
        let waits = self.waiting.remove(&request.rank(id));
        request.is_late = true;
        request.send_by = send_by;
        if waits {
            self.waiting.insert(request.rank(id));
        }
    }

    /// The first waiting request behind this place in the order.
    pub fn next_waiting(&self, after: Rank) -> Option<Rank> {
        self.waiting.range((Bound::Excluded(after), Bound::Unbounded)).next().copied()
    }

    /// Whether any request waits for a worker.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether a request waits that was admitted over its tenant's quota.
    pub fn any_waiting_over_quota(&self) -> bool {
        let first = Rank { band: OVER_QUOTA_BAND, ..Rank::default() };
        self.waiting.range(first..).next().is_some()
    }
}
