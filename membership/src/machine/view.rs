//! Queries: the view of the fleet, and the peers, digest, counters and fleet size.

use super::members::member_info;
use super::swim::member_status;
use super::{Counters, Machine, Participation};
use crate::fleet_size::{FleetSize, OtherMembers};
use crate::member::{Identity, MemberInfo, MemberStatus, Peer, Phase, View};
use std::time::Duration;

impl Machine {
    /// Members that accept requests, this node included, sorted by name, zone and address.
    pub fn peers(&self) -> Vec<Peer> {
        let present = self.members.iter().filter(|member| member.status.is_present());
        let all = present.map(|member| &member.identity).chain([self.foca.identity()]);
        let serving = all.filter(|id: &&Identity| id.phase == Phase::Serving);
        let mut peers: Vec<Peer> = serving.map(Peer::from_identity).collect();
        peers.sort();
        peers
    }

    /// Protocol counters.
    pub fn counters(&self) -> Counters {
        Counters { sessions: self.sessions.entry_count() as u64, ..self.counters }
    }

    /// Digest of the present members and their incarnations: equal for equal views. `None` while this node is not in
    /// its own view.
    pub fn digest(&self) -> Option<u64> {
        (self.participation == Participation::Active).then(|| self.view_digest())
    }

    /// Digest of the view, always including this node's identity.
    pub(super) fn view_digest(&self) -> u64 {
        self.members.digest_with(self.foca.identity())
    }

    /// View of the fleet.
    pub fn view(&self, now: Duration) -> View {
        let now = self.timers.local_time(now);
        let own = self.foca.identity();
        let mut members: Vec<MemberInfo> = Vec::with_capacity(self.members.len() + 1);
        for member in self.foca.iter_membership_state().filter(|member| member.id().name != own.name) {
            let since = self.members.get(&member.id().name).map_or(now, |known| known.since);
            members.push(member_info(member.id(), member_status(member), now.saturating_sub(since)));
        }
        let yielded_to = match &self.participation {
            Participation::Yielded(claimant) => Some(claimant.address),
            _ => None,
        };
        if yielded_to.is_none() {
            members.push(member_info(own, self.own_status(), Duration::ZERO));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            fleet: self.config.fleet.clone(),
            node: self.config.name.clone(),
            incarnation: own.incarnation,
            yielded_to,
            joined: self.members.joined(),
            members,
        }
    }

    /// Fleet size; `planned_dispatchers` is the number of nodes in the settings.
    pub fn fleet_size(&self, now: Duration, planned_dispatchers: u32) -> FleetSize {
        let now = self.timers.local_time(now);
        let members = self.members.iter();
        let members: Vec<MemberInfo> = members
            .map(|member| member_info(&member.identity, member.status, now.saturating_sub(member.since)))
            .collect();
        let joined = self.members.joined() && !matches!(self.participation, Participation::Yielded(_));
        FleetSize::from_members(
            &self.config.name,
            &OtherMembers { members: &members, joined },
            planned_dispatchers,
        )
    }

    fn own_status(&self) -> MemberStatus {
        match (&self.participation, self.foca.identity().phase) {
            (Participation::Left, _) => MemberStatus::Left,
            (Participation::DeclaredDead, _) => MemberStatus::Dead,
            (_, Phase::Draining) => MemberStatus::Draining,
            _ => MemberStatus::Alive,
        }
    }
}
