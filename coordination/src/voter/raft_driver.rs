//! The Raft node of a voter: messages in and out, ready states, committed entries, log compaction.

use super::persistence::PendingSnapshot;
use super::{Voter, VoterAction};
use crate::lease_table::Command;
use crate::message::Message;
use crate::raft_log::RaftLog;
use crate::store::WriteBatch;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message as RaftMessage, Snapshot};
use raft::{Config, RawNode, ReadState, Ready, StateRole};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Raft's ticks in an election timeout, and in the interval between heartbeats.
pub(super) const TICKS_PER_ELECTION: usize = 10;
const TICKS_PER_HEARTBEAT: usize = 2;
/// Entries that are kept before a snapshot replaces them.
const ENTRIES_PER_SNAPSHOT: u64 = 256;
/// Most bytes of entries in one Raft message.
const MESSAGE_BYTES_MAX: u64 = 16 * 1024;
/// Most bytes of entries that are proposed and not committed.
const UNCOMMITTED_BYTES_MAX: u64 = 256 * 1024;
/// Most Raft messages with entries under way to one voter.
const MESSAGES_IN_FLIGHT_MAX: usize = 16;

/// Raft node of a voter.
pub(super) enum RaftInstance {
    /// The voter belongs to no cluster yet; this is the log of its store.
    NotStarted(Box<RaftLog>),
    /// The node runs.
    Running(Box<RawNode<RaftLog>>),
    /// The store failed or is a stale copy.
    Stopped,
}

impl RaftInstance {
    pub(super) fn running(&self) -> Option<&RawNode<RaftLog>> {
        match self {
            RaftInstance::Running(raft) => Some(raft),
            _ => None,
        }
    }

    pub(super) fn running_mut(&mut self) -> Option<&mut RawNode<RaftLog>> {
        match self {
            RaftInstance::Running(raft) => Some(raft),
            _ => None,
        }
    }

    /// Takes the log of a node that was not started.
    fn take_log(&mut self) -> Option<RaftLog> {
        match std::mem::replace(self, RaftInstance::Stopped) {
            RaftInstance::NotStarted(log) => Some(*log),
            other => {
                *self = other;
                None
            }
        }
    }
}

/// One pass of [`Voter::drive`].
struct Pass {
    batch: WriteBatch,
    /// Number of Raft's ready state, if it had one.
    ready: Option<u64>,
    /// Actions that depend on the batch.
    after_write: Vec<VoterAction>,
    committed: Vec<Entry>,
}

impl Pass {
    fn is_empty(&self) -> bool {
        self.committed.is_empty()
            && self.ready.is_none()
            && self.after_write.is_empty()
            && self.batch.is_empty()
    }
}

impl Voter {
    pub(super) fn start_raft(&mut self) {
        let Some(log) = self.raft.take_log() else { return };
        let config = Config {
            id: self.identity.disk_id,
            election_tick: TICKS_PER_ELECTION,
            heartbeat_tick: TICKS_PER_HEARTBEAT,
            applied: log.base_index(),
            max_size_per_msg: MESSAGE_BYTES_MAX,
            max_inflight_msgs: MESSAGES_IN_FLIGHT_MAX,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: UNCOMMITTED_BYTES_MAX,
            ..Config::default()
        };
        self.applied_index = log.base_index();
        let table = postcard::from_bytes(log.snapshot.get_data());
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        match (RawNode::new(&config, log, &logger), table, self.applied_index) {
            (Ok(raft), Ok(table), 1..) => {
                self.raft = RaftInstance::Running(Box::new(raft));
                self.table = table;
            }
            // It was added and has received nothing of the log yet.
            (Ok(raft), _, 0) => self.raft = RaftInstance::Running(Box::new(raft)),
            (Ok(_), Err(_), _) => self.fail("its snapshot can't be read".to_string()),
            (Err(error), ..) => self.fail(error.to_string()),
        }
    }

    /// The library draws election timeouts from the system's randomness, so no run could be repeated: they are replaced
    /// by ones from this voter's seed and the term after whatever may have made it draw.
    pub(super) fn set_election_timeout(&mut self) {
        let Some(raft) = self.raft.running_mut() else { return };
        let mut rng = SmallRng::seed_from_u64(self.config.seed ^ raft.raft.term.rotate_left(32));
        let ticks = rng.random_range(TICKS_PER_ELECTION..2 * TICKS_PER_ELECTION);
        raft.raft.set_randomized_election_timeout(ticks);
    }

    pub(super) fn receive_raft(&mut self, cluster_id: u64, from: u64, to: u64, bytes: &[u8]) {
        let is_for_this_disk = self.identity.cluster_id == Some(cluster_id) && to == self.identity.disk_id;
        let message = RaftMessage::parse_from_bytes(bytes).ok().filter(|m| m.from == from && m.to == to);
        match (self.raft.running_mut(), message) {
            (Some(raft), Some(message)) if is_for_this_disk && self.eligibility.may_vote => {
                drop(raft.step(message)); // an error is a message that came too late
            }
            (Some(_), Some(_)) if is_for_this_disk => {}
            _ => self.metrics.rejected += 1,
        }
    }

    /// Transfers the leadership to the voter that is most up to date.
    pub(super) fn transfer_raft_leadership(&mut self) {
        let own = self.identity.disk_id;
        let Some(raft) = self.raft.running_mut() else { return };
        let others = raft.raft.prs().iter().filter(|(id, _)| **id != own);
        let next = others.max_by_key(|(id, p)| (p.recent_active, p.matched, **id)).map(|(id, _)| *id);
        if let Some(next) = next {
            raft.transfer_leader(next);
        }
    }

    /// Passes on what is ready until a write is under way or nothing is left. What depends on a write waits for it.
    pub(super) fn drive(&mut self, now: Duration) {
        while !self.persistence.is_writing() && self.drive_once(now) {}
    }

    /// Returns whether there may be more to do.
    fn drive_once(&mut self, now: Duration) -> bool {
        let mut pass = self.start_pass();
        self.set_election_timeout();
        if self.take_ready(now, &mut pass).is_err() {
            self.fail("a snapshot can't be read".to_string());
            return false;
        }
        let is_empty = pass.is_empty();
        for entry in pass.committed {
            self.apply(now, &entry);
        }
        self.confirm_renewals(now);
        self.compact_log();
        if is_empty && self.persistence.snapshot.is_none() {
            return false;
        }
        if pass.batch.is_empty() {
            self.raft_persisted(pass.ready);
            pass.after_write.into_iter().for_each(|action| self.push(action));
        } else {
            self.persistence.start(pass.ready, pass.after_write);
            self.actions.push_back(VoterAction::Write(pass.batch));
        }
        true
    }

    /// Collects what waits for a write already.
    fn start_pass(&mut self) -> Pass {
        let mut batch = self.persistence.next_batch();
        if std::mem::take(&mut self.persistence.identity_changed) {
            batch.identity = Some(self.identity.clone());
        }
        if let Some(PendingSnapshot { snapshot, replaces_log }) = self.persistence.snapshot.take() {
            batch.snapshot = Some(snapshot);
            batch.replaces_log = replaces_log;
            batch.hard_state = self.raft.running().map(|raft| raft.store().hard_state.clone());
        }
        let after_write = std::mem::take(&mut self.persistence.after_write);
        Pass { batch, ready: None, after_write, committed: Vec::new() }
    }

    /// Takes Raft's ready state, if it has one: stores and sends what it holds.
    fn take_ready(&mut self, now: Duration, pass: &mut Pass) -> Result<(), postcard::Error> {
        let may_vote = self.eligibility.may_vote;
        let Some(raft) = self.raft.running_mut().filter(|raft| may_vote && raft.has_ready()) else {
            return Ok(());
        };
        let mut ready = raft.ready();
        pass.ready = Some(ready.number());
        let immediate = ready.take_messages();
        let persisted = ready.take_persisted_messages();
        self.take_read_states(ready.take_read_states());
        self.install_snapshot(&ready, &mut pass.batch)?;
        let role = ready.ss().map(|soft_state| soft_state.raft_state);
        self.append(ready, pass);
        let immediate: Vec<VoterAction> = immediate.iter().filter_map(|m| self.raft_message(m)).collect();
        immediate.into_iter().for_each(|action| self.push(action));
        pass.after_write.extend(persisted.iter().filter_map(|m| self.raft_message(m)));
        match role {
            Some(StateRole::Leader) => self.become_leader(now),
            Some(_) => self.lose_leadership(),
            None => {}
        }
        Ok(())
    }

    /// Notes up to which index each confirmed renewal has to be applied.
    fn take_read_states(&mut self, states: Vec<ReadState>) {
        let Some(leadership) = &mut self.leadership else { return };
        for state in states {
            let number = state.request_ctx.try_into().map(u64::from_be_bytes);
            if let Ok(number) = number {
                leadership.renewal_confirmed(number, state.index);
            }
        }
    }

    /// Installs the snapshot of another voter.
    fn install_snapshot(&mut self, ready: &Ready, batch: &mut WriteBatch) -> Result<(), postcard::Error> {
        if ready.snapshot().is_empty() {
            return Ok(());
        }
        let snapshot = ready.snapshot().clone();
        self.table = postcard::from_bytes(snapshot.get_data())?;
        self.applied_index = snapshot.get_metadata().index;
        if let Some(raft) = self.raft.running_mut() {
            raft.mut_store().restore(snapshot.clone());
        }
        batch.snapshot = Some(snapshot);
        batch.replaces_log = true;
        Ok(())
    }

    /// Adds entries and hard state to the log and to the batch.
    fn append(&mut self, mut ready: Ready, pass: &mut Pass) {
        let Some(raft) = self.raft.running_mut() else { return };
        if let Some(hard_state) = ready.hs() {
            raft.mut_store().hard_state = hard_state.clone();
        }
        // A new commit index alone is not worth a write: it is found out again after a start.
        if ready.must_sync() || pass.batch.snapshot.is_some() {
            pass.batch.hard_state = Some(raft.store().hard_state.clone());
        }
        pass.batch.entries = ready.take_entries();
        raft.mut_store().append(&pass.batch.entries);
        pass.committed = ready.take_committed_entries();
        raft.advance_append_async(ready);
    }

    /// The message as an action, if the address of its receiver is known.
    fn raft_message(&self, message: &RaftMessage) -> Option<VoterAction> {
        let member = self.table.voters.get(&message.to).map(|m| m.address);
        let peer = || self.eligibility.peers.get(&message.to).map(|peer| peer.address);
        let to = member.or_else(peer)?;
        let bytes = message.write_to_bytes().ok()?;
        let cluster_id = self.identity.cluster_id?;
        let message = Message::Raft { cluster_id, from: message.from, to: message.to, bytes };
        Some(VoterAction::Send { to, message })
    }

    fn apply(&mut self, now: Duration, entry: &Entry) {
        self.applied_index = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                if let Ok(command) = postcard::from_bytes::<Command>(&entry.data) {
                    let result = self.table.apply(command);
                    self.command_applied(now, result);
                }
            }
            _ => self.apply_voter_change(entry),
        }
        if let Some(raft) = self.raft.running_mut() {
            raft.advance_apply_to(entry.index);
        }
    }

    /// Replaces the applied entries by a snapshot, once there are enough of them.
    fn compact_log(&mut self) {
        let Some(raft) = self.raft.running_mut() else { return };
        // A voter that was just added takes only a snapshot that names it.
        let base = raft.store().base_index();
        let is_due = self.applied_index >= base + ENTRIES_PER_SNAPSHOT || self.voter_added_at > base;
        if self.persistence.snapshot.is_some() || !is_due {
            return;
        }
        let term = raft::Storage::term(raft.store(), self.applied_index);
        let (Ok(term), Ok(data)) = (term, postcard::to_stdvec(&self.table)) else { return };
        let mut snapshot = Snapshot { data: data.into(), ..Snapshot::default() };
        let conf_state = raft.raft.prs().conf().to_conf_state();
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.applied_index, term);
        metadata.set_conf_state(conf_state);
        raft.mut_store().compact(snapshot.clone());
        self.persistence.snapshot = Some(PendingSnapshot { snapshot, replaces_log: false });
    }
}
