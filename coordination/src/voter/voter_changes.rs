//! Addition and removal of voters, one at a time, on request of an operator.

use super::requests::PendingRequest;
use super::{Voter, VoterEvent};
use crate::lease_table::VoterMember;
use crate::message::{Outcome, NAME_MAX};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry};

impl Voter {
    pub(super) fn add_voter(&mut self, request: PendingRequest, member: VoterMember) {
        let Some(disk_id) = self.latest_disk_of(&member.name) else {
            let reason = format!(
                "{} was not heard of: start it with a state folder and the voters in its file",
                member.name
            );
            return self.respond(&request, Outcome::Rejected(reason));
        };
        if self.table.voters.contains_key(&disk_id) {
            return self.respond(&request, Outcome::Done);
        }
        if self.table.voters.values().any(|voter| voter.name == member.name) {
            let reason = format!("{} has a seat with another folder: remove it first", member.name);
            return self.respond(&request, Outcome::Rejected(reason));
        }
        self.propose_voter_change(request, ConfChangeType::AddNode, disk_id, Some(member));
    }

    /// Returns the disk id in the latest handshake from a process with this name. The disk that it replaced may have sent a
    /// recent handshake, too.
    fn latest_disk_of(&self, name: &str) -> Option<u64> {
        if name.is_empty() || name.len() > NAME_MAX {
            return None;
        }
        let named = self.eligibility.peers.iter().filter(|(_, peer)| peer.handshake.name == name);
        named.max_by_key(|(_, peer)| peer.received_at).map(|(disk_id, _)| *disk_id)
    }

    pub(super) fn remove_voter(&mut self, request: PendingRequest, name: &str) {
        let named = self.table.voters.iter().find(|(_, voter)| voter.name == name);
        let Some(disk_id) = named.map(|(disk_id, _)| *disk_id) else {
            return self.respond(&request, Outcome::Done);
        };
        let other = self.table.voters.keys().find(|id| **id != self.identity.disk_id).copied();
        match (self.raft.running_mut(), other) {
            (_, None) => self.respond(&request, Outcome::Rejected("it is the last voter".into())),
            (Some(raft), Some(other)) if disk_id == self.identity.disk_id => {
                raft.transfer_leader(other);
                let reason = "it leads, and hands that on now: ask again";
                self.respond(&request, Outcome::Rejected(reason.into()));
            }
            _ => self.propose_voter_change(request, ConfChangeType::RemoveNode, disk_id, None),
        }
    }

    fn propose_voter_change(
        &mut self,
        request: PendingRequest,
        kind: ConfChangeType,
        disk_id: u64,
        member: Option<VoterMember>,
    ) {
        let Some(raft) = self.raft.running_mut() else { return };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk_id;
        change.context = member.and_then(|m| postcard::to_stdvec(&m).ok()).unwrap_or_default().into();
        if raft.raft.has_pending_conf() || raft.propose_conf_change(Vec::new(), change).is_err() {
            let reason = "another change of voters is under way";
            return self.respond(&request, Outcome::Rejected(reason.into()));
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.voter_change = Some(request);
        }
    }

    pub(super) fn apply_voter_change(&mut self, entry: &Entry) {
        let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { return };
        let Some(raft) = self.raft.running_mut() else { return };
        match raft.apply_conf_change(&change) {
            Ok(conf_state) => raft.mut_store().conf_state = conf_state,
            Err(_) => return,
        }
        match (change.get_change_type(), postcard::from_bytes::<VoterMember>(&change.context)) {
            (ConfChangeType::AddNode, Ok(member)) => {
                self.last_voter_addition = entry.index;
                self.table.voters.insert(change.node_id, member);
            }
            _ => drop(self.table.voters.remove(&change.node_id)),
        }
        let names = self.table.voters.values().map(|voter| voter.name.clone()).collect();
        self.report(VoterEvent::VotersChanged { names });
        let request = self.leadership.as_mut().and_then(|leadership| leadership.voter_change.take());
        if let Some(request) = request {
            self.respond(&request, Outcome::Done);
        }
    }
}
