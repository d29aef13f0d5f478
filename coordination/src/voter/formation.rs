//! Formation of a cluster: once all founders have met and none belongs to a cluster, each computes the same first
//! snapshot by itself.

use super::eligibility::{hash, PeerHandshake, HANDSHAKE_VALIDITY};
use super::persistence::PendingSnapshot;
use super::{RaftInstance, Voter, VoterEvent};
use crate::lease_table::{LeaseTable, VoterMember};
use raft::eraftpb::Snapshot;
use std::collections::BTreeMap;
use std::time::Duration;

/// Index and term of the first snapshot.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

impl Voter {
    /// Forms the cluster if all founders are known and belong to none.
    pub(super) fn form_cluster(&mut self, now: Duration) {
        let Some(voters) = self.initial_voters_by_disk(now) else { return };
        let disks: Vec<String> = voters.keys().map(u64::to_string).collect();
        let cluster_id = hash(&disks.join(" "));
        let table = LeaseTable { voters, ..LeaseTable::default() };
        let Some(snapshot) = first_snapshot(&table) else { return };
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

    /// All founders by disk id; `None` while one is not known, or if this voter is not a founder.
    fn initial_voters_by_disk(&self, now: Duration) -> Option<BTreeMap<u64, VoterMember>> {
        let mut voters = BTreeMap::new();
        let digest = self.initial_voters_digest();
        for founder in &self.config.initial_voters {
            let disk_id = if founder.name == self.config.member.name {
                self.identity.disk_id
            } else {
                self.latest_initial_voter(now, &founder.name, digest)?.handshake.disk_id
            };
            voters.insert(disk_id, founder.clone());
        }
        let is_complete = voters.len() == self.config.initial_voters.len();
        (is_complete && voters.contains_key(&self.identity.disk_id)).then_some(voters)
    }

    /// Latest handshake of a process with this name, the same founders and no cluster.
    fn latest_initial_voter(&self, now: Duration, name: &str, digest: u64) -> Option<&PeerHandshake> {
        let fits = |peer: &&PeerHandshake| {
            let handshake = &peer.handshake;
            handshake.name == name
                && handshake.cluster_id.is_none()
                && handshake.initial_voters_digest == digest
                && now - peer.received_at < HANDSHAKE_VALIDITY
        };
        self.eligibility.peers.values().filter(fits).max_by_key(|peer| peer.received_at)
    }
}

/// Snapshot that the log of a new cluster starts with.
fn first_snapshot(table: &LeaseTable) -> Option<Snapshot> {
    let mut snapshot = Snapshot { data: postcard::to_stdvec(table).ok()?.into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (FIRST_INDEX, FIRST_TERM);
    metadata.mut_conf_state().voters = table.voters.keys().copied().collect();
    Some(snapshot)
}
