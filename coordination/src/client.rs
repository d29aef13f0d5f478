//! Client of the voters: acquires, renews and releases leases, and tracks by its own clock how long each is valid.

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

/// Maximum interval between retries of a request without a response.
const RETRY_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Client of the voters: a state machine without I/O, clock or threads.
pub struct Client {
    process: Holder,
    timing: Timing,
    directory: VoterDirectory,
    /// Time of the last response from a leader.
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

    /// Requests a lease and keeps renewing it until [`Client::release`].
    pub fn acquire(&mut self, now: Duration, lease: &str) {
        let state = self.leases.entry(lease.to_string()).or_default();
        if !state.is_requested {
            state.is_requested = true;
            state.next_request_at = now;
        }
    }

    /// Releases a lease if it is held, and stops requesting it.
    pub fn release(&mut self, now: Duration, lease: &str) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.is_requested = false;
        if let Some(grant) = state.grant.take() {
            // The client stops using the lease before the voters learn of the release.
            state.start_release(now, grant);
            self.report_lost(lease, grant.token, LeaseLost::Released);
        } else if state.releasing.is_none() {
            self.leases.remove(lease);
        }
    }

    /// Saves state for the next holder of a lease that this process holds.
    pub fn save_state(&mut self, now: Duration, lease: &str, saved: Vec<u8>) {
        if let Some(state) = self.leases.get_mut(lease).filter(|state| state.grant.is_some()) {
            state.unsaved_state = Some(saved);
            state.next_request_at = now;
        }
    }

    /// Returns whether the voters have yet to confirm the saved state of a lease.
    pub fn is_saving_state(&self, lease: &str) -> bool {
        self.leases.get(lease).is_some_and(|state| state.unsaved_state.is_some())
    }

    /// Returns the fencing token of a lease if the lease is valid now. Must be called right before each operation under it.
    pub fn valid_token(&self, now: Duration, lease: &str) -> Option<u64> {
        self.leases.get(lease)?.valid_grant(now).map(|grant| grant.token)
    }

    /// Returns the leases that are valid now, with the token and the remaining time of each.
    pub fn held_leases(&self, now: Duration) -> impl Iterator<Item = (&str, u64, Duration)> {
        self.leases.iter().filter_map(move |(lease, state)| {
            let grant = state.valid_grant(now)?;
            Some((lease.as_str(), grant.token, grant.valid_until - now))
        })
    }

    /// Returns the name and token of another process that holds a requested lease, as last reported by the voters.
    pub fn other_holder(&self, lease: &str) -> Option<(&str, u64)> {
        let (name, token) = self.leases.get(lease)?.other_holder.as_ref()?;
        Some((name, *token))
    }

    /// Returns the time at which [`Client::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        self.leases.values().map(LeaseState::next_tick).min().unwrap_or(Duration::MAX)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.expire_grants(now);
        // A release that reached no voter is dropped once the lease has expired.
        self.leases.retain(|_, state| state.is_requested || state.is_releasing(now));
        let is_due = |state: &LeaseState| now >= state.next_request_at;
        let due: Vec<String> =
            self.leases.iter().filter(|(_, state)| is_due(state)).map(|(lease, _)| lease.clone()).collect();
        for lease in due {
            self.send_request(now, &lease);
        }
    }

    /// Sends a request to a voter, such as an operator's, and returns it so that its response can be matched.
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

    /// Returns the voter that the next request goes to: the leader, if it is known.
    pub fn target_voter(&self) -> Option<SocketAddr> {
        self.directory.target()
    }

    /// Switches to the next voter, for use when the current one does not respond or knows no leader.
    pub fn try_next_voter(&mut self) {
        self.directory.try_next();
    }

    /// Adds the voters in a status that a leader returned.
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
            return self.handle_not_leader(now, from, id, leader);
        }
        // Only a response from a leader counts: other voters may be reachable while the leader is not.
        self.last_response = Some(now);
        self.directory.set_leader(from);
        if response.outcome == Outcome::ConfirmReceipt {
            return self.retry_now(now, id);
        }
        let Some((lease, sent_at)) = self.find_request(id) else { return };
        match response.outcome {
            Outcome::Granted { lease: granted, token, state } if granted == lease => {
                self.handle_granted(now, &lease, token, state, sent_at);
            }
            Outcome::HeldByOther { holder, token, .. } => {
                if let Some(state) = self.leases.get_mut(&lease) {
                    state.other_holder = Some((holder, token));
                }
            }
            Outcome::NotHolder { token, .. } => self.handle_not_holder(now, &lease, token),
            Outcome::Done => self.handle_done(&lease),
            _ => {}
        }
    }

    fn handle_not_leader(&mut self, now: Duration, from: SocketAddr, id: u64, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                if self.directory.leader != Some(leader) {
                    self.directory.leader = Some(leader);
                    self.retry_now(now, id);
                }
            }
            None => {
                if self.directory.leader.is_none_or(|known| known == from) {
                    self.directory.try_next();
                }
            }
        }
    }

    /// Returns the lease and the send time of an outstanding request.
    fn find_request(&self, id: u64) -> Option<(String, Duration)> {
        self.leases.iter().find_map(|(lease, state)| Some((lease.clone(), state.sent_at(id)?)))
    }

    fn handle_granted(
        &mut self,
        now: Duration,
        lease: &str,
        token: u64,
        saved_state: Vec<u8>,
        sent_at: Duration,
    ) {
        let validity = self.timing.holder_validity();
        let valid_until = sent_at + validity;
        let Some(state) = self.leases.get_mut(lease) else { return };
        if token <= state.last_released || !state.is_requested {
            // This process has already released the lease, so the release is sent, again if necessary.
            if state.releasing.is_none() {
                state.start_release(now, Grant { token, valid_until: now + validity });
            }
            return;
        }
        if now >= valid_until {
            return; // too late; the next request renews the lease, which the voters still assign to this process
        }
        state.other_holder = None;
        match &mut state.grant {
            Some(grant) if grant.token == token => grant.valid_until = grant.valid_until.max(valid_until),
            Some(grant) if grant.token > token => {}
            _ => {
                let previous = state.grant.replace(Grant { token, valid_until });
                if let Some(previous) = previous {
                    self.report_lost(lease, previous.token, LeaseLost::TakenOver);
                }
                let lease = lease.to_string();
                self.actions.push_back(ClientAction::Acquired { lease, token, state: saved_state });
            }
        }
    }

    fn handle_not_holder(&mut self, now: Duration, lease: &str, token: u64) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.releasing = None;
        if let Some(grant) = state.grant.take_if(|grant| grant.token <= token) {
            state.next_request_at = now + self.timing.renew_interval();
            self.report_lost(lease, grant.token, LeaseLost::TakenOver);
        }
    }

    fn handle_done(&mut self, lease: &str) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        state.unsaved_state = None;
        if state.releasing.take().is_some() && !state.is_requested {
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
            self.report_lost(&lease, token, LeaseLost::Expired);
        }
    }

    /// Makes the next request for the lease of this request due immediately.
    fn retry_now(&mut self, now: Duration, id: u64) {
        for state in self.leases.values_mut().filter(|state| state.sent_at(id).is_some()) {
            state.next_request_at = now;
        }
    }

    fn last_response_age_ms(&self, now: Duration) -> u64 {
        self.last_response.map_or(u64::MAX, |at| (now - at).as_millis() as u64)
    }

    fn report_lost(&mut self, lease: &str, token: u64, reason: LeaseLost) {
        self.actions.push_back(ClientAction::Lost { lease: lease.to_string(), token, reason });
    }

    fn send_request(&mut self, now: Duration, lease: &str) {
        self.directory.count_request();
        let Some(to) = self.directory.target() else { return };
        let renew_interval = self.timing.renew_interval();
        let Some(state) = self.leases.get_mut(lease) else { return };
        // Retries are more frequent than renewals, so that a lost message does not cost the lease.
        let is_settled =
            state.releasing.is_none() && state.unsaved_state.is_none() && self.directory.leader.is_some();
        let retry_interval = (renew_interval / 2).min(RETRY_INTERVAL_MAX);
        state.next_request_at = now + if is_settled { renew_interval } else { retry_interval };
        let operation = state.next_operation(lease);
        let id = self.request(now, to, operation).id;
        if let Some(state) = self.leases.get_mut(lease) {
            state.record_sent(id, now);
        }
    }
}
