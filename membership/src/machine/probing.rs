//! Probing of members, seeds and rivals outside of SWIM: those that are missing from the view are contacted at intervals.

use super::timers::Timer;
use super::{Machine, Participation};
use crate::member::{Identity, MemberStatus};
use crate::packet::Body;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Probes to a rival before it is taken to be gone.
const RIVAL_PROBES: u32 = 4;

/// A probe of another process with this node's name, which would prevail if it runs.
pub(super) struct RivalProbe {
    /// The other process.
    pub rival: Identity,
    /// Probes sent so far.
    pub sent: u32,
}

impl Machine {
    /// Contacts one rival, one member held dead and one seed that is not in the view, and schedules the next time.
    pub(super) fn contact_missing(&mut self, now: Duration) {
        let jitter = 0.8 + 0.4 * self.rng.random::<f64>();
        self.timers.schedule(now, Timer::Contact, self.config.timing.reconnect_interval.mul_f64(jitter));
        if let Participation::Yielded(rival) = &self.participation {
            let rival = rival.clone();
            let sent = self.rival_probe.as_ref().map_or(0, |probe| probe.sent);
            self.rival_probe = Some(RivalProbe { rival, sent });
            self.probe_rival(now);
            return;
        }
        if self.rival_probe.is_some() && !self.probe_rival(now) {
            return;
        }
        if self.participation == Participation::Active {
            self.contact_dead_member();
            self.contact_missing_seed(now);
        }
    }

    /// Handles the identity of a process that was asked for it: a seed, a member that was held dead, or a rival.
    pub(super) fn handle_identity_response(&mut self, now: Duration, id: Identity) {
        if let Participation::Yielded(rival) = &self.participation {
            if id.process_id == rival.process_id {
                self.rival_probe = None; // begins anew with the next contact
            }
            return;
        }
        if id.name == self.config.name {
            if self.rival_probe.as_ref().is_some_and(|probe| probe.rival.process_id == id.process_id) {
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

    /// Probes the rival once more. After [`RIVAL_PROBES`] without a response, takes the name back and returns false.
    fn probe_rival(&mut self, now: Duration) -> bool {
        let Some(probe) = &mut self.rival_probe else { return true };
        probe.sent += 1;
        let (address, incarnation, sent) = (probe.rival.address, probe.rival.incarnation, probe.sent);
        if sent > RIVAL_PROBES {
            self.rejoin(now, incarnation);
            return false;
        }
        self.send(now, address, Body::IdentityRequest);
        true
    }

    /// Announces this node to one member held dead, so that the two halves of a partition find each other again.
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

    /// Asks one seed that is not in the view for its identity.
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
