//! Voters that a client knows, and the choice of the one that requests go to.

use std::net::SocketAddr;

/// Maximum number of voters that are remembered.
const VOTERS_MAX: usize = 16;
/// Consecutive requests without a response after which the client switches to the next voter.
const UNANSWERED_MAX: u32 = 2;

/// Voters that a client knows, and the current leader.
pub(super) struct VoterDirectory {
    voters: Vec<SocketAddr>,
    pub(super) leader: Option<SocketAddr>,
    /// Position of the voter that requests go to while no leader is known.
    position: usize,
    /// Requests since the last response from a leader.
    unanswered: u32,
}

impl VoterDirectory {
    pub(super) fn new(voters: Vec<SocketAddr>) -> VoterDirectory {
        let voters = voters.into_iter().take(VOTERS_MAX).collect();
        VoterDirectory { voters, leader: None, position: 0, unanswered: 0 }
    }

    /// Returns the voter that the next request goes to: the leader, if it is known.
    pub(super) fn target(&self) -> Option<SocketAddr> {
        match self.leader {
            Some(leader) => Some(leader),
            None => self.voters.get(self.position % self.voters.len().max(1)).copied(),
        }
    }

    pub(super) fn try_next(&mut self) {
        self.leader = None;
        self.position = self.position.wrapping_add(1);
    }

    pub(super) fn add(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.voters.contains(&address) && self.voters.len() < VOTERS_MAX {
                self.voters.push(address);
            }
        }
    }

    pub(super) fn set_leader(&mut self, leader: SocketAddr) {
        self.leader = Some(leader);
        self.unanswered = 0;
    }

    /// Counts a request, and switches to the next voter if the last ones had no response.
    pub(super) fn count_request(&mut self) {
        self.unanswered += 1;
        if self.unanswered > UNANSWERED_MAX {
            self.try_next();
            self.unanswered = 0;
        }
    }
}
