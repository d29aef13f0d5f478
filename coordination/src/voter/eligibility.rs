//! Eligibility to vote. A voter whose store is an older copy could vote twice in one term. Voters therefore exchange
//! handshakes with the number of starts of their stores, and a voter votes only once a majority knows of no later start.

use super::raft_driver::RaftInstance;
use super::{Voter, VoterAction, VoterEvent};
use crate::message::{Handshake, HandshakeAnswer, Message, VoterStatus, NAME_MAX};
use crate::store::ProcessStart;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a received handshake is valid.
pub(super) const HANDSHAKE_VALIDITY: Duration = Duration::from_secs(5);
/// Maximum number of voters and would-be voters that are remembered.
const PEERS_MAX: usize = 32;

/// Last handshake from another voter.
pub(super) struct PeerHandshake {
    pub(super) handshake: Handshake,
    pub(super) address: SocketAddr,
    pub(super) received_at: Duration,
}

/// Eligibility of this voter, and the voters that have confirmed it.
#[derive(Default)]
pub(super) struct Eligibility {
    /// Enough other voters have confirmed that they know of no later start of this store.
    pub(super) may_vote: bool,
    /// Another voter reported that this disk is not among the voters of the cluster.
    pub(super) is_removed: bool,
    /// Disk ids of the voters that have confirmed this store.
    confirmed_by: BTreeSet<u64>,
    /// Recent handshakes from other voters, by disk id.
    pub(super) peers: BTreeMap<u64, PeerHandshake>,
}

impl Voter {
    /// Returns the addresses of all other voters, including the initial ones.
    pub(super) fn other_voters(&self) -> BTreeSet<SocketAddr> {
        let members = self.config.initial_voters.iter().chain(self.table.voters.values());
        members.map(|m| m.address).filter(|address| *address != self.config.member.address).collect()
    }

    /// Returns a hash of the names and addresses of the initial voters.
    pub(super) fn initial_voters_digest(&self) -> u64 {
        let voters = self.config.initial_voters.iter();
        let mut lines: Vec<String> = voters.map(|m| format!("{} {}", m.name, m.address)).collect();
        lines.sort();
        hash(&lines.join("\n"))
    }

    pub(super) fn handshake(&self, answer: Option<HandshakeAnswer>) -> Handshake {
        Handshake {
            name: self.config.member.name.clone(),
            disk_id: self.identity.disk_id,
            starts: self.identity.starts,
            process_id: self.config.process_id,
            cluster_id: self.identity.cluster_id,
            initial_voters_digest: self.initial_voters_digest(),
            answer,
        }
    }

    pub(super) fn receive_handshake(&mut self, now: Duration, from: SocketAddr, handshake: Handshake) {
        let name_is_valid = !handshake.name.is_empty() && handshake.name.len() <= NAME_MAX;
        if handshake.disk_id == self.identity.disk_id || !name_is_valid {
            return;
        }
        if self.is_of_another_cluster(&handshake) {
            self.metrics.rejected += 1;
            return;
        }
        let disk_id = handshake.disk_id;
        let start = ProcessStart { starts: handshake.starts, process_id: handshake.process_id };
        let is_stale = self.record_start(disk_id, start);
        match handshake.answer {
            None => self.answer_handshake(from, start, self.status_of(disk_id, is_stale)),
            Some(answer) if answer.start == self.own_start() => {
                self.receive_status(now, &handshake, answer.status);
            }
            // The answer is for an earlier process of this voter.
            Some(_) => {}
        }
        let peers = &mut self.eligibility.peers;
        if !is_stale && (peers.contains_key(&disk_id) || peers.len() < PEERS_MAX) {
            peers.insert(disk_id, PeerHandshake { handshake, address: from, received_at: now });
        }
        peers.retain(|_, peer| now - peer.received_at < HANDSHAKE_VALIDITY);
        if self.raft.running().is_none() && self.identity.cluster_id.is_none() {
            self.form_cluster(now);
        }
    }

    /// Returns whether a handshake comes from another cluster; such a process is not a voter of this one, whatever its disk.
    fn is_of_another_cluster(&self, handshake: &Handshake) -> bool {
        let both_belong = handshake.cluster_id.is_some() && self.identity.cluster_id.is_some();
        both_belong && handshake.cluster_id != self.identity.cluster_id
    }

    fn own_start(&self) -> ProcessStart {
        ProcessStart { starts: self.identity.starts, process_id: self.config.process_id }
    }

    /// Records the latest start of another voter's store. Returns whether a later start is known, in which case the store is
    /// an older copy, which must not vote.
    fn record_start(&mut self, disk_id: u64, start: ProcessStart) -> bool {
        let latest = self.identity.peer_starts.get(&disk_id).copied();
        let is_stale = latest.is_some_and(|latest| {
            start.starts < latest.starts
                || (start.starts == latest.starts && start.process_id != latest.process_id)
        });
        let has_capacity = latest.is_some() || self.identity.peer_starts.len() < PEERS_MAX;
        if !is_stale && latest != Some(start) && has_capacity {
            self.identity.peer_starts.insert(disk_id, start);
            self.persistence.identity_changed = true;
        }
        is_stale
    }

    /// Returns the status of another voter, as reported in the answer to its handshake.
    fn status_of(&self, disk_id: u64, is_stale: bool) -> VoterStatus {
        // A voter that was just added has an empty voter list and cannot tell who is a member.
        let voters = &self.table.voters;
        let is_member = self.raft.running().is_none() || voters.contains_key(&disk_id) || voters.is_empty();
        match (is_stale, is_member) {
            (true, _) => VoterStatus::StaleCopy,
            (false, true) => VoterStatus::Current,
            (false, false) => VoterStatus::NotMember,
        }
    }

    /// Answers a handshake once its recorded start is durable.
    fn answer_handshake(&mut self, to: SocketAddr, start: ProcessStart, status: VoterStatus) {
        let answer = HandshakeAnswer { start, status };
        let message = Message::Handshake(self.handshake(Some(answer)));
        self.persistence.after_write.push(VoterAction::Send { to, message });
    }

    /// Handles the status of this voter, as reported by another voter.
    fn receive_status(&mut self, now: Duration, handshake: &Handshake, status: VoterStatus) {
        match status {
            VoterStatus::StaleCopy => {
                self.identity.is_stale_copy = true;
                self.persistence.identity_changed = true;
                self.raft = RaftInstance::Stopped;
                self.lose_leadership();
                self.report(VoterEvent::StaleCopy);
            }
            VoterStatus::NotMember => {
                if !std::mem::replace(&mut self.eligibility.is_removed, true) {
                    self.report(VoterEvent::NotMember);
                }
            }
            VoterStatus::Current if handshake.cluster_id.is_some() => {
                self.eligibility.is_removed = false;
                if self.identity.cluster_id.is_none() && self.raft.running().is_none() {
                    self.join_cluster(now, handshake.cluster_id);
                }
                self.eligibility.confirmed_by.insert(handshake.disk_id);
                self.enable_voting_if_confirmed();
            }
            VoterStatus::Current => {}
        }
    }

    /// Joins a cluster with a disk that has never voted. It may vote at once, because it has no earlier vote to contradict.
    fn join_cluster(&mut self, now: Duration, cluster_id: Option<u64>) {
        self.identity.cluster_id = cluster_id;
        self.persistence.identity_changed = true;
        self.eligibility.may_vote = true;
        self.start_raft();
        self.report(VoterEvent::VotingEnabled);
        self.next_raft_tick = now;
    }

    /// Enables voting once the voters that have confirmed this store are a majority together with this one, so that no
    /// majority can know of a later start.
    fn enable_voting_if_confirmed(&mut self) {
        let Some(raft) = self.raft.running().filter(|_| !self.eligibility.may_vote) else { return };
        let voters: Vec<u64> = raft.raft.prs().conf().voters().ids().iter().collect();
        let confirmed = voters.iter().filter(|id| self.eligibility.confirmed_by.contains(id)).count();
        if confirmed >= voters.len() / 2 {
            self.eligibility.may_vote = true;
            self.report(VoterEvent::VotingEnabled);
        }
    }
}

/// Returns the first eight bytes of the SHA-256 digest as a big-endian number.
pub(super) fn hash(text: &str) -> u64 {
    let digest = Sha256::digest(text);
    digest.iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}
