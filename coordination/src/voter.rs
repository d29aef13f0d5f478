//! Voter: a member of the Raft group that grants leases.
//!
//! Lease expirations are not in the replicated log. The leader extends a lease in memory once a majority has confirmed its
//! leadership; a new leader assumes that each lease was extended until the moment of its election.
//!
//! | module | concern |
//! | --- | --- |
//! | `eligibility` | handshakes between voters, which determine whether this voter may vote |
//! | `formation` | formation of a new cluster by the initial voters |
//! | `raft_driver` | the Raft node: messages, ready states, committed entries, log compaction |
//! | `persistence` | pending writes, and the actions that depend on them |
//! | `requests` | requests from clients |
//! | `leases` | grants, renewals and releases by the leader |
//! | `voter_changes` | addition and removal of voters |

mod action;
mod config;
mod eligibility;
mod formation;
mod leases;
mod persistence;
mod raft_driver;
mod requests;
mod state;
mod voter_changes;

pub use action::{VoterAction, VoterEvent};
pub use config::VoterConfig;
pub use state::{VoterMetrics, VoterState};

use crate::lease_table::LeaseTable;
use crate::message::Message;
use crate::store::{DiskIdentity, StoreContents, StoreError};
use eligibility::Eligibility;
use leases::Leadership;
use persistence::Persistence;
use raft_driver::{RaftInstance, TICKS_PER_ELECTION};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between handshakes with the other voters while this voter may not vote yet.
const FAST_HANDSHAKE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between handshakes with the other voters while this voter votes.
const HANDSHAKE_INTERVAL: Duration = Duration::from_secs(2);

/// Member of the Raft group that grants leases: a state machine without I/O, clock or threads.
pub struct Voter {
    config: VoterConfig,
    identity: DiskIdentity,
    eligibility: Eligibility,
    raft: RaftInstance,
    /// Leases and voters as of the last applied entry.
    table: LeaseTable,
    applied_index: u64,
    /// Index of the last entry that added a voter.
    last_voter_addition: u64,
    leadership: Option<Leadership>,
    /// Number of the last renewal that was submitted for confirmation by a majority; not reused in later terms.
    last_renewal: u64,
    persistence: Persistence,
    next_raft_tick: Duration,
    next_handshake: Duration,
    actions: VecDeque<VoterAction>,
    metrics: VoterMetrics,
    /// Reason for which the store can no longer be used.
    failure: Option<String>,
}

impl Voter {
    /// Returns a voter with the contents of its store. It does not vote until enough other voters have confirmed that the
    /// store is not an older copy.
    pub fn new(config: VoterConfig, contents: StoreContents, now: Duration) -> Voter {
        let StoreContents { identity, log } = contents;
        let mut voter = Voter {
            config,
            identity,
            eligibility: Eligibility::default(),
            raft: RaftInstance::NotStarted(Box::new(log)),
            table: LeaseTable::default(),
            applied_index: 0,
            last_voter_addition: 0,
            leadership: None,
            last_renewal: 0,
            persistence: Persistence::default(),
            next_raft_tick: now,
            next_handshake: now,
            actions: VecDeque::new(),
            metrics: VoterMetrics::default(),
            failure: None,
        };
        if voter.identity.is_stale_copy {
            voter.report(VoterEvent::StaleCopy);
        } else if voter.identity.cluster_id.is_some() {
            voter.start_raft();
        }
        voter.drive(now);
        voter
    }

    /// Returns the next action for the embedder, if there is one.
    pub fn next_action(&mut self) -> Option<VoterAction> {
        self.actions.pop_front()
    }

    /// Returns the time at which [`Voter::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        if self.is_stopped() {
            return Duration::MAX;
        }
        self.next_raft_tick.min(self.next_handshake)
    }

    /// Returns the state of this voter.
    pub fn state(&self) -> VoterState {
        match &self.failure {
            Some(reason) => VoterState::StorageFailed(reason.clone()),
            None if self.identity.is_stale_copy => VoterState::StaleCopy,
            None if self.eligibility.is_removed => VoterState::NotMember,
            None if self.raft.running().is_none() => VoterState::Waiting,
            None if !self.eligibility.may_vote => VoterState::Recovering,
            None if self.leadership.is_some() => VoterState::Leader,
            None => VoterState::Follower,
        }
    }

    /// Returns the counters of this voter.
    pub fn metrics(&self) -> VoterMetrics {
        self.metrics
    }

    /// Returns the committed leases and voters as far as this voter has applied them; it may lag behind the leader.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Returns the id of this voter's disk.
    pub fn disk_id(&self) -> u64 {
        self.identity.disk_id
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.set_election_timeout();
        if self.is_stopped() {
            return;
        }
        if now >= self.next_raft_tick {
            // One tick regardless of the delay: after a pause of this process, the missing messages are not evidence that
            // the others have failed.
            self.next_raft_tick = now + self.config.timing.election / TICKS_PER_ELECTION as u32;
            if let Some(raft) = self.raft.running_mut().filter(|_| self.eligibility.may_vote) {
                raft.tick();
            }
        }
        if now >= self.next_handshake {
            self.send_handshakes(now);
        }
        self.drive(now);
    }

    /// Handles a message that was received from this address.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, message: Message) {
        if self.is_stopped() {
            return;
        }
        match message {
            Message::Handshake(handshake) => self.receive_handshake(now, from, handshake),
            Message::Raft { cluster_id, from, to, bytes } => self.receive_raft(cluster_id, from, to, &bytes),
            Message::Request(request) => self.receive_request(now, from, request),
            Message::Response(_) => {}
        }
        self.drive(now);
    }

    /// Handles the outcome of the write with this number.
    pub fn persisted(&mut self, now: Duration, number: u64, outcome: Result<(), StoreError>) {
        let Some(write) = self.persistence.finish(number) else { return };
        match outcome {
            Ok(()) => {
                self.metrics.writes += 1;
                self.complete_write(write);
                self.drive(now);
            }
            Err(error) => {
                // No action that depends on this write has been or will be returned.
                self.fail(error.to_string());
                self.raft = RaftInstance::Stopped;
                self.lose_leadership();
            }
        }
    }

    /// Transfers the leadership, if this voter leads, to the most up-to-date voter. To be called before the process exits,
    /// so that the other voters need not wait for an election timeout.
    pub fn transfer_leadership(&mut self, now: Duration) {
        if self.leadership.is_some() {
            self.transfer_raft_leadership();
        }
        self.drive(now);
    }

    fn is_stopped(&self) -> bool {
        self.failure.is_some() || self.identity.is_stale_copy
    }

    fn send_handshakes(&mut self, now: Duration) {
        let is_voting = self.eligibility.may_vote && self.raft.running().is_some();
        self.next_handshake = now + if is_voting { HANDSHAKE_INTERVAL } else { FAST_HANDSHAKE_INTERVAL };
        for to in self.other_voters() {
            let handshake = self.handshake(None);
            self.send(to, Message::Handshake(handshake));
        }
    }

    fn push(&mut self, action: VoterAction) {
        self.metrics.messages_sent += u64::from(matches!(action, VoterAction::Send { .. }));
        self.actions.push_back(action);
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.push(VoterAction::Send { to, message });
    }

    fn report(&mut self, event: VoterEvent) {
        self.actions.push_back(VoterAction::Report(event));
    }

    /// Stops this voter permanently after a failure of its store.
    fn fail(&mut self, reason: String) {
        self.report(VoterEvent::StorageFailed { reason: reason.clone() });
        self.failure = Some(reason);
    }
}
