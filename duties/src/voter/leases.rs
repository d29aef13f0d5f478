//! Leases as the leader grants, renews and releases them.

use super::requests::PendingRequest;
use super::{Voter, VoterEvent};
use crate::lease_table::{ApplyResult, Command};
use crate::message::Outcome;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most renewals that wait for a majority.
const RENEWALS_MAX: usize = 512;
/// Most requests that wait for one lease.
const WAITERS_MAX: usize = 8;

/// A renewal that waits until a majority has confirmed the leadership.
struct PendingRenewal {
    request: PendingRequest,
    lease: String,
}

/// A request for a lease that another process holds.
struct Waiter {
    since: Duration,
    request: PendingRequest,
}

/// What only the leader knows; it ends with the term.
#[derive(Default)]
pub(super) struct Leadership {
    pub(super) term: u64,
    /// Time until which each lease is held, by lease name.
    expirations: BTreeMap<String, Duration>,
    /// Requests whose command was proposed, by lease name.
    proposals: BTreeMap<String, PendingRequest>,
    waiters: BTreeMap<String, VecDeque<Waiter>>,
    renewals: BTreeMap<u64, PendingRenewal>,
    /// Renewals that a majority confirmed, with the index that has to be applied first.
    confirmed_renewals: Vec<(u64, PendingRenewal)>,
    /// Request to add or remove a voter whose change was proposed.
    pub(super) voter_change: Option<PendingRequest>,
}

impl Leadership {
    /// Time left of each lease, in milliseconds.
    pub(super) fn remaining_ms(&self, now: Duration) -> Vec<(String, u64)> {
        let remaining = |until: &Duration| until.saturating_sub(now).as_millis() as u64;
        self.expirations.iter().map(|(lease, until)| (lease.clone(), remaining(until))).collect()
    }

    /// A majority confirmed the leadership after this renewal had been requested.
    pub(super) fn renewal_confirmed(&mut self, number: u64, index: u64) {
        if let Some(renewal) = self.renewals.remove(&number) {
            self.confirmed_renewals.push((index, renewal));
        }
    }

    fn is_held(&self, lease: &str, now: Duration) -> bool {
        self.expirations.get(lease).is_some_and(|until| now < *until)
    }

    /// Takes the confirmed renewals up to this index.
    fn take_confirmed(&mut self, applied_index: u64) -> Vec<PendingRenewal> {
        let renewals = std::mem::take(&mut self.confirmed_renewals);
        let (confirmed, later): (Vec<_>, Vec<_>) =
            renewals.into_iter().partition(|(index, _)| *index <= applied_index);
        self.confirmed_renewals = later;
        confirmed.into_iter().map(|(_, renewal)| renewal).collect()
    }
}

impl Voter {
    /// Starts a term as the leader, unless it has started already.
    pub(super) fn become_leader(&mut self, now: Duration) {
        let term = self.raft.running().map_or(0, |raft| raft.raft.term);
        if self.leadership.as_ref().is_some_and(|leadership| leadership.term == term) {
            return;
        }
        self.lose_leadership();
        self.metrics.elections += 1;
        // The leader before may have extended each lease up to the moment at which a majority voted for this one.
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

    /// Grants a lease, renews it, or lets the request wait.
    pub(super) fn acquire(&mut self, now: Duration, request: PendingRequest, lease: String, token: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        if let Some(earlier) = leadership.proposals.get_mut(&lease) {
            if earlier.client == request.client {
                *earlier = request; // the response to the first may be lost, or too old by now
                return;
            }
            return self.wait(now, request, lease);
        }
        let last_token = self.table.token(&lease);
        match self.table.holder(&lease) {
            Some(holder) if *holder == request.client => self.renew(request, lease),
            // The client lost the lease without knowing it, and has to learn that first.
            _ if token != 0 => self.respond(&request, Outcome::NotHolder { lease, token: last_token }),
            Some(_) if leadership.is_held(&lease, now) => self.wait(now, request, lease),
            _ => self.grant(now, request, lease),
        }
    }

    fn grant(&mut self, now: Duration, request: PendingRequest, lease: String) {
        let command = Command::Grant {
            lease: lease.clone(),
            holder: request.client.clone(),
            previous_token: self.table.token(&lease),
            at_ms: self.unix_ms(now),
        };
        self.propose(request, lease, command);
    }

    /// Proposes a command that only the holder of the lease's last token may request.
    pub(super) fn propose_as_holder(
        &mut self,
        request: PendingRequest,
        lease: String,
        token: u64,
        command: Command,
    ) {
        let is_proposed = |leadership: &Leadership| leadership.proposals.contains_key(&lease);
        if self.leadership.as_ref().is_some_and(is_proposed) {
            return; // the client asks again
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
        // An error means that this voter leads no longer or has too much under way: the client asks again.
        if raft.propose(Vec::new(), data).is_ok() {
            if let Some(leadership) = &mut self.leadership {
                leadership.proposals.insert(lease, request);
            }
        }
    }

    /// Requests older than this are dropped: their clients have asked again.
    fn waiter_validity(&self) -> Duration {
        self.config.timing.renew_interval() * 2
    }

    fn wait(&mut self, now: Duration, request: PendingRequest, lease: String) {
        let validity = self.waiter_validity();
        let holder = self.table.holder(&lease).map_or(String::new(), |holder| holder.name.clone());
        let outcome = Outcome::HeldByOther { lease: lease.clone(), holder, token: self.table.token(&lease) };
        self.respond(&request, outcome);
        let Some(leadership) = &mut self.leadership else { return };
        let queue = leadership.waiters.entry(lease).or_default();
        queue.retain(|w| w.request.client != request.client && now - w.since < validity);
        if queue.len() < WAITERS_MAX {
            queue.push_back(Waiter { since: now, request });
        }
    }

    /// Extends a holder's lease once a majority has confirmed, after the request, that this voter still leads.
    fn renew(&mut self, request: PendingRequest, lease: String) {
        let Some(raft) = self.raft.running_mut() else { return };
        let Some(leadership) = self.leadership.as_mut().filter(|l| l.renewals.len() < RENEWALS_MAX) else {
            return;
        };
        self.last_renewal += 1;
        raft.read_index(self.last_renewal.to_be_bytes().to_vec());
        leadership.renewals.retain(|_, r| r.lease != lease || r.request.client != request.client);
        leadership.renewals.insert(self.last_renewal, PendingRenewal { request, lease });
    }

    /// Answers the renewals that a majority confirmed and whose index is applied.
    pub(super) fn confirm_renewals(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        for PendingRenewal { request, lease } in leadership.take_confirmed(self.applied_index) {
            let is_holder = self.table.holder(&lease) == Some(&request.client);
            // A lease whose next grant is proposed must not be extended.
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

    /// Extends a lease from now on and tells its holder.
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

    /// Answers the request whose command was applied.
    pub(super) fn command_applied(&mut self, now: Duration, result: ApplyResult) {
        if self.leadership.is_none() {
            return;
        }
        match result {
            ApplyResult::Granted { lease, token } => self.lease_granted(now, lease, token),
            ApplyResult::Released { lease } => self.lease_released(now, lease),
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

    fn lease_granted(&mut self, now: Duration, lease: String, token: u64) {
        let request = self.take_proposal(&lease);
        let Some(holder) = self.table.holder(&lease).cloned() else { return };
        self.metrics.grants += 1;
        self.report(VoterEvent::LeaseGranted { lease: lease.clone(), holder: holder.clone(), token });
        self.set_expiration(now, &lease);
        if let Some(request) = request.filter(|request| request.client == holder) {
            self.extend(now, &request, lease);
        }
    }

    fn lease_released(&mut self, now: Duration, lease: String) {
        if let Some(leadership) = &mut self.leadership {
            leadership.expirations.remove(&lease);
        }
        if let Some(request) = self.take_proposal(&lease) {
            self.respond(&request, Outcome::Done);
        }
        let validity = self.waiter_validity();
        let Some(leadership) = &mut self.leadership else { return };
        let queue = leadership.waiters.remove(&lease).unwrap_or_default();
        // A lease granted to an older request would have expired before its client heard of it.
        if let Some(next) = queue.into_iter().find(|waiter| now - waiter.since < validity) {
            self.grant(now, next.request, lease);
        }
    }
}
