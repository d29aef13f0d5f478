//! State synchronization: creates and applies full states.

use super::{Machine, Participation};
use crate::member::{millis, Identity};
use crate::packet::{decode, encode};
use crate::state_sync::{FullState, PendingSync, FRAME_MAX, MEMBERS_MAX};
use foca::Member;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Address and nonce of the sender of an accepted full state.
struct StateSender {
    from: SocketAddr,
    nonce: u64,
}

impl Machine {
    /// Generates the nonce that an initiator must echo in its full state.
    pub fn generate_nonce(&mut self) -> u64 {
        self.rng.random()
    }

    /// Creates this node's full state for the responder at `to`, which sent this challenge.
    pub fn request_sync(&mut self, now: Duration, to: SocketAddr, challenge: u64) -> (PendingSync, Vec<u8>) {
        let now = self.timers.advance(now);
        let nonce = self.rng.random();
        (PendingSync { nonce }, self.encode_state(now, to, challenge, nonce))
    }

    /// Applies the full state of an initiator that received this challenge, and returns this node's full state;
    /// `None` if the initiator's is rejected.
    pub fn respond_to_sync(&mut self, now: Duration, challenge: u64, bytes: &[u8]) -> Option<Vec<u8>> {
        let now = self.timers.advance(now);
        let StateSender { from, nonce } = self.receive_state(now, challenge, bytes)?;
        let response = self.encode_state(now, from, nonce, 0);
        self.apply_effects(now);
        Some(response)
    }

    /// Applies the full state of a responder, and returns whether it was accepted.
    pub fn complete_sync(&mut self, now: Duration, pending: PendingSync, bytes: &[u8]) -> bool {
        let now = self.timers.advance(now);
        let accepted = self.receive_state(now, pending.nonce, bytes).is_some();
        self.apply_effects(now);
        accepted
    }

    fn encode_state(&self, now: Duration, to: SocketAddr, echoed_nonce: u64, nonce: u64) -> Vec<u8> {
        let age = |member: &Member<Identity>| match self.members.get(&member.id().name) {
            Some(known) if !known.status.is_present() => millis(now.saturating_sub(known.since)),
            _ => 0,
        };
        let members = self.foca.iter_membership_state().take(MEMBERS_MAX);
        let sender = (self.participation == Participation::Active).then(|| self.foca.identity().clone());
        let state = FullState {
            fleet_hash: self.fleet_hash,
            process_id: self.process_id,
            from: self.config.advertise,
            to,
            echoed_nonce,
            nonce,
            sender,
            members: members.map(|member| (member.clone(), age(member))).collect(),
        };
        encode(&self.config.keys, &state)
    }

    /// Decodes, validates and applies a full state; `None` if it is rejected.
    fn receive_state(&mut self, now: Duration, challenge: u64, bytes: &[u8]) -> Option<StateSender> {
        let state: FullState = match decode(&self.config.keys, bytes, FRAME_MAX) {
            Ok(state) => state,
            Err(error) => {
                self.counters.rejected.count(error);
                return None;
            }
        };
        let expected = state.fleet_hash == self.fleet_hash
            && state.to == self.config.advertise
            && state.process_id != self.process_id;
        if !expected || !state.is_valid() {
            self.counters.rejected.misdirected += 1;
            return None;
        }
        if state.echoed_nonce != challenge {
            self.counters.rejected.replayed += 1;
            return None;
        }
        self.counters.full_states += 1;
        let sender = StateSender { from: state.from, nonce: state.nonce };
        if !matches!(self.participation, Participation::Yielded(_) | Participation::Left) {
            self.apply_state(now, state);
        }
        Some(sender)
    }

    fn apply_state(&mut self, now: Duration, state: FullState) {
        let mut members = Vec::with_capacity(state.members.len() + 1);
        for (member, age) in state.members {
            if member.state() == foca::State::Down {
                let age = Duration::from_millis(age);
                // A death old enough to be removed is ignored, otherwise it would circulate forever.
                if age >= self.config.timing.remove_after {
                    continue;
                }
                self.death_ages.insert(member.id().name.clone(), age);
            } else if member.id().name == self.config.name {
                self.note_name_conflict(member.id().clone());
            }
            members.push(member);
        }
        if let Some(sender) = state.sender {
            if sender.name == self.config.name {
                self.note_name_conflict(sender);
            } else {
                members.push(Member::alive(sender));
            }
        }
        self.apply_members(members);
        self.effects.rescan = true;
        self.apply_effects(now);
        self.death_ages.clear();
    }

    /// Passes members to `foca`, which gossips about them except about dead ones that are unknown here. Such a death
    /// is old news to other nodes, and would become new again at each node that has just removed it, so it would
    /// circulate forever.
    fn apply_members(&mut self, members: Vec<Member<Identity>>) {
        let should_gossip = |member: &Member<Identity>| {
            member.state() != foca::State::Down || self.members.get(&member.id().name).is_some()
        };
        let (gossiped, unknown_dead): (Vec<_>, Vec<_>) = members.into_iter().partition(should_gossip);
        let _ = self.foca.apply_many(gossiped.into_iter(), true, &mut self.effects);
        let _ = self.foca.apply_many(unknown_dead.into_iter(), false, &mut self.effects);
    }
}
