//! A voter: `raft` below, and over it who may vote at all, leases, tokens, and the duties' table.
//!
//! A holder's lease is not in the log. The leader extends it in memory once a majority has confirmed that it leads still,
//! and whoever leads next counts a whole lease anew from its election: later than any that was extended before.

use crate::log::Log;
use crate::store::{BadStore, Batch, Disk, Folder};
use crate::table::{Applied, Command, Holder, Seat, Table, LEFT_MAX};
use crate::word::{Answer, Ask, Hello, Reply, Told, Wish, Word, You, NAME_MAX};
use crate::Timing;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message, Snapshot};
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
pub struct Setup {
    /// Its name and where it is reached.
    pub seat: Seat,
    /// Those that found the voters together, itself included where it is one of them.
    pub founders: Vec<Seat>,
    /// How long leases and elections take.
    pub timing: Timing,
    /// The process: drawn anew at each start.
    pub boot: u64,
    /// For random numbers.
    pub seed: u64,
    /// Unix time in milliseconds where the embedder's clock shows zero.
    pub unix_ms: u64,
}

/// What the embedder is to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Bring a word to this address.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        word: Word,
    },
    /// Write this to the store, and tell [`Voter::written`]. There is one at a time.
    Write(Batch),
    /// Tell on-call staff.
    Note(Note),
}

/// A change worth a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The voters were founded, this one among them.
    Founded(u64),
    /// This voter may vote: enough others know its folder for the latest.
    Voting,
    /// It leads from this term on.
    Leads(u64),
    /// It leads no more.
    Led,
    /// Its folder is an older copy: it never votes again.
    Older,
    /// Its disk is not among the voters'.
    Unseated,
    /// Its store fails: it grants and votes nothing more.
    Broken(String),
    /// A voter was added or removed.
    Seats(Vec<String>),
    /// A duty was granted, as a leader.
    Granted(String, Holder, u64),
}

/// Whether a voter may vote, and why not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It waits for the other founders, or to be added.
    Waiting,
    /// It has yet to hear from enough others that its folder is the latest.
    Returning,
    /// It votes.
    Voting,
    /// It leads.
    Leading,
    /// The others say that its disk is not among theirs.
    Unseated,
    /// Its folder is an older copy.
    Older,
    /// Its store fails.
    Broken(String),
}

/// Counters of one voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// Words sent.
    pub sent: u64,
    /// Writes that had to be on the disk.
    pub writes: u64,
    /// Grants, as a leader.
    pub grants: u64,
    /// Renewals that were confirmed, as a leader.
    pub renewals: u64,
    /// Elections won.
    pub elections: u64,
    /// Words refused: of another foundation, for another disk, or not to be read.
    pub refused: u64,
}

struct Met {
    hello: Hello,
    from: SocketAddr,
    at: Duration,
}

struct Writing {
    number: u64,
    ready: Option<u64>,
    after: Vec<Action>,
}

/// A wish whose answer goes there.
struct Asked {
    to: SocketAddr,
    number: u64,
    who: Holder,
}

struct Read {
    asked: Asked,
    duty: String,
}

/// One voter.
pub struct Voter {
    setup: Setup,
    folder: Folder,
    node: Option<RawNode<Log>>,
    /// What was taken of the folder, until a node is made of it.
    log: Option<Log>,
    cleared: bool,
    unseated: bool,
    broken: Option<String>,
    confirmed_by: BTreeSet<u64>,
    table: Table,
    applied: u64,
    /// The entry that added a voter last.
    new_seat: u64,
    tick_at: Duration,
    hello_at: Duration,
    met: BTreeMap<u64, Met>,
    dirty: bool,
    snapshot: Option<(Snapshot, bool)>,
    writing: Option<Writing>,
    after: Vec<Action>,
    number: u64,
    actions: VecDeque<Action>,
    // As a leader only.
    leads: Option<u64>,
    leases: BTreeMap<String, Duration>,
    proposed: BTreeMap<String, Asked>,
    waiting: BTreeMap<String, VecDeque<(Duration, Asked)>>,
    reads: BTreeMap<u64, Read>,
    sure: Vec<(u64, Read)>,
    reseat: Option<Asked>,
    read_number: u64,
    figures: Figures,
}

impl Voter {
    /// A voter with what its store held. It does not vote before enough others have said that its folder is the latest.
    pub fn new(setup: Setup, disk: Disk, now: Duration) -> Voter {
        let Disk { folder, log } = disk;
        let mut voter = Voter {
            tick_at: now,
            hello_at: now,
            node: None,
            log: Some(log),
            cleared: false,
            unseated: false,
            broken: None,
            confirmed_by: BTreeSet::new(),
            table: Table::default(),
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
            leases: BTreeMap::new(),
            proposed: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            sure: Vec::new(),
            reseat: None,
            read_number: 0,
            figures: Figures::default(),
            folder,
            setup,
        };
        if voter.folder.older {
            voter.actions.push_back(Action::Note(Note::Older));
        } else if voter.folder.founded.is_some() {
            voter.begin();
        }
        voter.settle(now);
        voter
    }

    /// The next thing to do, if there is one.
    pub fn action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Voter::tick`] is due next.
    pub fn due(&self) -> Duration {
        if self.broken.is_some() || self.folder.older {
            return Duration::MAX;
        }
        self.tick_at.min(self.hello_at)
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        match () {
            () if self.broken.is_some() => Standing::Broken(self.broken.clone().unwrap_or_default()),
            () if self.folder.older => Standing::Older,
            () if self.unseated => Standing::Unseated,
            () if self.node.is_none() => Standing::Waiting,
            () if !self.cleared => Standing::Returning,
            () if self.leads.is_some() => Standing::Leading,
            () => Standing::Voting,
        }
    }

    /// Counters.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// What it knows to be agreed on; it may be behind.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The number of its disk.
    pub fn disk(&self) -> u64 {
        self.folder.disk
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.draw();
        if self.broken.is_some() || self.folder.older {
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
                let hello = self.hello(None);
                self.send(to, Word::Hello(hello));
            }
        }
        self.settle(now);
    }

    /// Takes a word in that is for a voter.
    pub fn word(&mut self, now: Duration, from: SocketAddr, word: Word) {
        if self.broken.is_some() || self.folder.older {
            return;
        }
        match word {
            Word::Hello(hello) => self.hear(now, from, hello),
            Word::Raft { founded, from, to, bytes } => self.raft(founded, from, to, &bytes),
            Word::Ask(ask) => self.ask(now, from, ask),
            Word::Answer(_) => {}
        }
        self.settle(now);
    }

    /// The batch of this number is on the disk, or can't be written.
    pub fn written(&mut self, now: Duration, number: u64, outcome: Result<(), BadStore>) {
        let Some(writing) = self.writing.take_if(|w| w.number == number) else { return };
        match outcome {
            Ok(()) => {
                self.figures.writes += 1;
                if let (Some(node), Some(ready)) = (&mut self.node, writing.ready) {
                    node.on_persist_ready(ready);
                }
                writing.after.into_iter().for_each(|a| self.push(a));
                self.settle(now);
            }
            Err(e) => {
                // Nothing that hangs on this write has left, and nothing more will.
                let why = e.to_string();
                self.actions.push_back(Action::Note(Note::Broken(why.clone())));
                (self.broken, self.node) = (Some(why), None);
                self.follow();
            }
        }
    }

    /// This voter is about to end: another one leads from now on, at once and not after an election's wait.
    pub fn hand_on(&mut self, now: Duration) {
        let own = self.folder.disk;
        if let Some(node) = self.node.as_mut().filter(|_| self.leads.is_some()) {
            let voters = node.raft.prs().iter().filter(|(id, _)| **id != own);
            let next = voters.max_by_key(|(id, p)| (p.recent_active, p.matched, **id)).map(|(id, _)| *id);
            if let Some(next) = next {
                node.transfer_leader(next);
            }
        }
        self.settle(now);
    }

    // Who may vote.

    fn begin(&mut self) {
        let Some(log) = self.log.take() else { return };
        let config = Config {
            id: self.folder.disk,
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
        self.actions.push_back(Action::Note(Note::Broken(why.to_string())));
        self.broken = Some(why.to_string());
    }

    fn others(&self) -> BTreeSet<SocketAddr> {
        let seats = self.setup.founders.iter().chain(self.table.seats.values());
        seats.map(|s| s.address).filter(|at| *at != self.setup.seat.address).collect()
    }

    fn founders(&self) -> u64 {
        let mut all: Vec<String> =
            self.setup.founders.iter().map(|s| format!("{} {}", s.name, s.address)).collect();
        all.sort();
        number(&all.join("\n"))
    }

    fn hello(&self, you: Option<(u64, u64, You)>) -> Hello {
        Hello {
            name: self.setup.seat.name.clone(),
            disk: self.folder.disk,
            starts: self.folder.starts,
            boot: self.setup.boot,
            founded: self.folder.founded,
            founders: self.founders(),
            you,
        }
    }

    fn hear(&mut self, now: Duration, from: SocketAddr, hello: Hello) {
        if hello.disk == self.folder.disk || hello.name.is_empty() || hello.name.len() > NAME_MAX {
            return;
        }
        // Of another foundation it is no voter of ours, whatever its disk.
        if hello.founded.is_some() && self.folder.founded.is_some() && hello.founded != self.folder.founded {
            self.figures.refused += 1;
            return;
        }
        let (disk, this) = (hello.disk, (hello.starts, hello.boot));
        // Guards against an old vote that counts twice: a folder that was started from later than this is known here.
        let seen = self.folder.seen.get(&disk).copied();
        let older = seen.is_some_and(|s| this.0 < s.0 || (this.0 == s.0 && this.1 != s.1));
        if !older && seen != Some(this) && (seen.is_some() || self.folder.seen.len() < MET_MAX) {
            self.folder.seen.insert(disk, this);
            self.dirty = true;
        }
        let seated = self.node.is_none() || self.table.seats.contains_key(&disk) || self.seats_unknown();
        let you = match (older, seated) {
            (true, _) => You::Older,
            (false, true) => You::Fine,
            (false, false) => You::Unseated,
        };
        match hello.you {
            None => {
                // It goes out once what was seen is on the disk.
                let word = Word::Hello(self.hello(Some((this.0, this.1, you))));
                self.after.push(Action::Send { to: from, word });
            }
            Some((starts, boot, you)) if (starts, boot) == (self.folder.starts, self.setup.boot) => {
                self.told(now, &hello, you);
            }
            Some(_) => {}
        }
        if !older && (self.met.contains_key(&disk) || self.met.len() < MET_MAX) {
            self.met.insert(disk, Met { hello, from, at: now });
        }
        self.met.retain(|_, m| now - m.at < MET);
        if self.node.is_none() && self.folder.founded.is_none() {
            self.found(now);
        }
    }

    /// One that has just been taken in knows nothing of the others yet, and says nothing of them.
    fn seats_unknown(&self) -> bool {
        self.table.seats.is_empty()
    }

    /// Another's answer: what this one is to it.
    fn told(&mut self, now: Duration, hello: &Hello, you: You) {
        match you {
            You::Older => {
                (self.folder.older, self.dirty, self.node) = (true, true, None);
                self.follow();
                self.actions.push_back(Action::Note(Note::Older));
            }
            You::Unseated => {
                if !std::mem::replace(&mut self.unseated, true) {
                    self.actions.push_back(Action::Note(Note::Unseated));
                }
            }
            You::Fine if hello.founded.is_some() => {
                self.unseated = false;
                if self.folder.founded.is_none() && self.node.is_none() {
                    // This disk has never voted: it may, from here on, with what the leader brings it.
                    (self.folder.founded, self.dirty, self.cleared) = (hello.founded, true, true);
                    self.begin();
                    self.actions.push_back(Action::Note(Note::Voting));
                    self.tick_at = now;
                }
                self.confirmed_by.insert(hello.disk);
                self.clear();
            }
            You::Fine => {}
        }
    }

    /// Enough others have said that they know of no later start: with these there is no majority that does.
    fn clear(&mut self) {
        let Some(node) = self.node.as_ref().filter(|_| !self.cleared) else { return };
        let voters: Vec<u64> = node.raft.prs().conf().voters().ids().iter().collect();
        let confirmed = voters.iter().filter(|id| self.confirmed_by.contains(id)).count();
        if confirmed >= voters.len() / 2 {
            self.cleared = true;
            self.actions.push_back(Action::Note(Note::Voting));
        }
    }

    /// Founds the voters, where all founders are there and none has been founded: each comes to the same by itself.
    fn found(&mut self, now: Duration) {
        let mut seats = BTreeMap::new();
        let own = self.founders();
        for founder in &self.setup.founders {
            if founder.name == self.setup.seat.name {
                seats.insert(self.folder.disk, founder.clone());
                continue;
            }
            let fits = |m: &&Met| {
                let h = &m.hello;
                h.name == founder.name && h.founded.is_none() && h.founders == own && now - m.at < MET
            };
            let mut met: Vec<&Met> = self.met.values().filter(fits).collect();
            met.sort_by_key(|m| m.at);
            let Some(met) = met.last() else { return };
            seats.insert(met.hello.disk, founder.clone());
        }
        if seats.len() != self.setup.founders.len() || !seats.contains_key(&self.folder.disk) {
            return;
        }
        let disks: Vec<String> = seats.keys().map(u64::to_string).collect();
        let founded = number(&disks.join(" "));
        let table = Table { seats, ..Table::default() };
        let Ok(data) = postcard::to_stdvec(&table) else { return };
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().voters = table.seats.keys().copied().collect();
        snapshot.data = data.into();
        if let Some(log) = &mut self.log {
            log.restore(snapshot.clone());
        }
        self.snapshot = Some((snapshot, true));
        (self.folder.founded, self.dirty, self.cleared) = (Some(founded), true, true);
        self.tick_at = now;
        self.begin();
        self.actions.push_back(Action::Note(Note::Founded(founded)));
    }

    fn raft(&mut self, founded: u64, from: u64, to: u64, bytes: &[u8]) {
        let ours = self.folder.founded == Some(founded) && to == self.folder.disk;
        let message = Message::parse_from_bytes(bytes).ok().filter(|m| m.from == from && m.to == to);
        match (&mut self.node, message) {
            (Some(node), Some(message)) if ours && self.cleared => {
                drop(node.step(message)); // an error is a word that came too late
            }
            (Some(_), Some(_)) if ours => {}
            _ => self.figures.refused += 1,
        }
    }

    // What is written, sent and applied.

    fn push(&mut self, action: Action) {
        self.figures.sent += u64::from(matches!(action, Action::Send { .. }));
        self.actions.push_back(action);
    }

    fn send(&mut self, to: SocketAddr, word: Word) {
        self.push(Action::Send { to, word });
    }

    fn raft_word(&self, message: &Message) -> Option<Action> {
        let seat = self.table.seats.get(&message.to).map(|s| s.address);
        let to = seat.or_else(|| self.met.get(&message.to).map(|m| m.from))?;
        let bytes = message.write_to_bytes().ok()?;
        let founded = self.folder.founded?;
        Some(Action::Send { to, word: Word::Raft { founded, from: message.from, to: message.to, bytes } })
    }

    /// Hands on what is ready. Nothing that hangs on a write goes out before that is on the disk.
    fn settle(&mut self, now: Duration) {
        while self.writing.is_none() {
            let (mut batch, mut ready) = (Batch { number: self.number + 1, ..Batch::default() }, None);
            if std::mem::take(&mut self.dirty) {
                batch.folder = Some(self.folder.clone());
            }
            let mut after = std::mem::take(&mut self.after);
            if let Some((snapshot, anew)) = self.snapshot.take() {
                (batch.snapshot, batch.anew) = (Some(snapshot), anew);
                batch.hard = self.node.as_ref().map(|n| n.store().hard.clone());
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
                    (batch.snapshot, batch.anew) = (Some(snapshot), true);
                }
                if let Some(hard) = rd.hs() {
                    node.mut_store().hard = hard.clone();
                }
                // How far it is agreed on is found out anew at a start: alone it is worth no write.
                if rd.must_sync() || batch.snapshot.is_some() {
                    batch.hard = Some(node.store().hard.clone());
                }
                batch.entries = rd.take_entries();
                node.mut_store().append(&batch.entries);
                committed = rd.take_committed_entries();
                let role = rd.ss().map(|ss| ss.raft_state);
                node.advance_append_async(rd);
                at_once
                    .iter()
                    .filter_map(|m| self.raft_word(m))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|a| self.push(a));
                after.extend(later.iter().filter_map(|m| self.raft_word(m)));
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
            self.actions.push_back(Action::Write(batch));
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
            _ => self.reseated(entry),
        }
        if let Some(node) = &mut self.node {
            node.advance_apply_to(entry.index);
        }
    }

    fn reseated(&mut self, entry: &Entry) {
        let Ok(change) = ConfChange::parse_from_bytes(&entry.data) else { return };
        let Some(node) = &mut self.node else { return };
        match node.apply_conf_change(&change) {
            Ok(conf) => node.mut_store().conf = conf,
            Err(_) => return,
        }
        match (change.get_change_type(), postcard::from_bytes::<Seat>(&change.context)) {
            (ConfChangeType::AddNode, Ok(seat)) => {
                self.new_seat = entry.index;
                self.table.seats.insert(change.node_id, seat);
            }
            _ => drop(self.table.seats.remove(&change.node_id)),
        }
        let names = self.table.seats.values().map(|s| s.name.clone()).collect();
        self.actions.push_back(Action::Note(Note::Seats(names)));
        if let Some(asked) = self.reseat.take() {
            self.answer(&asked, Reply::Done);
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
        self.figures.elections += 1;
        // Whoever led before may have extended a lease up to the moment at which a majority voted for this one.
        let until = now + self.setup.timing.lease;
        let held = self.table.held.iter().filter(|(_, h)| h.holder.is_some());
        self.leases = held.map(|(duty, _)| (duty.clone(), until)).collect();
        self.actions.push_back(Action::Note(Note::Leads(term)));
    }

    fn follow(&mut self) {
        if self.leads.take().is_some() {
            self.actions.push_back(Action::Note(Note::Led));
        }
        self.leases.clear();
        self.proposed.clear();
        self.waiting.clear();
        self.reads.clear();
        self.sure.clear();
        self.reseat = None;
    }

    fn answer(&mut self, asked: &Asked, reply: Reply) {
        let (number, boot) = (asked.number, asked.who.boot);
        let answer = Answer { number, boot, name: self.setup.seat.name.clone(), reply };
        self.send(asked.to, Word::Answer(answer));
    }

    fn ask(&mut self, now: Duration, from: SocketAddr, ask: Ask) {
        let asked = Asked { to: from, number: ask.number, who: ask.who };
        if asked.who.name.is_empty() || asked.who.name.len() > NAME_MAX {
            self.figures.refused += 1;
            return;
        }
        let ready = self.node.as_ref().is_some_and(|n| n.raft.commit_to_current_term());
        if self.leads.is_none() || !ready {
            let leader = self.node.as_ref().map_or(0, |n| n.raft.leader_id);
            let at = self.table.seats.get(&leader).map(|s| s.address);
            let at = at.filter(|at| *at != self.setup.seat.address);
            return self.answer(&asked, Reply::Elsewhere(at));
        }
        let sound = |duty: &str| !duty.is_empty() && duty.len() <= NAME_MAX;
        let at_ms = self.unix_ms(now);
        let deaf = Duration::from_millis(ask.heard_ms) > self.setup.timing.lease / 2;
        match ask.wish {
            Wish::Have { .. } if deaf => self.answer(&asked, Reply::Listen),
            Wish::Have { duty, token } if sound(&duty) => self.have(now, asked, duty, token),
            Wish::Give { duty, token } if sound(&duty) => {
                self.propose_for(asked, duty.clone(), token, Command::Free { duty, token, at_ms })
            }
            Wish::Leave { duty, token, left } if sound(&duty) && left.len() <= LEFT_MAX => {
                self.propose_for(asked, duty.clone(), token, Command::Leave { duty, token, left })
            }
            Wish::Show => {
                let told = self.show(now);
                self.answer(&asked, Reply::Shown(Box::new(told)));
            }
            Wish::Add(seat) => self.add(asked, seat),
            Wish::Remove(name) => self.remove(asked, &name),
            _ => self.answer(&asked, Reply::No("a name or what is left is too long".into())),
        }
    }

    fn show(&self, now: Duration) -> Told {
        let left = |until: &Duration| until.saturating_sub(now).as_millis() as u64;
        Told {
            table: self.table.clone(),
            founded: self.folder.founded.unwrap_or(0),
            term: self.leads.unwrap_or(0),
            left_ms: self.leases.iter().map(|(duty, until)| (duty.clone(), left(until))).collect(),
        }
    }

    fn have(&mut self, now: Duration, asked: Asked, duty: String, token: u64) {
        let last = self.table.token(&duty);
        if let Some(before) = self.proposed.get_mut(&duty) {
            if before.who == asked.who {
                *before = asked; // its first ask may be lost, or too old by now
                return;
            }
            return self.wait(now, asked, duty);
        }
        match self.table.holder(&duty) {
            Some(holder) if *holder == asked.who => self.read(asked, duty),
            // It holds it no more, whatever it thinks, and has to know that first.
            _ if token != 0 => self.answer(&asked, Reply::Gone { duty, token: last }),
            Some(_) if self.leases.get(&duty).is_some_and(|until| now < *until) => {
                self.wait(now, asked, duty)
            }
            _ => self.grant(now, asked, duty, last),
        }
    }

    /// By this machine's clock: to be shown, and the least that a first token is.
    fn unix_ms(&self, now: Duration) -> u64 {
        self.setup.unix_ms + now.as_millis() as u64
    }

    fn grant(&mut self, now: Duration, asked: Asked, duty: String, after: u64) {
        let holder = asked.who.clone();
        let command = Command::Grant { duty: duty.clone(), holder, after, at_ms: self.unix_ms(now) };
        self.propose(asked, duty, command);
    }

    /// Only the holder of the last token has a say; anybody else's is over.
    fn propose_for(&mut self, asked: Asked, duty: String, token: u64, command: Command) {
        if self.proposed.contains_key(&duty) {
            return; // it asks again
        }
        match self.table.holder(&duty) {
            Some(holder) if *holder == asked.who && self.table.token(&duty) == token => {
                self.propose(asked, duty, command)
            }
            _ => {
                let token = self.table.token(&duty);
                self.answer(&asked, Reply::Gone { duty, token });
            }
        }
    }

    fn propose(&mut self, asked: Asked, duty: String, command: Command) {
        let Some(node) = &mut self.node else { return };
        let Ok(data) = postcard::to_stdvec(&command) else { return };
        // An error is a leader that is none any more, or has too much under way: the asker asks again.
        if node.propose(Vec::new(), data).is_ok() {
            self.proposed.insert(duty, asked);
        }
    }

    fn wait(&mut self, now: Duration, asked: Asked, duty: String) {
        let holder = self.table.holder(&duty).map_or(String::new(), |h| h.name.clone());
        let token = self.table.token(&duty);
        let most = self.setup.timing.renew() * 2;
        let queue = self.waiting.entry(duty.clone()).or_default();
        queue.retain(|(at, a)| a.who != asked.who && now - *at < most);
        let (to, number, who) = (asked.to, asked.number, asked.who.clone());
        if queue.len() < WAITING {
            queue.push_back((now, asked));
        }
        self.answer(&Asked { to, number, who }, Reply::Busy { duty, holder, token });
    }

    /// A holder's lease is extended once a majority has said, after it asked, that this one leads still.
    fn read(&mut self, asked: Asked, duty: String) {
        let Some(node) = self.node.as_mut().filter(|_| self.reads.len() < READS) else { return };
        self.read_number += 1;
        node.read_index(self.read_number.to_be_bytes().to_vec());
        self.reads.retain(|_, r| r.duty != duty || r.asked.who != asked.who);
        self.reads.insert(self.read_number, Read { asked, duty });
    }

    fn confirm(&mut self, now: Duration) {
        let applied = self.applied;
        let (sure, later) =
            std::mem::take(&mut self.sure).into_iter().partition(|(index, _)| *index <= applied);
        self.sure = later;
        for (_, Read { asked, duty }) in sure {
            let held = self.table.holder(&duty) == Some(&asked.who);
            // Guards against a lease that is extended while the duty is on its way to another.
            if !held || self.proposed.contains_key(&duty) {
                let token = self.table.token(&duty);
                self.answer(&asked, Reply::Gone { duty, token });
                continue;
            }
            self.figures.renewals += 1;
            self.granted(now, &asked, duty);
        }
    }

    fn granted(&mut self, now: Duration, asked: &Asked, duty: String) {
        self.leases.insert(duty.clone(), now + self.setup.timing.lease);
        let held = self.table.held.get(&duty);
        let (token, left) = held.map_or((0, Vec::new()), |h| (h.token, h.left.clone()));
        self.answer(asked, Reply::Granted { duty, token, left });
    }

    fn applied(&mut self, now: Duration, applied: Applied) {
        if self.leads.is_none() {
            return;
        }
        match applied {
            Applied::Granted { duty, token } => {
                let asked = self.proposed.remove(&duty);
                let Some(holder) = self.table.holder(&duty).cloned() else { return };
                self.figures.grants += 1;
                self.actions.push_back(Action::Note(Note::Granted(duty.clone(), holder.clone(), token)));
                self.leases.insert(duty.clone(), now + self.setup.timing.lease);
                if let Some(asked) = asked.filter(|a| a.who == holder) {
                    self.granted(now, &asked, duty);
                }
            }
            Applied::Freed { duty } => {
                self.leases.remove(&duty);
                if let Some(asked) = self.proposed.remove(&duty) {
                    self.answer(&asked, Reply::Done);
                }
                let most = self.setup.timing.renew() * 2;
                let queue = self.waiting.remove(&duty).unwrap_or_default();
                // Not later than it would ask again: an old wish's lease is over before it is told.
                if let Some((_, next)) = queue.into_iter().find(|(at, _)| now - *at < most) {
                    let after = self.table.token(&duty);
                    self.grant(now, next, duty, after);
                }
            }
            Applied::Left { duty } => {
                if let Some(asked) = self.proposed.remove(&duty) {
                    self.answer(&asked, Reply::Done);
                }
            }
            Applied::Nothing { duty } => {
                if let Some(asked) = self.proposed.remove(&duty) {
                    let token = self.table.token(&duty);
                    self.answer(&asked, Reply::Gone { duty, token });
                }
            }
        }
    }

    fn add(&mut self, asked: Asked, seat: Seat) {
        // The last one that said so: the disk before it may have been heard of just now, too.
        let named = self.met.iter().filter(|(_, m)| m.hello.name == seat.name);
        let found = named.max_by_key(|(_, m)| m.at).map(|(disk, _)| *disk);
        let Some(disk) = found.filter(|_| !seat.name.is_empty() && seat.name.len() <= NAME_MAX) else {
            let why = format!(
                "{} was not heard of: start it with a state folder and the voters in its file",
                seat.name
            );
            return self.answer(&asked, Reply::No(why));
        };
        if self.table.seats.contains_key(&disk) {
            return self.answer(&asked, Reply::Done);
        }
        if self.table.seats.values().any(|s| s.name == seat.name) {
            let why = format!("{} has a seat with another folder: remove it first", seat.name);
            return self.answer(&asked, Reply::No(why));
        }
        self.reseat(asked, ConfChangeType::AddNode, disk, Some(seat));
    }

    fn remove(&mut self, asked: Asked, name: &str) {
        let disk = self.table.seats.iter().find(|(_, s)| s.name == name).map(|(disk, _)| *disk);
        let Some(disk) = disk else { return self.answer(&asked, Reply::Done) };
        let other = self.table.seats.keys().find(|d| **d != self.folder.disk).copied();
        match (&mut self.node, other) {
            (_, None) => self.answer(&asked, Reply::No("it is the last voter".into())),
            (Some(node), Some(other)) if disk == self.folder.disk => {
                node.transfer_leader(other);
                self.answer(&asked, Reply::No("it leads, and hands that on now: ask again".into()));
            }
            _ => self.reseat(asked, ConfChangeType::RemoveNode, disk, None),
        }
    }

    fn reseat(&mut self, asked: Asked, kind: ConfChangeType, disk: u64, seat: Option<Seat>) {
        let Some(node) = &mut self.node else { return };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        change.context = seat.and_then(|s| postcard::to_stdvec(&s).ok()).unwrap_or_default().into();
        if node.raft.has_pending_conf() || node.propose_conf_change(Vec::new(), change).is_err() {
            return self.answer(&asked, Reply::No("another change of voters is under way".into()));
        }
        self.reseat = Some(asked);
    }
}

fn number(text: &str) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(text);
    digest.iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}
