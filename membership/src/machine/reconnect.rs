//! Periodic contact, outside of SWIM, with processes that are not in the view: dead members, seeds, and claimants of
//! this node's name.

use super::timers::Timer;
use super::{Machine, Participation};
use crate::member::{Identity, MemberStatus};
use crate::packet::Body;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Unanswered probes after which a claimant is considered gone.
const CLAIMANT_PROBES_MAX: u32 = 4;

/// Probe of a claimant: a process with this node's name whose identity supersedes this one's, if it is still running.
pub(super) struct ClaimantProbe {
    /// Identity of the other process.
    pub claimant: Identity,
    /// Number of probes sent.
    pub sent: u32,
}

impl Machine {
    /// Contacts the claimant, one dead member and one seed that is not in the view, and schedules the next contact.
    pub(super) fn reconnect(&mut self, now: Duration) {
        let jitter = 0.8 + 0.4 * self.rng.random::<f64>();
        self.timers.schedule(now, Timer::Reconnect, self.config.timing.reconnect_interval.mul_f64(jitter));
        if let Participation::Yielded(claimant) = &self.participation {
            let claimant = claimant.clone();
            let sent = self.claimant_probe.as_ref().map_or(0, |probe| probe.sent);
            self.claimant_probe = Some(ClaimantProbe { claimant, sent });
            self.probe_claimant(now);
            return;
        }
        if self.claimant_probe.is_some() && !self.probe_claimant(now) {
            return;
        }
        if self.participation == Participation::Active {
            self.contact_dead_member();
            self.contact_missing_seed(now);
        }
    }

    /// Handles the response to an identity request: of a seed or a claimant.
    pub(super) fn handle_identity_response(&mut self, now: Duration, id: Identity) {
        if let Participation::Yielded(claimant) = &self.participation {
            if id.process_id == claimant.process_id {
                self.claimant_probe = None; // probing starts over at the next contact
            }
            return;
        }
        if id.name == self.config.name {
            if self.claimant_probe.as_ref().is_some_and(|probe| probe.claimant.process_id == id.process_id) {
                self.yield_to(now, id);
            } else {
                self.note_name_conflict(id);
            }
            return;
        }
        let member = self.members.get_present(&id.name);
        if member.is_none_or(|member| member.identity.process_id != id.process_id) {
            let to = id.address;
            let _ = self.foca.announce(id, &mut self.effects);
            self.start_sync(now, to);
        }
    }

    /// Sends the next probe to the claimant, if there is one. Takes the name back and returns false if
    /// [`CLAIMANT_PROBES_MAX`] probes had no response.
    fn probe_claimant(&mut self, now: Duration) -> bool {
        let Some(probe) = &mut self.claimant_probe else { return true };
        probe.sent += 1;
        let (address, incarnation, sent) = (probe.claimant.address, probe.claimant.incarnation, probe.sent);
        if sent > CLAIMANT_PROBES_MAX {
            self.rejoin(now, incarnation);
            return false;
        }
        self.send(now, address, Body::IdentityRequest);
        true
    }

    /// Announces this node to one random dead member, so that the two sides of a healed partition merge.
    fn contact_dead_member(&mut self) {
        let own = self.config.advertise;
        let is_dead = |status, address| status == MemberStatus::Dead && address != own;
        let dead = self.members.iter().filter(|member| is_dead(member.status, member.identity.address));
        let dead: Vec<&Identity> = dead.map(|member| &member.identity).collect();
        if !dead.is_empty() {
            let id = dead[self.rng.random_range(0..dead.len())].clone();
            let _ = self.foca.announce(id, &mut self.effects);
        }
    }

    /// Requests the identity of one random seed that is not in the view.
    fn contact_missing_seed(&mut self, now: Duration) {
        let own = self.config.advertise;
        let is_missing = |seed: &SocketAddr| *seed != own && !self.members.has_present_at(*seed);
        let missing: Vec<SocketAddr> = self.config.seeds.iter().copied().filter(is_missing).collect();
        if !missing.is_empty() {
            let to = missing[self.rng.random_range(0..missing.len())];
            self.send(now, to, Body::IdentityRequest);
        }
    }
}
