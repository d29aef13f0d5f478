//! The machine: SWIM below, and over it sealed messages, names, comings and goings. It has no I/O: what comes in and the
//! time go in, actions come out.

use crate::codec::{ConflictCodec, NameConflicts};
use crate::fleet_size::{FleetSize, OtherMembers};
use crate::fragments::{split, Reassembler, MESSAGE_MAX};
use crate::keys::Keys;
use crate::member::{millis, Identity, MemberInfo, MemberStatus, Peer, Phase, View};
use crate::packet::{decode, encode, hash, Body, DecodeError, Packet, DATAGRAM_MAX, GOSSIP_MAX, RATES_MAX};
use crate::session::{Admission, Sessions};
use crate::state_sync::{FullState, PendingSync, FRAME_MAX, MEMBERS_MAX};
use foca::{Foca, Member, NoCustomBroadcast, Notification, PeriodicParams};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members asked in place of one that gave no answer, and told at once of news.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("above zero");
/// Between two rounds of news, while there are any.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// A timer that is later than this was held up by the process, not by the fleet: what others did not answer meanwhile
/// is not held against them.
const STALL_MIN: Duration = Duration::from_millis(500);
/// Between two exchanges of whole states that this node begins.
const SYNC_INTERVAL: Duration = Duration::from_secs(3);
/// For which two views may differ before they are exchanged whole: news take their time.
const DIVERGENCE_MAX: Duration = Duration::from_secs(3);
/// Messages that are kept for a receiver that may challenge them, and for how long.
const RESEND_MAX: usize = 64;
const RESEND_LIFETIME: Duration = Duration::from_secs(2);
/// Proofs given in a second at most: each answers a challenge, which may be played back.
const PROOFS_PER_SECOND: u32 = 200;
/// Questions to a process of the same name before it is held to be gone.
const RIVAL_PROBES: u32 = 4;

/// How often and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Between two probes of this node; each is of one member.
    pub probe: Duration,
    /// For a member's own answer, before others are asked to reach it.
    pub answer: Duration,
    /// For a suspected member to refute that, before it is held dead.
    pub suspicion: Duration,
    /// Between two calls at a member held dead, and at a seed that is not in the view.
    pub contact: Duration,
    /// After which a dead name, or one that left, is forgotten.
    pub forget: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe: Duration::from_secs(1),
            answer: Duration::from_millis(300),
            suspicion: Duration::from_secs(4),
            contact: Duration::from_secs(1),
            forget: Duration::from_secs(24 * 3600),
        }
    }
}

/// What a machine is told at its start.
#[derive(Clone)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// The node's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The key of the fleet.
    pub keys: Keys,
    /// How often and for how long.
    pub timing: Timing,
}

/// What is new with each start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStart {
    /// Drawn at random: tells this process from every other.
    pub boot: u64,
    /// Unix time, in milliseconds. A clock that was set back costs a moment, not the place: see the incarnation.
    pub unix_ms: u64,
    /// For random numbers; nobody else may know it.
    pub seed: u64,
}

/// What the embedder is to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Exchange whole states over a stream: see [`Machine::request_sync`].
    SyncState {
        /// With whom.
        to: SocketAddr,
    },
    /// Rates of tenants that another node tells, by a hash of their names, in 64ths of a job a second.
    Rates {
        /// That node.
        from: String,
        /// Its rates.
        rates: Vec<(u64, u16)>,
    },
    /// A word of another subsystem has come.
    Message {
        /// From where; the process there has shown that it is there now.
        from: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Tell on-call staff.
    Event(MembershipEvent),
}

/// A change worth a record.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member is there: new, again, or with another phase.
    Up(Identity),
    /// A member is held dead.
    Down(Identity),
    /// A member left on purpose.
    Left(Identity),
    /// A member that was dead or had left is forgotten.
    Forgotten(String),
    /// This node was held dead, or its name was, and is back under this incarnation.
    Returned(u64),
    /// Another process has this node's name and counts: this one keeps out of the view.
    Yielded(Identity),
    /// Another process has this node's name; it ought to yield.
    NameConflict(Identity),
}

/// Why datagrams were refused, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Longer than any that a node sends.
    pub oversized: u64,
    /// Of another version.
    pub version: u64,
    /// Not sealed with one of the keys.
    pub seal: u64,
    /// Sealed, but not to be read.
    pub malformed: u64,
    /// Of another fleet, or for another node.
    pub astray: u64,
    /// Came before, or too old to tell.
    pub replayed: u64,
    /// From a process that has yet to show that it is there.
    pub unproven: u64,
}

/// Counters of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams refused.
    pub refused: Refused,
    /// Whole states taken in.
    pub states: u64,
    /// Reassembler on tenants' rates taken in.
    pub rates: u64,
    /// Members that were held dead.
    pub deaths: u64,
    /// How often this node was held dead and came back.
    pub returns: u64,
    /// Entries of the tables that guard against replays.
    pub sessions: u64,
}

enum Timer {
    Foca(foca::Timer<Identity>),
    Contact,
    /// It was held dead: time for a word on who else may have its name is over.
    Rejoin,
}

/// What `foca` wants done, until the machine gets to it.
#[derive(Default)]
struct FocaEffects {
    sends: VecDeque<(Identity, Vec<u8>)>,
    timers: Vec<(foca::Timer<Identity>, Duration)>,
    /// Members that changed, in order; `None` where both the old and the new life are there, or neither is.
    changed: Vec<(Identity, Option<bool>)>,
    /// Something may have changed that it says nothing of: all members are to be looked at.
    rescan: bool,
    defunct: bool,
}

impl foca::Runtime<Identity> for &mut FocaEffects {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) => self.changed.push((id.clone(), Some(true))),
            Notification::MemberDown(id) => self.changed.push((id.clone(), Some(false))),
            Notification::Rename(_, id) => self.changed.push((id.clone(), None)),
            Notification::Defunct => self.defunct = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push_back((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: foca::Timer<Identity>, after: Duration) {
        self.timers.push((event, after));
    }
}

struct KnownMember {
    identity: Identity,
    status: MemberStatus,
    since: Duration,
}

/// Another process with this node's name that would count: is it there?
struct RivalProbe {
    rival: Identity,
    asked: u32,
}

#[derive(PartialEq)]
enum Participation {
    Active,
    /// Held dead; it waits a moment before it comes back.
    DeclaredDead,
    /// Another process of its name is there.
    Yielded(Identity),
    Left,
}

/// One node's part in the fleet.
pub struct Machine {
    config: Config,
    boot: u64,
    fleet: u64,
    foca: Foca<Identity, ConflictCodec, SmallRng, NoCustomBroadcast>,
    name_conflicts: NameConflicts,
    rng: SmallRng,
    effects: FocaEffects,
    actions: VecDeque<Action>,
    timers: BTreeMap<(Duration, u64), Timer>,
    order: u64,
    skipped: Duration,
    sessions: Sessions,
    number: u64,
    unproven_sends: VecDeque<(SocketAddr, Duration, Body)>,
    proofs: (Duration, u32),
    reassembler: Reassembler,
    message_number: u64,
    known: BTreeMap<String, KnownMember>,
    /// Members of `foca`'s that are not among the known: one of this node's own name, or none.
    unlisted: usize,
    /// Of the known, how many are there; and a sum over their digest_sum.
    present: usize,
    digest_sum: u64,
    /// For how many `foca` is set up.
    configured_members: usize,
    ages: BTreeMap<String, Duration>, // of those that a state tells as dead, while it is taken in
    joined: bool,
    changed_at: Duration,
    diverged_since: Option<Duration>,
    next_sync_at: Duration,
    participation: Participation,
    rival_probe: Option<RivalProbe>,
    rival_notified: Duration,
    counters: Counters,
}

/// News reach all with this many transmissions of each, by a margin that grows with the fleet's logarithm.
fn transmissions(members: usize) -> u32 {
    4 + 3 * (usize::BITS - members.leading_zeros())
}

fn swim(timing: &Timing, members: usize) -> foca::Config {
    let transmissions = transmissions(members);
    foca::Config {
        probe_period: timing.probe,
        probe_rtt: timing.answer,
        num_indirect_probes: INDIRECT_PROBES,
        max_transmissions: NonZeroU8::new(transmissions.min(60) as u8).unwrap_or(NonZeroU8::MAX),
        suspect_to_down_after: timing.suspicion,
        remove_down_after: Some(timing.forget),
        max_packet_size: NonZeroUsize::new(GOSSIP_MAX).unwrap_or(NonZeroUsize::MAX),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP_INTERVAL, num_members: INDIRECT_PROBES }),
    }
}

impl Machine {
    /// A node that has just started, at `now` on a clock that only runs forward.
    pub fn new(config: Config, start: ProcessStart, now: Duration) -> Machine {
        let mut rng = SmallRng::seed_from_u64(start.seed);
        let own = Identity {
            name: config.name.clone(),
            zone: config.zone.clone(),
            address: config.advertise,
            boot: start.boot,
            incarnation: start.unix_ms,
            phase: Phase::Serving,
            hash: hash(&config.name),
        };
        let name_conflicts = NameConflicts::default();
        let codec = ConflictCodec {
            name: config.name.clone(),
            boot: start.boot,
            name_conflicts: name_conflicts.clone(),
        };
        let foca_rng = SmallRng::seed_from_u64(rng.random());
        let mut machine = Machine {
            boot: start.boot,
            fleet: hash(&config.fleet),
            foca: Foca::new(own, swim(&config.timing, 1), foca_rng, codec),
            name_conflicts,
            rng,
            effects: FocaEffects::default(),
            actions: VecDeque::new(),
            timers: BTreeMap::new(),
            order: 0,
            skipped: Duration::ZERO,
            sessions: Sessions::default(),
            number: 0,
            unproven_sends: VecDeque::new(),
            proofs: (now, 0),
            reassembler: Reassembler::default(),
            message_number: 0,
            known: BTreeMap::new(),
            unlisted: 0,
            present: 0,
            digest_sum: 0,
            configured_members: 1,
            ages: BTreeMap::new(),
            joined: false,
            changed_at: now,
            diverged_since: None,
            next_sync_at: now,
            participation: Participation::Active,
            rival_probe: None,
            rival_notified: now,
            counters: Counters::default(),
            config,
        };
        machine.schedule(now, Timer::Contact, Duration::ZERO);
        machine
    }

    /// The next thing to do, if there is one.
    pub fn action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Machine::tick`] is due next.
    pub fn due(&self) -> Duration {
        // There always is a timer: contact never ends.
        self.timers.keys().next().map_or(Duration::MAX, |(at, _)| *at + self.skipped)
    }

    /// The keys from here on.
    pub fn keys(&mut self, keys: Keys) {
        self.config.keys = keys;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let now = self.local_time(now);
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            match entry.remove() {
                Timer::Foca(timer) if self.is_refuted(&timer) => {}
                Timer::Foca(timer @ foca::Timer::RemoveDown(_)) => {
                    self.effects.rescan = true;
                    drop(self.foca.handle_timer(timer, &mut self.effects));
                }
                // An error here is a probe that the process itself held up; the next one goes on.
                Timer::Foca(timer) => drop(self.foca.handle_timer(timer, &mut self.effects)),
                Timer::Contact => self.contact_missing(now),
                Timer::Rejoin
                    if self.participation == Participation::DeclaredDead && self.rival_probe.is_none() =>
                {
                    self.rejoin(now, 0)
                }
                Timer::Rejoin => {}
            }
            self.apply_effects(now);
        }
    }

    /// Guards against a member that refuted its suspicion and is told that it is dead all the same: `foca` 2.0 tells it
    /// so whenever the time for that is over.
    fn is_refuted(&self, timer: &foca::Timer<Identity>) -> bool {
        let foca::Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        !self.foca.iter_membership_state().any(|m| {
            m.id() == member_id && m.incarnation() == *incarnation && m.state() == foca::State::Suspect
        })
    }

    /// Takes a datagram in, whatever it holds.
    pub fn datagram(&mut self, now: Duration, bytes: &[u8]) {
        let now = self.local_time(now);
        let packet: Packet = match decode(&self.config.keys, bytes, DATAGRAM_MAX) {
            Ok(packet) => packet,
            Err(bad) => return self.refuse(bad),
        };
        if packet.fleet != self.fleet || packet.to != self.config.advertise || packet.boot == self.boot {
            self.counters.refused.astray += 1;
            return;
        }
        let Packet { boot, from, number, body, .. } = packet;
        match body {
            Body::Challenge(nonce) => self.prove(now, from, nonce),
            Body::Proof(nonce, again) => {
                if self.sessions.complete_challenge(now, boot, number, nonce) {
                    if let Some(body) = again {
                        self.handle_body(now, boot, from, *body, bytes.len());
                    }
                } else {
                    self.counters.refused.replayed += 1;
                }
            }
            body => {
                let rng = &mut self.rng;
                match self.sessions.admit(now, boot, number, || rng.random()) {
                    Admission::Accepted => self.handle_body(now, boot, from, body, bytes.len()),
                    Admission::Replayed => self.counters.refused.replayed += 1,
                    Admission::Challenge(nonce) => {
                        self.counters.refused.unproven += 1;
                        self.send(now, from, Body::Challenge(nonce));
                    }
                    Admission::ChallengePending => self.counters.refused.unproven += 1,
                }
            }
        }
        self.apply_effects(now);
    }

    /// The node takes jobs, or sends its clients away.
    pub fn phase(&mut self, now: Duration, draining: bool) {
        let now = self.local_time(now);
        let phase = if draining { Phase::Draining } else { Phase::Serving };
        if self.participation == Participation::Left || self.foca.identity().phase == phase {
            return;
        }
        let own = self.foca.identity().clone();
        let next = Identity { phase, incarnation: own.incarnation + 1, ..own };
        self.become_identity(now, next);
    }

    /// The node has answered all that it had and sends nothing more: it says so, once, and keeps silent.
    pub fn leave(&mut self, now: Duration) {
        let now = self.local_time(now);
        if self.participation == Participation::Active {
            let own = self.foca.identity().clone();
            let last = Identity { phase: Phase::Left, incarnation: own.incarnation + 1, ..own };
            self.become_identity(now, last);
            self.participation = Participation::Left;
            // Each is to three members: one lost datagram must not turn a leave into a crash.
            let _ = self.foca.leave_cluster(&mut self.effects);
            let _ = self.foca.gossip(&mut self.effects);
        } else {
            self.participation = Participation::Left;
        }
        self.apply_effects(now);
    }

    /// This process stood aside for another of its node, which has ended: it takes its place in the view again.
    pub fn resume(&mut self, now: Duration) {
        let now = self.local_time(now);
        if self.participation != Participation::Left {
            self.rejoin(now, 0);
        }
        self.apply_effects(now);
    }

    /// Tells another node the rates of tenants here; one that is not there hears nothing.
    pub fn send_rates(&mut self, now: Duration, to: &str, mut rates: Vec<(u64, u16)>) {
        let now = self.local_time(now);
        let to = self.known.get(to).filter(|k| k.status.is_present()).map(|k| k.identity.address);
        if let Some(to) = to.filter(|_| self.participation == Participation::Active) {
            rates.truncate(RATES_MAX);
            self.send(now, to, Body::Rates(self.config.name.clone(), rates));
        }
    }

    /// Brings a word of another subsystem to the node at this address, whatever the view holds of it. Nobody makes sure
    /// that it comes. Too long a one is not sent.
    pub fn send_message(&mut self, now: Duration, to: SocketAddr, bytes: &[u8]) {
        let now = self.local_time(now);
        if bytes.len() > MESSAGE_MAX || matches!(self.participation, Participation::Left) {
            return;
        }
        self.message_number += 1;
        for fragment in split(bytes) {
            self.send(now, to, Body::Fragment(self.message_number, fragment));
        }
    }

    /// The members that take jobs, this one included: name, zone and address, in order.
    pub fn peers(&self) -> Vec<Peer> {
        let own = self.foca.identity();
        let serving = |id: &Identity| id.phase == Phase::Serving;
        let there = self.known.values().filter(|k| k.status.is_present()).map(|k| &k.identity);
        let mut peers: Vec<Peer> = there.chain([own]).filter(|id| serving(id)).map(Peer::of).collect();
        peers.sort();
        peers
    }

    /// Counters.
    pub fn counters(&self) -> Counters {
        Counters { sessions: self.sessions.entries() as u64, ..self.counters }
    }

    /// A digest of who is held to be there, and in which life: two views with the same one are equal. `None` while this
    /// node itself is not in the view.
    pub fn digest(&self) -> Option<u64> {
        (self.participation == Participation::Active).then(|| self.digest_now())
    }

    /// The view as of now.
    pub fn view(&self, now: Duration) -> View {
        let now = now.saturating_sub(self.skipped);
        let own = self.foca.identity();
        let mut members: Vec<MemberInfo> = Vec::with_capacity(self.known.len() + 1);
        for m in self.foca.iter_membership_state() {
            let status = status(m);
            let since = self.known.get(&m.id().name).map_or(now, |k| k.since);
            members.push(line(m.id(), status, now.saturating_sub(since)));
        }
        let mine = match (&self.participation, own.phase) {
            (Participation::Left, _) => MemberStatus::Left,
            (Participation::DeclaredDead, _) => MemberStatus::Dead,
            (_, Phase::Draining) => MemberStatus::Draining,
            _ => MemberStatus::Alive,
        };
        members.retain(|m| m.name != own.name);
        if !matches!(self.participation, Participation::Yielded(_)) {
            members.push(line(own, mine, Duration::ZERO));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let yielded_to = match &self.participation {
            Participation::Yielded(rival) => Some(rival.address),
            _ => None,
        };
        View {
            fleet: self.config.fleet.clone(),
            node: self.config.name.clone(),
            incarnation: own.incarnation,
            yielded_to,
            joined: self.joined,
            members,
        }
    }

    /// What the decisions are told; `planned` is the number of nodes in the settings.
    pub fn fleet_size(&self, now: Duration, planned: u32) -> FleetSize {
        let now = now.saturating_sub(self.skipped);
        let members: Vec<MemberInfo> =
            self.known.values().map(|k| line(&k.identity, k.status, now.saturating_sub(k.since))).collect();
        let joined = self.joined && !matches!(self.participation, Participation::Yielded(_));
        FleetSize::from_members(&self.config.name, &OtherMembers { members: &members, joined }, planned)
    }

    /// The number that another node has to return with its whole state.
    pub fn challenge(&mut self) -> u64 {
        self.rng.random()
    }

    /// This node's whole state, for the one at `to` that sent this number over a stream.
    pub fn request_sync(&mut self, now: Duration, to: SocketAddr, challenge: u64) -> (PendingSync, Vec<u8>) {
        let now = self.local_time(now);
        let nonce = self.rng.random();
        (PendingSync { nonce }, self.state(now, to, challenge, nonce))
    }

    /// Takes the whole state of the one that was sent this number in, and returns this node's own; `None` where it does
    /// not count.
    pub fn answer_sync(&mut self, now: Duration, challenge: u64, bytes: &[u8]) -> Option<Vec<u8>> {
        let now = self.local_time(now);
        let (to, nonce) = self.take(now, challenge, bytes)?;
        let answer = self.state(now, to, nonce, 0);
        self.apply_effects(now);
        Some(answer)
    }

    /// Takes the answer in; whether it counts.
    pub fn finish_sync(&mut self, now: Duration, asked: PendingSync, bytes: &[u8]) -> bool {
        let now = self.local_time(now);
        let taken = self.take(now, asked.nonce, bytes).is_some();
        self.apply_effects(now);
        taken
    }

    fn state(&self, now: Duration, to: SocketAddr, answers: u64, nonce: u64) -> Vec<u8> {
        let age = |m: &Member<Identity>| match self.known.get(&m.id().name) {
            Some(k) if !k.status.is_present() => millis(now.saturating_sub(k.since)),
            _ => 0,
        };
        let members = self.foca.iter_membership_state().take(MEMBERS_MAX);
        let me = (self.participation == Participation::Active).then(|| self.foca.identity().clone());
        let state = FullState {
            fleet: self.fleet,
            boot: self.boot,
            from: self.config.advertise,
            to,
            answers,
            nonce,
            me,
            members: members.map(|m| (m.clone(), age(m))).collect(),
        };
        encode(&self.config.keys, &state)
    }

    fn take(&mut self, now: Duration, challenge: u64, bytes: &[u8]) -> Option<(SocketAddr, u64)> {
        let state: FullState = match decode(&self.config.keys, bytes, FRAME_MAX) {
            Ok(state) => state,
            Err(bad) => {
                self.refuse(bad);
                return None;
            }
        };
        let sound = state.members.len() <= MEMBERS_MAX
            && state.members.iter().all(|(m, _)| m.id().is_valid())
            && state.me.as_ref().is_none_or(Identity::is_valid);
        if state.fleet != self.fleet || state.to != self.config.advertise || state.boot == self.boot || !sound
        {
            self.counters.refused.astray += 1;
            return None;
        }
        if state.answers != challenge {
            self.counters.refused.replayed += 1;
            return None;
        }
        self.counters.states += 1;
        if matches!(self.participation, Participation::Yielded(_) | Participation::Left) {
            return Some((state.from, state.nonce));
        }
        let own = self.config.name.clone();
        let mut members = Vec::with_capacity(state.members.len() + 1);
        for (m, age) in state.members {
            if m.state() == foca::State::Down {
                // What was dead for long is forgotten by then, also here: else it would go round for ever.
                let age = Duration::from_millis(age);
                if age >= self.config.timing.forget {
                    continue;
                }
                self.ages.insert(m.id().name.clone(), age);
            } else if m.id().name == own {
                self.note_name_conflict(m.id().clone());
            }
            members.push(m);
        }
        if let Some(me) = state.me {
            if me.name == own {
                self.note_name_conflict(me);
            } else {
                members.push(Member::alive(me));
            }
        }
        // Guards against a death that goes round for ever: one that is new here only is old to the others, and told as
        // news it would begin anew with each that has just forgotten it.
        let news =
            |m: &Member<Identity>| m.state() != foca::State::Down || self.known.contains_key(&m.id().name);
        let (news, old): (Vec<_>, Vec<_>) = members.into_iter().partition(news);
        let _ = self.foca.apply_many(news.into_iter(), true, &mut self.effects);
        let _ = self.foca.apply_many(old.into_iter(), false, &mut self.effects);
        self.effects.rescan = true;
        self.apply_effects(now);
        self.ages.clear();
        Some((state.from, state.nonce))
    }

    /// The machine's own time: the embedder's, less the time in which the process stood still.
    fn local_time(&mut self, now: Duration) -> Duration {
        let local = now.saturating_sub(self.skipped);
        if let Some((due, _)) = self.timers.keys().next() {
            if local > *due + STALL_MIN {
                self.skipped += local - *due;
                return *due;
            }
        }
        local
    }

    fn schedule(&mut self, now: Duration, timer: Timer, after: Duration) {
        self.order += 1;
        self.timers.insert((now + after, self.order), timer);
    }

    fn refuse(&mut self, bad: DecodeError) {
        let r = &mut self.counters.refused;
        *match bad {
            DecodeError::Oversized => &mut r.oversized,
            DecodeError::Version => &mut r.version,
            DecodeError::Seal => &mut r.seal,
            DecodeError::Malformed => &mut r.malformed,
        } += 1;
    }

    fn send(&mut self, now: Duration, to: SocketAddr, body: Body) {
        // A challenge is no message of its own, and its answer must not be one that was for somebody else.
        if !matches!(body, Body::Challenge(_) | Body::Proof(..)) {
            self.unproven_sends
                .retain(|(at, then, _)| *at != to && now.saturating_sub(*then) < RESEND_LIFETIME);
            if self.unproven_sends.len() >= RESEND_MAX {
                self.unproven_sends.pop_front();
            }
            self.unproven_sends.push_back((to, now, body.clone()));
        }
        self.number += 1;
        let packet = Packet {
            fleet: self.fleet,
            boot: self.boot,
            from: self.config.advertise,
            to,
            number: self.number,
            body,
        };
        let bytes = encode(&self.config.keys, &packet);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push_back(Action::Send { to, bytes });
    }

    /// Shows the one that asks that this process is there now, and says again what it was last told.
    fn prove(&mut self, now: Duration, to: SocketAddr, nonce: u64) {
        if now - self.proofs.0 >= Duration::from_secs(1) {
            self.proofs = (now, 0);
        }
        if self.proofs.1 >= PROOFS_PER_SECOND {
            return;
        }
        self.proofs.1 += 1;
        let last = self
            .unproven_sends
            .iter()
            .position(|(at, then, _)| *at == to && now.saturating_sub(*then) < RESEND_LIFETIME);
        let again = last.and_then(|i| self.unproven_sends.remove(i)).map(|(_, _, body)| Box::new(body));
        self.send(now, to, Body::Proof(nonce, again));
    }

    /// A message that counts.
    fn handle_body(&mut self, now: Duration, boot: u64, from: SocketAddr, body: Body, length: usize) {
        self.counters.received += 1;
        self.counters.received_bytes += length as u64;
        if self.participation == Participation::Left {
            return;
        }
        match body {
            Body::Gossip(digest, data) => self.gossip(now, boot, from, digest, &data),
            Body::IdentityRequest => {
                if self.participation == Participation::Active {
                    let own = self.foca.identity().clone();
                    self.send(now, from, Body::IdentityResponse(own));
                }
            }
            Body::IdentityResponse(id) if id.boot == boot && id.is_valid() => {
                self.handle_identity_response(now, id)
            }
            Body::NameConflict(id) if id.is_valid() && id.name == self.config.name => {
                self.note_name_conflict(id)
            }
            Body::Rates(name, rates) if rates.len() <= RATES_MAX => {
                let known =
                    self.known.get(&name).is_some_and(|k| k.identity.boot == boot && k.status.is_present());
                if known {
                    self.counters.rates += 1;
                    self.actions.push_back(Action::Rates { from: name, rates });
                }
            }
            Body::Fragment(message, fragment) => {
                if let Some(bytes) = self.reassembler.insert(now, boot, message, fragment) {
                    self.actions.push_back(Action::Message { from, bytes });
                }
            }
            _ => self.counters.refused.malformed += 1,
        }
    }

    fn gossip(&mut self, now: Duration, boot: u64, from: SocketAddr, digest: u64, data: &[u8]) {
        if matches!(self.participation, Participation::Yielded(_)) {
            return;
        }
        // Guards against one process that speaks for another.
        let header = postcard::take_from_bytes::<foca::Header<Identity>>(data);
        let Some(src) = header.ok().map(|(h, _)| h.src).filter(|s| s.boot == boot && s.is_valid()) else {
            self.counters.refused.malformed += 1;
            return;
        };
        if src.name == self.config.name {
            return self.note_name_conflict(src);
        }
        if let Some(k) = self.known.get(&src.name) {
            if k.identity.boot != boot && k.identity.supersedes(&src) {
                // Nothing else that it says counts: it may be one that stood still and hears no answers any more.
                let rival = k.identity.clone();
                return self.send(now, from, Body::NameConflict(rival));
            }
        }
        // An error is a message that could not be read; what it holds beyond that is refused whole.
        if self.foca.handle_data(data, &mut self.effects).is_err() {
            self.counters.refused.malformed += 1;
        }
        self.compare_digests(now, src.address, digest);
    }

    /// Guards against views that differ for good because the news of a change were lost.
    fn compare_digests(&mut self, now: Duration, with: SocketAddr, digest: u64) {
        if digest == self.digest_now() {
            self.diverged_since = None;
            return;
        }
        let since = *self.diverged_since.get_or_insert(now);
        if now - since >= DIVERGENCE_MAX && now.saturating_sub(self.changed_at) >= DIVERGENCE_MAX / 2 {
            self.start_sync(now, with);
        }
    }

    fn start_sync(&mut self, now: Duration, to: SocketAddr) {
        if now >= self.next_sync_at && to != self.config.advertise {
            self.next_sync_at = now + SYNC_INTERVAL;
            self.actions.push_back(Action::SyncState { to });
        }
    }

    /// A seed, or one that was asked whether it is there, says who it is.
    fn handle_identity_response(&mut self, now: Duration, id: Identity) {
        if let Participation::Yielded(rival) = &self.participation {
            if id.boot == rival.boot {
                self.rival_probe = None; // asked anew with the next contact
            }
            return;
        }
        if id.name == self.config.name {
            if self.rival_probe.as_ref().is_some_and(|c| c.rival.boot == id.boot) {
                self.yield_to(now, id);
            } else {
                self.note_name_conflict(id);
            }
            return;
        }
        if !self.known.get(&id.name).is_some_and(|k| k.status.is_present() && k.identity.boot == id.boot) {
            let to = id.address;
            let _ = self.foca.announce(id, &mut self.effects);
            self.start_sync(now, to);
        }
    }

    /// Word of another process that has this node's name.
    fn note_name_conflict(&mut self, id: Identity) {
        if id.name == self.config.name && id.boot != self.boot {
            self.name_conflicts.add(&id);
        }
    }

    /// Whether the other process counts, and if so whether it is there, before anything is given up for it.
    fn resolve_name_conflict(&mut self, now: Duration, rival: Identity) {
        if !matches!(self.participation, Participation::Active | Participation::DeclaredDead) {
            return;
        }
        if !rival.supersedes(self.foca.identity()) {
            // Most often the word is old. If not, that one has to hear of us: from all others, and from here.
            if rival.address != self.config.advertise
                && now - self.rival_notified >= self.config.timing.contact
            {
                self.rival_notified = now;
                let own = self.foca.identity().clone();
                self.send(now, rival.address, Body::NameConflict(own));
            }
        } else if rival.address == self.config.advertise {
            // At our own address there is nobody but us: that one is from before, with a clock that went ahead.
            self.rejoin(now, rival.incarnation);
        } else if self.rival_probe.as_ref().is_none_or(|c| c.rival.boot != rival.boot) {
            self.actions.push_back(Action::Event(MembershipEvent::NameConflict(rival.clone())));
            self.send(now, rival.address, Body::IdentityRequest);
            self.rival_probe = Some(RivalProbe { rival, asked: 1 });
        }
    }

    fn yield_to(&mut self, now: Duration, rival: Identity) {
        self.rival_probe = None;
        self.actions.push_back(Action::Event(MembershipEvent::Yielded(rival.clone())));
        let _ = self.foca.leave_cluster(&mut self.effects);
        self.participation = Participation::Yielded(rival);
        self.apply_effects(now);
    }

    /// Takes the name (again) under an incarnation higher than all that were heard of.
    fn rejoin(&mut self, now: Duration, above: u64) {
        let own = self.foca.identity().clone();
        let incarnation = own.incarnation.max(above) + 1;
        self.participation = Participation::Active;
        self.rival_probe = None;
        self.counters.returns += 1;
        self.actions.push_back(Action::Event(MembershipEvent::Returned(incarnation)));
        self.become_identity(now, Identity { incarnation, ..own });
    }

    fn become_identity(&mut self, now: Duration, id: Identity) {
        let _ = self.foca.change_identity(id, &mut self.effects);
        // Tells it that it has members: it starts its timers anew.
        let _ = self.foca.apply_many(std::iter::empty(), true, &mut self.effects);
        self.effects.rescan = true;
        self.effects.defunct = false;
        self.apply_effects(now);
    }

    /// Now and then: a call at a member held dead, at a seed that is not in the view, at a rival.
    fn contact_missing(&mut self, now: Duration) {
        let spread = 0.8 + 0.4 * self.rng.random::<f64>();
        self.schedule(now, Timer::Contact, self.config.timing.contact.mul_f64(spread));
        if let Participation::Yielded(rival) = &self.participation {
            let rival = rival.clone();
            let asked = self.rival_probe.as_ref().map_or(0, |c| c.asked) + 1;
            if asked > RIVAL_PROBES {
                return self.rejoin(now, rival.incarnation);
            }
            self.send(now, rival.address, Body::IdentityRequest);
            self.rival_probe = Some(RivalProbe { rival, asked });
            return;
        }
        if let Some(check) = &mut self.rival_probe {
            check.asked += 1;
            let (rival, asked) = (check.rival.clone(), check.asked);
            if asked > RIVAL_PROBES {
                return self.rejoin(now, rival.incarnation);
            }
            self.send(now, rival.address, Body::IdentityRequest);
        }
        if self.participation != Participation::Active {
            return;
        }
        let own = self.config.advertise;
        let dead: Vec<&Identity> = self
            .known
            .values()
            .filter(|k| k.status == MemberStatus::Dead && k.identity.address != own)
            .map(|k| &k.identity)
            .collect();
        if !dead.is_empty() {
            let id = dead[self.rng.random_range(0..dead.len())].clone();
            let _ = self.foca.announce(id, &mut self.effects);
        }
        let there =
            |at: &SocketAddr| self.known.values().any(|k| k.identity.address == *at && k.status.is_present());
        let seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|at| *at != own && !there(at)).collect();
        if !seeds.is_empty() {
            let to = seeds[self.rng.random_range(0..seeds.len())];
            self.send(now, to, Body::IdentityRequest);
        }
    }

    /// Carries out what `foca` wants and looks at what has changed.
    fn apply_effects(&mut self, now: Duration) {
        loop {
            if let Some(rival) = self.name_conflicts.take() {
                self.resolve_name_conflict(now, rival);
            }
            if std::mem::take(&mut self.effects.defunct) && self.participation == Participation::Active {
                self.participation = Participation::DeclaredDead;
                let wait = self.config.timing.answer;
                self.schedule(now, Timer::Rejoin, wait);
            }
            for (timer, after) in std::mem::take(&mut self.effects.timers) {
                let after = match &timer {
                    foca::Timer::RemoveDown(id) => {
                        after.saturating_sub(self.ages.get(&id.name).copied().unwrap_or_default())
                    }
                    _ => after,
                };
                self.schedule(now, Timer::Foca(timer), after);
            }
            while let Some((to, data)) = self.effects.sends.pop_front() {
                // What goes to another process of this name, or to the life of one that is over, is no use.
                if to.address != self.config.advertise {
                    let body = Body::Gossip(self.digest_now(), data);
                    self.send(now, to.address, body);
                }
            }
            // It says nothing of those that it first hears of as dead.
            let known = self.known.len() + self.unlisted;
            self.effects.rescan |= self.foca.iter_membership_state().len() != known;
            if self.effects.changed.is_empty() && !self.effects.rescan {
                return;
            }
            self.refresh(now);
        }
    }

    /// Notes what the view holds now beside what it held: of those that changed, or of all where it can't tell which.
    /// Guards a large fleet, in which somebody changes all the time, against a look at everybody at each change.
    fn refresh(&mut self, now: Duration) {
        for (id, there) in std::mem::take(&mut self.effects.changed) {
            let before = || self.known.get(&id.name).is_some_and(|k| k.status.is_present());
            let status = match (id.phase, there.unwrap_or_else(before)) {
                (Phase::Left, _) => MemberStatus::Left,
                (_, false) => MemberStatus::Dead,
                (Phase::Draining, true) => MemberStatus::Draining,
                (Phase::Serving, true) => MemberStatus::Alive,
            };
            self.record_status(now, id, status);
        }
        if std::mem::take(&mut self.effects.rescan) {
            self.rescan_members(now);
        }
        let members = self.present + 1;
        if transmissions(members) != transmissions(self.configured_members) {
            self.configured_members = members;
            let _ = self.foca.set_config(swim(&self.config.timing, members));
        }
    }

    fn rescan_members(&mut self, now: Duration) {
        let (mut changed, mut met) = (Vec::new(), 0);
        let own = &self.config.name;
        let all = self.foca.iter_membership_state();
        let held = all.len();
        for m in all.filter(|m| m.id().name != *own) {
            met += 1;
            let now_is = match status(m) {
                MemberStatus::Suspect => MemberStatus::Alive,
                status => status,
            };
            let known = self.known.get(&m.id().name);
            if !known.is_some_and(|k| k.identity == *m.id() && k.status == now_is) {
                changed.push((m.id().clone(), now_is));
            }
        }
        self.unlisted = held - met;
        changed.into_iter().for_each(|(id, status)| self.record_status(now, id, status));
        if met == self.known.len() {
            return;
        }
        let names: HashSet<&str> = self.foca.iter_membership_state().map(|m| m.id().name.as_str()).collect();
        let gone = self.known.keys().filter(|name| !names.contains(name.as_str()));
        for name in gone.cloned().collect::<Vec<_>>() {
            if let Some(k) = self.known.remove(&name).filter(|k| k.status.is_present()) {
                self.remove_present(&k.identity);
            }
            self.changed_at = now;
            self.actions.push_back(Action::Event(MembershipEvent::Forgotten(name)));
        }
    }

    fn record_status(&mut self, now: Duration, id: Identity, status: MemberStatus) {
        let same = |k: &KnownMember| k.identity == id && k.status == status;
        if id.name == self.config.name || self.known.get(&id.name).is_some_and(same) {
            return;
        }
        self.changed_at = now;
        self.joined |= status.is_present();
        let age = self.ages.get(&id.name).copied().unwrap_or_default();
        let since = if status.is_present() { now } else { now.saturating_sub(age) };
        let before = self.known.get(&id.name).map(|k| (k.status, k.since));
        // A new life of one that is there is no change to those that count it.
        let since = before.filter(|(s, _)| *s == status && s.is_present()).map_or(since, |(_, since)| since);
        let was = before.map(|(s, _)| s);
        let note = match status {
            MemberStatus::Dead if was != Some(status) => {
                self.counters.deaths += 1;
                Some(MembershipEvent::Down(id.clone()))
            }
            MemberStatus::Left if was != Some(status) => Some(MembershipEvent::Left(id.clone())),
            MemberStatus::Dead | MemberStatus::Left => None,
            _ => Some(MembershipEvent::Up(id.clone())),
        };
        self.actions.extend(note.map(Action::Event));
        if status.is_present() {
            self.present += 1;
            self.digest_sum = self.digest_sum.wrapping_add(life(&id));
        }
        let old = self.known.insert(id.name.clone(), KnownMember { identity: id, status, since });
        if let Some(old) = old.filter(|k| k.status.is_present()) {
            self.remove_present(&old.identity);
        }
    }

    fn remove_present(&mut self, id: &Identity) {
        self.present -= 1;
        self.digest_sum = self.digest_sum.wrapping_sub(life(id));
    }

    fn digest_now(&self) -> u64 {
        self.digest_sum.wrapping_add(life(self.foca.identity()))
    }
}

/// What a life adds to the digest of a view: a sum, so that a change costs no look at all the others.
fn life(id: &Identity) -> u64 {
    let x = id.hash ^ id.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ x >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ x >> 29
}

fn status(m: &Member<Identity>) -> MemberStatus {
    match (m.state(), m.id().phase) {
        (_, Phase::Left) => MemberStatus::Left,
        (foca::State::Down, _) => MemberStatus::Dead,
        (_, Phase::Draining) => MemberStatus::Draining,
        (foca::State::Alive, _) => MemberStatus::Alive,
        (foca::State::Suspect, _) => MemberStatus::Suspect,
    }
}

fn line(id: &Identity, status: MemberStatus, age: Duration) -> MemberInfo {
    MemberInfo {
        name: id.name.clone(),
        zone: id.zone.clone(),
        address: id.address,
        incarnation: id.incarnation,
        boot: id.boot,
        status,
        for_ms: millis(age),
    }
}
