//! Client of the voters: acquires leases, renews and releases them, and knows by its own clock how long each is valid.

mod action;
mod lease;
mod voter_directory;

pub use action::{ClientAction, LeaseLost};

use crate::lease_table::Holder;
use crate::message::{ClusterStatus, Operation, Outcome, Request, Response};
use crate::Timing;
use lease::{Grant, LeaseState};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use voter_directory::VoterDirectory;

/// Longest interval between requests that were not answered.
const RETRY_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Client of the voters; without I/O, clock or thread of its own.
pub struct Client {
    process: Holder,
    timing: Timing,
    directory: VoterDirectory,
    /// Time of the last response of a leader.
    last_response: Option<Duration>,
    leases: BTreeMap<String, LeaseState>,
    last_request_id: u64,
    actions: VecDeque<ClientAction>,
}

impl Client {
    /// Returns a client of the voters at these addresses.
    pub fn new(process: Holder, timing: Timing, voters: Vec<SocketAddr>) -> Client {
        Client {
            process,
            timing,
            directory: VoterDirectory::new(voters),
            last_response: None,
            leases: BTreeMap::new(),
            last_request_id: 0,
            actions: VecDeque::new(),
        }
    }

    /// Returns the next action for the embedder, if there is one.
    pub fn next_action(&mut self) -> Option<ClientAction> {
        self.actions.pop_front()
    }

    /// Requests a lease, and renews it, until it is released.
    pub fn acquire(&mut self, now: Duration, lease: &str) {
        let state = self.leases.entry(lease.to_string()).or_default();
        if !state.wanted {
            state.wanted = true;
            state.next_request = now;
        }
    }

    /// Releases a lease if it is held, and requests it no longer.
    pub fn release(&mut self, now: Duration, lease: &str) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.wanted = false;
        if let Some(grant) = state.grant.take() {
            // The lease is lost here before the voters hear of it.
            state.start_release(now, grant);
            self.lost(lease, grant.token, LeaseLost::Released);
        } else if state.releasing.is_none() {
            self.leases.remove(lease);
        }
    }

    /// Saves state for the next holder of a lease that is held.
    pub fn save_state(&mut self, now: Duration, lease: &str, saved: Vec<u8>) {
        if let Some(state) = self.leases.get_mut(lease).filter(|state| state.grant.is_some()) {
            state.unsaved = Some(saved);
            state.next_request = now;
        }
    }

    /// Returns whether saved state of a lease is not confirmed yet.
    pub fn is_saving_state(&self, lease: &str) -> bool {
        self.leases.get(lease).is_some_and(|state| state.unsaved.is_some())
    }

    /// Returns the fencing token of a lease if it is valid at this moment. To be called right before each act.
    pub fn valid_token(&self, now: Duration, lease: &str) -> Option<u64> {
        self.leases.get(lease)?.valid_grant(now).map(|grant| grant.token)
    }

    /// Returns the leases that are valid now, with token and remaining time of each.
    pub fn held_leases(&self, now: Duration) -> impl Iterator<Item = (&str, u64, Duration)> {
        self.leases.iter().filter_map(move |(lease, state)| {
            let grant = state.valid_grant(now)?;
            Some((lease.as_str(), grant.token, grant.valid_until - now))
        })
    }

    /// Returns name and token of the other holder of a lease that is requested here, as the voters said last.
    pub fn other_holder(&self, lease: &str) -> Option<(&str, u64)> {
        let (name, token) = self.leases.get(lease)?.other_holder.as_ref()?;
        Some((name, *token))
    }

    /// Returns the time at which [`Client::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        self.leases.values().map(LeaseState::next_tick).min().unwrap_or(Duration::MAX)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.expire_grants(now);
        // A released lease of which no voter heard has expired by itself by then.
        self.leases.retain(|_, state| state.wanted || state.is_releasing(now));
        let is_due = |state: &LeaseState| now >= state.next_request;
        let due: Vec<String> =
            self.leases.iter().filter(|(_, state)| is_due(state)).map(|(lease, _)| lease.clone()).collect();
        for lease in due {
            self.send_request(now, &lease);
        }
    }

    /// Sends an operator's request; returns it, so that its response can be recognized.
    pub fn request(&mut self, now: Duration, to: SocketAddr, operation: Operation) -> Request {
        self.last_request_id += 1;
        let request = Request {
            id: self.last_request_id,
            client: self.process.clone(),
            last_response_age_ms: self.last_response_age_ms(now),
            operation,
        };
        self.actions.push_back(ClientAction::Send { to, request: request.clone() });
        request
    }

    /// Returns the voter to ask next: the leader, if it is known.
    pub fn target_voter(&self) -> Option<SocketAddr> {
        self.directory.target()
    }

    /// Turns to the next voter, when the one that was asked does not respond or knows no leader.
    pub fn try_next_voter(&mut self) {
        self.directory.try_next();
    }

    /// Adds the voters that a leader named.
    pub fn update_voters(&mut self, status: &ClusterStatus) {
        self.directory.add(status.table.voters.values().map(|member| member.address));
    }

    /// Handles a response.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, response: Response) {
        if response.process_id != self.process.process_id {
            return;
        }
        let id = response.request_id;
        if let Outcome::NotLeader(leader) = response.outcome {
            return self.redirected(now, from, id, leader);
        }
        // Only a leader's response counts: another voter may be reachable while the leader is not.
        self.last_response = Some(now);
        self.directory.leader_found(from);
        if response.outcome == Outcome::ConfirmReceipt {
            return self.retry_soon(now, id);
        }
        let Some((lease, sent_at)) = self.find_request(id) else { return };
        match response.outcome {
            Outcome::Granted { lease: granted, token, state } if granted == lease => {
                self.granted(now, &lease, token, state, sent_at);
            }
            Outcome::HeldByOther { holder, token, .. } => {
                if let Some(state) = self.leases.get_mut(&lease) {
                    state.other_holder = Some((holder, token));
                }
            }
            Outcome::NotHolder { token, .. } => self.not_holder(now, &lease, token),
            Outcome::Done => self.done(&lease),
            _ => {}
        }
    }

    fn redirected(&mut self, now: Duration, from: SocketAddr, id: u64, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                if self.directory.leader != Some(leader) {
                    self.directory.leader = Some(leader);
                    self.retry_soon(now, id);
                }
            }
            None => {
                if self.directory.leader.is_none_or(|known| known == from) {
                    self.directory.try_next();
                }
            }
        }
    }

    /// Lease and time of a request whose response may still come.
    fn find_request(&self, id: u64) -> Option<(String, Duration)> {
        self.leases.iter().find_map(|(lease, state)| Some((lease.clone(), state.sent_at(id)?)))
    }

    fn granted(&mut self, now: Duration, lease: &str, token: u64, saved: Vec<u8>, sent_at: Duration) {
        let validity = self.timing.holder_validity();
        let valid_until = sent_at + validity;
        let Some(state) = self.leases.get_mut(lease) else { return };
        if token <= state.last_released || !state.wanted {
            // It was released already: the voters have to hear of that (again).
            if state.releasing.is_none() {
                state.start_release(now, Grant { token, valid_until: now + validity });
            }
            return;
        }
        if now >= valid_until {
            return; // too late: the next request finds the lease held by this process, and renews it
        }
        state.other_holder = None;
        match &mut state.grant {
            Some(grant) if grant.token == token => grant.valid_until = grant.valid_until.max(valid_until),
            Some(grant) if grant.token > token => {}
            _ => {
                let before = state.grant.replace(Grant { token, valid_until });
                if let Some(before) = before {
                    self.lost(lease, before.token, LeaseLost::TakenOver);
                }
                let lease = lease.to_string();
                self.actions.push_back(ClientAction::Acquired { lease, token, state: saved });
            }
        }
    }

    fn not_holder(&mut self, now: Duration, lease: &str, token: u64) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.releasing = None;
        if let Some(grant) = state.grant.take_if(|grant| grant.token <= token) {
            state.next_request = now + self.timing.renew_interval();
            self.lost(lease, grant.token, LeaseLost::TakenOver);
        }
    }

    fn done(&mut self, lease: &str) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.unsaved = None;
        if state.releasing.take().is_some() && !state.wanted {
            self.leases.remove(lease);
        }
    }

    fn expire_grants(&mut self, now: Duration) {
        let mut expired = Vec::new();
        for (lease, state) in &mut self.leases {
            if let Some(grant) = state.grant.take_if(|grant| now >= grant.valid_until) {
                expired.push((lease.clone(), grant.token));
            }
        }
        for (lease, token) in expired {
            self.lost(&lease, token, LeaseLost::Expired);
        }
    }

    /// Repeats a request at once.
    fn retry_soon(&mut self, now: Duration, id: u64) {
        for state in self.leases.values_mut().filter(|state| state.sent_at(id).is_some()) {
            state.next_request = now;
        }
    }

    fn last_response_age_ms(&self, now: Duration) -> u64 {
        self.last_response.map_or(u64::MAX, |at| (now - at).as_millis() as u64)
    }

    fn lost(&mut self, lease: &str, token: u64, reason: LeaseLost) {
        self.actions.push_back(ClientAction::Lost { lease: lease.to_string(), token, reason });
    }

    fn send_request(&mut self, now: Duration, lease: &str) {
        self.directory.count_request();
        let Some(to) = self.directory.target() else { return };
        let renew_interval = self.timing.renew_interval();
        let Some(state) = self.leases.get_mut(lease) else { return };
        // Without a response requests follow sooner: a lost message must not cost the lease.
        let is_settled =
            state.releasing.is_none() && state.unsaved.is_none() && self.directory.leader.is_some();
        let retry_interval = (renew_interval / 2).min(RETRY_INTERVAL_MAX);
        state.next_request = now + if is_settled { renew_interval } else { retry_interval };
        let operation = state.next_operation(lease);
        let id = self.request(now, to, operation).id;
        if let Some(state) = self.leases.get_mut(lease) {
            state.sent(id, now);
        }
    }
}
