//! A voter: `raft` below, and over it who may vote at all, leases, tokens, and the duties' table.
//!
//! A holder's lease is not in the log. The leader extends it in memory once a majority has confirmed that it leads still,
//! and whoever leads next counts a whole lease anew from its election: later than any that was extended before.

use crate::lease_table::{ApplyResult, Command, Holder, LeaseTable, VoterMember, STATE_MAX};
use crate::log::Log;
use crate::message::{
    ClusterStatus, Handshake, Message, Operation, Outcome, Request, Response, VoterStatus, NAME_MAX,
};
use crate::store::{DiskIdentity, StoreContents, StoreError, WriteBatch};
use crate::Timing;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message as RaftMessage, Snapshot};
use raft::{Config, RawNode, StateRole};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// `raft` counts in these: elections in ten, heartbeats in two.
const TICKS: usize = 10;
const HEARTBEAT: usize = 2;
/// Between two words on who is there: while it may not vote yet, and after.
const HELLO: Duration = Duration::from_millis(300);
const HELLO_CALM: Duration = Duration::from_secs(2);
/// For which a word on who is there counts.
const MET: Duration = Duration::from_secs(5);
/// Other voters, or those that would be, that are remembered at once.
const MET_MAX: usize = 32;
/// Entries before a snapshot takes their place.
const COMPACT: u64 = 256;
/// Bytes of entries in one message of `raft`, and of all that is proposed and not agreed on.
const MESSAGE: u64 = 16 * 1024;
const UNCOMMITTED: u64 = 256 * 1024;
/// Renewals that wait for a majority's word at once.
const READS: usize = 512;
/// Wishes that wait for one duty at once.
const WAITING: usize = 8;

/// What a voter is told at its start.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its name and where it is reached.
    pub member: VoterMember,
    /// Those that found the voters together, itself included where it is one of them.
    pub founders: Vec<VoterMember>,
    /// How long leases and elections take.
    pub timing: Timing,
    /// The process: drawn anew at each start.
    pub process_id: u64,
    /// For random numbers.
    pub seed: u64,
    /// Unix time in milliseconds where the embedder's clock shows zero.
    pub unix_ms: u64,
}

/// What the embedder is to do.
#[derive(Debug, PartialEq)]
pub enum VoterAction {
    /// Bring a word to this address.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Write this to the store, and tell [`Voter::written`]. There is one at a time.
    Write(WriteBatch),
    /// Tell on-call staff.
    Report(VoterEvent),
}

/// A change worth a record.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterEvent {
    /// The voters were founded, this one among them.
    ClusterFormed(u64),
    /// This voter may vote: enough others know its folder for the latest.
    VotingEnabled,
    /// It leads from this term on.
    BecameLeader(u64),
    /// It leads no more.
    LeadershipLost,
    /// Its folder is an older copy: it never votes again.
    StaleCopy,
    /// Its disk is not among the voters'.
    NotMember,
    /// Its store fails: it grants and votes nothing more.
    StorageFailed(String),
    /// A voter was added or removed.
    VotersChanged(Vec<String>),
    /// A duty was granted, as a leader.
    LeaseGranted(String, Holder, u64),
}

/// Whether a voter may vote, and why not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VoterState {
    /// It waits for the other founders, or to be added.
    Waiting,
    /// It has yet to hear from enough others that its folder is the latest.
    #[serde(rename = "returning")]
    Recovering,
    /// It votes.
    #[serde(rename = "voting")]
    Follower,
    /// It leads.
    #[serde(rename = "leading")]
    Leader,
    /// The others say that its disk is not among theirs.
    #[serde(rename = "unseated")]
    NotMember,
    /// Its folder is an older copy.
    #[serde(rename = "older")]
    StaleCopy,
    /// Its store fails.
    #[serde(rename = "broken")]
    StorageFailed(String),
}

/// Counters of one voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMetrics {
    /// Words sent.
    #[serde(rename = "sent")]
    pub messages_sent: u64,
    /// Writes that had to be on the disk.
    pub writes: u64,
    /// Grants, as a leader.
    pub grants: u64,
    /// Renewals that were confirmed, as a leader.
    pub renewals: u64,
    /// Elections won.
    pub elections: u64,
    /// Words refused: of another foundation, for another disk, or not to be read.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

struct Met {
    hello: Handshake,
    from: SocketAddr,
    at: Duration,
}

struct Writing {
    number: u64,
    ready: Option<u64>,
    after: Vec<VoterAction>,
}

/// A wish whose answer goes there.
struct Asked {
    to: SocketAddr,
    number: u64,
    client: Holder,
}

struct Read {
    asked: Asked,
    lease: String,
}

/// One voter.
pub struct Voter {
    setup: VoterConfig,
    identity: DiskIdentity,
    node: Option<RawNode<Log>>,
    /// What was taken of the folder, until a node is made of it.
    log: Option<Log>,
    cleared: bool,
    unseated: bool,
    broken: Option<String>,
    confirmed_by: BTreeSet<u64>,
    table: LeaseTable,
    applied: u64,
    /// The entry that added a voter last.
    new_seat: u64,
    tick_at: Duration,
    hello_at: Duration,
    met: BTreeMap<u64, Met>,
    dirty: bool,
    snapshot: Option<(Snapshot, bool)>,
    writing: Option<Writing>,
    after: Vec<VoterAction>,
    number: u64,
    actions: VecDeque<VoterAction>,
    // As a leader only.
    leads: Option<u64>,
    expirations: BTreeMap<String, Duration>,
    proposed: BTreeMap<String, Asked>,
    waiting: BTreeMap<String, VecDeque<(Duration, Asked)>>,
    reads: BTreeMap<u64, Read>,
    sure: Vec<(u64, Read)>,
    pending_voter_change: Option<Asked>,
    read_number: u64,
    metrics: VoterMetrics,
}

impl Voter {
    /// A voter with what its store held. It does not vote before enough others have said that its folder is the latest.
    pub fn new(setup: VoterConfig, disk: StoreContents, now: Duration) -> Voter {
        let StoreContents { identity, log } = disk;
        let mut voter = Voter {
            tick_at: now,
            hello_at: now,
            node: None,
            log: Some(log),
            cleared: false,
            unseated: false,
            broken: None,
            confirmed_by: BTreeSet::new(),
            table: LeaseTable::default(),
            applied: 0,
            new_seat: 0,
            met: BTreeMap::new(),
            dirty: false,
            snapshot: None,
            writing: None,
            after: Vec::new(),
            number: 0,
            actions: VecDeque::new(),
            leads: None,
            expirations: BTreeMap::new(),
            proposed: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            sure: Vec::new(),
            pending_voter_change: None,
            read_number: 0,
            metrics: VoterMetrics::default(),
            identity,
            setup,
        };
        if voter.identity.is_stale_copy {
            voter.actions.push_back(VoterAction::Report(VoterEvent::StaleCopy));
        } else if voter.identity.cluster_id.is_some() {
            voter.begin();
        }
        voter.drive(now);
        voter
    }

    /// The next thing to do, if there is one.
    pub fn next_action(&mut self) -> Option<VoterAction> {
        self.actions.pop_front()
    }

    /// When [`Voter::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        if self.broken.is_some() || self.identity.is_stale_copy {
            return Duration::MAX;
        }
        self.tick_at.min(self.hello_at)
    }

    /// How it stands.
    pub fn state(&self) -> VoterState {
        match () {
            () if self.broken.is_some() => VoterState::StorageFailed(self.broken.clone().unwrap_or_default()),
            () if self.identity.is_stale_copy => VoterState::StaleCopy,
            () if self.unseated => VoterState::NotMember,
            () if self.node.is_none() => VoterState::Waiting,
            () if !self.cleared => VoterState::Recovering,
            () if self.leads.is_some() => VoterState::Leader,
            () => VoterState::Follower,
        }
    }

    /// Counters.
    pub fn metrics(&self) -> VoterMetrics {
        self.metrics
    }

    /// What it knows to be agreed on; it may be behind.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// The number of its disk.
    pub fn disk(&self) -> u64 {
        self.identity.disk_id
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.draw();
        if self.broken.is_some() || self.identity.is_stale_copy {
            return;
        }
        if now >= self.tick_at {
            // One, however long it was: what others did not say while this process stood still is held against nobody.
            self.tick_at = now + self.setup.timing.election / TICKS as u32;
            if let Some(node) = self.node.as_mut().filter(|_| self.cleared) {
                node.tick();
            }
        }
        if now >= self.hello_at {
            let calm = self.cleared && self.node.is_some();
            self.hello_at = now + if calm { HELLO_CALM } else { HELLO };
            for to in self.others() {
                let hello = self.handshake(None);
                self.send(to, Message::Handshake(hello));
            }
        }
        self.drive(now);
    }

    /// Takes a word in that is for a voter.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, message: Message) {
        if self.broken.is_some() || self.identity.is_stale_copy {
            return;
        }
        match message {
            Message::Handshake(hello) => self.receive_handshake(now, from, hello),
            Message::Raft { cluster_id: founded, from, to, bytes } => self.raft(founded, from, to, &bytes),
            Message::Request(ask) => self.receive_request(now, from, ask),
            Message::Response(_) => {}
        }
        self.drive(now);
    }

    /// The batch of this number is on the disk, or can't be written.
    pub fn persisted(&mut self, now: Duration, number: u64, outcome: Result<(), StoreError>) {
        let Some(writing) = self.writing.take_if(|w| w.number == number) else { return };
        match outcome {
            Ok(()) => {
                self.metrics.writes += 1;
                if let (Some(node), Some(ready)) = (&mut self.node, writing.ready) {
                    node.on_persist_ready(ready);
                }
                writing.after.into_iter().for_each(|a| self.push(a));
                self.drive(now);
            }
            Err(e) => {
                // Nothing that hangs on this write has left, and nothing more will.
                let why = e.to_string();
                self.actions.push_back(VoterAction::Report(VoterEvent::StorageFailed(why.clone())));
                (self.broken, self.node) = (Some(why), None);
                self.follow();
            }
        }
    }

    /// This voter is about to end: another one leads from now on, at once and not after an election's wait.
    pub fn transfer_leadership(&mut self, now: Duration) {
        let own = self.identity.disk_id;
        if let Some(node) = self.node.as_mut().filter(|_| self.leads.is_some()) {
            let voters = node.raft.prs().iter().filter(|(id, _)| **id != own);
            let next = voters.max_by_key(|(id, p)| (p.recent_active, p.matched, **id)).map(|(id, _)| *id);
            if let Some(next) = next {
                node.transfer_leader(next);
            }
        }
        self.drive(now);
    }

    // Who may vote.

    fn begin(&mut self) {
        let Some(log) = self.log.take() else { return };
        let config = Config {
            id: self.identity.disk_id,
            election_tick: TICKS,
            heartbeat_tick: HEARTBEAT,
            applied: log.base(),
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED,
            ..Config::default()
        };
        self.applied = log.base();
        let table = postcard::from_bytes(log.snapshot.get_data());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match (RawNode::new(&config, log, &logger), table, self.applied) {
            (Ok(node), Ok(table), 1..) => (self.node, self.table) = (Some(node), table),
            // One that has yet to hear anything of the log.
            (Ok(node), _, 0) => self.node = Some(node),
            (Ok(_), Err(_), _) => self.give_up("its snapshot can't be read"),
            (Err(e), ..) => self.give_up(&e.to_string()),
        }
    }

    fn give_up(&mut self, why: &str) {
        self.actions.push_back(VoterAction::Report(VoterEvent::StorageFailed(why.to_string())));
        self.broken = Some(why.to_string());
    }

    fn others(&self) -> BTreeSet<SocketAddr> {
        let seats = self.setup.founders.iter().chain(self.table.voters.values());
        seats.map(|s| s.address).filter(|at| *at != self.setup.member.address).collect()
    }

    fn founders(&self) -> u64 {
        let mut all: Vec<String> =
            self.setup.founders.iter().map(|s| format!("{} {}", s.name, s.address)).collect();
        all.sort();
        number(&all.join("\n"))
    }

    fn handshake(&self, you: Option<(u64, u64, VoterStatus)>) -> Handshake {
        Handshake {
            name: self.setup.member.name.clone(),
            disk_id: self.identity.disk_id,
            starts: self.identity.starts,
            process_id: self.setup.process_id,
            cluster_id: self.identity.cluster_id,
            founders_digest: self.founders(),
            answer: you,
        }
    }

    fn receive_handshake(&mut self, now: Duration, from: SocketAddr, hello: Handshake) {
        if hello.disk_id == self.identity.disk_id || hello.name.is_empty() || hello.name.len() > NAME_MAX {
            return;
        }
        // Of another foundation it is no voter of ours, whatever its disk.
        if hello.cluster_id.is_some()
            && self.identity.cluster_id.is_some()
            && hello.cluster_id != self.identity.cluster_id
        {
            self.metrics.rejected += 1;
            return;
        }
        let (disk, this) = (hello.disk_id, (hello.starts, hello.process_id));
        // Guards against an old vote that counts twice: a folder that was started from later than this is known here.
        let seen = self.identity.peer_starts.get(&disk).copied();
        let older = seen.is_some_and(|s| this.0 < s.0 || (this.0 == s.0 && this.1 != s.1));
        if !older && seen != Some(this) && (seen.is_some() || self.identity.peer_starts.len() < MET_MAX) {
            self.identity.peer_starts.insert(disk, this);
            self.dirty = true;
        }
        let seated = self.node.is_none() || self.table.voters.contains_key(&disk) || self.voters_unknown();
        let you = match (older, seated) {
            (true, _) => VoterStatus::StaleCopy,
            (false, true) => VoterStatus::Current,
            (false, false) => VoterStatus::NotMember,
        };
        match hello.answer {
            None => {
                // It goes out once what was seen is on the disk.
                let message = Message::Handshake(self.handshake(Some((this.0, this.1, you))));
                self.after.push(VoterAction::Send { to: from, message });
            }
            Some((starts, process_id, you))
                if (starts, process_id) == (self.identity.starts, self.setup.process_id) =>
            {
                self.told(now, &hello, you);
            }
            Some(_) => {}
        }
        if !older && (self.met.contains_key(&disk) || self.met.len() < MET_MAX) {
            self.met.insert(disk, Met { hello, from, at: now });
        }
        self.met.retain(|_, m| now - m.at < MET);
        if self.node.is_none() && self.identity.cluster_id.is_none() {
            self.found(now);
        }
    }

    /// One that has just been taken in knows nothing of the others yet, and says nothing of them.
    fn voters_unknown(&self) -> bool {
        self.table.voters.is_empty()
    }

    /// Another's answer: what this one is to it.
    fn told(&mut self, now: Duration, hello: &Handshake, you: VoterStatus) {
        match you {
            VoterStatus::StaleCopy => {
                (self.identity.is_stale_copy, self.dirty, self.node) = (true, true, None);
                self.follow();
                self.actions.push_back(VoterAction::Report(VoterEvent::StaleCopy));
            }
            VoterStatus::NotMember => {
                if !std::mem::replace(&mut self.unseated, true) {
                    self.actions.push_back(VoterAction::Report(VoterEvent::NotMember));
                }
            }
            VoterStatus::Current if hello.cluster_id.is_some() => {
                self.unseated = false;
                if self.identity.cluster_id.is_none() && self.node.is_none() {
                    // This disk has never voted: it may, from here on, with what the leader brings it.
                    (self.identity.cluster_id, self.dirty, self.cleared) = (hello.cluster_id, true, true);
                    self.begin();
                    self.actions.push_back(VoterAction::Report(VoterEvent::VotingEnabled));
                    self.tick_at = now;
                }
                self.confirmed_by.insert(hello.disk_id);
                self.clear();
            }
            VoterStatus::Current => {}
        }
    }

    /// Enough others have said that they know of no later start: with these there is no majority that does.
    fn clear(&mut self) {
        let Some(node) = self.node.as_ref().filter(|_| !self.cleared) else { return };
        let voters: Vec<u64> = node.raft.prs().conf().voters().ids().iter().collect();
        let confirmed = voters.iter().filter(|id| self.confirmed_by.contains(id)).count();
        if confirmed >= voters.len() / 2 {
            self.cleared = true;
            self.actions.push_back(VoterAction::Report(VoterEvent::VotingEnabled));
        }
    }

    /// Founds the voters, where all founders are there and none has been founded: each comes to the same by itself.
    fn found(&mut self, now: Duration) {
        let mut seats = BTreeMap::new();
        let own = self.founders();
        for founder in &self.setup.founders {
            if founder.name == self.setup.member.name {
                seats.insert(self.identity.disk_id, founder.clone());
                continue;
            }
            let fits = |m: &&Met| {
                let h = &m.hello;
                h.name == founder.name
                    && h.cluster_id.is_none()
                    && h.founders_digest == own
                    && now - m.at < MET
            };
            let mut met: Vec<&Met> = self.met.values().filter(fits).collect();
            met.sort_by_key(|m| m.at);
            let Some(met) = met.last() else { return };
            seats.insert(met.hello.disk_id, founder.clone());
        }
        if seats.len() != self.setup.founders.len() || !seats.contains_key(&self.identity.disk_id) {
            return;
        }
        let disks: Vec<String> = seats.keys().map(u64::to_string).collect();
        let founded = number(&disks.join(" "));
        let table = LeaseTable { voters: seats, ..LeaseTable::default() };
        let Ok(data) = postcard::to_stdvec(&table) else { return };
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().voters = table.voters.keys().copied().collect();
        snapshot.data = data.into();
        if let Some(log) = &mut self.log {
            log.restore(snapshot.clone());
        }
        self.snapshot = Some((snapshot, true));
        (self.identity.cluster_id, self.dirty, self.cleared) = (Some(founded), true, true);
        self.tick_at = now;
        self.begin();
        self.actions.push_back(VoterAction::Report(VoterEvent::ClusterFormed(founded)));
    }

    fn raft(&mut self, founded: u64, from: u64, to: u64, bytes: &[u8]) {
        let ours = self.identity.cluster_id == Some(founded) && to == self.identity.disk_id;
        let message = RaftMessage::parse_from_bytes(bytes).ok().filter(|m| m.from == from && m.to == to);
        match (&mut self.node, message) {
            (Some(node), Some(message)) if ours && self.cleared => {
                drop(node.step(message)); // an error is a word that came too late
            }
            (Some(_), Some(_)) if ours => {}
            _ => self.metrics.rejected += 1,
        }
    }

    // What is written, sent and applied.

    fn push(&mut self, action: VoterAction) {
        self.metrics.messages_sent += u64::from(matches!(action, VoterAction::Send { .. }));
        self.actions.push_back(action);
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.push(VoterAction::Send { to, message });
    }

    fn raft_message(&self, message: &RaftMessage) -> Option<VoterAction> {
        let seat = self.table.voters.get(&message.to).map(|s| s.address);
        let to = seat.or_else(|| self.met.get(&message.to).map(|m| m.from))?;
        let bytes = message.write_to_bytes().ok()?;
        let founded = self.identity.cluster_id?;
        Some(VoterAction::Send {
            to,
            message: Message::Raft { cluster_id: founded, from: message.from, to: message.to, bytes },
        })
    }

    /// Hands on what is ready. Nothing that hangs on a write goes out before that is on the disk.
    fn drive(&mut self, now: Duration) {
        while self.writing.is_none() {
            let (mut batch, mut ready) =
                (WriteBatch { number: self.number + 1, ..WriteBatch::default() }, None);
            if std::mem::take(&mut self.dirty) {
                batch.identity = Some(self.identity.clone());
            }
            let mut after = std::mem::take(&mut self.after);
            if let Some((snapshot, anew)) = self.snapshot.take() {
                (batch.snapshot, batch.replaces_log) = (Some(snapshot), anew);
                batch.hard_state = self.node.as_ref().map(|n| n.store().hard_state.clone());
            }
            self.draw();
            let mut committed = Vec::new();
            if let Some(node) = self.node.as_mut().filter(|n| self.cleared && n.has_ready()) {
                let mut rd = node.ready();
                ready = Some(rd.number());
                let at_once = rd.take_messages();
                let later = rd.take_persisted_messages();
                for state in rd.take_read_states() {
                    let number = state.request_ctx.try_into().map(u64::from_be_bytes);
                    if let Some(read) = number.ok().and_then(|n| self.reads.remove(&n)) {
                        self.sure.push((state.index, read));
                    }
                }
                if !rd.snapshot().is_empty() {
                    let snapshot = rd.snapshot().clone();
                    match postcard::from_bytes(snapshot.get_data()) {
                        Ok(table) => self.table = table,
                        Err(_) => return self.give_up("a snapshot can't be read"),
                    }
                    self.applied = snapshot.get_metadata().index;
                    node.mut_store().restore(snapshot.clone());
                    (batch.snapshot, batch.replaces_log) = (Some(snapshot), true);
                }
                if let Some(hard) = rd.hs() {
                    node.mut_store().hard_state = hard.clone();
                }
                // How far it is agreed on is found out anew at a start: alone it is worth no write.
                if rd.must_sync() || batch.snapshot.is_some() {
                    batch.hard_state = Some(node.store().hard_state.clone());
                }
                batch.entries = rd.take_entries();
                node.mut_store().append(&batch.entries);
                committed = rd.take_committed_entries();
                let role = rd.ss().map(|ss| ss.raft_state);
                node.advance_append_async(rd);
                at_once
                    .iter()
                    .filter_map(|m| self.raft_message(m))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|a| self.push(a));
                after.extend(later.iter().filter_map(|m| self.raft_message(m)));
                match role {
                    Some(StateRole::Leader) => self.lead(now),
                    Some(_) => self.follow(),
                    None => {}
                }
            }
            let idle = committed.is_empty() && ready.is_none() && after.is_empty() && batch.is_empty();
            for entry in committed {
                self.apply(now, &entry);
            }
            self.confirm(now);
            self.compact();
            if idle && self.snapshot.is_none() {
                return;
            }
            if batch.is_empty() {
                if let (Some(node), Some(ready)) = (&mut self.node, ready) {
                    node.on_persist_ready(ready);
                }
                after.into_iter().for_each(|a| self.push(a));
                continue;
            }
            self.number += 1;
            self.writing = Some(Writing { number: self.number, ready, after });
            self.actions.push_back(VoterAction::Write(batch));
        }
    }

    /// The library draws the time-outs of elections by itself, and no run would repeat: they are set anew after whatever
    /// may have made it draw, by this voter's own number and the term.
    fn draw(&mut self) {
        let Some(node) = &mut self.node else { return };
        let mut rng = SmallRng::seed_from_u64(self.setup.seed ^ node.raft.term.rotate_left(32));
        node.raft.set_randomized_election_timeout(rng.random_range(TICKS..2 * TICKS));
    }

    fn apply(&mut self, now: Duration, entry: &Entry) {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                if let Ok(command) = postcard::from_bytes::<Command>(&entry.data) {
                    let applied = self.table.apply(command);
                    self.applied(now, applied);
                }
            }
            _ => self.apply_voter_change(entry),
        }
        if let Some(node) = &mut self.node {
            node.advance_apply_to(entry.index);
        }
    }

    fn apply_voter_change(&mut self, entry: &Entry) {
        let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { return };
        let Some(node) = &mut self.node else { return };
        match node.apply_conf_change(&change) {
            Ok(conf) => node.mut_store().conf_state = conf,
            Err(_) => return,
        }
        match (change.get_change_type(), postcard::from_bytes::<VoterMember>(&change.context)) {
            (ConfChangeType::AddNode, Ok(seat)) => {
                self.new_seat = entry.index;
                self.table.voters.insert(change.node_id, seat);
            }
            _ => drop(self.table.voters.remove(&change.node_id)),
        }
        let names = self.table.voters.values().map(|s| s.name.clone()).collect();
        self.actions.push_back(VoterAction::Report(VoterEvent::VotersChanged(names)));
        if let Some(asked) = self.pending_voter_change.take() {
            self.respond(&asked, Outcome::Done);
        }
    }

    fn compact(&mut self) {
        let Some(node) = &mut self.node else { return };
        // One that has just been added takes only a snapshot that knows of it.
        let due = self.applied >= node.store().base() + COMPACT || self.new_seat > node.store().base();
        if self.snapshot.is_some() || !due {
            return;
        }
        let (Ok(term), Ok(data)) =
            (raft::Storage::term(node.store(), self.applied), postcard::to_stdvec(&self.table))
        else {
            return;
        };
        let mut snapshot = Snapshot::default();
        let conf = node.raft.prs().conf().to_conf_state();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, term);
        meta.set_conf_state(conf);
        snapshot.data = data.into();
        node.mut_store().compact(snapshot.clone());
        self.snapshot = Some((snapshot, false));
    }

    // What a leader does.

    fn lead(&mut self, now: Duration) {
        let term = self.node.as_ref().map_or(0, |n| n.raft.term);
        if self.leads == Some(term) {
            return;
        }
        self.follow();
        self.leads = Some(term);
        self.metrics.elections += 1;
        // Whoever led before may have extended a lease up to the moment at which a majority voted for this one.
        let until = now + self.setup.timing.lease;
        let held = self.table.leases.iter().filter(|(_, h)| h.holder.is_some());
        self.expirations = held.map(|(lease, _)| (lease.clone(), until)).collect();
        self.actions.push_back(VoterAction::Report(VoterEvent::BecameLeader(term)));
    }

    fn follow(&mut self) {
        if self.leads.take().is_some() {
            self.actions.push_back(VoterAction::Report(VoterEvent::LeadershipLost));
        }
        self.expirations.clear();
        self.proposed.clear();
        self.waiting.clear();
        self.reads.clear();
        self.sure.clear();
        self.pending_voter_change = None;
    }

    fn respond(&mut self, asked: &Asked, reply: Outcome) {
        let (number, process_id) = (asked.number, asked.client.process_id);
        let answer = Response {
            request_id: number,
            process_id,
            voter: self.setup.member.name.clone(),
            outcome: reply,
        };
        self.send(asked.to, Message::Response(answer));
    }

    fn receive_request(&mut self, now: Duration, from: SocketAddr, ask: Request) {
        let asked = Asked { to: from, number: ask.id, client: ask.client };
        if asked.client.name.is_empty() || asked.client.name.len() > NAME_MAX {
            self.metrics.rejected += 1;
            return;
        }
        let ready = self.node.as_ref().is_some_and(|n| n.raft.commit_to_current_term());
        if self.leads.is_none() || !ready {
            let leader = self.node.as_ref().map_or(0, |n| n.raft.leader_id);
            let at = self.table.voters.get(&leader).map(|s| s.address);
            let at = at.filter(|at| *at != self.setup.member.address);
            return self.respond(&asked, Outcome::NotLeader(at));
        }
        let sound = |lease: &str| !lease.is_empty() && lease.len() <= NAME_MAX;
        let at_ms = self.unix_ms(now);
        let deaf = Duration::from_millis(ask.silence_ms) > self.setup.timing.lease / 2;
        match ask.operation {
            Operation::Acquire { .. } if deaf => self.respond(&asked, Outcome::ConfirmReceipt),
            Operation::Acquire { lease, token } if sound(&lease) => self.have(now, asked, lease, token),
            Operation::Release { lease, token } if sound(&lease) => {
                self.propose_for(asked, lease.clone(), token, Command::Release { lease, token, at_ms })
            }
            Operation::SaveState { lease, token, state: left }
                if sound(&lease) && left.len() <= STATE_MAX =>
            {
                self.propose_for(
                    asked,
                    lease.clone(),
                    token,
                    Command::SaveState { lease, token, state: left },
                )
            }
            Operation::Status => {
                let told = self.show(now);
                self.respond(&asked, Outcome::Status(Box::new(told)));
            }
            Operation::AddVoter(seat) => self.add(asked, seat),
            Operation::RemoveVoter(name) => self.remove(asked, &name),
            _ => self.respond(&asked, Outcome::Rejected("a name or what is left is too long".into())),
        }
    }

    fn show(&self, now: Duration) -> ClusterStatus {
        let left = |until: &Duration| until.saturating_sub(now).as_millis() as u64;
        ClusterStatus {
            table: self.table.clone(),
            cluster_id: self.identity.cluster_id.unwrap_or(0),
            term: self.leads.unwrap_or(0),
            remaining_ms: self
                .expirations
                .iter()
                .map(|(lease, until)| (lease.clone(), left(until)))
                .collect(),
        }
    }

    fn have(&mut self, now: Duration, asked: Asked, lease: String, token: u64) {
        let last = self.table.token(&lease);
        if let Some(before) = self.proposed.get_mut(&lease) {
            if before.client == asked.client {
                *before = asked; // its first ask may be lost, or too old by now
                return;
            }
            return self.wait(now, asked, lease);
        }
        match self.table.holder(&lease) {
            Some(holder) if *holder == asked.client => self.read(asked, lease),
            // It holds it no more, whatever it thinks, and has to know that first.
            _ if token != 0 => self.respond(&asked, Outcome::NotHolder { lease, token: last }),
            Some(_) if self.expirations.get(&lease).is_some_and(|until| now < *until) => {
                self.wait(now, asked, lease)
            }
            _ => self.grant(now, asked, lease, last),
        }
    }

    /// By this machine's clock: to be shown, and the least that a first token is.
    fn unix_ms(&self, now: Duration) -> u64 {
        self.setup.unix_ms + now.as_millis() as u64
    }

    fn grant(&mut self, now: Duration, asked: Asked, lease: String, after: u64) {
        let holder = asked.client.clone();
        let command =
            Command::Grant { lease: lease.clone(), holder, previous_token: after, at_ms: self.unix_ms(now) };
        self.propose(asked, lease, command);
    }

    /// Only the holder of the last token has a say; anybody else's is over.
    fn propose_for(&mut self, asked: Asked, lease: String, token: u64, command: Command) {
        if self.proposed.contains_key(&lease) {
            return; // it asks again
        }
        match self.table.holder(&lease) {
            Some(holder) if *holder == asked.client && self.table.token(&lease) == token => {
                self.propose(asked, lease, command)
            }
            _ => {
                let token = self.table.token(&lease);
                self.respond(&asked, Outcome::NotHolder { lease, token });
            }
        }
    }

    fn propose(&mut self, asked: Asked, lease: String, command: Command) {
        let Some(node) = &mut self.node else { return };
        let Ok(data) = postcard::to_stdvec(&command) else { return };
        // An error is a leader that is none any more, or has too much under way: the asker asks again.
        if node.propose(Vec::new(), data).is_ok() {
            self.proposed.insert(lease, asked);
        }
    }

    fn wait(&mut self, now: Duration, asked: Asked, lease: String) {
        let holder = self.table.holder(&lease).map_or(String::new(), |h| h.name.clone());
        let token = self.table.token(&lease);
        let most = self.setup.timing.renew_interval() * 2;
        let queue = self.waiting.entry(lease.clone()).or_default();
        queue.retain(|(at, a)| a.client != asked.client && now - *at < most);
        let (to, number, client) = (asked.to, asked.number, asked.client.clone());
        if queue.len() < WAITING {
            queue.push_back((now, asked));
        }
        self.respond(&Asked { to, number, client }, Outcome::HeldByOther { lease, holder, token });
    }

    /// A holder's lease is extended once a majority has said, after it asked, that this one leads still.
    fn read(&mut self, asked: Asked, lease: String) {
        let Some(node) = self.node.as_mut().filter(|_| self.reads.len() < READS) else { return };
        self.read_number += 1;
        node.read_index(self.read_number.to_be_bytes().to_vec());
        self.reads.retain(|_, r| r.lease != lease || r.asked.client != asked.client);
        self.reads.insert(self.read_number, Read { asked, lease });
    }

    fn confirm(&mut self, now: Duration) {
        let applied = self.applied;
        let (sure, later) =
            std::mem::take(&mut self.sure).into_iter().partition(|(index, _)| *index <= applied);
        self.sure = later;
        for (_, Read { asked, lease }) in sure {
            let held = self.table.holder(&lease) == Some(&asked.client);
            // Guards against a lease that is extended while the duty is on its way to another.
            if !held || self.proposed.contains_key(&lease) {
                let token = self.table.token(&lease);
                self.respond(&asked, Outcome::NotHolder { lease, token });
                continue;
            }
            self.metrics.renewals += 1;
            self.granted(now, &asked, lease);
        }
    }

    fn granted(&mut self, now: Duration, asked: &Asked, lease: String) {
        self.expirations.insert(lease.clone(), now + self.setup.timing.lease);
        let held = self.table.leases.get(&lease);
        let (token, left) = held.map_or((0, Vec::new()), |h| (h.token, h.state.clone()));
        self.respond(asked, Outcome::Granted { lease: lease, token, state: left });
    }

    fn applied(&mut self, now: Duration, applied: ApplyResult) {
        if self.leads.is_none() {
            return;
        }
        match applied {
            ApplyResult::Granted { lease, token } => {
                let asked = self.proposed.remove(&lease);
                let Some(holder) = self.table.holder(&lease).cloned() else { return };
                self.metrics.grants += 1;
                self.actions.push_back(VoterAction::Report(VoterEvent::LeaseGranted(
                    lease.clone(),
                    holder.clone(),
                    token,
                )));
                self.expirations.insert(lease.clone(), now + self.setup.timing.lease);
                if let Some(asked) = asked.filter(|a| a.client == holder) {
                    self.granted(now, &asked, lease);
                }
            }
            ApplyResult::Released { lease } => {
                self.expirations.remove(&lease);
                if let Some(asked) = self.proposed.remove(&lease) {
                    self.respond(&asked, Outcome::Done);
                }
                let most = self.setup.timing.renew_interval() * 2;
                let queue = self.waiting.remove(&lease).unwrap_or_default();
                // Not later than it would ask again: an old wish's lease is over before it is told.
                if let Some((_, next)) = queue.into_iter().find(|(at, _)| now - *at < most) {
                    let after = self.table.token(&lease);
                    self.grant(now, next, lease, after);
                }
            }
            ApplyResult::StateSaved { lease } => {
                if let Some(asked) = self.proposed.remove(&lease) {
                    self.respond(&asked, Outcome::Done);
                }
            }
            ApplyResult::Ignored { lease } => {
                if let Some(asked) = self.proposed.remove(&lease) {
                    let token = self.table.token(&lease);
                    self.respond(&asked, Outcome::NotHolder { lease, token });
                }
            }
        }
    }

    fn add(&mut self, asked: Asked, seat: VoterMember) {
        // The last one that said so: the disk before it may have been heard of just now, too.
        let named = self.met.iter().filter(|(_, m)| m.hello.name == seat.name);
        let found = named.max_by_key(|(_, m)| m.at).map(|(disk, _)| *disk);
        let Some(disk) = found.filter(|_| !seat.name.is_empty() && seat.name.len() <= NAME_MAX) else {
            let why = format!(
                "{} was not heard of: start it with a state folder and the voters in its file",
                seat.name
            );
            return self.respond(&asked, Outcome::Rejected(why));
        };
        if self.table.voters.contains_key(&disk) {
            return self.respond(&asked, Outcome::Done);
        }
        if self.table.voters.values().any(|s| s.name == seat.name) {
            let why = format!("{} has a seat with another folder: remove it first", seat.name);
            return self.respond(&asked, Outcome::Rejected(why));
        }
        self.propose_voter_change(asked, ConfChangeType::AddNode, disk, Some(seat));
    }

    fn remove(&mut self, asked: Asked, name: &str) {
        let disk = self.table.voters.iter().find(|(_, s)| s.name == name).map(|(disk, _)| *disk);
        let Some(disk) = disk else { return self.respond(&asked, Outcome::Done) };
        let other = self.table.voters.keys().find(|d| **d != self.identity.disk_id).copied();
        match (&mut self.node, other) {
            (_, None) => self.respond(&asked, Outcome::Rejected("it is the last voter".into())),
            (Some(node), Some(other)) if disk == self.identity.disk_id => {
                node.transfer_leader(other);
                self.respond(&asked, Outcome::Rejected("it leads, and hands that on now: ask again".into()));
            }
            _ => self.propose_voter_change(asked, ConfChangeType::RemoveNode, disk, None),
        }
    }

    fn propose_voter_change(
        &mut self,
        asked: Asked,
        kind: ConfChangeType,
        disk: u64,
        seat: Option<VoterMember>,
    ) {
        let Some(node) = &mut self.node else { return };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        change.context = seat.and_then(|s| postcard::to_stdvec(&s).ok()).unwrap_or_default().into();
        if node.raft.has_pending_conf() || node.propose_conf_change(Vec::new(), change).is_err() {
            return self.respond(&asked, Outcome::Rejected("another change of voters is under way".into()));
        }
        self.pending_voter_change = Some(asked);
    }
}

fn number(text: &str) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(text);
    digest.iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}
