//! Grants, renewals and releases of leases by the leader.

use super::requests::PendingRequest;
use super::{Voter, VoterEvent};
use crate::lease_table::{ApplyResult, Command};
use crate::message::Outcome;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of renewals that wait for confirmation by a majority.
const PENDING_RENEWALS_MAX: usize = 512;
/// Maximum number of requests that wait for one lease.
const WAITERS_MAX: usize = 8;

/// Renewal that waits until a majority has confirmed the leadership.
struct PendingRenewal {
    request: PendingRequest,
    lease: String,
}

/// Request that waits for a lease that another process holds.
struct Waiter {
    queued_at: Duration,
    request: PendingRequest,
}

/// State of the leader, which is not replicated and is dropped at the end of its term.
#[derive(Default)]
pub(super) struct Leadership {
    pub(super) term: u64,
    /// Expiration time of each lease, by lease name.
    expirations: BTreeMap<String, Duration>,
    /// Requests whose command was proposed and is not applied yet, by lease name.
    proposals: BTreeMap<String, PendingRequest>,
    waiters: BTreeMap<String, VecDeque<Waiter>>,
    renewals: BTreeMap<u64, PendingRenewal>,
    /// Renewals that a majority has confirmed, with the log index that must be applied first.
    confirmed_renewals: Vec<(u64, PendingRenewal)>,
    /// Request to add or remove a voter whose change was proposed and is not applied yet.
    pub(super) voter_change: Option<PendingRequest>,
}

impl Leadership {
    /// Returns the remaining time of each lease, in milliseconds.
    pub(super) fn remaining_ms(&self, now: Duration) -> Vec<(String, u64)> {
        let remaining = |until: &Duration| until.saturating_sub(now).as_millis() as u64;
        self.expirations.iter().map(|(lease, until)| (lease.clone(), remaining(until))).collect()
    }

    /// Handles the confirmation of the leadership by a majority, which followed the request of this renewal.
    pub(super) fn confirm_renewal(&mut self, number: u64, index: u64) {
        if let Some(renewal) = self.renewals.remove(&number) {
            self.confirmed_renewals.push((index, renewal));
        }
    }

    fn is_held(&self, lease: &str, now: Duration) -> bool {
        self.expirations.get(lease).is_some_and(|until| now < *until)
    }

    /// Takes the confirmed renewals whose index is at most `applied_index`.
    fn take_confirmed(&mut self, applied_index: u64) -> Vec<PendingRenewal> {
        let renewals = std::mem::take(&mut self.confirmed_renewals);
        let (confirmed, later): (Vec<_>, Vec<_>) =
            renewals.into_iter().partition(|(index, _)| *index <= applied_index);
        self.confirmed_renewals = later;
        confirmed.into_iter().map(|(_, renewal)| renewal).collect()
    }
}

impl Voter {
    /// Starts this voter's leadership in the current term, unless it has already started.
    pub(super) fn become_leader(&mut self, now: Duration) {
        let term = self.raft.running().map_or(0, |raft| raft.raft.term);
        if self.leadership.as_ref().is_some_and(|leadership| leadership.term == term) {
            return;
        }
        self.lose_leadership();
        self.metrics.elections += 1;
        // The previous leader may have extended each lease until the moment at which a majority voted for this voter.
        let until = now + self.config.timing.lease;
        let held = self.table.leases.iter().filter(|(_, record)| record.holder.is_some());
        let expirations = held.map(|(lease, _)| (lease.clone(), until)).collect();
        self.leadership = Some(Leadership { term, expirations, ..Leadership::default() });
        self.report(VoterEvent::BecameLeader { term });
    }

    pub(super) fn lose_leadership(&mut self) {
        if self.leadership.take().is_some() {
            self.report(VoterEvent::LeadershipLost);
        }
    }

    /// Grants or renews a lease, or queues the request if another process holds the lease.
    pub(super) fn acquire(&mut self, now: Duration, request: PendingRequest, lease: String, token: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(earlier) = leadership.proposals.get_mut(&lease) {
            if earlier.client == request.client {
                *earlier = request; // a response to the earlier request may come too late to be useful
                return;
            }
            return self.enqueue(now, request, lease);
        }
        let last_token = self.table.token(&lease);
        match self.table.holder(&lease) {
            Some(holder) if *holder == request.client => self.request_renewal(request, lease),
            // The client has lost the lease without knowing it, and must learn that before it can acquire it again.
            _ if token != 0 => self.respond(&request, Outcome::NotHolder { lease, token: last_token }),
            Some(_) if leadership.is_held(&lease, now) => self.enqueue(now, request, lease),
            _ => self.propose_grant(now, request, lease),
        }
    }

    fn propose_grant(&mut self, now: Duration, request: PendingRequest, lease: String) {
        let command = Command::Grant {
            lease: lease.clone(),
            holder: request.client.clone(),
            previous_token: self.table.token(&lease),
            at_ms: self.unix_ms(now),
        };
        self.propose(request, lease, command);
    }

    /// Proposes a command that requires the request to come from the holder of the lease's last token.
    pub(super) fn propose_as_holder(
        &mut self,
        request: PendingRequest,
        lease: String,
        token: u64,
        command: Command,
    ) {
        let is_proposed = |leadership: &Leadership| leadership.proposals.contains_key(&lease);
        if self.leadership.as_ref().is_some_and(is_proposed) {
            return; // the client retries
        }
        let last_token = self.table.token(&lease);
        match self.table.holder(&lease) {
            Some(holder) if *holder == request.client && last_token == token => {
                self.propose(request, lease, command);
            }
            _ => self.respond(&request, Outcome::NotHolder { lease, token: last_token }),
        }
    }

    fn propose(&mut self, request: PendingRequest, lease: String, command: Command) {
        let Some(raft) = self.raft.running_mut() else { return };
        let Ok(data) = postcard::to_stdvec(&command) else { return };
        // Fails if this voter is no longer the leader or has too many uncommitted entries; the client retries.
        if raft.propose(Vec::new(), data).is_ok() {
            if let Some(leadership) = &mut self.leadership {
                leadership.proposals.insert(lease, request);
            }
        }
    }

    /// Returns the age at which waiting requests are dropped; their clients have retried by then.
    fn waiter_validity(&self) -> Duration {
        self.config.timing.renew_interval() * 2
    }

    /// Responds that another process holds the lease, and queues the request in case the lease is released soon.
    fn enqueue(&mut self, now: Duration, request: PendingRequest, lease: String) {
        let validity = self.waiter_validity();
        let holder = self.table.holder(&lease).map_or(String::new(), |holder| holder.name.clone());
        let outcome = Outcome::HeldByOther { lease: lease.clone(), holder, token: self.table.token(&lease) };
        self.respond(&request, outcome);
        let Some(leadership) = &mut self.leadership else { return };
        let queue = leadership.waiters.entry(lease).or_default();
        queue.retain(|w| w.request.client != request.client && now - w.queued_at < validity);
        if queue.len() < WAITERS_MAX {
            queue.push_back(Waiter { queued_at: now, request });
        }
    }

    /// Requests confirmation by a majority that this voter still leads, after which the holder's lease is extended.
    fn request_renewal(&mut self, request: PendingRequest, lease: String) {
        let Some(raft) = self.raft.running_mut() else { return };
        let Some(leadership) = self.leadership.as_mut().filter(|l| l.renewals.len() < PENDING_RENEWALS_MAX)
        else {
            return;
        };
        self.last_renewal += 1;
        raft.read_index(self.last_renewal.to_be_bytes().to_vec());
        leadership.renewals.retain(|_, r| r.lease != lease || r.request.client != request.client);
        leadership.renewals.insert(self.last_renewal, PendingRenewal { request, lease });
    }

    /// Carries out the renewals that a majority has confirmed and whose log index is applied.
    pub(super) fn complete_renewals(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        for PendingRenewal { request, lease } in leadership.take_confirmed(self.applied_index) {
            let is_holder = self.table.holder(&lease) == Some(&request.client);
            // A lease must not be extended while its next grant is proposed.
            let is_proposed = |leadership: &Leadership| leadership.proposals.contains_key(&lease);
            if !is_holder || self.leadership.as_ref().is_some_and(is_proposed) {
                let token = self.table.token(&lease);
                self.respond(&request, Outcome::NotHolder { lease, token });
                continue;
            }
            self.metrics.renewals += 1;
            self.extend(now, &request, lease);
        }
    }

    /// Extends a lease by the full duration from now, and responds to its holder.
    fn extend(&mut self, now: Duration, request: &PendingRequest, lease: String) {
        self.set_expiration(now, &lease);
        let record = self.table.leases.get(&lease);
        let (token, state) = record.map_or((0, Vec::new()), |r| (r.token, r.state.clone()));
        self.respond(request, Outcome::Granted { lease, token, state });
    }

    fn set_expiration(&mut self, now: Duration, lease: &str) {
        let until = now + self.config.timing.lease;
        if let Some(leadership) = &mut self.leadership {
            leadership.expirations.insert(lease.to_string(), until);
        }
    }

    fn take_proposal(&mut self, lease: &str) -> Option<PendingRequest> {
        self.leadership.as_mut()?.proposals.remove(lease)
    }

    /// Responds to the request whose command was applied.
    pub(super) fn handle_applied(&mut self, now: Duration, result: ApplyResult) {
        if self.leadership.is_none() {
            return;
        }
        match result {
            ApplyResult::Granted { lease, token } => self.handle_grant_applied(now, lease, token),
            ApplyResult::Released { lease } => self.handle_release_applied(now, lease),
            ApplyResult::StateSaved { lease } => {
                if let Some(request) = self.take_proposal(&lease) {
                    self.respond(&request, Outcome::Done);
                }
            }
            ApplyResult::Ignored { lease } => {
                if let Some(request) = self.take_proposal(&lease) {
                    let token = self.table.token(&lease);
                    self.respond(&request, Outcome::NotHolder { lease, token });
                }
            }
        }
    }

    fn handle_grant_applied(&mut self, now: Duration, lease: String, token: u64) {
        let request = self.take_proposal(&lease);
        let Some(holder) = self.table.holder(&lease).cloned() else { return };
        self.metrics.grants += 1;
        self.report(VoterEvent::LeaseGranted { lease: lease.clone(), holder: holder.clone(), token });
        self.set_expiration(now, &lease);
        if let Some(request) = request.filter(|request| request.client == holder) {
            self.extend(now, &request, lease);
        }
    }

    fn handle_release_applied(&mut self, now: Duration, lease: String) {
        if let Some(leadership) = &mut self.leadership {
            leadership.expirations.remove(&lease);
        }
        if let Some(request) = self.take_proposal(&lease) {
            self.respond(&request, Outcome::Done);
        }
        let validity = self.waiter_validity();
        let Some(leadership) = &mut self.leadership else { return };
        let queue = leadership.waiters.remove(&lease).unwrap_or_default();
        // A lease granted for an older request would have expired before its client received the response.
        if let Some(waiter) = queue.into_iter().find(|w| now - w.queued_at < validity) {
            self.propose_grant(now, waiter.request, lease);
        }
    }
}
