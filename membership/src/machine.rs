//! State machine of one node's membership: SWIM, with authenticated datagrams, names and incarnations on top.
//!
//! It has no I/O: its inputs are datagrams and the time, its output is [`Action`]s.

mod action;
mod config;
mod counters;
mod datagrams;
mod effects;
mod gossip;
mod members;
mod participation;
mod reconnect;
mod resend;
mod swim;
mod sync;
mod timers;
mod view;

pub use action::{Action, MembershipEvent};
pub use config::{Config, ProcessStart, Timing};
pub use counters::{Counters, Rejections};

use crate::codec::{NameConflictCodec, NameConflicts};
use crate::fragments::Reassembler;
use crate::hash::name_hash;
use crate::keys::Keys;
use crate::member::{Identity, Phase};
use crate::session::Sessions;
use foca::{Foca, NoCustomBroadcast};
use members::MemberTable;
use participation::Participation;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use reconnect::ClaimantProbe;
use resend::{ChallengeResponseLimit, ResendBuffer};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use swim::{swim_config, SwimEffects};
use timers::{Timer, Timers};

/// Membership of one node.
///
/// All times are readings of one monotonic clock of the embedder, with any origin.
pub struct Machine {
    config: Config,
    process_id: u64,
    /// Hash of the fleet's name.
    fleet_hash: u64,
    foca: Foca<Identity, NameConflictCodec, SmallRng, NoCustomBroadcast>,
    effects: SwimEffects,
    name_conflicts: NameConflicts,
    rng: SmallRng,
    actions: VecDeque<Action>,
    timers: Timers,
    sessions: Sessions,
    resend_buffer: ResendBuffer,
    challenge_response_limit: ChallengeResponseLimit,
    reassembler: Reassembler,
    /// Sequence number of the last datagram sent.
    last_sequence_number: u64,
    /// Number of the last message sent for another subsystem.
    last_message_number: u64,
    members: MemberTable,
    /// Number of `foca`'s members that are not in the table: one with this node's own name, or none.
    untracked_members: usize,
    /// Number of members for which `foca` is configured.
    configured_members: usize,
    /// Ages of the deaths in a full state while it is applied, by name.
    death_ages: BTreeMap<String, Duration>,
    /// Local time since which received digests have differed from the own one.
    diverged_since: Option<Duration>,
    next_sync_at: Duration,
    participation: Participation,
    claimant_probe: Option<ClaimantProbe>,
    /// Local time of the last notification to a claimant.
    claimant_notified_at: Duration,
    counters: Counters,
}

impl Machine {
    /// Creates the machine of a process that starts at `now`.
    pub fn new(config: Config, start: ProcessStart, now: Duration) -> Machine {
        let mut rng = SmallRng::seed_from_u64(start.rng_seed);
        let name_conflicts = NameConflicts::default();
        let codec = NameConflictCodec {
            name: config.name.clone(),
            process_id: start.process_id,
            name_conflicts: name_conflicts.clone(),
        };
        let foca_rng = SmallRng::seed_from_u64(rng.random());
        let foca =
            Foca::new(initial_identity(&config, start), swim_config(&config.timing, 1), foca_rng, codec);
        let mut timers = Timers::default();
        timers.schedule(now, Timer::Reconnect, Duration::ZERO);
        Machine {
            process_id: start.process_id,
            fleet_hash: name_hash(&config.fleet),
            foca,
            effects: SwimEffects::default(),
            name_conflicts,
            rng,
            actions: VecDeque::new(),
            timers,
            sessions: Sessions::default(),
            resend_buffer: ResendBuffer::default(),
            challenge_response_limit: ChallengeResponseLimit::new(now),
            reassembler: Reassembler::default(),
            last_sequence_number: 0,
            last_message_number: 0,
            members: MemberTable::new(now),
            untracked_members: 0,
            configured_members: 1,
            death_ages: BTreeMap::new(),
            diverged_since: None,
            next_sync_at: now,
            participation: Participation::Active,
            claimant_probe: None,
            claimant_notified_at: now,
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the next action to carry out, in order.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time at which the embedder must call [`Machine::handle_timeout`] next.
    pub fn next_timeout(&self) -> Duration {
        self.timers.next_due()
    }

    /// Replaces the keys, for key rotation.
    pub fn set_keys(&mut self, keys: Keys) {
        self.config.keys = keys;
    }

    /// Runs the timers that have expired.
    pub fn handle_timeout(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Foca(timer) => self.run_foca_timer(timer),
                Timer::Reconnect => self.reconnect(now),
                Timer::Rejoin => self.rejoin_if_declared_dead(now),
            }
            self.apply_effects(now);
        }
    }

    fn run_foca_timer(&mut self, timer: foca::Timer<Identity>) {
        if self.is_refuted_suspicion(&timer) {
            return;
        }
        self.effects.rescan |= matches!(timer, foca::Timer::RemoveDown(_));
        // Fails if this process was late for its own probe; the next probe round continues.
        let _ = self.foca.handle_timer(timer, &mut self.effects);
    }
}

/// Identity of a process at its start.
fn initial_identity(config: &Config, start: ProcessStart) -> Identity {
    Identity {
        name: config.name.clone(),
        zone: config.zone.clone(),
        address: config.advertise,
        process_id: start.process_id,
        incarnation: start.unix_time_ms,
        phase: Phase::Serving,
        hash: name_hash(&config.name),
    }
}
