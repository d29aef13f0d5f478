//! This node's place in the view: phases, leaving, rejoining, and conflicts over its name.

use super::probing::RivalProbe;
use super::{Action, Machine, MembershipEvent};
use crate::member::{Identity, Phase};
use crate::packet::Body;
use std::time::Duration;

/// How this node takes part in the fleet.
#[derive(PartialEq)]
pub(super) enum Participation {
    /// It is in the view.
    Active,
    /// It was declared dead, and waits before it rejoins.
    DeclaredDead,
    /// It stays out of the view: this other process of its name prevails.
    Yielded(Identity),
    /// It has left.
    Left,
}

impl Machine {
    /// Announces whether the node takes jobs or drains.
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

    /// Announces that the node leaves: it has answered all of its jobs. It sends nothing more after that.
    pub fn leave(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        if self.participation == Participation::Active {
            let own = self.foca.identity().clone();
            let last = Identity { phase: Phase::Left, incarnation: own.incarnation + 1, ..own };
            self.change_identity(now, last);
            self.participation = Participation::Left;
            // Two messages to three members each, so that one lost datagram does not turn a leave into a crash.
            let _ = self.foca.leave_cluster(&mut self.effects);
            let _ = self.foca.gossip(&mut self.effects);
        } else {
            self.participation = Participation::Left;
        }
        self.apply_effects(now);
    }

    /// Rejoins after this process was suspended for another of its node, which has ended.
    pub fn resume(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        if self.participation != Participation::Left {
            self.rejoin(now, 0);
        }
        self.apply_effects(now);
    }

    /// Rejoins after having been declared dead, unless the node has rejoined already or probes a rival.
    pub(super) fn rejoin_if_declared_dead(&mut self, now: Duration) {
        if self.participation == Participation::DeclaredDead && self.rival_probe.is_none() {
            self.rejoin(now, 0);
        }
    }

    /// Takes the name, or takes it back, with an incarnation above the own one and `above`.
    pub(super) fn rejoin(&mut self, now: Duration, above: u64) {
        let own = self.foca.identity().clone();
        let incarnation = own.incarnation.max(above) + 1;
        self.participation = Participation::Active;
        self.rival_probe = None;
        self.counters.rejoins += 1;
        self.actions.push_back(Action::Event(MembershipEvent::Rejoined(incarnation)));
        self.change_identity(now, Identity { incarnation, ..own });
    }

    /// Records a claim of another process to this node's name, for [`Machine::resolve_name_conflict`].
    pub(super) fn note_name_conflict(&mut self, id: Identity) {
        if id.name == self.config.name && id.process_id != self.process_id {
            self.name_conflicts.add(&id);
        }
    }

    /// Resolves a claim of another process to this node's name. If that process would prevail, it is probed before this
    /// one yields.
    pub(super) fn resolve_name_conflict(&mut self, now: Duration, rival: Identity) {
        if !matches!(self.participation, Participation::Active | Participation::DeclaredDead) {
            return;
        }
        if !rival.supersedes(self.foca.identity()) {
            self.notify_rival(now, rival);
        } else if rival.address == self.config.advertise {
            // No other process can be at this node's own address: it is an earlier one, with a clock that was ahead.
            self.rejoin(now, rival.incarnation);
        } else if self.rival_probe.as_ref().is_none_or(|probe| probe.rival.process_id != rival.process_id) {
            self.actions.push_back(Action::Event(MembershipEvent::NameConflict(rival.clone())));
            self.send(now, rival.address, Body::IdentityRequest);
            self.rival_probe = Some(RivalProbe { rival, sent: 1 });
        }
    }

    /// Leaves the view in favour of another process of this node's name.
    pub(super) fn yield_to(&mut self, now: Duration, rival: Identity) {
        self.rival_probe = None;
        self.actions.push_back(Action::Event(MembershipEvent::Yielded(rival.clone())));
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.participation = Participation::Yielded(rival);
        self.apply_effects(now);
    }

    /// Notifies another process of this node's name that this one prevails. Most often the claim is outdated and that
    /// process gone, so this is limited to one message in each contact interval.
    fn notify_rival(&mut self, now: Duration, rival: Identity) {
        let due = now - self.rival_notified >= self.config.timing.reconnect_interval;
        if rival.address != self.config.advertise && due {
            self.rival_notified = now;
            let own = self.foca.identity().clone();
            self.send(now, rival.address, Body::NameConflict(own));
        }
    }

    fn change_identity(&mut self, now: Duration, id: Identity) {
        let _ = self.foca.change_identity(id, &mut self.effects);
        // Makes `foca` look at its members, so that it starts its timers again.
        let _ = self.foca.apply_many(std::iter::empty(), true, &mut self.effects);
        self.effects.rescan = true;
        self.effects.defunct = false;
        self.apply_effects(now);
    }
}
