//! Raft node of a voter: messages, ready states, committed entries and log compaction.

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

/// Raft ticks in the minimum election timeout.
pub(super) const TICKS_PER_ELECTION: usize = 10;
/// Raft ticks between heartbeats of the leader.
const TICKS_PER_HEARTBEAT: usize = 2;
/// Number of applied entries after which a snapshot replaces them.
const ENTRIES_PER_SNAPSHOT: u64 = 256;
/// Maximum size of the entries in a Raft message, in bytes.
const MESSAGE_BYTES_MAX: u64 = 16 * 1024;
/// Maximum size of the proposed entries that are not committed yet, in bytes.
const UNCOMMITTED_BYTES_MAX: u64 = 256 * 1024;
/// Maximum number of Raft messages with entries that are in flight to one voter.
const MESSAGES_IN_FLIGHT_MAX: usize = 16;

/// Raft node of a voter.
pub(super) enum RaftInstance {
    /// The voter belongs to no cluster yet; holds the log of its store.
    NotStarted(Box<RaftLog>),
    /// The Raft node is running.
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

    /// Takes the log of a Raft node that has not been started.
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

/// Changes and actions collected in one pass of [`Voter::drive`].
struct Pass {
    batch: WriteBatch,
    /// Number of the Raft ready state, if there was one.
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
            // The voter was just added and has not received a snapshot yet.
            (Ok(raft), _, 0) => self.raft = RaftInstance::Running(Box::new(raft)),
            (Ok(_), Err(_), _) => self.fail("the stored snapshot cannot be decoded".to_string()),
            (Err(error), ..) => self.fail(error.to_string()),
        }
    }

    /// Replaces the election timeout with one derived from this voter's seed and the term. The Raft library draws timeouts
    /// from the system's random numbers, which makes runs irreproducible, so this is called wherever it may have drawn one.
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
                drop(raft.step(message)); // fails for an outdated message
            }
            (Some(_), Some(_)) if is_for_this_disk => {}
            _ => self.metrics.rejected += 1,
        }
    }

    /// Transfers the leadership to the most up-to-date voter.
    pub(super) fn transfer_raft_leadership(&mut self) {
        let own = self.identity.disk_id;
        let Some(raft) = self.raft.running_mut() else { return };
        let others = raft.raft.prs().iter().filter(|(id, _)| **id != own);
        let next = others.max_by_key(|(id, p)| (p.recent_active, p.matched, **id)).map(|(id, _)| *id);
        if let Some(next) = next {
            raft.transfer_leader(next);
        }
    }

    /// Processes Raft's ready states until a write is in progress or nothing is left to do. Actions that depend on a write
    /// are held back until it completes.
    pub(super) fn drive(&mut self, now: Duration) {
        while !self.persistence.is_writing() && self.drive_once(now) {}
    }

    /// Runs one pass; returns whether another one may be needed.
    fn drive_once(&mut self, now: Duration) -> bool {
        let mut pass = self.start_pass();
        self.set_election_timeout();
        if self.take_ready(now, &mut pass).is_err() {
            self.fail("a received snapshot cannot be decoded".to_string());
            return false;
        }
        let is_empty = pass.is_empty();
        for entry in pass.committed {
            self.apply(now, &entry);
        }
        self.complete_renewals(now);
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

    /// Starts a pass with the changes and actions that already wait for a write.
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

    /// Takes Raft's ready state, if there is one: adds its changes to the batch, and queues its messages.
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
        let immediate: Vec<VoterAction> = immediate.iter().filter_map(|m| self.send_action(m)).collect();
        immediate.into_iter().for_each(|action| self.push(action));
        pass.after_write.extend(persisted.iter().filter_map(|m| self.send_action(m)));
        match role {
            Some(StateRole::Leader) => self.become_leader(now),
            Some(_) => self.lose_leadership(),
            None => {}
        }
        Ok(())
    }

    /// Passes on the confirmed renewals, with the log index that must be applied before each.
    fn take_read_states(&mut self, states: Vec<ReadState>) {
        let Some(leadership) = &mut self.leadership else { return };
        for state in states {
            let number = state.request_ctx.try_into().map(u64::from_be_bytes);
            if let Ok(number) = number {
                leadership.confirm_renewal(number, state.index);
            }
        }
    }

    /// Installs a snapshot from another voter.
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

    /// Adds the entries and the hard state of a ready state to the log and to the batch.
    fn append(&mut self, mut ready: Ready, pass: &mut Pass) {
        let Some(raft) = self.raft.running_mut() else { return };
        if let Some(hard_state) = ready.hs() {
            raft.mut_store().hard_state = hard_state.clone();
        }
        // A new commit index alone is not written: Raft determines it again after a restart.
        if ready.must_sync() || pass.batch.snapshot.is_some() {
            pass.batch.hard_state = Some(raft.store().hard_state.clone());
        }
        pass.batch.entries = ready.take_entries();
        raft.mut_store().append(&pass.batch.entries);
        pass.committed = ready.take_committed_entries();
        raft.advance_append_async(ready);
    }

    /// Returns the action that sends a Raft message, if the address of its receiver is known.
    fn send_action(&self, message: &RaftMessage) -> Option<VoterAction> {
        let member = self.table.voters.get(&message.to).map(|m| m.address);
        let peer = || self.eligibility.peers.get(&message.to).map(|peer| peer.address);
        let to = member.or_else(peer)?;
        let bytes = message.write_to_bytes().ok()?;
        let cluster_id = self.identity.cluster_id?;
        let message = Message::Raft { cluster_id, from: message.from, to: message.to, bytes };
        Some(VoterAction::Send { to, message })
    }

    /// Applies a committed entry.
    fn apply(&mut self, now: Duration, entry: &Entry) {
        self.applied_index = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                if let Ok(command) = postcard::from_bytes::<Command>(&entry.data) {
                    let result = self.table.apply(command);
                    self.handle_applied(now, result);
                }
            }
            _ => self.apply_voter_change(entry),
        }
        if let Some(raft) = self.raft.running_mut() {
            raft.advance_apply_to(entry.index);
        }
    }

    /// Replaces the applied entries with a snapshot, once there are enough of them or a voter was added.
    fn compact_log(&mut self) {
        let Some(raft) = self.raft.running_mut() else { return };
        // A voter that was just added accepts only a snapshot whose voters include it.
        let base = raft.store().base_index();
        let is_due = self.applied_index >= base + ENTRIES_PER_SNAPSHOT || self.last_voter_addition > base;
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
