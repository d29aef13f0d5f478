//! Formation of a cluster: once all initial voters have exchanged handshakes and none belongs to a cluster, each computes
//! the same initial snapshot independently.

use super::eligibility::{hash, PeerHandshake, HANDSHAKE_VALIDITY};
use super::persistence::PendingSnapshot;
use super::{RaftInstance, Voter, VoterEvent};
use crate::lease_table::{LeaseTable, VoterMember};
use raft::eraftpb::Snapshot;
use std::collections::BTreeMap;
use std::time::Duration;

/// Log index and term of the initial snapshot.
const INITIAL_INDEX: u64 = 1;
const INITIAL_TERM: u64 = 1;

impl Voter {
    /// Forms the cluster if all initial voters are known and none belongs to a cluster.
    pub(super) fn form_cluster(&mut self, now: Duration) {
        let Some(voters) = self.initial_voters_by_disk(now) else { return };
        let disks: Vec<String> = voters.keys().map(u64::to_string).collect();
        let cluster_id = hash(&disks.join(" "));
        let table = LeaseTable { voters, ..LeaseTable::default() };
        let Some(snapshot) = initial_snapshot(&table) else { return };
        if let RaftInstance::NotStarted(log) = &mut self.raft {
            log.restore(snapshot.clone());
        }
        self.persistence.snapshot = Some(PendingSnapshot { snapshot, replaces_log: true });
        self.identity.cluster_id = Some(cluster_id);
        self.persistence.identity_changed = true;
        self.eligibility.may_vote = true;
        self.next_raft_tick = now;
        self.start_raft();
        self.report(VoterEvent::ClusterFormed { cluster_id });
    }

    /// Returns the initial voters by disk id; `None` while any of them is unknown, or if this voter is not one of them.
    fn initial_voters_by_disk(&self, now: Duration) -> Option<BTreeMap<u64, VoterMember>> {
        let mut voters = BTreeMap::new();
        let digest = self.initial_voters_digest();
        for voter in &self.config.initial_voters {
            let disk_id = if voter.name == self.config.member.name {
                self.identity.disk_id
            } else {
                self.latest_initial_voter(now, &voter.name, digest)?.handshake.disk_id
            };
            voters.insert(disk_id, voter.clone());
        }
        let is_complete = voters.len() == self.config.initial_voters.len();
        (is_complete && voters.contains_key(&self.identity.disk_id)).then_some(voters)
    }

    /// Returns the latest handshake from a process with this name, the same initial voters and no cluster.
    fn latest_initial_voter(&self, now: Duration, name: &str, digest: u64) -> Option<&PeerHandshake> {
        let matches = |peer: &&PeerHandshake| {
            let handshake = &peer.handshake;
            handshake.name == name
                && handshake.cluster_id.is_none()
                && handshake.initial_voters_digest == digest
                && now - peer.received_at < HANDSHAKE_VALIDITY
        };
        self.eligibility.peers.values().filter(matches).max_by_key(|peer| peer.received_at)
    }
}

/// Returns the snapshot that the log of a new cluster starts with.
fn initial_snapshot(table: &LeaseTable) -> Option<Snapshot> {
    let mut snapshot = Snapshot { data: postcard::to_stdvec(table).ok()?.into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (INITIAL_INDEX, INITIAL_TERM);
    metadata.mut_conf_state().voters = table.voters.keys().copied().collect();
    Some(snapshot)
}
