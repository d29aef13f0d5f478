//! State of one lease in the client.

use crate::message::Operation;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of outstanding requests that are tracked for a lease.
const OUTSTANDING_MAX: usize = 4;

/// Grant of a lease by the voters.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    pub(super) token: u64,
    /// Time until which this process may use the lease, by its own clock.
    pub(super) valid_until: Duration,
}

/// State of one lease in the client.
#[derive(Default)]
pub(super) struct LeaseState {
    /// Whether the lease is to be acquired and renewed.
    pub(super) is_requested: bool,
    pub(super) grant: Option<Grant>,
    /// Grant that is being released, already reported to the embedder as lost.
    pub(super) releasing: Option<Grant>,
    /// Token that was released last; a late response must not reinstate it.
    pub(super) last_released: u64,
    /// State for the next holder that the voters have not confirmed yet.
    pub(super) unsaved_state: Option<Vec<u8>>,
    /// Ids and send times of the last requests.
    outstanding: VecDeque<(u64, Duration)>,
    pub(super) next_request_at: Duration,
    /// Name and token of another process that holds the lease.
    pub(super) other_holder: Option<(String, u64)>,
}

impl LeaseState {
    pub(super) fn valid_grant(&self, now: Duration) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.valid_until)
    }

    pub(super) fn is_releasing(&self, now: Duration) -> bool {
        self.releasing.is_some_and(|grant| now < grant.valid_until)
    }

    pub(super) fn next_tick(&self) -> Duration {
        self.grant.map_or(self.next_request_at, |grant| grant.valid_until.min(self.next_request_at))
    }

    pub(super) fn start_release(&mut self, now: Duration, grant: Grant) {
        self.releasing = Some(grant);
        self.last_released = grant.token;
        self.next_request_at = now;
    }

    /// Returns the operation of the next request.
    pub(super) fn next_operation(&self, lease: &str) -> Operation {
        let lease = lease.to_string();
        match (&self.grant, self.releasing, &self.unsaved_state) {
            (_, Some(Grant { token, .. }), _) => Operation::Release { lease, token },
            (Some(grant), _, Some(state)) => {
                Operation::SaveState { lease, token: grant.token, state: state.clone() }
            }
            (Some(grant), ..) => Operation::Acquire { lease, token: grant.token },
            _ => Operation::Acquire { lease, token: 0 },
        }
    }

    pub(super) fn record_sent(&mut self, id: u64, at: Duration) {
        if self.outstanding.len() >= OUTSTANDING_MAX {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((id, at));
    }

    /// Returns the send time of an outstanding request.
    pub(super) fn sent_at(&self, id: u64) -> Option<Duration> {
        self.outstanding.iter().find(|(sent, _)| *sent == id).map(|(_, at)| *at)
    }
}
