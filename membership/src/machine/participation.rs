//! This node's participation in the fleet: phase changes, leaving, rejoining, and name conflicts.

use super::reconnect::ClaimantProbe;
use super::{Action, Machine, MembershipEvent};
use crate::member::{Identity, Phase};
use crate::packet::Body;
use std::time::Duration;

/// Participation of this node in the fleet.
#[derive(PartialEq)]
pub(super) enum Participation {
    /// It is a member.
    Active,
    /// It was declared dead, and will rejoin after a delay.
    DeclaredDead,
    /// It has yielded its name to this other process, and is not a member.
    Yielded(Identity),
    /// It has left.
    Left,
}

impl Machine {
    /// Announces that the node drains, or accepts requests again.
    pub fn set_draining(&mut self, now: Duration, draining: bool) {
        let now = self.timers.advance(now);
        let phase = if draining { Phase::Draining } else { Phase::Serving };
        let own = self.foca.identity();
        if self.participation == Participation::Left || own.phase == phase {
            return;
        }
        let next = Identity { phase, incarnation: own.incarnation + 1, ..own.clone() };
        self.change_identity(now, next);
    }

    /// Announces that the node leaves, once it has answered all requests. Nothing is sent after this announcement.
    pub fn leave(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        if self.participation == Participation::Active {
            let own = self.foca.identity().clone();
            let last = Identity { phase: Phase::Left, incarnation: own.incarnation + 1, ..own };
            self.change_identity(now, last);
            self.participation = Participation::Left;
            // Sends two messages to three members each, so that the loss of one datagram does not make the leave look
            // like a crash.
            let _ = self.foca.leave_cluster(&mut self.effects);
            let _ = self.foca.gossip(&mut self.effects);
        } else {
            self.participation = Participation::Left;
        }
        self.apply_effects(now);
    }

    /// Rejoins after this process was suspended in favor of another process of its node, which has ended.
    pub fn resume(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        if self.participation != Participation::Left {
            self.rejoin(now, 0);
        }
        self.apply_effects(now);
    }

    /// Rejoins after having been declared dead, unless the node has already rejoined or is probing a claimant.
    pub(super) fn rejoin_if_declared_dead(&mut self, now: Duration) {
        if self.participation == Participation::DeclaredDead && self.claimant_probe.is_none() {
            self.rejoin(now, 0);
        }
    }

    /// Joins again under this name, with an incarnation above its own last one and `lower_bound`.
    pub(super) fn rejoin(&mut self, now: Duration, lower_bound: u64) {
        let own = self.foca.identity().clone();
        let incarnation = own.incarnation.max(lower_bound) + 1;
        self.participation = Participation::Active;
        self.claimant_probe = None;
        self.counters.rejoins += 1;
        self.actions.push_back(Action::Event(MembershipEvent::Rejoined(incarnation)));
        self.change_identity(now, Identity { incarnation, ..own });
    }

    /// Records that another process claims this node's name, for [`Machine::resolve_name_conflict`].
    pub(super) fn note_name_conflict(&mut self, id: Identity) {
        if id.name == self.config.name && id.process_id != self.process_id {
            self.name_conflicts.add(&id);
        }
    }

    /// Resolves a name conflict with another process, the claimant. If the claimant's identity supersedes this one's,
    /// it is probed first, and this process yields only if it answers.
    pub(super) fn resolve_name_conflict(&mut self, now: Duration, claimant: Identity) {
        if !matches!(self.participation, Participation::Active | Participation::DeclaredDead) {
            return;
        }
        if !claimant.supersedes(self.foca.identity()) {
            self.notify_claimant(now, claimant);
        } else if claimant.address == self.config.advertise {
            // No other process can have this node's own address, so this is an earlier process whose clock was ahead.
            self.rejoin(now, claimant.incarnation);
        } else if self
            .claimant_probe
            .as_ref()
            .is_none_or(|probe| probe.claimant.process_id != claimant.process_id)
        {
            self.actions.push_back(Action::Event(MembershipEvent::NameConflict(claimant.clone())));
            self.send(now, claimant.address, Body::IdentityRequest);
            self.claimant_probe = Some(ClaimantProbe { claimant, sent: 1 });
        }
    }

    /// Leaves the view in favor of another process with this node's name.
    pub(super) fn yield_to(&mut self, now: Duration, claimant: Identity) {
        self.claimant_probe = None;
        self.actions.push_back(Action::Event(MembershipEvent::Yielded(claimant.clone())));
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.participation = Participation::Yielded(claimant);
        self.apply_effects(now);
    }

    /// Notifies another process with this node's name that this one supersedes it. Most claims are outdated gossip
    /// about a process that has ended, so at most one notification is sent per reconnect interval.
    fn notify_claimant(&mut self, now: Duration, claimant: Identity) {
        let is_due = now - self.claimant_notified_at >= self.config.timing.reconnect_interval;
        if claimant.address != self.config.advertise && is_due {
            self.claimant_notified_at = now;
            let own = self.foca.identity().clone();
            self.send(now, claimant.address, Body::NameConflict(own));
        }
    }

    fn change_identity(&mut self, now: Duration, id: Identity) {
        let _ = self.foca.change_identity(id, &mut self.effects);
        // An empty update makes `foca` restart its timers.
        let _ = self.foca.apply_many(std::iter::empty(), true, &mut self.effects);
        self.effects.rescan = true;
        self.effects.defunct = false;
        self.apply_effects(now);
    }
}
