//! Requests from clients, which the leader handles.

use super::Voter;
use crate::lease_table::{Command, Holder, STATE_MAX};
use crate::message::{ClusterStatus, Message, Operation, Outcome, Request, Response, NAME_MAX};
use std::net::SocketAddr;
use std::time::Duration;

/// Request whose response has yet to be sent.
pub(super) struct PendingRequest {
    pub(super) from: SocketAddr,
    pub(super) id: u64,
    pub(super) client: Holder,
}

impl Voter {
    pub(super) fn receive_request(&mut self, now: Duration, from: SocketAddr, request: Request) {
        let pending = PendingRequest { from, id: request.id, client: request.client };
        if pending.client.name.is_empty() || pending.client.name.len() > NAME_MAX {
            self.metrics.rejected += 1;
            return;
        }
        let is_ready = self.raft.running().is_some_and(|raft| raft.raft.commit_to_current_term());
        if self.leadership.is_none() || !is_ready {
            return self.respond(&pending, Outcome::NotLeader(self.leader_address()));
        }
        let response_age = Duration::from_millis(request.last_response_age_ms);
        let must_confirm = response_age > self.config.timing.lease / 2;
        self.execute(now, pending, request.operation, must_confirm);
    }

    /// Returns the address of the leader, if it is known and another voter.
    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.raft.running().map_or(0, |raft| raft.raft.leader_id);
        let address = self.table.voters.get(&leader).map(|member| member.address);
        address.filter(|address| *address != self.config.member.address)
    }

    fn execute(&mut self, now: Duration, request: PendingRequest, operation: Operation, must_confirm: bool) {
        let is_valid = |lease: &str| !lease.is_empty() && lease.len() <= NAME_MAX;
        let at_ms = self.unix_ms(now);
        match operation {
            Operation::Acquire { .. } if must_confirm => self.respond(&request, Outcome::ConfirmReceipt),
            Operation::Acquire { lease, token } if is_valid(&lease) => {
                self.acquire(now, request, lease, token)
            }
            Operation::Release { lease, token } if is_valid(&lease) => {
                let command = Command::Release { lease: lease.clone(), token, at_ms };
                self.propose_as_holder(request, lease, token, command);
            }
            Operation::SaveState { lease, token, state } if is_valid(&lease) && state.len() <= STATE_MAX => {
                let command = Command::SaveState { lease: lease.clone(), token, state };
                self.propose_as_holder(request, lease, token, command);
            }
            Operation::Status => {
                let status = self.cluster_status(now);
                self.respond(&request, Outcome::Status(Box::new(status)));
            }
            Operation::AddVoter(member) => self.add_voter(request, member),
            Operation::RemoveVoter(name) => self.remove_voter(request, &name),
            _ => self.respond(&request, Outcome::Rejected("a name or what is left is too long".into())),
        }
    }

    pub(super) fn respond(&mut self, request: &PendingRequest, outcome: Outcome) {
        let response = Response {
            request_id: request.id,
            process_id: request.client.process_id,
            voter: self.config.member.name.clone(),
            outcome,
        };
        self.send(request.from, Message::Response(response));
    }

    fn cluster_status(&self, now: Duration) -> ClusterStatus {
        ClusterStatus {
            table: self.table.clone(),
            cluster_id: self.identity.cluster_id.unwrap_or(0),
            term: self.leadership.as_ref().map_or(0, |leadership| leadership.term),
            remaining_ms: self.leadership.as_ref().map_or_else(Vec::new, |l| l.remaining_ms(now)),
        }
    }

    /// Returns the Unix time in milliseconds by this machine's clock, for display and as the minimum of the first token.
    pub(super) fn unix_ms(&self, now: Duration) -> u64 {
        self.config.clock_origin_unix_ms + now.as_millis() as u64
    }
}
