//! Carries out the effects that `foca` requests, and records changes of its members.

use super::swim::{max_transmissions, member_status, swim_config};
use super::timers::Timer;
use super::{Action, Machine, MembershipEvent, Participation};
use crate::member::{Identity, MemberStatus, Phase};
use crate::packet::Body;
use std::collections::HashSet;
use std::time::Duration;

impl Machine {
    /// Carries out effects until none are left.
    pub(super) fn apply_effects(&mut self, now: Duration) {
        loop {
            if let Some(claimant) = self.name_conflicts.take() {
                self.resolve_name_conflict(now, claimant);
            }
            if std::mem::take(&mut self.effects.defunct) && self.participation == Participation::Active {
                self.participation = Participation::DeclaredDead;
                self.timers.schedule(now, Timer::Rejoin, self.config.timing.probe_timeout);
            }
            self.schedule_timers(now);
            self.send_gossip(now);
            // `foca` does not notify of members that it first learns of as dead.
            let known_members = self.members.len() + self.untracked_members;
            self.effects.rescan |= self.foca.iter_membership_state().len() != known_members;
            if self.effects.changed.is_empty() && !self.effects.rescan {
                return;
            }
            self.record_changes(now);
        }
    }

    /// Whether this `foca` timer would declare a member dead that has refuted the suspicion. Works around `foca` 2.0,
    /// which would still notify that member of its death.
    pub(super) fn is_refuted_suspicion(&self, timer: &foca::Timer<Identity>) -> bool {
        let foca::Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        })
    }

    fn schedule_timers(&mut self, now: Duration) {
        for (timer, after) in std::mem::take(&mut self.effects.timers) {
            let after = match &timer {
                foca::Timer::RemoveDown(id) => after.saturating_sub(self.death_age(&id.name)),
                _ => after,
            };
            self.timers.schedule(now, Timer::Foca(timer), after);
        }
    }

    fn send_gossip(&mut self, now: Duration) {
        while let Some((to, data)) = self.effects.sends.pop_front() {
            // Skips identities with this node's own address: an earlier process, or another one of this name.
            if to.address != self.config.advertise {
                let body = Body::Gossip(self.view_digest(), data);
                self.send(now, to.address, body);
            }
        }
    }

    /// Records the members that changed; compares all members only if a rescan is requested. A large fleet changes
    /// all the time, and comparing all its members at each change would be too slow.
    fn record_changes(&mut self, now: Duration) {
        for (id, is_up) in std::mem::take(&mut self.effects.changed) {
            let is_up = is_up.unwrap_or_else(|| self.members.get_present(&id.name).is_some());
            let status = match (id.phase, is_up) {
                (Phase::Left, _) => MemberStatus::Left,
                (_, false) => MemberStatus::Dead,
                (Phase::Draining, true) => MemberStatus::Draining,
                (Phase::Serving, true) => MemberStatus::Alive,
            };
            self.record(now, id, status);
        }
        if std::mem::take(&mut self.effects.rescan) {
            self.rescan(now);
        }
        let member_count = self.members.present_count() + 1;
        if max_transmissions(member_count) != max_transmissions(self.configured_members) {
            self.configured_members = member_count;
            let _ = self.foca.set_config(swim_config(&self.config.timing, member_count));
        }
    }

    /// Compares all members of `foca` with the table, and records the differences.
    fn rescan(&mut self, now: Duration) {
        let (mut changed, mut tracked) = (Vec::new(), 0);
        let all = self.foca.iter_membership_state();
        let total = all.len();
        for member in all.filter(|member| member.id().name != self.config.name) {
            tracked += 1;
            let status = match member_status(member) {
                MemberStatus::Suspect => MemberStatus::Alive,
                status => status,
            };
            if !self.members.is_recorded(member.id(), status) {
                changed.push((member.id().clone(), status));
            }
        }
        self.untracked_members = total - tracked;
        changed.into_iter().for_each(|(id, status)| self.record(now, id, status));
        if tracked != self.members.len() {
            self.drop_removed(now);
        }
    }

    /// Drops members from the table that `foca` has removed.
    fn drop_removed(&mut self, now: Duration) {
        let all = self.foca.iter_membership_state();
        let names: HashSet<&str> = all.map(|member| member.id().name.as_str()).collect();
        for name in self.members.retain_names(now, &names) {
            self.actions.push_back(Action::Event(MembershipEvent::Removed(name)));
        }
    }

    fn record(&mut self, now: Duration, id: Identity, status: MemberStatus) {
        if id.name == self.config.name {
            return;
        }
        let age = self.death_age(&id.name);
        let event = self.members.record(now, id, status, age);
        if matches!(event, Some(MembershipEvent::Down(_))) {
            self.counters.deaths += 1;
        }
        self.actions.extend(event.map(Action::Event));
    }

    /// Age of a member's death as reported by the full state that is being applied; zero if it reports none.
    fn death_age(&self, name: &str) -> Duration {
        self.death_ages.get(name).copied().unwrap_or_default()
    }
}
