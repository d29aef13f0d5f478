//! State machine of one node's membership: SWIM, with authenticated datagrams, names and incarnations above it.
//!
//! It has no I/O: datagrams and the time are its input, [`Action`]s its output. Each module below has one job.

mod action;
mod config;
mod counters;
mod datagrams;
mod effects;
mod gossip;
mod members;
mod participation;
mod probing;
mod resend;
mod swim;
mod sync;
mod timers;
mod view;

pub use action::{Action, MembershipEvent};
pub use config::{Config, ProcessStart, Timing};
pub use counters::{Counters, Rejections};

use crate::codec::{ConflictCodec, NameConflicts};
use crate::fragments::Reassembler;
use crate::hash::name_hash;
use crate::keys::Keys;
use crate::member::{Identity, Phase};
use crate::session::Sessions;
use foca::{Foca, NoCustomBroadcast};
use members::MemberTable;
use participation::Participation;
use probing::RivalProbe;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use resend::{ResendBuffer, ResponseLimit};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use swim::{swim_config, SwimEffects};
use timers::{Timer, Timers};

/// Membership of one node.
///
/// All times are of one clock of the embedder's that only runs forward, from any start.
pub struct Machine {
    config: Config,
    process_id: u64,
    /// Hash of the fleet's name.
    fleet_hash: u64,
    foca: Foca<Identity, ConflictCodec, SmallRng, NoCustomBroadcast>,
    effects: SwimEffects,
    name_conflicts: NameConflicts,
    rng: SmallRng,
    actions: VecDeque<Action>,
    timers: Timers,
    sessions: Sessions,
    resend: ResendBuffer,
    responses: ResponseLimit,
    reassembler: Reassembler,
    /// Packet number of the last datagram.
    packets_sent: u64,
    /// Number of the last message of another subsystem.
    messages_sent: u64,
    members: MemberTable,
    /// Members of `foca`'s that are not in the table: one of this node's own name, or none.
    unlisted: usize,
    /// Number of members that `foca` is configured for.
    configured_members: usize,
    /// Ages of the deaths in a state while it is applied, by name.
    death_ages: BTreeMap<String, Duration>,
    /// Time since which the digests of other views have differed.
    diverged_since: Option<Duration>,
    next_sync_at: Duration,
    participation: Participation,
    rival_probe: Option<RivalProbe>,
    /// Time of the last notification to a rival.
    rival_notified: Duration,
    counters: Counters,
}

impl Machine {
    /// Creates the machine of a process that has just started, at the time `now`.
    pub fn new(config: Config, start: ProcessStart, now: Duration) -> Machine {
        let mut rng = SmallRng::seed_from_u64(start.rng_seed);
        let name_conflicts = NameConflicts::default();
        let codec = ConflictCodec {
            name: config.name.clone(),
            process_id: start.process_id,
            name_conflicts: name_conflicts.clone(),
        };
        let foca_rng = SmallRng::seed_from_u64(rng.random());
        let foca = Foca::new(first_identity(&config, start), swim_config(&config.timing, 1), foca_rng, codec);
        let mut timers = Timers::default();
        timers.schedule(now, Timer::Contact, Duration::ZERO);
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
            resend: ResendBuffer::default(),
            responses: ResponseLimit::new(now),
            reassembler: Reassembler::default(),
            packets_sent: 0,
            messages_sent: 0,
            members: MemberTable::new(now),
            unlisted: 0,
            configured_members: 1,
            death_ages: BTreeMap::new(),
            diverged_since: None,
            next_sync_at: now,
            participation: Participation::Active,
            rival_probe: None,
            rival_notified: now,
            counters: Counters::default(),
            config,
        }
    }

    /// Removes and returns the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time at which [`Machine::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Duration {
        self.timers.due()
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.config.keys = keys;
    }

    /// Runs the timers that have fired.
    pub fn handle_timeout(&mut self, now: Duration) {
        let now = self.timers.advance(now);
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Foca(timer) => self.run_foca_timer(timer),
                Timer::Contact => self.contact_missing(now),
                Timer::Rejoin => self.rejoin_if_declared_dead(now),
            }
            self.apply_effects(now);
        }
    }

    fn run_foca_timer(&mut self, timer: foca::Timer<Identity>) {
        if self.is_refuted(&timer) {
            return;
        }
        self.effects.rescan |= matches!(timer, foca::Timer::RemoveDown(_));
        // An error is a probe that this process itself delayed; the next one continues.
        let _ = self.foca.handle_timer(timer, &mut self.effects);
    }
}

/// Identity of a process at its start.
fn first_identity(config: &Config, start: ProcessStart) -> Identity {
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
